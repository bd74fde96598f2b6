// Forecast of an instance's free capacity, with reservations for the steps that are next in order.
//
// Wide tasks need most of an instance, and narrow tasks that fit anywhere share its service. If
// each narrow task that ends is replaced by another, no instance is ever empty enough and the wide
// tasks starve although they come first. The steps that are next in order therefore reserve the
// instance that will have capacity for them soonest; other tasks start there only if they fit
// beside the reservation or are expected to end before it begins.
#ifndef CATKINFORD_PROCESS_SCHEDULING_CAPACITY_FORECAST_H_
#define CATKINFORD_PROCESS_SCHEDULING_CAPACITY_FORECAST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

class capacity_forecast {
 public:
  explicit capacity_forecast(const resources& free) { Add(free_, free, 1); }

  // A run is expected to end at `when`. Long-running tasks have no end.
  void AddEnd(monotonic_time when, const resources& demand);
  // A task starts now and is expected to end at `until`.
  void Start(const resources& demand, monotonic_time until);
  // Earliest time, not before `now`, at which `demand` is free beside all reservations; nothing if
  // there is none.
  std::optional<monotonic_time> EarliestFor(const resources& demand, monotonic_time now) const;
  void Reserve(const resources& demand, monotonic_time from);
  // True if using `demand` from now until `until` delays no reservation.
  bool MayUse(const resources& demand, monotonic_time until) const;

 private:
  // Signed: reservations may exceed the free capacity until their time comes.
  struct amounts {
    int64_t cpu_milli = 0;
    int64_t memory_mb = 0;
    int64_t accelerators = 0;
  };
  struct change {
    monotonic_time when;
    resources demand;
  };

  static void Add(amounts& sum, const resources& demand, int sign);
  static bool Covers(const amounts& sum, const resources& demand);
  // Free capacity at `when`, less the reservations that begin by then.
  amounts FreeAt(monotonic_time when) const;

  amounts free_;  // now
  std::vector<change> ends_;
  std::vector<change> reservations_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_CAPACITY_FORECAST_H_
