// Capacity reservations for the steps that are next in order, rebuilt in each round.
#include <algorithm>
#include <utility>

#include "process/scheduling/job_scheduler.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Limits on the steps of one service that reserve capacity, and on the reservations of one step:
// those further back would reserve for so late a time that no forecast is possible.
constexpr uint32_t kMaxReservingSteps = 12;
constexpr uint32_t kMaxReservationsPerStep = 6;
constexpr milliseconds kMinRemainingTime{100};  // an overdue run is expected to end after this
constexpr milliseconds kStopDuration{400};      // usual time from a stop to its end
// Share of an instance's capacity. A task that takes less than this of every resource is narrow:
// any end frees enough for it, and reserving an instance for it would only leave capacity unused.
constexpr double kNarrowShare = 0.2;
// Assumed run time of a long-running task: beyond the range of any reservation.
constexpr milliseconds kUnboundedRun{std::chrono::hours{1}};

bool IsNarrow(const resources& need, const resources& capacity) {
  return need.cpu_milli < kNarrowShare * capacity.cpu_milli &&
         need.memory_mb < kNarrowShare * capacity.memory_mb &&
         need.accelerators <= kNarrowShare * capacity.accelerators;
}

// Moves the candidate to the time at which it has capacity for one more task; false if there is
// none.
template <typename Candidate>
bool Advance(Candidate& candidate, const resources& need, monotonic_time now) {
  if (--candidate.tasks_left == 0) return false;
  const auto free_at = candidate.forecast->EarliestFor(need, now);
  if (free_at) candidate.from = std::max(*free_at, candidate.ticket_at);
  return free_at.has_value();
}

constexpr auto kBeginsEarlier = [](const auto& a, const auto& b) { return a.from < b.from; };
constexpr auto kBeginsLater = [](const auto& a, const auto& b) { return b.from < a.from; };

}  // namespace

void job_scheduler::ResetReservations(monotonic_time now) {
  forecasts_.clear();
  forecasts_.resize(last_ordinal_ + 1);
  reserving_steps_.assign(services_.size() + 1, 0);
  idle_holds_.resize(services_.size() + 1);
  may_reserve_.resize(services_.size() + 1);
  for (uint32_t service = 0; service <= services_.size(); ++service) {
    may_reserve_[service] = idle_holds_[service].MayReserve(schedulable_.MostlyIdle(service), now);
  }
  ++round_;
}

std::optional<monotonic_time> job_scheduler::ExpectedEnd(const graph_run& run,
                                                         monotonic_time now) const {
  if (run.stopping != stop_cause::kNone) return now + kStopDuration;
  if (run.job == nullptr) return std::nullopt;
  const step_spec& terms = run.job->job.steps[run.key.step];
  const step_progress* step = run.job->Find(run.key);
  if (terms.long_running || step == nullptr) return std::nullopt;
  const milliseconds takes = ExpectedRunOn(*run.instance, *run.job, *step, run.key.step);
  const monotonic_time ends =
      run.percent > 0 ? run.progressed + takes * (100 - std::min(100U, run.percent)) / 100
                      : run.started + takes;
  return std::max(ends, now + kMinRemainingTime);
}

capacity_forecast& job_scheduler::ForecastOf(const fleet_instance& instance, monotonic_time now) {
  std::unique_ptr<capacity_forecast>& slot = forecasts_[instance.ordinal];
  if (slot != nullptr) return *slot;
  slot = std::make_unique<capacity_forecast>(instance.Free());
  for (const auto& run : instance.runs) {
    const auto ends = ExpectedEnd(*run, now);
    if (ends) slot->AddEnd(*ends, run->capacity);
  }
  return *slot;
}

monotonic_time job_scheduler::ExpectedRelease(const ready_step& ready, monotonic_time now) const {
  if (ready.entry->job.steps[ready.index].long_running) return now + kUnboundedRun;
  return now + ExpectedRun(*ready.entry, ready.occurrence->steps[ready.index], ready.index);
}

bool job_scheduler::RespectsReservations(const fleet_instance& instance, const resources& capacity,
                                         monotonic_time until) const {
  const bool known = instance.ordinal < forecasts_.size();
  return !known || forecasts_[instance.ordinal] == nullptr ||
         forecasts_[instance.ordinal]->MayUse(capacity, until);
}

monotonic_time job_scheduler::TicketAvailableAt(const ready_step& ready, uint32_t instance,
                                                monotonic_time now) const {
  const advice_verdict* verdict = ready.occurrence->steps[ready.index].advice.FindVerdict(instance);
  const queue_config* queue = ready.entry->queue;
  if (verdict != nullptr && verdict->expires > now + kTicketMargin) return now;
  if (queue == nullptr || !queue->advice) return now;
  return now + queue->advice->base + duration_cast<milliseconds>(queue->advice->per_instance);
}

