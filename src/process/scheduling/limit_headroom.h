// Part of a workspace's maximum that its less urgent work leaves free for its urgent jobs.
//
// Load: a workspace near its maximum. One large job fills the rest of the maximum for seconds, and
// the urgent jobs of the same workspace wait for it although the instances have capacity.
#ifndef CATKINFORD_PROCESS_SCHEDULING_LIMIT_HEADROOM_H_
#define CATKINFORD_PROCESS_SCHEDULING_LIMIT_HEADROOM_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "absl/container/btree_map.h"
#include "request/job_request.h"

namespace catkinford {

// Of one workspace.
class limit_headroom {
 public:
  // A step of this priority, lower first, became ready; `demand`: of all its tasks.
  void OnReady(int priority, const resources& demand, monotonic_time now) {
    step_size& usual = sizes_[priority];
    const double fade = Fade(usual, now);
    const auto mix = [fade](double before, uint32_t latest) {
      return std::max(fade * before, kSmoothing * latest + (1 - kSmoothing) * fade * before);
    };
    usual = {mix(usual.cpu_milli, demand.cpu_milli), mix(usual.memory_mb, demand.memory_mb), now};
  }
  // What steps of this priority leave free: one usual step of each more urgent priority that was
  // seen lately, a third of the maximum at most. Nothing while less than half of the maximum is
  // used: no job waits for long while its workspace is far from its limit.
  resources For(int priority, const resources& used, const resources& maximum,
                monotonic_time now) const {
    resources kept;
    for (const auto& [other, usual] : sizes_) {
      if (other >= priority) break;
      const double fade = Fade(usual, now);
      kept.cpu_milli += static_cast<uint32_t>(fade * usual.cpu_milli);
      kept.memory_mb += static_cast<uint32_t>(fade * usual.memory_mb);
    }
    kept.cpu_milli = Bounded(kept.cpu_milli, used.cpu_milli, maximum.cpu_milli);
    kept.memory_mb = Bounded(kept.memory_mb, used.memory_mb, maximum.memory_mb);
    return kept;
  }

 private:
  struct step_size {
    double cpu_milli = 0;
    double memory_mb = 0;
    monotonic_time seen{};
  };
  static constexpr std::chrono::duration<double> kMemory{8};
  static constexpr double kSmoothing = 0.3;

  static double Fade(const step_size& usual, monotonic_time now) {
    const std::chrono::duration<double> passed = now - usual.seen;
    return std::exp(-passed / kMemory);
  }
  static uint32_t Bounded(uint32_t kept, uint32_t used, uint32_t maximum) {
    if (maximum == 0 || used < maximum / 2) return 0;
    return std::min(kept, maximum / 3);
  }

  absl::btree_map<int, step_size> sizes_;  // by priority
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_LIMIT_HEADROOM_H_
