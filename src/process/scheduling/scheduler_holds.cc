// Room that is held for steps next in line, rebuilt in each round.
#include <algorithm>

#include "process/scheduling/job_scheduler.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Steps of one service that hold room, and tasks of one step: those far behind would hold rooms for
// so late that nothing is known of that time.
constexpr uint32_t kStepsThatHold = 12;
constexpr uint32_t kHoldsOfStep = 6;
constexpr milliseconds kSoonest{100};    // an end that is overdue is expected after this
constexpr milliseconds kStopTakes{400};  // from a stop to its end, mostly
// Of an instance's capacity, by the resource of which it takes most. A narrower task finds room
// with any end, and holding it for one would leave it unused for nothing.
constexpr double kNarrow = 0.2;
// A task that lasts gives its room back at no time that matters here.
constexpr milliseconds kForGood{std::chrono::hours{1}};

bool Narrow(const resources& need, const resources& capacity) {
  return need.cpu_milli < kNarrow * capacity.cpu_milli &&
         need.memory_mb < kNarrow * capacity.memory_mb &&
         need.accelerators <= kNarrow * capacity.accelerators;
}

}  // namespace

void job_scheduler::BeginHolds() {
  forecasts_.clear();
  forecasts_.resize(last_ordinal_ + 1);
  holding_steps_.assign(services_.size() + 1, 0);
  ++round_;
}

std::optional<monotonic_time> job_scheduler::ExpectedEnd(const graph_run& run,
                                                         monotonic_time now) const {
  if (run.stopping != stop_cause::kNone) return now + kStopTakes;
  if (run.job == nullptr) return std::nullopt;
  const step_spec& terms = run.job->job.steps[run.key.step];
  const step_progress* step = run.job->Find(run.key);
  if (terms.long_running || step == nullptr) return std::nullopt;
  const milliseconds takes = ExpectedRun(*run.job, *step, run.key.step);
  const monotonic_time ends =
      run.percent > 0 ? run.progressed + takes * (100 - std::min(100U, run.percent)) / 100
                      : run.started + takes;
  return std::max(ends, now + kSoonest);
}

room_forecast& job_scheduler::ForecastOf(const fleet_instance& instance, monotonic_time now) {
  std::unique_ptr<room_forecast>& place = forecasts_[instance.ordinal];
  if (place != nullptr) return *place;
  place = std::make_unique<room_forecast>(instance.Free());
  for (const auto& run : instance.runs) {
    const auto ends = ExpectedEnd(*run, now);
    if (ends) place->AddEnd(*ends, run->room);
  }
  return *place;
}

monotonic_time job_scheduler::GivesBack(const ready_step& ready, monotonic_time now) const {
  if (ready.entry->job.steps[ready.index].long_running) return now + kForGood;
  return now + ExpectedRun(*ready.entry, ready.occurrence->steps[ready.index], ready.index);
}

bool job_scheduler::DelaysNobody(const fleet_instance& instance, const resources& room,
                                 monotonic_time until) const {
  const bool known = instance.ordinal < forecasts_.size();
  return !known || forecasts_[instance.ordinal] == nullptr ||
         forecasts_[instance.ordinal]->MayUse(room, until);
}

monotonic_time job_scheduler::TicketBy(const ready_step& ready, uint32_t instance,
                                       monotonic_time now) const {
  const advice_verdict* verdict = ready.occurrence->steps[ready.index].advice.Of(instance);
  const queue_config* queue = ready.entry->queue;
  if (verdict != nullptr && verdict->expires > now + kTicketMargin) return now;
  if (queue == nullptr || !queue->advice) return now;
  return now + queue->advice->base + duration_cast<milliseconds>(queue->advice->per_instance);
}

void job_scheduler::HoldRoom(const ready_step& ready, monotonic_time now) {
  step_progress& step = ready.occurrence->steps[ready.index];
  const step_spec& terms = ready.entry->job.steps[ready.index];
  if (step.waiting == 0 || terms.fills || terms.long_running) return;
  if (holding_steps_[ready.entry->service] >= kStepsThatHold) return;
  if (!WithinLimit(*ready.entry, terms.need)) return;
  const bool advised = TermsOf(*ready.entry).needs_advice;
  step.held.clear();
  const uint32_t wanted = std::min(step.waiting, kHoldsOfStep);
  for (uint32_t i = 0; i < wanted; ++i) {
    const fleet_instance* best = nullptr;
    monotonic_time soonest = monotonic_time::max();
    const auto consider = [&](const fleet_instance& instance) {
      if (!MayRun(instance, ready, now) || Narrow(terms.need, instance.report.capacity)) return;
      const auto room_by = ForecastOf(instance, now).EarliestFor(terms.need, now);
      if (!room_by) return;
      const monotonic_time from = std::max(*room_by, TicketBy(ready, instance.ordinal, now));
      if (from >= soonest) return;
      soonest = from;
      best = &instance;
    };
    if (advised) {
      for (const advice_verdict& verdict : step.advice.verdicts) {
        if (!verdict.allowed) continue;
        const auto found = by_ordinal_.find(verdict.instance);
        if (found != by_ordinal_.end()) consider(*found->second);
      }
    } else {
      for (const auto& [id, instance] : instances_) consider(*instance);
    }
    if (best == nullptr) break;
    ForecastOf(*best, now).Hold(terms.need, soonest);
    step.held.push_back({best->ordinal, soonest});
  }
  if (step.held.empty()) return;
  step.held_in = round_;
  ++holding_steps_[ready.entry->service];
}

}  // namespace catkinford
