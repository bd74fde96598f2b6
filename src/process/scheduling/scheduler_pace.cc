// Pace: tasks that fill what others leave unused disturb tasks that serve users. They are slowed
// down as soon as a serving task on their instance comes near its target, and let go again with
// care.
#include <algorithm>

#include "process/scheduling/job_scheduler.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Share of the target at which the tasks that fill stop, and below which they may speed up.
constexpr double kSlowDownAt = 0.85;
constexpr double kSpeedUpBelow = 0.6;
constexpr uint32_t kFullPace = 100;
constexpr uint32_t kPaceStep = 25;           // percent; up again in four steps
constexpr milliseconds kSpeedUpPause{1500};  // a tail is a figure over the last half second
constexpr milliseconds kSlowDownPause{400};

}  // namespace

void job_scheduler::PaceInstance(fleet_instance& instance, scheduler_orders& orders,
                                 monotonic_time now) {
  double worst = 0;
  bool serves = false;
  bool fills = false;
  for (const auto& run : instance.runs) {
    fills = fills || run->fills;
    if (!run->serves || run->job == nullptr) continue;
    serves = true;
    const double target =
        static_cast<double>(run->job->job.steps[run->key.step].tail_latency_target.count());
    worst = std::max(worst, static_cast<double>(run->load) / target);
  }
  if (!fills) return;
  for (const auto& run : instance.runs) {
    if (!run->fills || run->phase != run_phase::kRunning || run->pace_in_flight) continue;
    if (run->stopping != stop_cause::kNone || now < run->next_pace) continue;
    uint32_t wanted = run->pace;
    if (serves && worst >= 1) {
      wanted = 0;
    } else if (serves && worst >= kSlowDownAt) {
      wanted = run->pace / 2;
    } else if (!serves || worst < kSpeedUpBelow) {
      wanted = std::min(kFullPace, run->pace + kPaceStep);
    }
    if (wanted == run->pace) continue;
    run->next_pace = now + (wanted > run->pace ? kSpeedUpPause : kSlowDownPause);
    run->pace_in_flight = true;
    const instance_report& report = instance.report;
    orders.paces.push_back(
        {{report.id, report.address, report.incarnation}, run->key, run->number, wanted});
  }
}

void job_scheduler::PlanPaces(scheduler_orders& orders, monotonic_time now) {
  for (auto& [id, instance] : instances_) {
    if (instance->filling > 0 && instance->Reachable()) PaceInstance(*instance, orders, now);
  }
}

}  // namespace catkinford
