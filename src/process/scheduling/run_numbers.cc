#include "process/scheduling/run_numbers.h"

#include <algorithm>
#include <limits>

namespace catkinford {
namespace {

constexpr uint64_t kRunsPerOwner = 1000;
constexpr uint64_t kUnrecordedRuns = kRunsPerOwner / 2;
constexpr uint32_t kMaxDoublings = 16;

// At the end of the type's range numbers stay the same instead of beginning anew.
uint32_t Saturated(uint64_t number) {
  return static_cast<uint32_t>(
      std::min<uint64_t>(number, std::numeric_limits<uint32_t>::max() - uint64_t{1}));
}

}  // namespace

uint64_t run_numbers::Base() const { return epoch_ == 0 ? 0 : (epoch_ - 1) * kRunsPerOwner; }

uint32_t run_numbers::Next(uint32_t last) const {
  return Saturated(std::max<uint64_t>(last, Base()) + 1);
}

uint32_t run_numbers::ToRecord(uint32_t last) const {
  if (last < Base() + kUnrecordedRuns) return 0;
  return static_cast<uint32_t>(last - Base());
}

uint32_t run_numbers::FromRecord(uint32_t recorded) const { return Saturated(Base() + recorded); }

uint32_t run_numbers::AfterRefusal(uint32_t refused, uint32_t refusals) {
  const uint32_t doublings = std::min(refusals == 0 ? 0 : refusals - 1, kMaxDoublings);
  return Saturated(refused + (kRunsPerOwner << doublings));
}

}  // namespace catkinford
