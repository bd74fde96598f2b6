#include "process/usage_forecast.h"

#include <cmath>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

constexpr milliseconds kMinAge{50};
// Time constant of the offset, in ages of the reports.
constexpr double kOffsetAges = 4;

// The weight of a new value in an exponential average with time constant `span`.
double WeightOf(seconds passed, seconds span) { return 1.0 - std::exp(-passed / span); }

}  // namespace

void usage_forecast::Observe(const resources& elsewhere, const resources& own,
                             const relative_sizes& others, milliseconds age, monotonic_time now) {
  const seconds lag = std::max(age, kMinAge);
  const double own_weight = initialized_ ? WeightOf(now - last_, lag) : 1.0;
  const double offset_weight = initialized_ ? WeightOf(now - last_, lag * kOffsetAges) : 1.0;
  for (size_t a = 0; a < kAmounts; ++a) {
    own_[a] += (AmountOf(own, a) - own_[a]) * own_weight;
    const double offset = AmountOf(elsewhere, a) - own_[a] * others[a] * kFollowFactor;
    offset_[a] += (offset - offset_[a]) * offset_weight;
  }
  last_ = now;
  initialized_ = true;
}

}  // namespace catkinford
