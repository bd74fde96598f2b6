#include <algorithm>
#include <utility>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

// Bounds of one round, so that a wave of events never holds up the next placement for long.
constexpr size_t kMostStarts = 128;
constexpr size_t kMostCancelled = 128;
constexpr size_t kMostPending = 256;
constexpr size_t kMostTimers = 256;
// Gangs of a lane that are tried. `policy`, seeds 1 to 5, wait of gangs of altynsay, mean and p99:
// 2 2,762 ms, 11,515; 4 1,993, 9,742.
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
  if (recheck_fits) RefuseNeverFitting();
  ServeReservations(now, out);
  ++round;
  PlaceReady(now, out);
  for (size_t i = 0; i < kMostPending && !pending.empty(); ++i) {
    out.push_back(std::move(pending.front()));
    pending.pop_front();
  }
  Sign(out, first);
}

void decision_core::impl::Sign(const std::vector<command>& out, size_t first) {
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
  for (size_t i = 0; i < kMostTimers && !timers.empty() && timers.top().at <= now; ++i) {
    const timer due = timers.top();
    timers.pop();
    Fire(due, now);
  }
}

void decision_core::impl::Fire(const timer& due, monotonic_time now) {
  switch (due.kind) {
    case timer_kind::kDeadline:
      if (jobs.Holds(due.subject, due.generation)) PassDeadline(due.subject);
      break;
    case timer_kind::kBackoffOver:
      if (!jobs.Holds(due.subject, due.generation)) break;
      jobs[due.subject].backing_off = false;
      Enqueue(due.subject, false);
      break;
    case timer_kind::kCoolingOver:
      floor.Cool(due.subject, false);
      break;
    case timer_kind::kEjectionOver:
      floor.EndEjection(due.subject, now);
      break;
    case timer_kind::kPauseOver:
      lanes.At(LaneOf(due.subject)).pausing = false;
      lanes.Unblock(LaneOf(due.subject));
      break;
    case timer_kind::kLaneWatch:
      lanes.At(LaneOf(due.subject)).watched = false;
      WatchLane(LaneOf(due.subject), now);
      break;
    case timer_kind::kCheckpointDue:
      if (jobs.Holds(due.subject, due.generation)) StopOverdue(due.subject, now);
      break;
    case timer_kind::kRoomDue:
      break;  // it wakes the round, which looks after all reservations
  }
}

void decision_core::impl::StopCancelled() {
  for (size_t i = 0; i < kMostCancelled && !cancelled.empty(); ++i) {
    const timer mark = cancelled.front();
    cancelled.pop_front();
    if (!jobs.Holds(mark.subject, mark.generation)) continue;
    StopAll(mark.subject, stop_reason::kCancelled, false);
    EndIfOver(mark.subject, rejection_reason::kCancelled);
  }
}

// Jobs taken in while some endpoint was not listed yet.
void decision_core::impl::RefuseNeverFitting() {
  recheck_fits = false;
  if (floor.UnfencedEndpoints() > 0 || floor.PresentEndpoints() == 0) return;
  taken_unchecked = false;
  jobs.VisitAll([this](job_handle handle) {
    job_record& job = jobs[handle];
    const bool whole = job.request.kind == workload_kind::kGang;
    if (job.waiting == 0) return;
    if (floor.CanEverHold(job.request.each, whole ? job.waiting : 1)) return;
    job.failed += job.waiting;
    DropWaiting(handle);
    EndIfOver(handle, rejection_reason::kNeverFits, floor.WhyNever(job.request.each));
  });
}

void decision_core::impl::PlaceReady(monotonic_time now, std::vector<command>& out) {
  const size_t first = out.size();
  while (out.size() - first < kMostStarts) {
    WakeBest();
    const std::optional<lane_ref> ref = Pick();
    if (!ref) {
      floor.ClearFreed();
      freed_seen = 0;
      return;
    }
    TryLane(*ref, now, out);
  }
}

// Starts the first of the lane's jobs that can start now, or blocks the lane.
bool decision_core::impl::TryLane(const lane_ref& ref, monotonic_time now,
                                  std::vector<command>& out) {
  bool no_grant = false;
  bool no_room_for_gang = false;
  bool kept = false;
  lane_needs needs;
  const uint32_t most = ref.kind == lane_class::kGang ? kGangDepth : kLaneDepth;
  uint32_t depth = 0;
  for (job_handle handle = lanes.At(ref).head; handle != kNoJob && depth < most; ++depth) {
    const job_record& job = jobs[handle];
    if (!MayStart(job, TasksAtOnce(job))) {
      no_grant = true;
    } else if (KeptForCallers(job)) {
      kept = true;
      needs.push_back(job.request.each);
    } else if (TryJob(handle, now, out)) {
      return true;
    } else if (job.request.kind == workload_kind::kGang) {
      no_room_for_gang = true;
    } else {
      needs.push_back(job.request.each);
    }
    handle = job.next;
  }
  lane_state why = no_room_for_gang ? lane_state::kPaused : lane_state::kNoGrant;
  if (!needs.empty()) why = lane_state::kNoRoom;
  lanes.Block(ref, why, needs, no_grant, round, kept);
  if (no_room_for_gang) Pause(ref, now);
  lanes.At(ref).meter.BacklogBegan(now);
  WatchLane(ref, now);
  return false;
}

