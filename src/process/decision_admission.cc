#include <absl/strings/str_cat.h>

#include <algorithm>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// The fraction of the time to its deadline that a request may wait. At 3x load, with a peak goodput
// of 1,726/s: 1.0 gave 1,078/s, 0.8 1,719, 0.5 1,719, 0.3 1,719. The middle value tolerates the
// longest run times and errors in the drain rate without rejecting requests at lower loads.
constexpr double kWaitFraction = 0.5;

// The same fraction for new requests once the queue has been non-empty for kStandingAfter: a
// standing queue delays every request and serves no more of them. Mean wait at 3x load in ms, and
// rejections under a bursty load that leaves no standing queue (seeds 1 to 3): without 4,411 ms, 0;
// 0.1 after 5 s 1,398, 0; 0.05 after 5 s 1,021, 4; 0.1 after 1 s 995, 226; 0.05 after 3 s 778, 240;
// 0.05 after 1 s 533, 1,082. Goodput is the same in all cases.
constexpr double kStandingFraction = 0.1;
constexpr std::chrono::seconds kStandingAfter{5};
constexpr uint32_t kMinStandingQueue = 4;  // shorter queues run empty and the team loses its turn

std::chrono::nanoseconds FractionOf(std::chrono::nanoseconds whole, double part) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(whole * part);
}

bool HasDeadline(const job_request& request) {
  return request.deadline != monotonic_time{} && request.deadline != monotonic_time::max();
}

}  // namespace

// Returns the rejection if the job cannot be admitted. Changes nothing.
std::optional<admission> decision_core::impl::RejectionFor(const job_request& request,
                                                           monotonic_time now) {
  // While an endpoint is unlisted, or none is known, a suitable shape may still appear.
  const bool floor_known = endpoints.UnfencedEndpoints() == 0 && endpoints.PresentEndpoints() > 0;
  if (!floor_known) admitted_unchecked = true;
  const uint32_t together = request.kind == workload_kind::kGang ? request.tasks : 1;
  if (floor_known && !endpoints.CanEverHold(request.each, together)) {
    return admission{false, rejection_reason::kNeverFits, milliseconds{0},
                     endpoints.ExplainNeverFits(request.each)};
  }
  const team_record& team = teams[request.team];
  const resources& limit = team.terms.limit;
  const bool over =
      team.known &&
      (request.each.cpu_milli > limit.cpu_milli || request.each.memory_mb > limit.memory_mb ||
       request.each.accelerators > limit.accelerators || together > team.terms.running_limit);
  if (over) {
    return admission{false, rejection_reason::kOverLimit, milliseconds{0},
                     "exceeds the team's limit"};
  }
  const waiting_queue& queue = queues.At({ClassOf(request), request.team});
  if (team.queued_tasks + uint64_t{request.tasks} > team.terms.queue_limit) {
    return admission{
        false, rejection_reason::kQueueFull,
        RetryAfter(queue.drain_rate.TimeToDrain(std::max(1U, queue.tasks / 4), now), Random()),
        absl::StrCat(team.queued_tasks, " tasks of the team are already queued")};
  }
  if (!HasDeadline(request)) return std::nullopt;
  return Shed(request, now);
}

// Number of the team's urgent jobs that have a reservation. They start as soon as it is served,
// whatever the drain rate of the queue; counting them would shed urgent jobs when tasks are slow to
// yield.
uint32_t decision_core::impl::CountUrgentReservations(team_index team) const {
  return static_cast<uint32_t>(
      std::count_if(reservations.begin(), reservations.end(), [&](const reservation& r) {
        return r.in_use && r.urgent && jobs.Holds(r.job, r.generation) &&
               jobs[r.job].request.team == team;
      }));
}

// Rejects a request that would start too late. Requests admitted up to their deadline would start
// just before it and end after it, and the fleet would be busy with results that nobody waits for.
std::optional<admission> decision_core::impl::Shed(const job_request& request, monotonic_time now) {
  waiting_queue& queue = queues.At({ClassOf(request), request.team});
  const std::optional<std::chrono::nanoseconds> one = queue.drain_rate.TimePerTask(now);
  if (!one) return std::nullopt;
  const std::chrono::nanoseconds left = request.deadline - now;
  const uint32_t ahead =
      queue.tasks -
      std::min(queue.tasks, request.urgent ? CountUrgentReservations(request.team) : 0);
  const std::chrono::nanoseconds wait = *one * (ahead + 1);
  const std::chrono::nanoseconds short_wait = FractionOf(left, kStandingFraction);
  const bool standing_queue = !request.urgent &&
                              queue.drain_rate.BacklogAge(now) > kStandingAfter &&
                              queue.tasks >= kMinStandingQueue;
  const bool needs_short_queue =
      standing_queue && wait > short_wait && !queue.rejected.Redeem(request.id, now);
  const std::chrono::nanoseconds budget =
      needs_short_queue ? short_wait : FractionOf(left, kWaitFraction);
  if (wait <= budget) return std::nullopt;
  const monotonic_time back = queue.rejected.Join(request.id, now + (wait - budget), *one, now);
  return admission{false, rejection_reason::kShed, std::chrono::ceil<milliseconds>(back - now),
                   "would start too late to meet its deadline"};
}

