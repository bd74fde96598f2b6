#include "process/scheduling/run_speed.h"

#include <algorithm>

#include "process/scheduling/fleet_state.h"

namespace catkinford {
namespace {

// One step below full speed: a run that is disturbing nobody is at full speed after one command.
constexpr uint32_t kAssumedSpeed = 75;

}  // namespace

void run_speed::SetInherited() {
  percent_ = kAssumedSpeed;
  certain_ = false;
}

void run_speed::OnSent(monotonic_time next_change) {
  in_flight_ = true;
  next_change_ = next_change;
}

void run_speed::OnAnswer(uint32_t percent, command_result result, monotonic_time now) {
  in_flight_ = false;
  if (result == command_result::kUnknown) {
    certain_ = false;
    late_until_ = std::max(late_until_, now + kMaxCommandDelay);
  } else if (result == command_result::kDone) {
    percent_ = percent;
    certain_ = now >= late_until_;
  }
}

}  // namespace catkinford
