#include "connection/endpoint_link.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr uint8_t kSilentAfterFailures = 2;
// Delay of the next sync while reported ends are not durable yet: the endpoint would only report
// the same ends again.
constexpr milliseconds kSyncDelay{20};

}  // namespace

endpoint_link::endpoint_link(link_options options, uint64_t owner_epoch, monotonic_time now)
    : options_(options), token_(TokenOf(owner_epoch)), next_call_(now), last_renewal_(now) {}

link_call endpoint_link::Next(monotonic_time now) {
  if (in_flight_ || now < next_call_) return link_call::kNone;
  in_flight_ = true;
  if (state_ != endpoint_link_state::kOpen) return link_call::kFence;
  last_renewal_ = now;
  return link_call::kSync;
}

monotonic_time endpoint_link::NextWake() const {
  return in_flight_ ? monotonic_time::max() : next_call_;
}

sync_call endpoint_link::Sync() const {
  // After a failure the endpoint must reply immediately: the sync is a liveness check.
  const milliseconds wait = failures_ > 0 ? milliseconds{0} : options_.sync_wait;
  return {token_, incarnation_, acked_cursor_, wait, options_.task_lease};
}

void endpoint_link::OnFenced(uint64_t incarnation, monotonic_time now) {
  in_flight_ = false;
  failures_ = 0;
  state_ = endpoint_link_state::kOpen;
  if (incarnation != incarnation_) {
    incarnation_ = incarnation;
    acked_cursor_ = 0;
    received_cursor_ = 0;
  }
  next_call_ = now;
}

void endpoint_link::OnFenceFailed(monotonic_time now) {
  in_flight_ = false;
  next_call_ = now + options_.probe_interval;
}

void endpoint_link::OnSynced(uint64_t cursor, bool delay_next, monotonic_time now) {
  in_flight_ = false;
  failures_ = 0;
  received_cursor_ = cursor;
  next_call_ = delay_next ? now + kSyncDelay : now;
}

bool endpoint_link::OnSyncFailed(monotonic_time now) {
  in_flight_ = false;
  next_call_ = now;
  if (++failures_ < kSilentAfterFailures || state_ != endpoint_link_state::kOpen) return false;
  RaiseToken();
  state_ = endpoint_link_state::kSilent;
  return true;
}

void endpoint_link::Refence(monotonic_time now) {
  RaiseToken();
  if (state_ == endpoint_link_state::kOpen) state_ = endpoint_link_state::kSilent;
  // Does not wait for the reply of a sync that may be in flight.
  in_flight_ = false;
  next_call_ = now;
}

void endpoint_link::Restarted(monotonic_time now) {
  RaiseToken();
  state_ = endpoint_link_state::kSilent;
  in_flight_ = false;
  next_call_ = now;
}

bool endpoint_link::BecomesGone(monotonic_time now) {
  if (state_ != endpoint_link_state::kSilent && state_ != endpoint_link_state::kFencing)
    return false;
  if (now < last_renewal_ + options_.task_lease + options_.drift_margin) return false;
  state_ = endpoint_link_state::kGone;
  return true;
}

void endpoint_link::RaiseToken() { ++token_; }

}  // namespace catkinford
