// Rate limit on the arrivals of one workspace: separates jobs within its share from those beyond.
// The workspace's weight is its rate, and it may send one second's worth at once.
//
// Without it, one workspace that sends many times its usual load delays the quick work of all
// others in a common queue. Jobs beyond the share run when no others wait.
#ifndef CATKINFORD_PROCESS_SCHEDULING_ARRIVAL_RATE_LIMIT_H_
#define CATKINFORD_PROCESS_SCHEDULING_ARRIVAL_RATE_LIMIT_H_

#include <algorithm>
#include <chrono>

#include "request/step_graph.h"

namespace catkinford {

class arrival_rate_limit {
 public:
  // Counts a job that arrived at `now`; `rate` is in jobs per second. Returns true if the job is
  // beyond the share; such a job does not use up the share.
  bool Exceeds(double rate, wall_time now) {
    const std::chrono::milliseconds interval(static_cast<int64_t>(kMillisPerSecond / rate));
    const wall_time begin = std::max(next_within_, now - kBurst);
    if (begin > now) return true;
    next_within_ = begin + interval;
    return false;
  }

 private:
  static constexpr double kMillisPerSecond = 1000;
  static constexpr std::chrono::milliseconds kBurst{1000};

  wall_time next_within_{};  // the next job is within the share from then on
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_ARRIVAL_RATE_LIMIT_H_