// Room that comes free at one endpoint is seldom what a gang lacks: tried with each of them, the
// gangs of all teams would cost more than all other work together.
void decision_core::impl::Pause(const lane_ref& ref, monotonic_time now) {
  lane& l = lanes.At(ref);
  if (l.pausing) return;
  l.pausing = true;
  timers.push({now + kGangPause, timer_kind::kPauseOver, NumberOf(ref), 0});
}

uint32_t decision_core::impl::TasksAtOnce(const job_record& job) const {
  return job.request.kind == workload_kind::kGang ? job.waiting : 1;
}

// Within the grant, and not taking what is saved for an older job of the same team. A job for which
// endpoints are held goes ahead: the older one may itself be waiting for these endpoints, and
// neither would ever start.
bool decision_core::impl::MayStart(const job_record& job, uint32_t count) const {
  const team_index team = job.request.team;
  if (!teams.WithinGrant(team, job.request.each, count, floor)) return false;
  const job_handle saved_for = team < saving.size() ? saving[team] : kNoJob;
  const bool waits_behind = saved_for != kNoJob && &jobs[saved_for] != &job &&
                            job.reservation == kNoReservation && !job.request.urgent &&
                            job.request.kind != workload_kind::kInteractive;
  return !waits_behind;
}

bool decision_core::impl::Choose(const job_record& job, uint32_t count) {
  chosen.clear();
  switch (job.request.kind) {
    case workload_kind::kInteractive:
      return interactive.Choose(floor, job, count, chosen);
    case workload_kind::kService:
      return service.Choose(floor, job, count, chosen);
    case workload_kind::kGang:
      return gang.Choose(floor, job, count, chosen);
    case workload_kind::kBatch:
      break;
  }
  return batch.Choose(floor, job, count, chosen);
}

bool decision_core::impl::TryJob(job_handle handle, monotonic_time now, std::vector<command>& out) {
  const job_record& job = jobs[handle];
  const uint32_t count = TasksAtOnce(job);
  bool found = !KnownNotToFit(job.request.each) && Choose(job, count);
  if (!found && count == 1) NoteNotFitting(job.request.each);
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
  lanes.Remove(handle);
  if (job.reservation != kNoReservation) DropReservation(job.reservation);
  EndSaving(handle);
}

// Nothing of the grant is kept back for the job any more.
void decision_core::impl::EndSaving(job_handle handle) {
  const team_index team = jobs[handle].request.team;
  if (team >= saving.size() || saving[team] != handle) return;
  saving[team] = kNoJob;
  lanes.GrantChanged(team);
}

void decision_core::impl::Start(job_handle handle, uint32_t index, endpoint_index endpoint,
                                monotonic_time now, std::vector<command>& out) {
  job_record& job = jobs[handle];
  const lane_ref ref{ClassOf(job.request), job.request.team};
  task_slot& slot = job.tasks[index];
  slot.state = task_state::kStarting;
  slot.attempt = std::max(slot.attempt, options.attempt_base) + 1;
  slot.endpoint = endpoint;
  slot.started = now;
  --job.waiting;
  ++job.live;
  ++job.unproved_starts;
  lanes.TaskLeft(ref);
  lanes.At(ref).meter.Drained(1, now);
  teams.TakeQueued(job.request.team, job.request.each, 1);
  slot.position = floor.Add(endpoint, {handle, index}, job.request);
  teams.AddRunning(job.request.team, job.request);
  lanes.Rekey(job.request.team, teams[job.request.team].ratio);
  command start;
  start.kind = command_kind::kStart;
  start.task = {job.request.id, index, slot.attempt};
  start.endpoint = endpoint;
  start.amount = job.request.each;
  out.push_back(std::move(start));
}

monotonic_time decision_core::impl::NextWake() const {
  const bool more = !pending.empty() || !cancelled.empty() || !floor.Freed().empty() ||
                    recheck_fits || lanes.AnyReady();
  if (more) return last_decide;
  return timers.empty() ? monotonic_time::max() : timers.top().at;
}

}  // namespace catkinford
