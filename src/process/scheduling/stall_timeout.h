// How long a run may stand still before it is stopped and starts elsewhere.
#ifndef CATKINFORD_PROCESS_SCHEDULING_STALL_TIMEOUT_H_
#define CATKINFORD_PROCESS_SCHEDULING_STALL_TIMEOUT_H_

#include <chrono>
#include <cstdint>

namespace catkinford {

// Instances report progress in percent; no run counts as stalled before this time without a change.
inline constexpr std::chrono::milliseconds kMinStallTimeout{2500};

// `expected`: run time of the whole task, which may be far too low. `longest_step`: the longest
// time between two changes of the run's percent so far. `stalls`: how many runs of the task were
// stopped as stalled before; each doubles the timeout, so that a task that reports progress seldom
// ends after a few attempts.
std::chrono::milliseconds StallTimeout(std::chrono::milliseconds expected,
                                       std::chrono::milliseconds longest_step, uint32_t stalls);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_STALL_TIMEOUT_H_
