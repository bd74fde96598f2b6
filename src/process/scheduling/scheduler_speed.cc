// Speed limits: filler tasks, which use what other tasks leave unused, disturb tasks that serve
// users. They are slowed down as soon as a serving task on their instance comes near its tail
// latency target, and sped up again gradually.
#include <algorithm>

#include "process/scheduling/job_scheduler.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Shares of the target: at the first, filler tasks are slowed down, and below the second they may
// speed up.
constexpr double kSlowDownAt = 0.85;
constexpr double kSpeedUpBelow = 0.6;
constexpr uint32_t kSpeedStep = 25;          // percent; from 0 to full speed in four steps
constexpr milliseconds kSpeedUpPause{1500};  // the tail latency covers the last half second
constexpr milliseconds kSlowDownPause{400};

}  // namespace

void job_scheduler::AdjustSpeeds(fleet_instance& instance, scheduler_commands& commands,
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
    if (!run->fills || run->phase != run_phase::kRunning) continue;
    if (run->stopping != stop_cause::kNone || !run->speed.MayChange(now)) continue;
    const uint32_t percent = run->speed.Percent();
    uint32_t wanted = percent;
    if (serves && worst >= 1) {
      wanted = 0;
    } else if (serves && worst >= kSlowDownAt) {
      wanted = percent / 2;
    } else if (!serves || worst < kSpeedUpBelow) {
      wanted = std::min(kFullSpeed, percent + kSpeedStep);
    }
    if (wanted == percent && run->speed.Certain()) continue;
    run->speed.OnSent(now + (wanted >= percent ? kSpeedUpPause : kSlowDownPause));
    const instance_report& report = instance.report;
    commands.speeds.push_back(
        {{report.id, report.address, report.incarnation}, run->key, run->number, wanted});
  }
}

void job_scheduler::PlanSpeeds(scheduler_commands& commands, monotonic_time now) {
  for (auto& [id, instance] : instances_) {
    if (instance->filling > 0 && instance->Reachable()) AdjustSpeeds(*instance, commands, now);
  }
}

}  // namespace catkinford
