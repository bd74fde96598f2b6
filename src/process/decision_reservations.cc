#include <algorithm>
#include <utility>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

constexpr std::chrono::seconds kReservationDelay{5};  // then the head of a queue gets a reservation
// Delay until batch tasks on reserved endpoints are preempted. Mean and p99 wait of gangs in ms and
// preemptions in total (seeds 1 to 5): 30 s 2,962 ms, 16,986, 11; 15 s 2,770, 13,419, 11; 10 s
// 2,762, 11,515, 10. With gangs tried to a depth of four: 10 s 1,993, 9,742, 10; 5 s with
// kReservationDelay 2 s 1,600, 6,394, 19.
constexpr std::chrono::seconds kPreemptionDelay{10};
constexpr std::chrono::seconds kReservationGrace{60};
// For a stop without a checkpoint; after it other endpoints are tried.
constexpr std::chrono::seconds kStopTimeout{1};
constexpr std::chrono::milliseconds kUrgentRetry{100};
constexpr uint32_t kMaxUrgentReservations = 64;  // concurrent reservations for urgent jobs
constexpr uint32_t kMaxStopping = 256;           // tasks being stopped at the same time
constexpr size_t kPreemptionProbes = 16;         // endpoints compared for an urgent job
constexpr size_t kBackfillProbes = 64;           // reserved endpoints probed for one job

resources Times(const resources& each, uint32_t count) {
  return {each.cpu_milli * count, each.memory_mb * count, each.accelerators * count,
          each.slots * count};
}

}  // namespace

// Secures capacity for the head of a blocked queue: for urgent jobs at once, for others after a
// long wait. Otherwise small jobs that fit every gap would starve large ones: a job would keep
// waiting while newer ones start.
void decision_core::impl::WatchQueue(const queue_ref& ref, monotonic_time now) {
  waiting_queue& queue = queues.At(ref);
  if (queue.head == kNoJob || queue.state == queue_state::kReady) return;
  const bool urgent = ref.kind == queue_class::kUrgent;
  const monotonic_time due = jobs[queue.head].request.submitted + kReservationDelay;
  monotonic_time next = due;
  if (urgent) {
    uint32_t depth = 0;
    for (job_handle job = queue.head; job != kNoJob && depth < kQueueDepth; ++depth) {
      SecureCapacity(job, true, now);
      job = jobs[job].next;
    }
    next = now + kUrgentRetry;
  } else if (!queue.watched && now >= due) {
    if (ref.kind != queue_class::kInteractive) SecureCapacity(queue.head, false, now);
    next = now + kReservationDelay;
  }
  if (queue.watched) return;
  queue.watched = true;
  timers.push({next, timer_kind::kQueueWatch, NumberOf(ref), 0});
}

// Reserves endpoints for the job or, if it lacks grant, reserves its team's grant.
bool decision_core::impl::SecureCapacity(job_handle handle, bool urgent, monotonic_time now) {
  const job_record& job = jobs[handle];
  const team_index team = job.request.team;
  if (job.reservation != kNoReservation) return true;
  if (teams.WithinGrant(team, job.request.each, TasksAtOnce(job), endpoints)) {
    return Reserve(handle, urgent, now);
  }
  if (grant_reserved_for.size() <= team) grant_reserved_for.resize(team + 1, kNoJob);
  if (grant_reserved_for[team] == kNoJob) grant_reserved_for[team] = handle;
  return false;
}

