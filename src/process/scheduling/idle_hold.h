// Limits how long reservations may keep capacity of a service that is mostly idle.
//
// A reservation begins when runs are expected to end. Where one of them goes on for much longer, or
// what is reserved for needs nearly all instances, a few steps would keep the service idle while
// all others wait.
#ifndef CATKINFORD_PROCESS_SCHEDULING_IDLE_HOLD_H_
#define CATKINFORD_PROCESS_SCHEDULING_IDLE_HOLD_H_

#include <chrono>

#include "request/job_request.h"

namespace catkinford {

class idle_hold {
 public:
  // To be called in each round. `mostly_idle`: under half of the service's processors are in use.
  // Returns whether steps may reserve capacity in this round.
  bool MayReserve(bool mostly_idle, monotonic_time now) {
    if (!mostly_idle) {
      since_ = {};
      paused_until_ = {};
      return true;
    }
    if (now < paused_until_) return false;
    if (since_ == monotonic_time{}) since_ = now;
    if (now - since_ < kMaxHold) return true;
    since_ = {};
    paused_until_ = now + kPause;
    return false;
  }

 private:
  // A caller's job with room to run must not wait for three seconds.
  static constexpr std::chrono::milliseconds kMaxHold{2000};
  // Long enough for the steps that were held up to get their tickets and start.
  static constexpr std::chrono::milliseconds kPause{2000};

  monotonic_time since_{};
  monotonic_time paused_until_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_IDLE_HOLD_H_
