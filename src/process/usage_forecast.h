// Estimates what a team runs in all other shards now from reports that are out of date.
//
// All shards of a cell see the same deficit of a team and compensate for it, each knowing only what
// the others ran some time ago. Used directly, the reports make all shards together give the team
// several times what it lacks and take it back with the next reports; averaged over as many reports
// as there are shards, a returning team needs minutes at 18 shards to reach its share. Shares would
// oscillate, or a large team would wait while others run on.
//
// A shard therefore treats its own change as a predictor of the others': if it now runs more of the
// team than at the time of the report, so do they, in proportion to their size. Only the difference
// between the reports and this forecast is learned from the reports.
#ifndef CATKINFORD_PROCESS_USAGE_FORECAST_H_
#define CATKINFORD_PROCESS_USAGE_FORECAST_H_

#include <algorithm>
#include <array>
#include <chrono>

#include "process/free_index.h"
#include "request/job_request.h"

namespace catkinford {

class usage_forecast {
 public:
  // Combined capacity of all other shards relative to this one, by amount.
  using relative_sizes = std::array<double, kAmounts>;

  // Records that the others ran `elsewhere`, `age` ago on average, while this shard runs `own` now.
  void Observe(const resources& elsewhere, const resources& own, const relative_sizes& others,
               std::chrono::milliseconds age, monotonic_time now);

  // Estimate of what the others run now of an amount, while this shard runs `own` of it; zero
  // before the first report.
  double Elsewhere(size_t amount, uint32_t own, const relative_sizes& others) const {
    if (!initialized_) return 0;
    return std::max(0.0, offset_[amount] + own * others[amount] * kFollowFactor);
  }

 private:
  // Fraction of its own change that a shard expects of the others. Distance from the share in
  // percentage points with 18 shards and reports every second, in the first and second 5 s after a
  // large team returned, and from 10 s on: 0.25 8.1, 1.0, 0.19; 0.5 6.9, 0.5, 0.63; 1 1.5, 1.1,
  // 1.50 (random changes of a small shard weigh too much).
  static constexpr double kFollowFactor = 0.5;

  std::array<double, kAmounts> own_{};     // delayed by the age of the reports
  std::array<double, kAmounts> offset_{};  // of the others' usage from the forecast
  monotonic_time last_{};
  bool initialized_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_USAGE_FORECAST_H_
