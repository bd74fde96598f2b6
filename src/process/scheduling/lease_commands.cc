#include "process/scheduling/lease_commands.h"

#include <algorithm>

#include "process/scheduling/fleet_state.h"

namespace catkinford {
namespace {

// Beyond the longest lease and the longest delay of a command that any platform sets.
constexpr std::chrono::minutes kRetention{2};

}  // namespace

std::chrono::milliseconds OnOwnClock(std::chrono::milliseconds lease) {
  return std::chrono::milliseconds(
      static_cast<int64_t>(static_cast<double>(lease.count()) / kSlowestClock) + 1);
}

uint64_t lease_commands::OnSent(int64_t incarnation, monotonic_time now) {
  std::erase_if(sent_, [now](const command& each) { return now - each.sent > kRetention; });
  sent_.push_back({++last_number_, incarnation, now});
  return last_number_;
}

void lease_commands::OnAnswered(uint64_t number) {
  std::erase_if(sent_, [number](const command& each) { return each.number == number; });
}

monotonic_time lease_commands::EndOfMisdirected(int64_t incarnation,
                                                std::chrono::milliseconds longest) const {
  monotonic_time end{};
  for (const command& each : sent_) {
    if (each.incarnation >= incarnation) continue;
    end = std::max(end, each.sent + kMaxCommandDelay + OnOwnClock(longest));
  }
  return end;
}

}  // namespace catkinford
