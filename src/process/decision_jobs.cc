#include <algorithm>
#include <utility>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCoolingTime{250};      // after a rejection for lack of capacity
constexpr milliseconds kFirstBackoff{500};     // after the first failure of a service
constexpr uint32_t kMaxDoublings = 7;          // 64 s
constexpr std::chrono::minutes kStableRun{1};  // a run of this length resets the failure count
constexpr uint32_t kStartsBeforeBackoff = 3;   // consecutive failed starts before a job backs off

job_end EndOf(const job_record& job) {
  if (job.may_have_run) return job_end::kUnknown;
  if (job.cancelled) return job_end::kCancelled;
  return job.failed > 0 ? job_end::kFailed : job_end::kDone;
}

}  // namespace

// Adds the job to its queue unless something else must happen first.
void decision_core::impl::Enqueue(job_handle handle, bool front) {
  job_record& job = jobs[handle];
  if (job.queued || job.waiting == 0 || job.backing_off) return;
  if (job.request.kind == workload_kind::kGang && job.live > 0) return;
  queues.Append(handle, front, teams[job.request.team].ratio);
  const queue_ref ref{ClassOf(job.request), job.request.team};
  if (queues.IsWithinDepth(handle)) queues.Unblock(ref);
}

// Removes all waiting tasks of a job from its queue.
void decision_core::impl::RemoveWaiting(job_handle handle) {
  job_record& job = jobs[handle];
  if (job.queued) queues.Remove(handle);
  EndGrantReservation(handle);
  teams.RemoveQueued(job.request.team, job.request.each, job.waiting);
  job.waiting = 0;
}

bool decision_core::impl::Cancel(const request_id& id) {
  const job_handle handle = jobs.Find(id);
  if (handle == kNoJob) return false;
  job_record& job = jobs[handle];
  if (job.cancelled) return true;
  job.cancelled = true;
  RemoveWaiting(handle);
  cancelled.push_back({{}, timer_kind::kDeadline, handle, job.generation});
  return true;
}

void decision_core::impl::Adopt(const running_task& task, monotonic_time now) {
  if (!endpoints.Knows(task.endpoint)) return;
  job_handle handle = jobs.Find(task.id.job);
  if (handle == kNoJob) {
    handle = jobs.Add(task.id.job);
    job_request& request = jobs[handle].request;
    request.team = task.team;
    request.kind = task.kind;
    request.each = task.amount;
    request.tasks = 0;
    request.repeatable = false;  // the job is unknown: never place it again
  }
  job_record& job = jobs[handle];
  if (job.tasks.size() <= task.id.index) job.tasks.resize(task.id.index + 1);
  task_slot& slot = job.tasks[task.id.index];
  const bool counted_as_over = slot.state == task_state::kDone && slot.attempt == 0;
  if (slot.state != task_state::kWaiting && !counted_as_over) return;
  if (counted_as_over) {
    --job.done;
  } else if (job.known) {
    if (job.queued) queues.Remove(handle);
    teams.RemoveQueued(job.request.team, job.request.each, 1);
    --job.waiting;
  }
  slot.state = task_state::kRunning;
  slot.attempt = task.id.attempt;
  slot.endpoint = task.endpoint;
  slot.started = now;
  ++job.live;
  ++job.possible_runs;
  Attach(handle, task.id.index);
  Enqueue(handle, true);
}

// Finds a live task by the identity of its current run; a message about an earlier run is not about
// this one.
bool decision_core::impl::FindLive(const task_id& task, job_handle& job, uint32_t& index) const {
  job = jobs.Find(task.job);
  if (job == kNoJob || task.index >= jobs[job].tasks.size()) return false;
  index = task.index;
  const task_slot& slot = jobs[job].tasks[index];
  return slot.Live() && slot.attempt == task.attempt;
}

