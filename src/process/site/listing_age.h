// How old an instance's listing is when the owner handles it: its time on the network and in this
// process's queues.
//
// A listing carries the instance's clock, which has any offset to ours. The smallest offset of the
// last seconds belongs to the listing that arrived fastest and counts as no age at all, so that the
// estimate is low when all of them were late.
#ifndef CATKINFORD_PROCESS_SITE_LISTING_AGE_H_
#define CATKINFORD_PROCESS_SITE_LISTING_AGE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "request/job_request.h"

namespace catkinford {

class listing_age {
 public:
  // `clock_ms`: the instance's clock in the listing.
  std::chrono::milliseconds Age(const std::string& instance, int64_t clock_ms, monotonic_time now) {
    offsets& known = by_instance_[instance];
    const int64_t now_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const int64_t offset = now_ms - clock_ms;
    // A restarted instance has another clock.
    if (clock_ms < known.clock_ms) known = {};
    known.clock_ms = clock_ms;
    if (now - known.window_start > kWindow) {
      known.previous = now - known.window_start > 2 * kWindow ? kNone : known.current;
      known.current = kNone;
      known.window_start = now;
    }
    known.current = std::min(known.current, offset);
    return std::chrono::milliseconds(offset - std::min(known.current, known.previous));
  }

 private:
  // The clocks drift apart by up to 2 percent.
  static constexpr std::chrono::seconds kWindow{2};
  static constexpr int64_t kNone = std::numeric_limits<int64_t>::max();

  struct offsets {
    int64_t clock_ms = 0;
    int64_t current = kNone;   // smallest of the window that began at `window_start`
    int64_t previous = kNone;  // smallest of the window before
    monotonic_time window_start{};
  };

  absl::flat_hash_map<std::string, offsets> by_instance_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_LISTING_AGE_H_
