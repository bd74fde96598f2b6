// Tells the jobs that a workspace sends beyond its share from those within: the rate that its
// weight gives, with a second's worth at once.
//
// The load it answers: one workspace sends many times its usual, and without this everybody's quick
// work would wait in one line behind it. Its jobs beyond the share run when nobody else waits.
#ifndef CATKINFORD_PROCESS_SCHEDULING_ARRIVAL_RATE_LIMIT_H_
#define CATKINFORD_PROCESS_SCHEDULING_ARRIVAL_RATE_LIMIT_H_

#include <algorithm>
#include <chrono>

#include "request/step_graph.h"

namespace catkinford {

class arrival_rate_limit {
 public:
  // Counts a job that came at `now`; `rate`: jobs a second. True when it is beyond the share; such
  // a job does not use the share up.
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

  wall_time next_within_{};  // when the next job is within the share
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_ARRIVAL_RATE_LIMIT_H_
