// When an entry that was told to stop stops taking requests, settles those in flight, and ends.
#ifndef CATKINFORD_PROCESS_SITE_SHUTDOWN_SCHEDULE_H_
#define CATKINFORD_PROCESS_SITE_SHUTDOWN_SCHEDULE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "request/job_request.h"

namespace catkinford {

// The phases follow each other in this order.
enum class shutdown_phase : uint8_t {
  kServing,    // requests on open connections are served as usual
  kRejecting,  // new requests are rejected unread; those in flight go on
  kSettling,   // requests in flight are answered at once, with what is known of them
  kEnded
};

class shutdown_schedule {
 public:
  // `limit`: from the signal until the process is killed.
  shutdown_schedule(monotonic_time begun, std::chrono::milliseconds limit)
      : deregistered_at_(begun + kDeregistrationDelay),
        settle_at_(begun + std::max(limit - kMargin, std::chrono::milliseconds{0})),
        reject_at_(settle_at_ - kSettleTime) {}

  // `idle`: no request is in flight. `resigned`: the store has confirmed that this entry gave up
  // its lease. Enters at most the next phase, so that a request that arrives before requests are
  // rejected is in flight when `idle` is next determined.
  shutdown_phase Advance(bool idle, bool resigned, monotonic_time now) {
    switch (phase_) {
      case shutdown_phase::kServing:
        if (now >= reject_at_ || (idle && resigned && now >= deregistered_at_)) {
          phase_ = shutdown_phase::kRejecting;
        }
        break;
      case shutdown_phase::kRejecting:
        if (idle) {
          phase_ = shutdown_phase::kEnded;
        } else if (now >= settle_at_) {
          phase_ = shutdown_phase::kSettling;
          settled_at_ = now;
        }
        break;
      case shutdown_phase::kSettling:
        // From the settling, not from the signal: after a suspension the answers still have time.
        if (idle || now >= settled_at_ + kSendLimit) phase_ = shutdown_phase::kEnded;
        break;
      case shutdown_phase::kEnded:
        break;
    }
    return phase_;
  }

 private:
  // The load balancer takes an entry out of rotation after two failed checks, a second apart.
  static constexpr std::chrono::milliseconds kDeregistrationDelay{2300};
  static constexpr std::chrono::milliseconds kMargin{1000};
  // In which most requests are served; one that arrives with less time left is rejected.
  static constexpr std::chrono::milliseconds kSettleTime{400};
  // For answers to leave; slow readers do not delay the end any longer.
  static constexpr std::chrono::milliseconds kSendLimit{800};

  monotonic_time deregistered_at_;
  monotonic_time settle_at_;
  monotonic_time reject_at_;
  monotonic_time settled_at_{};
  shutdown_phase phase_ = shutdown_phase::kServing;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SHUTDOWN_SCHEDULE_H_
