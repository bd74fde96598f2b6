#include <algorithm>
#include <utility>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

// Limits of one round, so that a burst of events never delays the next placement for long.
constexpr size_t kMaxStarts = 128;
constexpr size_t kMaxCancelled = 128;
constexpr size_t kMaxPending = 256;
constexpr size_t kMaxTimers = 256;
// Gangs of a queue that are tried before it counts as blocked. Mean and p99 wait of gangs (seeds 1
// to 5): 2 2,762 ms, 11,515; 4 1,993, 9,742.
constexpr uint32_t kGangDepth = 4;
constexpr std::chrono::milliseconds kGangPause{50};

// One step of a 64-bit mixer (the finalizer of SplitMix64).
uint64_t Mix(uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace

uint64_t decision_core::impl::Random() {
  random_state += 0x9e3779b97f4a7c15ULL;
  return Mix(random_state);
}

void decision_core::impl::Decide(monotonic_time now, std::vector<command>& out) {
  last_decide = now;
  const size_t first = out.size();
  FireTimers(now);
  StopCancelled();
  if (recheck_fits) RejectNeverFitting();
  ServeReservations(now, out);
  ++round;
  PlaceReady(now, out);
  for (size_t i = 0; i < kMaxPending && !pending.empty(); ++i) {
    out.push_back(std::move(pending.front()));
    pending.pop_front();
  }
  UpdateSignature(out, first);
}

void decision_core::impl::UpdateSignature(const std::vector<command>& out, size_t first) {
  for (size_t i = first; i < out.size(); ++i) {
    const command& c = out[i];
    const uint64_t task = c.task.job.hi ^ Mix(c.task.job.lo) ^ Mix(c.task.index + 1);
    const uint64_t what = (static_cast<uint64_t>(c.kind) << 56) |
                          (static_cast<uint64_t>(c.reason) << 48) |
                          (static_cast<uint64_t>(c.end) << 40) | c.endpoint;
    signature = Mix(signature + task);
    signature = Mix(signature + what + c.task.attempt);
  }
}

void decision_core::impl::FireTimers(monotonic_time now) {
  for (size_t i = 0; i < kMaxTimers && !timers.empty() && timers.top().at <= now; ++i) {
    const timer due = timers.top();
    timers.pop();
    FireTimer(due, now);
  }
}

void decision_core::impl::FireTimer(const timer& due, monotonic_time now) {
  switch (due.kind) {
    case timer_kind::kDeadline:
      if (jobs.Holds(due.subject, due.generation)) OnDeadline(due.subject);
      break;
    case timer_kind::kBackoffOver:
      if (!jobs.Holds(due.subject, due.generation)) break;
      jobs[due.subject].backing_off = false;
      Enqueue(due.subject, false);
      break;
    case timer_kind::kCoolingOver:
      endpoints.SetCooling(due.subject, false);
      break;
    case timer_kind::kEjectionOver:
      endpoints.EndEjection(due.subject, now);
      break;
    case timer_kind::kPauseOver:
      queues.At(QueueOf(due.subject)).pausing = false;
      queues.Unblock(QueueOf(due.subject));
      break;
    case timer_kind::kQueueWatch:
      queues.At(QueueOf(due.subject)).watched = false;
      WatchQueue(QueueOf(due.subject), now);
      break;
    case timer_kind::kCheckpointDue:
      if (jobs.Holds(due.subject, due.generation)) StopOverdue(due.subject, now);
      break;
    case timer_kind::kReservationDue:
      break;  // only wakes the round, which serves all reservations
  }
}

void decision_core::impl::StopCancelled() {
  for (size_t i = 0; i < kMaxCancelled && !cancelled.empty(); ++i) {
    const timer mark = cancelled.front();
    cancelled.pop_front();
    if (!jobs.Holds(mark.subject, mark.generation)) continue;
    StopAll(mark.subject, stop_reason::kCancelled, false);
    EndIfOver(mark.subject, rejection_reason::kCancelled);
  }
}

// Rejects jobs that were admitted while some endpoint was unlisted and turn out never to fit.
void decision_core::impl::RejectNeverFitting() {
  recheck_fits = false;
  if (endpoints.UnfencedEndpoints() > 0 || endpoints.PresentEndpoints() == 0) return;
  admitted_unchecked = false;
  jobs.VisitAll([this](job_handle handle) {
    job_record& job = jobs[handle];
    const bool all_at_once = job.request.kind == workload_kind::kGang;
    if (job.waiting == 0) return;
    if (endpoints.CanEverHold(job.request.each, all_at_once ? job.waiting : 1)) return;
    job.failed += job.waiting;
    RemoveWaiting(handle);
    EndIfOver(handle, rejection_reason::kNeverFits, endpoints.ExplainNeverFits(job.request.each));
  });
}

void decision_core::impl::PlaceReady(monotonic_time now, std::vector<command>& out) {
  const size_t first = out.size();
  while (out.size() - first < kMaxStarts) {
    UnblockBest();
    const std::optional<queue_ref> ref = PickQueue();
    if (!ref) {
      endpoints.ClearFreed();
      freed_seen = 0;
      return;
    }
    TryQueue(*ref, now, out);
  }
}

// Starts the first of the queue's jobs that can start now, or blocks the queue.
bool decision_core::impl::TryQueue(const queue_ref& ref, monotonic_time now,
                                   std::vector<command>& out) {
  bool no_grant = false;
  bool gang_does_not_fit = false;
  bool withheld = false;
  queue_needs needs;
  const uint32_t most = ref.kind == queue_class::kGang ? kGangDepth : kQueueDepth;
  uint32_t depth = 0;
  for (job_handle handle = queues.At(ref).head; handle != kNoJob && depth < most; ++depth) {
    const job_record& job = jobs[handle];
    if (!MayStart(job, TasksAtOnce(job))) {
      no_grant = true;
    } else if (IsWithheld(job)) {
      withheld = true;
      needs.push_back(job.request.each);
    } else if (TryJob(handle, now, out)) {
      return true;
    } else if (job.request.kind == workload_kind::kGang) {
      gang_does_not_fit = true;
    } else {
      needs.push_back(job.request.each);
    }
    handle = job.next;
  }
  queue_state why = gang_does_not_fit ? queue_state::kPaused : queue_state::kNoGrant;
  if (!needs.empty()) why = queue_state::kNoCapacity;
  queues.Block(ref, why, needs, no_grant, round, withheld);
  if (gang_does_not_fit) PauseQueue(ref, now);
  queues.At(ref).drain_rate.BacklogBegan(now);
  WatchQueue(ref, now);
  return false;
}

// Capacity freed on one endpoint rarely suffices for a gang: if every freed endpoint triggered a
// retry, the gangs of all teams would cost more than all other placements together.
void decision_core::impl::PauseQueue(const queue_ref& ref, monotonic_time now) {
  waiting_queue& queue = queues.At(ref);
  if (queue.pausing) return;
  queue.pausing = true;
  timers.push({now + kGangPause, timer_kind::kPauseOver, NumberOf(ref), 0});
}

uint32_t decision_core::impl::TasksAtOnce(const job_record& job) const {
  return job.request.kind == workload_kind::kGang ? job.waiting : 1;
}

// Whether the job is within its team's grant and does not use what is reserved for an older job of
// the team. A job with a reservation goes ahead: the older job may itself wait for the same
// endpoints, and neither would ever start.
bool decision_core::impl::MayStart(const job_record& job, uint32_t count) const {
  const team_index team = job.request.team;
  if (!teams.WithinGrant(team, job.request.each, count, endpoints)) return false;
  const job_handle reserved_for =
      team < grant_reserved_for.size() ? grant_reserved_for[team] : kNoJob;
  const bool waits_behind = reserved_for != kNoJob && &jobs[reserved_for] != &job &&
                            job.reservation == kNoReservation && !job.request.urgent &&
                            job.request.kind != workload_kind::kInteractive;
  return !waits_behind;
}

bool decision_core::impl::Choose(const job_record& job, uint32_t count) {
  chosen.clear();
  switch (job.request.kind) {
    case workload_kind::kInteractive:
      return interactive.Choose(endpoints, job, count, chosen);
    case workload_kind::kService:
      return service.Choose(endpoints, job, count, chosen);
    case workload_kind::kGang:
      return gang.Choose(endpoints, job, count, chosen);
    case workload_kind::kBatch:
      break;
  }
  return batch.Choose(endpoints, job, count, chosen);
}

bool decision_core::impl::TryJob(job_handle handle, monotonic_time now, std::vector<command>& out) {
  const job_record& job = jobs[handle];
  const uint32_t count = TasksAtOnce(job);
  bool found = !KnownNotToFit(job.request.each) && Choose(job, count);
  if (!found && count == 1) AddNotFitting(job.request.each);
  if (!found) found = Backfill(job, now);
  if (found) StartChosen(handle, now, out);
  return found;
}

// Starts as many waiting tasks as there are chosen endpoints.
void decision_core::impl::StartChosen(job_handle handle, monotonic_time now,
                                      std::vector<command>& out) {
  job_record& job = jobs[handle];
  uint32_t index = job.first_waiting;
  for (const endpoint_index endpoint : chosen) {
    while (job.tasks[index].state != task_state::kWaiting) ++index;
    Start(handle, index, endpoint, now, out);
  }
  job.first_waiting = index;
  if (job.waiting > 0) return;
  queues.Remove(handle);
  if (job.reservation != kNoReservation) DropReservation(job.reservation);
  EndGrantReservation(handle);
}

// Releases the part of the grant that was reserved for the job.
void decision_core::impl::EndGrantReservation(job_handle handle) {
  const team_index team = jobs[handle].request.team;
  if (team >= grant_reserved_for.size() || grant_reserved_for[team] != handle) return;
  grant_reserved_for[team] = kNoJob;
  queues.GrantChanged(team);
}

void decision_core::impl::Start(job_handle handle, uint32_t index, endpoint_index endpoint,
                                monotonic_time now, std::vector<command>& out) {
  job_record& job = jobs[handle];
  const queue_ref ref{ClassOf(job.request), job.request.team};
  task_slot& slot = job.tasks[index];
  slot.state = task_state::kStarting;
  slot.attempt = std::max(slot.attempt, options.attempt_base) + 1;
  slot.endpoint = endpoint;
  slot.started = now;
  --job.waiting;
  ++job.live;
  ++job.possible_runs;
  queues.OnTaskStarted(ref);
  queues.At(ref).drain_rate.Drained(1, now);
  teams.RemoveQueued(job.request.team, job.request.each, 1);
  slot.position = endpoints.Add(endpoint, {handle, index}, job.request);
  teams.AddRunning(job.request.team, job.request);
  queues.Rekey(job.request.team, teams[job.request.team].ratio);
  command start;
  start.kind = command_kind::kStart;
  start.task = {job.request.id, index, slot.attempt};
  start.endpoint = endpoint;
  start.amount = job.request.each;
  out.push_back(std::move(start));
}

monotonic_time decision_core::impl::NextWake() const {
  const bool more = !pending.empty() || !cancelled.empty() || !endpoints.Freed().empty() ||
                    recheck_fits || queues.AnyReady();
  if (more) return last_decide;
  return timers.empty() ? monotonic_time::max() : timers.top().at;
}

}  // namespace catkinford