void decision_core::impl::Started(const task_id& task, monotonic_time now) {
  job_handle job = kNoJob;
  uint32_t index = 0;
  if (!FindLive(task, job, index)) return;
  task_slot& slot = jobs[job].tasks[index];
  if (slot.state != task_state::kStarting) return;
  slot.state = task_state::kRunning;
  slot.started = now;
  if (jobs[job].request.kind != workload_kind::kService) jobs[job].failures_in_a_row = 0;
}

// Accounts a live task to its endpoint and team.
void decision_core::impl::Attach(job_handle handle, uint32_t index) {
  job_record& job = jobs[handle];
  task_slot& slot = job.tasks[index];
  slot.position = endpoints.Add(slot.endpoint, {handle, index}, job.request);
  teams.AddRunning(job.request.team, job.request);
  TeamChanged(job.request.team);
}

void decision_core::impl::Detach(const job_record& job, const task_slot& slot) {
  const task_ref moved = endpoints.Remove(slot.endpoint, slot.position, job.request);
  if (moved.job != kNoJob) jobs[moved.job].tasks[moved.index].position = slot.position;
  teams.RemoveRunning(job.request.team, job.request);
  TeamChanged(job.request.team);
}

// Releases the resources of a live task.
void decision_core::impl::Release(job_handle handle, uint32_t index, task_state next) {
  job_record& job = jobs[handle];
  task_slot& slot = job.tasks[index];
  Detach(job, slot);
  if (slot.state == task_state::kStopping && stopping > 0) --stopping;
  slot.state = next;
  slot.stop_due = {};
  --job.live;
}

void decision_core::impl::TeamChanged(team_index team) {
  queues.Rekey(team, teams[team].ratio);
  queues.GrantChanged(team);
}

// Queues a task that was placed before, ahead of tasks that never were.
void decision_core::impl::Requeue(job_handle handle, uint32_t index) {
  job_record& job = jobs[handle];
  job.tasks[index].state = task_state::kWaiting;
  job.first_waiting = std::min(job.first_waiting, index);
  teams.AddQueued(job.request.team, job.request.each, 1);
  if (job.queued) queues.Remove(handle);
  ++job.waiting;
  Enqueue(handle, true);
}

void decision_core::impl::StartFailed(const task_id& task, bool endpoint_fault,
                                      monotonic_time now) {
  job_handle handle = kNoJob;
  uint32_t index = 0;
  if (!FindLive(task, handle, index)) return;
  const endpoint_index endpoint = jobs[handle].tasks[index].endpoint;
  Release(handle, index, task_state::kFailed);
  if (endpoint_fault) {
    if (endpoints.RecordRun(endpoint, true, now)) {
      timers.push(
          {endpoints[endpoint].health.EjectedUntil(), timer_kind::kEjectionOver, endpoint, 0});
    }
  } else {
    // The endpoint has less free capacity than we assume. Without a pause the same start would be
    // sent and rejected repeatedly, at the rate of the network round trip.
    endpoints.SetCooling(endpoint, true);
    timers.push({now + kCoolingTime, timer_kind::kCoolingOver, endpoint, 0});
  }
  job_record& job = jobs[handle];
  --job.possible_runs;
  job.avoid = endpoint;
  if (job.cancelled) {
    EndIfOver(handle, rejection_reason::kCancelled);
    return;
  }
  if (++job.failures_in_a_row > kStartsBeforeBackoff) BackOff(handle, now);
  if (job.request.kind == workload_kind::kGang) RestartGang(handle, now);
  if (job.may_have_run) {
    EndIfOver(handle, rejection_reason::kNone);
    return;
  }
  Requeue(handle, index);
}

void decision_core::impl::BackOff(job_handle handle, monotonic_time now) {
  job_record& job = jobs[handle];
  if (job.backing_off) return;
  job.backing_off = true;
  if (job.queued) queues.Remove(handle);
  const uint32_t doublings = std::min(job.failures_in_a_row, kMaxDoublings);
  const milliseconds pause = kFirstBackoff * (1U << doublings);
  timers.push({now + pause, timer_kind::kBackoffOver, handle, job.generation});
}

