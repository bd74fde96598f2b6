#include <algorithm>
#include <utility>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

constexpr std::chrono::seconds kLongWait{5};  // then the first of a lane gets a reservation
// Batch work in the way of it is stopped then. `policy`, seeds 1 to 5, gangs of altynsay, mean and
// p99 of their wait, preemptions in all: 30 s 2,962 ms, 16,986, 11; 15 s 2,770, 13,419, 11; 10 s
// 2,762, 11,515, 10. With gangs looked at to a depth of four: 10 s 1,993, 9,742, 10; 5 s after a
// wait of 2 s 1,600, 6,394, 19.
constexpr std::chrono::seconds kHoldBound{10};
constexpr std::chrono::seconds kHoldAfterBound{60};
constexpr std::chrono::seconds kStopLimit{1};  // for a stop without a checkpoint; then elsewhere
constexpr std::chrono::milliseconds kUrgentRetry{100};
constexpr uint32_t kMostUrgent = 64;     // reservations for urgent work at once
constexpr uint32_t kMostStopping = 256;  // tasks asked to stop at once
constexpr size_t kClearProbes = 16;      // endpoints compared for urgent work
constexpr size_t kBackfillProbes = 64;   // held endpoints looked at for one job

resources Times(const resources& each, uint32_t count) {
  return {each.cpu_milli * count, each.memory_mb * count, each.accelerators * count,
          each.slots * count};
}

}  // namespace

// Looks after what stands first in a blocked lane: urgent work gets room made at once, other work
// after a long wait. Without this, small work that fits every gap would hold back large work for
// ever; one would notice a job that waits on while younger ones start.
void decision_core::impl::WatchLane(const lane_ref& ref, monotonic_time now) {
  lane& l = lanes.At(ref);
  if (l.head == kNoJob || l.state == lane_state::kReady) return;
  const bool urgent = ref.kind == lane_class::kUrgent;
  const monotonic_time due = jobs[l.head].request.submitted + kLongWait;
  monotonic_time next = due;
  if (urgent) {
    uint32_t depth = 0;
    for (job_handle job = l.head; job != kNoJob && depth < kLaneDepth; ++depth) {
      MakeRoom(job, true, now);
      job = jobs[job].next;
    }
    next = now + kUrgentRetry;
  } else if (!l.watched && now >= due) {
    if (ref.kind != lane_class::kInteractive) MakeRoom(l.head, false, now);
    next = now + kLongWait;
  }
  if (l.watched) return;
  l.watched = true;
  timers.push({next, timer_kind::kLaneWatch, NumberOf(ref), 0});
}

// Holds endpoints for the job, or keeps back its team's grant for it when that is what it lacks.
bool decision_core::impl::MakeRoom(job_handle handle, bool urgent, monotonic_time now) {
  const job_record& job = jobs[handle];
  const team_index team = job.request.team;
  if (job.reservation != kNoReservation) return true;
  if (teams.WithinGrant(team, job.request.each, TasksAtOnce(job), floor)) {
    return Reserve(handle, urgent, now);
  }
  if (saving.size() <= team) saving.resize(team + 1, kNoJob);
  if (saving[team] == kNoJob) saving[team] = handle;
  return false;
}

