// Capacity reservations for the steps that are next in order, rebuilt in each round.
#include <algorithm>

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

}  // namespace

void job_scheduler::ResetReservations() {
  forecasts_.clear();
  forecasts_.resize(last_ordinal_ + 1);
  reserving_steps_.assign(services_.size() + 1, 0);
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

void job_scheduler::ReserveCapacity(const ready_step& ready, monotonic_time now) {
  step_progress& step = ready.occurrence->steps[ready.index];
  const step_spec& terms = ready.entry->job.steps[ready.index];
  if (step.waiting == 0 || terms.fills || terms.long_running) return;
  if (reserving_steps_[ready.entry->service] >= kMaxReservingSteps) return;
  if (!WithinLimit(*ready.entry, terms.need)) return;
  const bool advised = TermsOf(*ready.entry).needs_advice;
  step.reserved.clear();
  // A reservation changes the forecast of its own instance only.
  struct candidate {
    const fleet_instance* instance;
    capacity_forecast* forecast;
    monotonic_time ticket_at;
    monotonic_time from;
  };
  std::vector<candidate> candidates;
  const auto consider = [&](const fleet_instance& instance) {
    if (!MayRun(instance, ready, now) || IsNarrow(terms.need, instance.report.capacity)) return;
    capacity_forecast& forecast = ForecastOf(instance, now);
    const auto free_at = forecast.EarliestFor(terms.need, now);
    if (!free_at) return;
    const monotonic_time ticket_at = TicketAvailableAt(ready, instance.ordinal, now);
    candidates.push_back({&instance, &forecast, ticket_at, std::max(*free_at, ticket_at)});
  };
  if (advised) {
    for (const advice_verdict& verdict : step.advice.verdicts) {
      if (!verdict.allowed) continue;
      const fleet_instance* instance = InstanceAt(verdict.instance);
      if (instance != nullptr) consider(*instance);
    }
  } else {
    for (const auto& [id, instance] : instances_) consider(*instance);
  }
  const uint32_t wanted = std::min(step.waiting, kMaxReservationsPerStep);
  while (step.reserved.size() < wanted && !candidates.empty()) {
    const auto best =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const candidate& a, const candidate& b) { return a.from < b.from; });
    best->forecast->Reserve(terms.need, best->from);
    step.reserved.push_back({best->instance->ordinal, best->from});
    const auto free_at = best->forecast->EarliestFor(terms.need, now);
    if (free_at) {
      best->from = std::max(*free_at, best->ticket_at);
    } else {
      candidates.erase(best);
    }
  }
  if (step.reserved.empty()) return;
  step.reserved_round = round_;
  ++reserving_steps_[ready.entry->service];
}

}  // namespace catkinford