// A gang that has lost a task runs incompletely, which is useless: the rest is stopped, and the
// whole gang is placed again once none of its tasks runs.
void decision_core::impl::RestartGang(job_handle handle, monotonic_time now) {
  job_record& job = jobs[handle];
  if (!job.request.repeatable && job.possible_runs > 0) {
    job.may_have_run = true;
    RemoveWaiting(handle);
  }
  const auto tasks = static_cast<uint32_t>(jobs[handle].tasks.size());
  for (uint32_t index = 0; index < tasks; ++index) Preempt(handle, index, now + kCheckpointTimeout);
}

void decision_core::impl::StopTask(job_handle handle, uint32_t index, stop_reason why,
                                   bool checkpoint) {
  job_record& job = jobs[handle];
  task_slot& slot = job.tasks[index];
  if (!slot.Live()) return;
  if (slot.state == task_state::kStopping) {
    // Already asked to write a checkpoint; only a stop without one adds anything.
    if (checkpoint || !slot.checkpointing) return;
  } else {
    slot.state = task_state::kStopping;
    ++stopping;
  }
  slot.checkpointing = checkpoint;
  command stop;
  stop.kind = command_kind::kStop;
  stop.task = {job.request.id, index, slot.attempt};
  stop.endpoint = slot.endpoint;
  stop.amount = job.request.each;
  stop.checkpoint = checkpoint;
  stop.why = why;
  pending.push_back(std::move(stop));
}

// Asks the task to write a checkpoint and stop, and sets a timer that enforces it at `due`.
void decision_core::impl::Preempt(job_handle handle, uint32_t index, monotonic_time due) {
  task_slot& slot = jobs[handle].tasks[index];
  if (!slot.Live() || slot.state == task_state::kStopping) return;
  StopTask(handle, index, stop_reason::kPreempted, true);
  slot.stop_due = due;
  timers.push({due, timer_kind::kCheckpointDue, handle, jobs[handle].generation});
}

// Stops tasks that exceeded their checkpoint time. A task may write a very long checkpoint or
// ignore the request; the capacity it should yield would never be freed, and urgent jobs would wait
// while batch tasks fill all endpoints.
void decision_core::impl::StopOverdue(job_handle handle, monotonic_time now) {
  const auto tasks = static_cast<uint32_t>(jobs[handle].tasks.size());
  for (uint32_t index = 0; index < tasks; ++index) {
    const task_slot& slot = jobs[handle].tasks[index];
    if (slot.state != task_state::kStopping || !slot.checkpointing) continue;
    if (slot.stop_due == monotonic_time{} || now < slot.stop_due) continue;
    StopTask(handle, index, stop_reason::kPreempted, false);
  }
}

void decision_core::impl::StopAll(job_handle handle, stop_reason why, bool checkpoint) {
  if (jobs[handle].live == 0) return;
  const auto tasks = static_cast<uint32_t>(jobs[handle].tasks.size());
  for (uint32_t index = 0; index < tasks; ++index) StopTask(handle, index, why, checkpoint);
}

void decision_core::impl::Finished(const task_id& task, task_end end, milliseconds ran,
                                   monotonic_time now) {
  job_handle handle = kNoJob;
  uint32_t index = 0;
  if (!FindLive(task, handle, index)) return;
  const job_request& request = jobs[handle].request;
  if (end == task_end::kDone) {
    estimates.AddSample(request.team, request.kind, request.declared_run_time, ran);
  }
  if (ran >= kStableRun) jobs[handle].failures_in_a_row = 0;
  const endpoint_index endpoint = jobs[handle].tasks[index].endpoint;
  EndRun(handle, index, end, now);
  const bool counts_for_health = end == task_end::kDone || end == task_end::kFailed;
  if (counts_for_health && endpoints.RecordRun(endpoint, end == task_end::kFailed, now)) {
    timers.push(
        {endpoints[endpoint].health.EjectedUntil(), timer_kind::kEjectionOver, endpoint, 0});
  }
}