bool decision_core::impl::Reserve(job_handle handle, bool urgent, monotonic_time now) {
  const auto same_sort = [urgent](const reservation& r) { return r.in_use && r.urgent == urgent; };
  const auto held = std::count_if(reservations.begin(), reservations.end(), same_sort);
  if (held >= (urgent ? kMostUrgent : 1)) return false;
  job_record& job = jobs[handle];
  reservation room;
  if (urgent && TasksAtOnce(job) == 1) {
    const endpoint_index endpoint = CheapestToClear(job);
    if (endpoint == kNoEndpoint) return false;
    room.parts.push_back({endpoint, 1});
  } else if (!ChooseParts(job, TasksAtOnce(job), room.parts)) {
    return false;
  }
  room.job = handle;
  room.generation = job.generation;
  room.urgent = urgent;
  room.in_use = true;
  room.bound = urgent ? now : now + kHoldBound;
  room.expires = room.bound + (urgent ? kUrgentCheckpoint + kStopLimit : kHoldAfterBound);
  const auto place = std::find_if(reservations.begin(), reservations.end(),
                                  [](const reservation& r) { return !r.in_use; });
  const auto number = static_cast<uint32_t>(place - reservations.begin());
  if (place == reservations.end()) reservations.emplace_back();
  for (const reservation::part& part : room.parts) floor.Reserve(part.endpoint, number);
  job.reservation = number;
  timers.push({room.bound, timer_kind::kRoomDue, number, 0});
  timers.push({room.expires, timer_kind::kRoomDue, number, 0});
  reservations[number] = std::move(room);
  if (urgent) Clear(reservations[number], now);
  return true;
}

// The endpoints where least has to end or be stopped for the whole job to fit.
bool decision_core::impl::ChooseParts(const job_record& job, uint32_t count,
                                      std::vector<reservation::part>& parts) {
  struct candidate {
    double in_the_way = 0;  // dominant part of the endpoint that must come free, for each task
    reservation::part part;
  };
  const resources& each = job.request.each;
  std::vector<candidate> candidates;
  for (endpoint_index endpoint = 0; endpoint < floor.Size(); ++endpoint) {
    if (!floor.Open().Contains(endpoint)) continue;
    const endpoint_record& e = floor[endpoint];
    const uint32_t most = std::min(count, CountFitting(each, e.FreeEventually()));
    if (most == 0) continue;
    const resources lacks = SubtractOrZero(Times(each, most), e.Free());
    candidates.push_back({DominantPart(lacks, e.capacity) / most, {endpoint, most}});
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const candidate& a, const candidate& b) { return a.in_the_way < b.in_the_way; });
  uint32_t missing = count;
  for (const candidate& c : candidates) {
    parts.push_back({c.part.endpoint, std::min(missing, c.part.count)});
    missing -= parts.back().count;
    if (missing == 0) return true;
  }
  return false;
}

// Tasks at the endpoint whose stop makes room for `need`, the least costly first: those of the
// teams furthest over their share, then those that have run least. False when stopping does not do
// it.
bool decision_core::impl::Victims(endpoint_index endpoint, const resources& need,
                                  std::vector<task_ref>& out) const {
  const endpoint_record& e = floor[endpoint];
  resources room = e.Free();
  std::vector<task_ref> may_stop;
  for (const task_ref& task : e.tasks) {
    const job_record& job = jobs[task.job];
    const task_slot& slot = job.tasks[task.index];
    const bool ending = slot.state == task_state::kStopping;
    // One that does not end, though asked twice, makes no room.
    const bool stuck =
        slot.stop_due != monotonic_time{} && last_decide >= slot.stop_due + kStopLimit;
    if (ending && !stuck) room += job.request.each;
    if (!ending && IsPreemptible(job.request)) may_stop.push_back(task);
  }
  const auto cheaper = [this](const task_ref& a, const task_ref& b) {
    const job_record& x = jobs[a.job];
    const job_record& y = jobs[b.job];
    const bool x_within = teams.WithinShare(x.request.team);
    const bool y_within = teams.WithinShare(y.request.team);
    if (x_within != y_within) return y_within;
    return x.tasks[a.index].started > y.tasks[b.index].started;
  };
  std::stable_sort(may_stop.begin(), may_stop.end(), cheaper);
  for (const task_ref& task : may_stop) {
    if (Fits(need, room)) return true;
    room += jobs[task.job].request.each;
    out.push_back(task);
  }
  return Fits(need, room);
}

