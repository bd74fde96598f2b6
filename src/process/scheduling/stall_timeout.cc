#include "process/scheduling/stall_timeout.h"

#include <algorithm>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Estimates are off by half, and slow instances by a few times.
constexpr int64_t kStallFactor = 3;
constexpr uint32_t kMaxDoublings = 10;

}  // namespace

milliseconds StallTimeout(milliseconds expected, milliseconds longest_step, uint32_t stalls) {
  const milliseconds usual = std::max(expected / 100, longest_step);
  const int64_t doublings = int64_t{1} << std::min(stalls, kMaxDoublings);
  return std::max(kMinStallTimeout, kStallFactor * usual) * doublings;
}

}  // namespace catkinford
