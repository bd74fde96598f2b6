#include "process/speed/speed_match.h"

#include <algorithm>
#include <cmath>

namespace catkinford {
namespace {

// Expected run times are off by this factor, and a run has to be started and its end heard of.
constexpr double kMargin = 1.4;
// The fastest instances are about this much faster than the usual ones: a job that is late even
// there gains nothing from them.
constexpr double kFastest = 0.6;
constexpr double kSlowest = 100;
// Even the slowest instances seen are well below this.
constexpr double kAmple = 2;
// Above the whole range of the other terms of a score.
constexpr double kInTime = 2;

}  // namespace

speed_need DeadlineNeed(std::chrono::milliseconds left, std::chrono::milliseconds chain,
                        std::chrono::milliseconds run) {
  if (run.count() <= 0) return {speed_need::kind::kDeadline, kSlowest};
  const double spare =
      static_cast<double>(left.count()) / kMargin - static_cast<double>((chain - run).count());
  const double most = spare / static_cast<double>(run.count());
  if (most < kFastest) return {speed_need::kind::kSlow, 0};
  return {speed_need::kind::kDeadline, std::min(most, kSlowest)};
}

bool Suits(const speed_need& need, double slowness) {
  switch (need.what) {
    case speed_need::kind::kNone:
      return true;
    case speed_need::kind::kDeadline:
      return need.most >= kAmple ? slowness > 1 : slowness <= std::max(need.most, 1.0);
    case speed_need::kind::kSlow:
      return slowness > 1;
  }
  return true;
}

double SpeedScore(const speed_need& need, double slowness) {
  const double speed = std::log(slowness);
  switch (need.what) {
    case speed_need::kind::kNone:
      return 0;
    case speed_need::kind::kDeadline:
      return slowness <= need.most ? kInTime + speed : -speed;
    case speed_need::kind::kSlow:
      return speed;
  }
  return 0;
}

}  // namespace catkinford
