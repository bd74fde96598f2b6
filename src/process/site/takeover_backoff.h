// Whether an owner's silence alone justifies a takeover before its lease ends.
//
// The failure it prevents: an owner is busy, its answers wait behind its own work, and it is
// superseded; loading all records is more work still, so the next owner becomes silent too. The
// site changes hands once a second, nothing starts, and this continues after the load that caused
// it is over. Early takeovers for silence are spaced out, with a longer pause after each one that
// came soon after another; an owner that has died is superseded when its lease ends in any case.
#ifndef CATKINFORD_PROCESS_SITE_TAKEOVER_BACKOFF_H_
#define CATKINFORD_PROCESS_SITE_TAKEOVER_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "request/job_request.h"

namespace catkinford {

class takeover_backoff {
 public:
  // The store names the owner of this epoch.
  void OnOwner(uint64_t epoch, monotonic_time now) {
    if (epoch == epoch_) return;
    // The first owner seen may have owned the site for long.
    if (epoch_ != 0) {
      const bool soon = now - owner_since_ < kQuietPeriod;
      pause_ = soon ? std::clamp(pause_ * 2, kMinPause, kMaxPause) : kMinPause;
    }
    epoch_ = epoch;
    owner_since_ = now;
  }
  // For the current owner.
  bool MayTakeOverOnSilence(monotonic_time now) const { return now >= owner_since_ + pause_; }

 private:
  // A loaded owner has read its records and its first listings by then.
  static constexpr std::chrono::milliseconds kMinPause{3000};
  static constexpr std::chrono::milliseconds kMaxPause{24000};
  static constexpr std::chrono::milliseconds kQuietPeriod{15000};

  uint64_t epoch_ = 0;
  monotonic_time owner_since_{};
  std::chrono::milliseconds pause_{0};  // no pause for the first owner seen
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_TAKEOVER_BACKOFF_H_