bool decision_core::impl::Reserve(job_handle handle, bool urgent, monotonic_time now) {
  const auto same_sort = [urgent](const reservation& r) { return r.in_use && r.urgent == urgent; };
  const auto held = std::count_if(reservations.begin(), reservations.end(), same_sort);
  if (held >= (urgent ? kMaxUrgentReservations : 1)) return false;
  job_record& job = jobs[handle];
  reservation room;
  if (urgent && TasksAtOnce(job) == 1) {
    const endpoint_index endpoint = CheapestToPreempt(job);
    if (endpoint == kNoEndpoint) return false;
    room.parts.push_back({endpoint, 1});
  } else if (!ChooseParts(job, TasksAtOnce(job), room.parts)) {
    return false;
  }
  room.job = handle;
  room.generation = job.generation;
  room.urgent = urgent;
  room.in_use = true;
  room.preempt_at = urgent ? now : now + kPreemptionDelay;
  room.expires =
      room.preempt_at + (urgent ? kUrgentCheckpointTimeout + kStopTimeout : kReservationGrace);
  const auto place = std::find_if(reservations.begin(), reservations.end(),
                                  [](const reservation& r) { return !r.in_use; });
  const auto number = static_cast<uint32_t>(place - reservations.begin());
  if (place == reservations.end()) reservations.emplace_back();
  for (const reservation::part& part : room.parts) endpoints.Reserve(part.endpoint, number);
  job.reservation = number;
  timers.push({room.preempt_at, timer_kind::kReservationDue, number, 0});
  timers.push({room.expires, timer_kind::kReservationDue, number, 0});
  reservations[number] = std::move(room);
  if (urgent) PreemptFor(reservations[number], now);
  return true;
}

// Selects the endpoints on which the least must end or be preempted for the whole job to fit.
bool decision_core::impl::ChooseParts(const job_record& job, uint32_t count,
                                      std::vector<reservation::part>& parts) {
  struct candidate {
    double to_free = 0;  // dominant share of the endpoint that must be freed, per task
    reservation::part part;
  };
  const resources& each = job.request.each;
  std::vector<candidate> candidates;
  for (endpoint_index endpoint = 0; endpoint < endpoints.Size(); ++endpoint) {
    if (!endpoints.Open().Contains(endpoint)) continue;
    const endpoint_record& e = endpoints[endpoint];
    const uint32_t most = std::min(count, CountFitting(each, e.FreeEventually()));
    if (most == 0) continue;
    const resources lacks = SubtractOrZero(Times(each, most), e.Free());
    candidates.push_back({DominantShare(lacks, e.capacity) / most, {endpoint, most}});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const candidate& a, const candidate& b) { return a.to_free < b.to_free; });
  uint32_t missing = count;
  for (const candidate& c : candidates) {
    parts.push_back({c.part.endpoint, std::min(missing, c.part.count)});
    missing -= parts.back().count;
    if (missing == 0) return true;
  }
  return false;
}

// Selects tasks on the endpoint to preempt for `need`, cheapest first: tasks of teams above their
// share, then those that have run least. False when preemption does not free enough.
bool decision_core::impl::SelectVictims(endpoint_index endpoint, const resources& need,
                                        std::vector<task_ref>& out) const {
  const endpoint_record& e = endpoints[endpoint];
  resources room = e.Free();
  std::vector<task_ref> preemptible;
  for (const task_ref& task : e.tasks) {
    const job_record& job = jobs[task.job];
    const task_slot& slot = job.tasks[task.index];
    const bool ending = slot.state == task_state::kStopping;
    // A task that does not end, though asked twice, frees nothing.
    const bool stuck =
        slot.stop_due != monotonic_time{} && last_decide >= slot.stop_due + kStopTimeout;
    if (ending && !stuck) room += job.request.each;
    if (!ending && IsPreemptible(job.request)) preemptible.push_back(task);
  }
  const auto cheaper = [this](const task_ref& a, const task_ref& b) {
    const job_record& x = jobs[a.job];
    const job_record& y = jobs[b.job];
    const bool x_within = teams.WithinShare(x.request.team);
    const bool y_within = teams.WithinShare(y.request.team);
    if (x_within != y_within) return y_within;
    return x.tasks[a.index].started > y.tasks[b.index].started;
  };
  std::stable_sort(preemptible.begin(), preemptible.end(), cheaper);
  for (const task_ref& task : preemptible) {
    if (Fits(need, room)) return true;
    room += jobs[task.job].request.each;
    out.push_back(task);
  }
  return Fits(need, room);
}

