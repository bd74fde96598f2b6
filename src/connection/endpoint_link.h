// What an owner knows of its connection to one endpoint: fenced or not, silent or not, and when
// the leases of the tasks there have surely lapsed. Pure: time comes in, the next call goes out.
#ifndef CATKINFORD_CONNECTION_ENDPOINT_LINK_H_
#define CATKINFORD_CONNECTION_ENDPOINT_LINK_H_

#include <chrono>
#include <cstdint>

#include "connection/endpoint_adapter.h"

namespace catkinford {

struct link_options {
  std::chrono::milliseconds sync_wait{2000};
  std::chrono::milliseconds task_lease{10000};
  // The endpoint's clock may run slower than ours by less than this over one lease.
  std::chrono::milliseconds drift_margin{1000};
  std::chrono::milliseconds probe_interval{300};
};

enum class endpoint_link_state : uint8_t {
  kFencing,  // not yet listed under this owner's epoch
  kOpen,
  kSilent,  // two calls in a row failed; probed by a fence, which renews nothing
  kGone,    // silent for longer than every lease there
};

enum class link_call : uint8_t { kNone, kFence, kSync };

class endpoint_link {
 public:
  // `owner_epoch` is the epoch of the shard; the low bits of the token are the link's own.
  // What an earlier owner started may have been renewed until just before `now`.
  endpoint_link(link_options options, uint64_t owner_epoch, monotonic_time now);

  // The call to send now, if any; it counts as under way until its On...() comes.
  link_call Next(monotonic_time now);
  // When Next() may have something without anything else happening.
  monotonic_time NextWake() const;
  // The parameters of the sync that Next() asked for.
  sync_call Sync() const;
  bool FreshConnection() const { return failures_ > 0; }

  // Every answer to a fence that was done, with the endpoint's incarnation.
  void OnFenced(uint64_t incarnation, monotonic_time now);
  void OnFenceFailed(monotonic_time now);
  // `hold`: the ends that it told of are not durable yet, so the next sync must wait a little.
  void OnSynced(uint64_t cursor, bool delay_next, monotonic_time now);
  // True when this failure made the link silent.
  bool OnSyncFailed(monotonic_time now);
  // A call whose reply is lost may still arrive at the endpoint. The token is raised and the
  // endpoint fenced again before anything is believed about it: what then is not listed has not
  // started and cannot start any more, since its token is refused. Works without the store.
  void Refence(monotonic_time now);
  // The endpoint restarted: list it again, under a raised token, which keeps out of its new life
  // what was sent to the former one.
  void Restarted(monotonic_time now);
  // True once, when the last lease at an endpoint that does not answer has lapsed.
  bool BecomesGone(monotonic_time now);
  // A start gives its tasks a lease of their own, as a sync does.
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
  uint64_t received_cursor_ = 0;  // ends up to here were taken in
  uint64_t acked_cursor_ = 0;     // ends up to here may be forgotten by the endpoint
  monotonic_time next_call_{};
  monotonic_time last_renewal_{};  // when the last sync was sent that may have renewed leases
};

// The low bits of an epoch token belong to the owner: it raises them without the store.
inline constexpr int kTokenBits = 20;
inline uint64_t TokenOf(uint64_t owner_epoch) { return owner_epoch << kTokenBits; }
inline uint64_t OwnerEpochOf(uint64_t token) { return token >> kTokenBits; }

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_ENDPOINT_LINK_H_
