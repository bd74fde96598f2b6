#include "process/site/store_health.h"

#include <algorithm>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Answers take 4 ms at the store and a few on the way; one of a busy entry rarely 100 ms.
constexpr milliseconds kDoubtfulAfter{250};
constexpr milliseconds kDownAfter{700};
// A store that is slow for all, up to a hundred times, is not down.
constexpr double kTimesUsual = 4;
constexpr double kKeep = 0.8;  // weight of the past in the smoothed latency
// For callers that are refused. Beyond a few seconds a quick job is late whatever happens.
constexpr std::chrono::seconds kSoonest{1};
constexpr std::chrono::seconds kLatest{3};
// One call that is turned away or lost says little: single answers get lost.
constexpr uint32_t kFailedInARow = 2;

}  // namespace

uint64_t store_health::Sent(monotonic_time now) {
  waiting_.emplace_hint(waiting_.end(), ++last_call_, now);
  return last_call_;
}

void store_health::Answered(uint64_t call, bool good, monotonic_time now) {
  const auto found = waiting_.find(call);
  if (found == waiting_.end()) return;
  const std::chrono::duration<double, std::milli> took = now - found->second;
  waiting_.erase(found);
  if (!good) {
    ++failed_;
    return;
  }
  failed_ = 0;
  answered_ = now;
  last_good_ = std::max(last_good_, call);
  latency_ = kKeep * latency_ + (1 - kKeep) * took;
}

store_state store_health::State(monotonic_time now) const {
  if (failed_ >= kFailedInARow) return store_state::kDown;
  // An older call than one that was answered has lost its answer alone: the store is there.
  const auto oldest = waiting_.upper_bound(last_good_);
  if (oldest == waiting_.end()) return store_state::kUp;
  const auto silent = now - oldest->second;
  const auto usual = std::chrono::duration_cast<milliseconds>(kTimesUsual * latency_);
  if (silent > std::max(kDownAfter, usual)) return store_state::kDown;
  if (silent > std::max(kDoubtfulAfter, usual)) return store_state::kDoubtful;
  return store_state::kUp;
}

std::chrono::seconds store_health::ComeBackAfter(monotonic_time now) const {
  if (answered_ == monotonic_time::max()) return kSoonest;
  return std::clamp(std::chrono::round<std::chrono::seconds>(now - answered_), kSoonest, kLatest);
}

milliseconds store_health::Latency() const {
  return std::chrono::duration_cast<milliseconds>(latency_);
}

}  // namespace catkinford
