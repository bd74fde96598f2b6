#include "process/site/store_health.h"

#include <algorithm>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A reply takes 4 ms at the store and a few more on the network; on a busy entry rarely 100 ms.
constexpr milliseconds kSuspectAfter{250};
constexpr milliseconds kDownAfter{700};
// The thresholds scale with the usual latency: a store that is slow for everyone, by up to a factor
// of a hundred, is not down.
constexpr double kLatencyFactor = 4;
constexpr double kSmoothing = 0.8;  // weight of the past in the smoothed latency
// Bounds of Retry-After. Beyond a few seconds a short job is late in any case.
constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{3};
// A single failed call is no evidence of an outage: individual replies get lost.
constexpr uint32_t kFailuresForDown = 2;

}  // namespace

uint64_t store_health::Sent(monotonic_time now) {
  pending_.emplace_hint(pending_.end(), ++last_call_, now);
  return last_call_;
}

void store_health::Answered(uint64_t call, bool success, monotonic_time now) {
  const auto found = pending_.find(call);
  if (found == pending_.end()) return;
  const std::chrono::duration<double, std::milli> took = now - found->second;
  const monotonic_time sent = found->second;
  pending_.erase(found);
  if (!success) {
    if (++consecutive_failures_ == 1) first_failure_sent_ = sent;
    return;
  }
  consecutive_failures_ = 0;
  last_success_at_ = now;
  last_success_ = std::max(last_success_, call);
  latency_ = kSmoothing * latency_ + (1 - kSmoothing) * took;
}

store_state store_health::State(monotonic_time now) const {
  if (consecutive_failures_ >= kFailuresForDown) return store_state::kDown;
  // If a newer call has been answered, only the reply of the older one was lost: the store is up.
  const auto oldest = pending_.upper_bound(last_success_);
  if (oldest == pending_.end()) return store_state::kUp;
  const auto waited = now - oldest->second;
  const auto usual = std::chrono::duration_cast<milliseconds>(kLatencyFactor * latency_);
  if (waited > std::max(kDownAfter, usual)) return store_state::kDown;
  if (waited > std::max(kSuspectAfter, usual)) return store_state::kSuspect;
  return store_state::kUp;
}

std::optional<monotonic_time> store_health::TroubleSince(monotonic_time now) const {
  if (State(now) == store_state::kUp) return std::nullopt;
  if (consecutive_failures_ > 0) return first_failure_sent_;
  const auto oldest = pending_.upper_bound(last_success_);
  return oldest == pending_.end() ? std::nullopt : std::optional(oldest->second);
}

std::chrono::seconds store_health::RetryAfter(monotonic_time now) const {
  if (last_success_at_ == monotonic_time::max()) return kMinRetryAfter;
  return std::clamp(std::chrono::round<std::chrono::seconds>(now - last_success_at_),
                    kMinRetryAfter, kMaxRetryAfter);
}

milliseconds store_health::Latency() const {
  return std::chrono::duration_cast<milliseconds>(latency_);
}

}  // namespace catkinford
