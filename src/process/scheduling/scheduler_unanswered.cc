// Starts without an answer: their runs are at work, will begin later, or never begin.
#include <algorithm>

#include "process/scheduling/job_scheduler.h"

namespace catkinford {

bool job_scheduler::AwaitsListing(const graph_run& run) {
  return run.Unanswered() && run.stopping == stop_cause::kNone &&
         run.overdue_since != monotonic_time{};
}

// A stop proves that the run cannot begin any more, but it also ends one that is at work. A
// service task would be down for its users then, so its instance is asked first.
void job_scheduler::OnOverdueStart(graph_run& run, monotonic_time now) {
  if (run.stopping != stop_cause::kNone) return;
  MarkSuspect(*run.instance, now);
  if (run.job == nullptr || !run.job->job.steps[run.key.step].long_running) {
    return RequestStop(run, stop_cause::kUnknownStart, now);
  }
  if (run.overdue_since == monotonic_time{}) run.overdue_since = now;
}

// A waiting listing returns at an end, and a start that was never executed has none: a second
// listing shows whether the run exists.
void job_scheduler::PlanCheck(fleet_instance& instance, scheduler_commands& commands) {
  if (!instance.listed || instance.check_in_flight) return;
  const bool wanted = std::any_of(
      instance.runs.begin(), instance.runs.end(), [](const std::unique_ptr<graph_run>& run) {
        const bool stopped =
            run->stop_confirmed && !run->seen && run->stopping == stop_cause::kUnknownStart;
        return stopped || AwaitsListing(*run);
      });
  if (!wanted) return;
  list_command request;
  request.to = {instance.report.id, instance.report.address, instance.report.incarnation};
  request.check = true;
  instance.check_in_flight = true;
  commands.listings.push_back(std::move(request));
}

}  // namespace catkinford
