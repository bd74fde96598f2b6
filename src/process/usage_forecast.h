// What a team runs in all other shards now, worked out from news that are old.
//
// All shards of a cell see the same lack of a team and make up for it, each knowing of the others
// only what they ran some time ago. Taken as it comes, the news make all of them together give the
// team several times what it lacks, and take it back with the next news; averaged over as many news
// as there are shards, it takes minutes at 18 shards until a team that comes back has its share.
// One would notice parts that swing, or a large team that waits while others run on.
//
// Here a shard takes what it does itself as a sign of what the others do meanwhile: where it now
// runs more of the team than it did at the time of the news, so do they, in proportion to their
// size. What is learned from the news is only the difference between them and that forecast.
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
  // The size of all other shards, in sizes of this one, by amount.
  using relative_sizes = std::array<double, kAmounts>;

  // The others ran `elsewhere`, `age` ago on average, and this shard runs `own` now.
  void Observe(const resources& elsewhere, const resources& own, const relative_sizes& others,
               std::chrono::milliseconds age, monotonic_time now);

  // What they run now of an amount, while this shard runs `own` of it; nothing before any news.
  double Elsewhere(size_t amount, uint32_t own, const relative_sizes& others) const {
    if (!initialized_) return 0;
    return std::max(0.0, offset_[amount] + own * others[amount] * kFollowFactor);
  }

 private:
  // How much of its own change a shard expects of the others. `cell`, 18 shards, news each second,
  // points from share in the first and second 5 s after a large team came back, and from 10 s on:
  // 0.25 8.1, 1.0, 0.19; 0.5 6.9, 0.5, 0.63; 1 1.5, 1.1, 1.50 (what a small shard does by chance
  // counts for too much).
  static constexpr double kFollowFactor = 0.5;

  std::array<double, kAmounts> own_{};     // as old as the news
  std::array<double, kAmounts> offset_{};  // of the others from the forecast
  monotonic_time last_{};
  bool initialized_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_USAGE_FORECAST_H_