std::vector<job_scheduler::reservation_candidate> job_scheduler::ReservationCandidates(
    const ready_step& ready, monotonic_time now) {
  const step_progress& step = ready.occurrence->steps[ready.index];
  const step_spec& terms = ready.entry->job.steps[ready.index];
  std::vector<reservation_candidate> candidates;
  const auto consider = [&](const fleet_instance& instance) {
    if (!MayRun(instance, ready, now)) return;
    // Any end frees enough for a narrow task, but not for all members of a gang at once.
    if (!terms.gang && IsNarrow(terms.need, instance.report.capacity)) return;
    const uint32_t tasks_left = MaxTasksAt(ready, instance, step.waiting);
    if (tasks_left == 0) return;
    capacity_forecast& forecast = ForecastOf(instance, now);
    const auto free_at = forecast.EarliestFor(terms.need, now);
    if (!free_at) return;
    const monotonic_time ticket_at = TicketAvailableAt(ready, instance.ordinal, now);
    candidates.push_back(
        {&instance, &forecast, ticket_at, std::max(*free_at, ticket_at), tasks_left});
  };
  if (TermsOf(*ready.entry).needs_advice) {
    for (const advice_verdict& verdict : step.advice.verdicts) {
      if (!verdict.allowed) continue;
      const fleet_instance* instance = InstanceAt(verdict.instance);
      if (instance != nullptr) consider(*instance);
    }
  } else {
    for (const auto& [id, instance] : instances_) consider(*instance);
  }
  return candidates;
}

void job_scheduler::ReserveCapacity(const ready_step& ready, monotonic_time now) {
  step_progress& step = ready.occurrence->steps[ready.index];
  const step_spec& terms = ready.entry->job.steps[ready.index];
  if (step.waiting == 0 || terms.fills || terms.long_running) return;
  if (!may_reserve_[ready.entry->service]) return;
  if (reserving_steps_[ready.entry->service] >= kMaxReservingSteps) return;
  if (!WithinLimit(*ready.entry, NeedAtOnce(terms))) return;
  step.reserved.clear();
  std::vector<reservation_candidate> candidates = ReservationCandidates(ready, now);
  if (terms.gang) {
    ReserveForGang(ready, std::move(candidates), now);
  } else {
    const uint32_t wanted = std::min(step.waiting, kMaxReservationsPerStep);
    while (step.reserved.size() < wanted && !candidates.empty()) {
      const auto best = std::min_element(candidates.begin(), candidates.end(), kBeginsEarlier);
      best->forecast->Reserve(terms.need, best->from);
      step.reserved.push_back({best->instance->ordinal, best->from});
      if (!Advance(*best, terms.need, now)) candidates.erase(best);
    }
  }
  if (step.reserved.empty()) return;
  step.reserved_round = round_;
  ++reserving_steps_[ready.entry->service];
}

// All members start when the last of them has capacity, so that nothing is reserved from an earlier
// time on, and nothing at all for a gang that is not known to fit.
void job_scheduler::ReserveForGang(const ready_step& ready,
                                   std::vector<reservation_candidate> candidates,
                                   monotonic_time now) {
  step_progress& step = ready.occurrence->steps[ready.index];
  const resources& need = ready.entry->job.steps[ready.index].need;
  std::vector<capacity_forecast> trials;
  trials.reserve(candidates.size());
  std::vector<capacity_forecast*> forecasts(by_ordinal_.size());
  for (reservation_candidate& each : candidates) {
    forecasts[each.instance->ordinal] =
        std::exchange(each.forecast, &trials.emplace_back(*each.forecast));
  }
  std::make_heap(candidates.begin(), candidates.end(), kBeginsLater);
  monotonic_time start = now;
  while (step.reserved.size() < step.waiting && !candidates.empty()) {
    std::pop_heap(candidates.begin(), candidates.end(), kBeginsLater);
    reservation_candidate& best = candidates.back();
    best.forecast->Reserve(need, best.from);
    step.reserved.push_back({best.instance->ordinal, best.from});
    start = std::max(start, best.from);
    if (Advance(best, need, now)) {
      std::push_heap(candidates.begin(), candidates.end(), kBeginsLater);
    } else {
      candidates.pop_back();
    }
  }
  if (step.reserved.size() < step.waiting) return step.reserved.clear();
  for (capacity_reservation& member : step.reserved) {
    member.from = start;
    forecasts[member.instance]->Reserve(need, start);
  }
}

}  // namespace catkinford
