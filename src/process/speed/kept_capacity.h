// Capacity of fast instances that is kept free for urgent steps which are about to arrive.
//
// Load: urgent jobs arrive all the time and cannot wait, while large jobs that can fill whatever is
// free. Without kept capacity an urgent job finds the fast instances taken for seconds by work that
// would have been in time on a slow one.
#ifndef CATKINFORD_PROCESS_SPEED_KEPT_CAPACITY_H_
#define CATKINFORD_PROCESS_SPEED_KEPT_CAPACITY_H_

#include <chrono>
#include <climits>
#include <cmath>
#include <cstdint>
#include <utility>

#include "absl/container/btree_map.h"
#include "request/job_request.h"

namespace catkinford {

class kept_capacity {
 public:
  // A step of this service and priority, lower first, became ready; its tasks need `cpu_milli`
  // together.
  void OnReady(uint32_t service, int priority, uint64_t cpu_milli, monotonic_time now) {
    demand& of = demands_[{service, priority}];
    of.rate = Decayed(of, now) + static_cast<double>(cpu_milli) / kWindow.count();
    of.updated = now;
  }
  // Thousandths of a processor that steps of this priority leave free for more urgent ones of the
  // same service.
  uint64_t For(uint32_t service, int priority, monotonic_time now) const {
    double kept = 0;
    for (auto at = demands_.lower_bound({service, INT_MIN}); at != demands_.end(); ++at) {
      if (at->first.first != service || at->first.second >= priority) break;
      kept += Decayed(at->second, now) * kAhead.count();
    }
    return static_cast<uint64_t>(kept);
  }

 private:
  struct demand {
    double rate = 0;  // thousandths of a processor that were asked for each second, smoothed
    monotonic_time updated{};
  };
  // Long enough to even out single jobs, short enough to follow a swing of the demand.
  static constexpr std::chrono::duration<double> kWindow{3};
  // About the time in which ending runs give back as much.
  static constexpr std::chrono::duration<double> kAhead{0.5};

  static double Decayed(const demand& of, monotonic_time now) {
    const std::chrono::duration<double> passed = now - of.updated;
    return of.rate * std::exp(-passed / kWindow);
  }

  absl::btree_map<std::pair<uint32_t, int>, demand> demands_;  // by service and priority
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SPEED_KEPT_CAPACITY_H_