// Creates or completes the job's record; its tasks wait, except those adopted before.
job_handle decision_core::impl::AddJob(const job_request& request, monotonic_time now) {
  job_handle handle = jobs.Find(request.id);
  if (handle == kNoJob) handle = jobs.Add(request.id);
  job_record& job = jobs[handle];
  // Tasks adopted before were counted with the amounts their endpoint reported.
  for (const task_slot& task : job.tasks) {
    if (task.Live()) Detach(job, task);
  }
  job.request = request;
  job.request.tasks = std::max(1U, request.tasks);
  job.known = true;
  if (job.tasks.size() < job.request.tasks) job.tasks.resize(job.request.tasks);
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    if (job.tasks[index].Live()) Attach(handle, index);
    job.waiting += job.tasks[index].state == task_state::kWaiting ? 1 : 0;
  }
  if (HasDeadline(request)) {
    timers.push({request.deadline, timer_kind::kDeadline, handle, job.generation});
  }
  if (job.request.submitted == monotonic_time{}) job.request.submitted = now;
  job.expected =
      job.request.tasks * estimates.Typical(request.team, request.kind, request.declared_run_time);
  return handle;
}

admission decision_core::impl::Submit(const job_request& request, monotonic_time now) {
  const job_handle existing = jobs.Find(request.id);
  if (existing != kNoJob && jobs[existing].known) return {true};
  if (std::optional<admission> rejection = RejectionFor(request, now)) return *rejection;
  const job_handle job = AddJob(request, now);
  teams.AddQueued(request.team, request.each, jobs[job].waiting);
  Enqueue(job, false);
  return {true};
}

admission decision_core::impl::SubmitPart(const job_request& request,
                                          const std::vector<uint32_t>& here, monotonic_time now) {
  const job_handle existing = jobs.Find(request.id);
  if (existing != kNoJob && jobs[existing].known) return {true};
  job_request part = request;
  part.tasks = static_cast<uint32_t>(here.size());
  if (std::optional<admission> rejection = here.empty() ? std::nullopt : RejectionFor(part, now)) {
    return *rejection;
  }
  AddPartialJob(request, here, now);
  return {true};
}

void decision_core::impl::Resume(const job_request& request, const std::vector<uint32_t>& waiting,
                                 monotonic_time now) {
  const job_handle existing = jobs.Find(request.id);
  if (existing != kNoJob && jobs[existing].known) return;
  // A run under a former owner cannot be ruled out, so a cancellation must not be answered as not
  // run.
  ++jobs[AddPartialJob(request, waiting, now)].possible_runs;
}

// Tasks that do not wait count as ended until Adopt() reports them as running.
job_handle decision_core::impl::AddPartialJob(const job_request& request,
                                              const std::vector<uint32_t>& waiting,
                                              monotonic_time now) {
  const job_handle handle = AddJob(request, now);
  job_record& job = jobs[handle];
  for (task_slot& task : job.tasks) {
    if (task.state != task_state::kWaiting) continue;
    task.state = task_state::kDone;
    ++job.done;
  }
  job.waiting = 0;
  for (const uint32_t index : waiting) {
    if (index >= job.tasks.size() || job.tasks[index].state != task_state::kDone) continue;
    job.tasks[index].state = task_state::kWaiting;
    --job.done;
    ++job.waiting;
  }
  teams.AddQueued(request.team, request.each, job.waiting);
  Enqueue(handle, false);
  return handle;
}

void decision_core::impl::TakeOverTask(const request_id& id, uint32_t index) {
  const job_handle handle = jobs.Find(id);
  if (handle == kNoJob || index >= jobs[handle].tasks.size() || jobs[handle].cancelled) return;
  if (jobs[handle].tasks[index].state != task_state::kDone) return;
  --jobs[handle].done;
  Requeue(handle, index);
}

}  // namespace catkinford
