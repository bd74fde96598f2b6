// How fast a queue drains, measured, for truthful times to come back.
#ifndef CATKINFORD_PROCESS_DRAIN_RATE_ESTIMATOR_H_
#define CATKINFORD_PROCESS_DRAIN_RATE_ESTIMATOR_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "request/job_request.h"

namespace catkinford {

// Measures from the time a backlog begins: in an idle time nothing drains either, and a rate that
// counted it would turn callers away from an empty floor.
class drain_rate_estimator {
 public:
  void BacklogBegan(monotonic_time now);
  void BacklogEnded() { running_ = false; }
  bool Running() const { return running_; }
  // Something has waited ever since, without a break.
  std::chrono::nanoseconds BacklogAge(monotonic_time now) const {
    return running_ ? now - began_ : std::chrono::nanoseconds{0};
  }
  // `count` tasks left the queue by being started.
  void Drained(uint32_t count, monotonic_time now);
  // From one task that drains to the next; nothing while it is not known.
  std::optional<std::chrono::nanoseconds> TimePerTask(monotonic_time now) const;
  // When `queued` tasks will have drained at the measured rate; nothing while it is not known.
  std::optional<std::chrono::milliseconds> TimeToDrain(uint32_t queued, monotonic_time now) const;

 private:
  double DecayedCount(monotonic_time now) const;

  bool running_ = false;
  double count_ = 0;  // tasks drained, the past fading exponentially
  monotonic_time began_{};
  monotonic_time updated_{};
};

// When a refused caller should come back. The jitter spreads callers that were refused together:
// without it they return together and are refused together again, seen as refusals in waves.
// `random` is a fresh random number.
std::chrono::milliseconds RetryAfter(std::optional<std::chrono::milliseconds> drain,
                                     uint64_t random);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_DRAIN_RATE_ESTIMATOR_H_