endpoint_index decision_core::impl::CheapestToPreempt(const job_record& job) const {
  const resources& need = job.request.each;
  best_candidate<size_t> best;
  std::vector<task_ref> victims;
  endpoints.Preemptible().VisitLeastLoaded(need, kPreemptionProbes, job.request.id.lo,
                                           [&](endpoint_index endpoint) {
                                             victims.clear();
                                             if (SelectVictims(endpoint, need, victims))
                                               best.Offer(endpoint, victims.size());
                                             return true;
                                           });
  return best.endpoint != kNoEndpoint ? best.endpoint : endpoints.Preemptible().FindAny(need);
}

// Asks batch tasks on the reserved endpoints to write a checkpoint and stop, at most kMaxStopping
// at the same time.
void decision_core::impl::PreemptFor(reservation& room, monotonic_time now) {
  const resources& each = jobs[room.job].request.each;
  const monotonic_time due = now + (room.urgent ? kUrgentCheckpointTimeout : kCheckpointTimeout);
  std::vector<task_ref> victims;
  bool enough = true;
  for (const reservation::part& part : room.parts) {
    victims.clear();
    enough = SelectVictims(part.endpoint, Times(each, part.count), victims) && enough;
    for (const task_ref& task : victims) {
      if (stopping >= kMaxStopping) return;
      Preempt(task.job, task.index, due);
    }
  }
  room.preemption_requested = enough;
}

void decision_core::impl::ServeReservations(monotonic_time now, std::vector<command>& out) {
  for (uint32_t number = 0; number < reservations.size(); ++number) {
    if (!reservations[number].in_use) continue;
    if (ServeReservation(number, now, out)) DropReservation(number);
  }
}

// True when the reservation has been served or is dropped.
bool decision_core::impl::ServeReservation(uint32_t number, monotonic_time now,
                                           std::vector<command>& out) {
  reservation& room = reservations[number];
  if (!jobs.Holds(room.job, room.generation) || !jobs[room.job].queued) return true;
  const job_record& job = jobs[room.job];
  if (now >= room.expires) return true;
  const resources& each = job.request.each;
  const bool usable = std::all_of(room.parts.begin(), room.parts.end(), [&](const auto& part) {
    return endpoints[part.endpoint].state == endpoint_state::kOpen;
  });
  if (!usable) return true;
  const bool all_fit = std::all_of(room.parts.begin(), room.parts.end(), [&](const auto& part) {
    return Fits(Times(each, part.count), endpoints[part.endpoint].Free());
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
  if (now >= room.preempt_at && !room.preemption_requested) PreemptFor(room, now);
  return false;
}

void decision_core::impl::DropReservation(uint32_t number) {
  reservation& room = reservations[number];
  if (!room.in_use) return;
  room.in_use = false;
  if (jobs.Holds(room.job, room.generation)) jobs[room.job].reservation = kNoReservation;
  for (const reservation::part& part : room.parts) endpoints.Reserve(part.endpoint, kNoReservation);
  room.parts.clear();
}

// Backfill: starts batch jobs on reserved endpoints if they should end before the reservation needs
// them. An estimate may be wrong, so only preemptible jobs are accepted: they are stopped at the
// preemption time, and the job with the reservation starts no later.
bool decision_core::impl::Backfill(const job_record& job, monotonic_time now) {
  if (!IsPreemptible(job.request)) return false;
  const std::chrono::milliseconds run =
      estimates.UpperEstimate(job.request.team, job.request.kind, job.request.declared_run_time);
  if (run.count() == 0) return false;
  for (const reservation& room : reservations) {
    if (!room.in_use || room.urgent || now + run > room.preempt_at) continue;
    const size_t most = std::min(kBackfillProbes, room.parts.size());
    for (size_t i = 0; i < most; ++i) {
      const endpoint_index endpoint = room.parts[i].endpoint;
      if (endpoints[endpoint].state != endpoint_state::kOpen) continue;
      if (!Fits(job.request.each, endpoints[endpoint].Free())) continue;
      chosen.assign(1, endpoint);
      return true;
    }
  }
  return false;
}

}  // namespace catkinford