// Applies the end of a run to its task and job.
void decision_core::impl::EndRun(job_handle handle, uint32_t index, task_end end,
                                 monotonic_time now) {
  Release(handle, index, end == task_end::kDone ? task_state::kDone : task_state::kFailed);
  job_record& job = jobs[handle];
  const bool is_gang = job.request.kind == workload_kind::kGang;
  const bool is_service = job.request.kind == workload_kind::kService;
  const bool over = job.cancelled || job.may_have_run;
  if (!over && is_service && job.known && job.request.repeatable) {
    if (end == task_end::kFailed) {
      ++job.failures_in_a_row;
      BackOff(handle, now);
    }
    Requeue(handle, index);
    return;
  }
  const bool interrupted = end != task_end::kDone && end != task_end::kFailed;
  const bool gang_failed = is_gang && job.failed > 0;
  if (!over && interrupted && job.request.repeatable && !gang_failed) {
    if (is_gang) RestartGang(handle, now);
    Requeue(handle, index);
    return;
  }
  if (!over && end == task_end::kLost) {
    // It may have completed unobserved. Placed again it could run twice and repeat its side
    // effects, for example a payment; the owner answers that the outcome is unknown.
    job.may_have_run = true;
    RemoveWaiting(handle);
  }
  (end == task_end::kDone ? job.done : job.failed) += 1;
  if (is_gang && end != task_end::kDone) {
    RemoveWaiting(handle);
    StopAll(handle, stop_reason::kCancelled, false);
  }
  if (is_gang && job.live == 0) Enqueue(handle, true);
  EndIfOver(handle, rejection_reason::kCancelled);
}

// Handles a job that was not fully started by its deadline. Tasks that were started and lost may
// have run, so only a job of which nothing was started is answered as not run.
void decision_core::impl::OnDeadline(job_handle handle) {
  job_record& job = jobs[handle];
  if (job.waiting == 0) return;
  const bool single = job.tasks.size() == 1;
  if (single && job.possible_runs > 0) job.may_have_run = true;
  job.failed += job.waiting;
  RemoveWaiting(handle);
  EndIfOver(handle, rejection_reason::kDeadline);
}

// Reports the end of a job that has no running or waiting tasks, and removes it.
void decision_core::impl::EndIfOver(job_handle handle, rejection_reason reason,
                                    std::string detail) {
  job_record& job = jobs[handle];
  if (job.waiting > 0 || job.live > 0) return;
  command c;
  c.task.job = job.request.id;
  if (job.possible_runs == 0) {
    c.kind = command_kind::kRefuse;
    c.reason = reason;
    c.detail = std::move(detail);
    if (reason == rejection_reason::kDeadline) {
      const waiting_queue& queue = queues.At({ClassOf(job.request), job.request.team});
      c.retry_after = RetryAfter(
          queue.drain_rate.TimeToDrain(std::max(1U, queue.tasks), last_decide), Random());
    }
  } else {
    c.kind = command_kind::kEnded;
    if (reason == rejection_reason::kDeadline) c.reason = reason;
    c.end = EndOf(job);
    c.tasks_done = job.done;
    c.tasks_failed = job.failed;
  }
  if (job.known) pending.push_back(std::move(c));
  if (job.reservation != kNoReservation) DropReservation(job.reservation);
  jobs.Remove(handle);
}

void decision_core::impl::OnEndpointLost(endpoint_index endpoint, monotonic_time now) {
  while (!endpoints[endpoint].tasks.empty()) {
    const task_ref task = endpoints[endpoint].tasks.back();
    EndRun(task.job, task.index, task_end::kLost, now);
  }
}

// Interactive tasks end soon on their own, and tasks that are not repeatable are left to finish.
void decision_core::impl::OnEndpointLeaving(endpoint_index endpoint) {
  for (const task_ref& task : endpoints[endpoint].tasks) {
    const job_request& request = jobs[task.job].request;
    const bool moves = request.repeatable && request.kind != workload_kind::kInteractive;
    if (moves) StopTask(task.job, task.index, stop_reason::kLeaving, true);
  }
}

}  // namespace catkinford