endpoint_index decision_core::impl::CheapestToClear(const job_record& job) const {
  const resources& need = job.request.each;
  best_candidate<size_t> best;
  std::vector<task_ref> victims;
  floor.Preemptible().VisitLeastLoaded(need, kClearProbes, job.request.id.lo,
                                       [&](endpoint_index endpoint) {
                                         victims.clear();
                                         if (Victims(endpoint, need, victims))
                                           best.Offer(endpoint, victims.size());
                                         return true;
                                       });
  return best.endpoint != kNoEndpoint ? best.endpoint : floor.Preemptible().FindAny(need);
}

// Asks batch work in the way to write a checkpoint and stop, never more than a bound at once.
void decision_core::impl::Clear(reservation& room, monotonic_time now) {
  const resources& each = jobs[room.job].request.each;
  const monotonic_time due = now + (room.urgent ? kUrgentCheckpoint : kCheckpointLimit);
  std::vector<task_ref> victims;
  bool enough = true;
  for (const reservation::part& part : room.parts) {
    victims.clear();
    enough = Victims(part.endpoint, Times(each, part.count), victims) && enough;
    for (const task_ref& task : victims) {
      if (stopping >= kMostStopping) return;
      Preempt(task.job, task.index, due);
    }
  }
  room.cleared = enough;
}

void decision_core::impl::ServeReservations(monotonic_time now, std::vector<command>& out) {
  for (uint32_t number = 0; number < reservations.size(); ++number) {
    if (!reservations[number].in_use) continue;
    if (Serve(number, now, out)) DropReservation(number);
  }
}

// True when the reservation has done its work or is given up.
bool decision_core::impl::Serve(uint32_t number, monotonic_time now, std::vector<command>& out) {
  reservation& room = reservations[number];
  if (!jobs.Holds(room.job, room.generation) || !jobs[room.job].queued) return true;
  const job_record& job = jobs[room.job];
  if (now >= room.expires) return true;
  const resources& each = job.request.each;
  const bool usable = std::all_of(room.parts.begin(), room.parts.end(), [&](const auto& part) {
    return floor[part.endpoint].state == endpoint_state::kOpen;
  });
  if (!usable) return true;
  const bool all_fit = std::all_of(room.parts.begin(), room.parts.end(), [&](const auto& part) {
    return Fits(Times(each, part.count), floor[part.endpoint].Free());
  });
  if (all_fit && MayStart(job, TasksAtOnce(job))) {
    chosen.clear();
    for (const reservation::part& part : room.parts) {
      chosen.insert(chosen.end(), part.count, part.endpoint);
    }
    if (chosen.size() != TasksAtOnce(job)) return true;
    StartChosen(room.job, now, out);
    return true;
  }
  if (now >= room.bound && !room.cleared) Clear(room, now);
  return false;
}

void decision_core::impl::DropReservation(uint32_t number) {
  reservation& room = reservations[number];
  if (!room.in_use) return;
  room.in_use = false;
  if (jobs.Holds(room.job, room.generation)) jobs[room.job].reservation = kNoReservation;
  for (const reservation::part& part : room.parts) floor.Reserve(part.endpoint, kNoReservation);
  room.parts.clear();
}

// Batch work on endpoints that are held, where it should end before they are needed. An estimate
// may be wrong, so only work that gives way is taken: at the bound it is stopped, and the job that
// the endpoints are held for starts no later.
bool decision_core::impl::Backfill(const job_record& job, monotonic_time now) {
  if (!IsPreemptible(job.request)) return false;
  const std::chrono::milliseconds run =
      estimates.Cautious(job.request.team, job.request.kind, job.request.declared_run_time);
  if (run.count() == 0) return false;
  for (const reservation& room : reservations) {
    if (!room.in_use || room.urgent || now + run > room.bound) continue;
    const size_t most = std::min(kBackfillProbes, room.parts.size());
    for (size_t i = 0; i < most; ++i) {
      const endpoint_index endpoint = room.parts[i].endpoint;
      if (floor[endpoint].state != endpoint_state::kOpen) continue;
      if (!Fits(job.request.each, floor[endpoint].Free())) continue;
      chosen.assign(1, endpoint);
      return true;
    }
  }
  return false;
}

}  // namespace catkinford
