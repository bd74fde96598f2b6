// State machine of an owner's connection to one endpoint: whether it is fenced, whether it is
// silent, and when the leases of all tasks there have certainly expired. Performs no I/O: it is
// given the time and returns the next call to send.
#ifndef CATKINFORD_CONNECTION_ENDPOINT_LINK_H_
#define CATKINFORD_CONNECTION_ENDPOINT_LINK_H_

#include <chrono>
#include <cstdint>

#include "connection/endpoint_adapter.h"

namespace catkinford {

struct link_options {
  std::chrono::milliseconds sync_wait{2000};
  std::chrono::milliseconds task_lease{10000};
  // Upper bound on how far the endpoint's clock may lag the local one over one lease.
  std::chrono::milliseconds drift_margin{1000};
  std::chrono::milliseconds probe_interval{300};
};

enum class endpoint_link_state : uint8_t {
  kFencing,  // tasks not yet listed under this owner's epoch
  kOpen,
  kSilent,  // two consecutive calls failed; probed by a fence, which renews no lease
  kGone,    // silent until every lease there has expired
};

enum class link_call : uint8_t { kNone, kFence, kSync };

class endpoint_link {
 public:
  // `owner_epoch` is the epoch of the shard; the low bits of the token are managed by the link.
  // Leases of tasks started by an earlier owner may have been renewed until just before `now`.
  endpoint_link(link_options options, uint64_t owner_epoch, monotonic_time now);

  // The call to send now, if any; it is in flight until the matching On...() is called.
  link_call Next(monotonic_time now);
  // The earliest time at which Next() may return a call if no other event occurs.
  monotonic_time NextWake() const;
  // The parameters of the sync that Next() returned.
  sync_call Sync() const;
  bool FreshConnection() const { return failures_ > 0; }

  // Call on every successful fence, with the endpoint's incarnation.
  void OnFenced(uint64_t incarnation, monotonic_time now);
  void OnFenceFailed(monotonic_time now);
  // `delay_next`: the reported ends are not durable yet, so the next sync is delayed.
  void OnSynced(uint64_t cursor, bool delay_next, monotonic_time now);
  // True when this failure made the link kSilent.
  bool OnSyncFailed(monotonic_time now);
  // A call whose reply was lost may still arrive at the endpoint. Raises the token and fences the
  // endpoint again before its state is trusted: a task that is not listed then has not started and
  // can no longer start, since its token is rejected. Does not need the store.
  void Refence(monotonic_time now);
  // The endpoint restarted: it is listed again under a raised token, which rejects calls that were
  // sent to the earlier incarnation.
  void Restarted(monotonic_time now);
  // True once, when the last lease at an unresponsive endpoint has expired; sets kGone.
  bool BecomesGone(monotonic_time now);
  // A start grants its tasks a lease, as a sync does.
  void OnStartSent(monotonic_time now) { last_renewal_ = now; }
  void AckUpTo(uint64_t cursor) { acked_cursor_ = cursor; }

  endpoint_link_state State() const { return state_; }
  uint64_t Token() const { return token_; }
  uint64_t Incarnation() const { return incarnation_; }
  uint64_t ReceivedCursor() const { return received_cursor_; }

 private:
  void RaiseToken();

  link_options options_;
  uint64_t token_;
  endpoint_link_state state_ = endpoint_link_state::kFencing;
  bool in_flight_ = false;
  uint8_t failures_ = 0;
  uint64_t incarnation_ = 0;
  uint64_t received_cursor_ = 0;  // ends up to here were received
  uint64_t acked_cursor_ = 0;     // the endpoint may discard ends up to here
  monotonic_time next_call_{};
  monotonic_time last_renewal_{};  // when the last call that may have renewed leases was sent
};

// The owner raises the low bits of an epoch token itself, without a write to the store.
inline constexpr int kTokenBits = 20;
inline uint64_t TokenOf(uint64_t owner_epoch) { return owner_epoch << kTokenBits; }
inline uint64_t OwnerEpochOf(uint64_t token) { return token >> kTokenBits; }

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_ENDPOINT_LINK_H_
