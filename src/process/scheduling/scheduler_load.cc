// The load of each service, for admission.
#include <algorithm>

#include "process/scheduling/job_scheduler.h"

namespace catkinford {
namespace {

constexpr double kMilli = 1000;

double Processors(uint32_t cpu_milli) { return cpu_milli / kMilli; }

double Seconds(std::chrono::milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

// A task of the step holds its processors until it ends by itself.
bool EndsByItself(const step_spec& step) { return !step.long_running && !step.fills; }

}  // namespace

void job_scheduler::CountBusy(const graph_run& run, int sign) {
  const step_spec& step = run.job->job.steps[run.key.step];
  if (EndsByItself(step)) {
    load_counts_[run.instance->service].busy_milli += int64_t{sign} * run.capacity.cpu_milli;
  }
}

void job_scheduler::CountReady(const job_entry& entry, const step_progress& step, uint32_t index) {
  const step_spec& spec = entry.job.steps[index];
  // What an earlier owner accepted is a backlog and no arrival.
  if (entry.beyond_share || entry.inherited || !EndsByItself(spec)) return;
  load_counts_[entry.service].arrived_within +=
      step.waiting * Processors(spec.need.cpu_milli) * Seconds(ExpectedRun(entry, step, index));
}

double job_scheduler::ExpectedWork(const graph_job& job) const {
  double out = 0;
  for (const step_spec& step : job.steps) {
    if (!EndsByItself(step)) continue;
    out += step.count * Processors(step.need.cpu_milli) *
           Seconds(run_times_.Expected(job.queue, step.estimate));
  }
  return out;
}

load_view job_scheduler::LoadView(monotonic_time now) const {
  load_view out(services_.size());
  for (const auto& [name, ordinal] : services_) {
    service_load& load = out[ordinal - 1];
    load.service = name;
    const auto counts = load_counts_.find(ordinal);
    if (counts == load_counts_.end()) continue;
    load.busy = static_cast<double>(std::max<int64_t>(0, counts->second.busy_milli)) / kMilli;
    load.arrived_within = counts->second.arrived_within;
  }
  for (const job_entry* entry : active_) {
    service_load& load = out[entry->service - 1];
    for (const auto& [number, occurrence] : entry->occurrences) {
      for (uint32_t i = 0; i < occurrence->steps.size(); ++i) {
        const step_progress& step = occurrence->steps[i];
        // Work that cannot be placed delays no other.
        if (!step.queued || step.queued->set_aside) continue;
        const ready_order& order = step.queued->order;
        const bool beyond = order.beyond_share;
        // Those come after each job that arrives now.
        if (beyond && order.rank.rank == job_rank::kTooLate) continue;
        const step_spec& spec = entry->job.steps[i];
        if (spec.fills) continue;
        const double processors = step.waiting * Processors(spec.need.cpu_milli);
        load.waiting_processors += processors;
        if (spec.long_running) continue;
        const double work = processors * Seconds(ExpectedRun(*entry, step, i));
        (beyond ? load.waiting_beyond[order.priority] : load.waiting_within) += work;
      }
    }
  }
  for (const auto& [id, instance] : instances_) {
    if (instance->service == 0 || instance->service > out.size()) continue;
    service_load& load = out[instance->service - 1];
    const resources& whole = instance->report.capacity;
    load.largest.cpu_milli = std::max(load.largest.cpu_milli, whole.cpu_milli);
    load.largest.memory_mb = std::max(load.largest.memory_mb, whole.memory_mb);
    load.largest.accelerators = std::max(load.largest.accelerators, whole.accelerators);
    if (!AcceptsWork(*instance, now)) continue;
    load.capacity += Processors(whole.cpu_milli);
    const resources free = instance->Free();
    if (free.cpu_milli > 0) load.free.push_back(free);
  }
  return out;
}

}  // namespace catkinford
