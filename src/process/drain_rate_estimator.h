// Estimates the drain rate of a queue, for accurate Retry-After times.
#ifndef CATKINFORD_PROCESS_DRAIN_RATE_ESTIMATOR_H_
#define CATKINFORD_PROCESS_DRAIN_RATE_ESTIMATOR_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "request/job_request.h"

namespace catkinford {

// Measures only while there is a backlog: when idle nothing drains either, and a rate that included
// idle time would reject callers although capacity is free.
class drain_rate_estimator {
 public:
  void BacklogBegan(monotonic_time now);
  void BacklogEnded() { running_ = false; }
  bool Running() const { return running_; }
  // How long the queue has been non-empty without a break.
  std::chrono::nanoseconds BacklogAge(monotonic_time now) const {
    return running_ ? now - began_ : std::chrono::nanoseconds{0};
  }
  // `count` tasks left the queue by being started.
  void Drained(uint32_t count, monotonic_time now);
  // Mean time between two tasks that leave the queue; nullopt while unknown.
  std::optional<std::chrono::nanoseconds> TimePerTask(monotonic_time now) const;
  // Time until `queued` tasks have left at the measured rate; nullopt while unknown.
  std::optional<std::chrono::milliseconds> TimeToDrain(uint32_t queued, monotonic_time now) const;

 private:
  double DecayedCount(monotonic_time now) const;

  bool running_ = false;
  double count_ = 0;  // tasks drained, decaying exponentially
  monotonic_time began_{};
  monotonic_time updated_{};
};

// The Retry-After of a rejected caller. The jitter spreads callers that were rejected together;
// without it they return together and are rejected together again, in waves. `random` is a fresh
// random number.
std::chrono::milliseconds RetryAfter(std::optional<std::chrono::milliseconds> drain,
                                     uint64_t random);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_DRAIN_RATE_ESTIMATOR_H_
