// Decides when an entry queries the store or another entry for the newest configuration, and
// whether it may still answer by the configuration that it holds. No I/O.
//
// A change by the operators counts from the store's acknowledgement and must be in effect
// everywhere a fixed time later. Beside the configuration an entry therefore keeps the time as of
// which it was the newest. A watch of the store renews that time; if the watch is late, reads on
// separate connections and replies of other entries do. Once that time is older than the fixed
// limit, a newer configuration may be in effect, and a rejection by the present one could be wrong.
#ifndef CATKINFORD_PROCESS_SITE_VERSION_REFRESH_H_
#define CATKINFORD_PROCESS_SITE_VERSION_REFRESH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "connection/store_types.h"
#include "request/job_request.h"

namespace catkinford {

// How far an entry may rely on the configuration that it holds.
enum class version_trust : uint8_t {
  kUnconfirmed,  // a newer one may be in effect everywhere else
  kNewerKnown,   // another entry holds a newer one, which need not be in effect everywhere yet
  kNewest        // what it does not contain does not exist
};

enum class version_call : uint8_t {
  kRead,  // the newest configuration, complete
  kWatch  // waits at the store for changes after a revision
};

// One call to the store.
struct version_query {
  uint64_t id = 0;
  version_call call = version_call::kRead;
  uint64_t after = 0;                 // watch only: the store's revision
  std::chrono::milliseconds wait{0};  // watch only: how long it may wait at the store
  monotonic_time sent{};
  bool fresh_connection = false;  // a pooled one may be dead without a reset
};

// Summary of a reply of the store.
struct version_reply {
  store_status status = store_status::kUnavailable;
  uint64_t revision = 0;  // of the store, at the time of the reply
  size_t versions = 0;    // number of versions in the reply
  bool idle = false;      // reply to a watch without changes
};

// What an entry reports to others about its own configuration.
struct peer_version {
  uint64_t number = 0;
  uint64_t revision = 0;             // of the store, as of which it was the newest
  std::chrono::milliseconds age{0};  // since then, at the time of the reply
};

class version_refresh {
 public:
  static constexpr std::chrono::milliseconds kRetryInterval{250};

  // `propagation_limit`: how long after its acknowledgement a change must be in effect everywhere.
  version_refresh(std::chrono::milliseconds propagation_limit, monotonic_time now);

  // The next call to the store, if one is due. `store_up`: the store answers this entry's other
  // calls; `arriving`: a reply with a configuration is being received.
  std::optional<version_query> NextStoreCall(bool store_up, bool arriving, monotonic_time now);
  // `pause`: before the next call, if this one failed.
  void OnStoreReply(const version_query& query, const version_reply& reply, monotonic_time now,
                    std::chrono::milliseconds pause = kRetryInterval);

  // True if another entry is to be queried now; one query at a time.
  bool ShouldQueryPeer(monotonic_time now);
  // `reply`: empty if the entry did not answer.
  void OnPeerReply(const std::optional<peer_version>& reply, monotonic_time now);

  // This entry now uses configuration `number`.
  void OnApplied(uint64_t number);

  // The time as of which the configuration held here was the newest.
  monotonic_time AsOf() const { return as_of_; }
  uint64_t Revision() const { return revision_; }
  uint64_t HighestKnown() const { return highest_known_; }  // highest number known to exist
  version_trust Trust(monotonic_time now) const;

 private:
  version_query MakeQuery(version_call call, std::chrono::milliseconds wait, monotonic_time now);
  void Confirm(uint64_t revision, monotonic_time as_of);

  std::chrono::milliseconds propagation_limit_;
  uint64_t number_ = 0;         // of the configuration in use here; 0: none
  uint64_t highest_known_ = 0;  // highest number held here or by another entry
  uint64_t revision_ = 0;
  monotonic_time as_of_{};
  uint64_t last_id_ = 0;
  std::optional<uint64_t> main_call_;  // the regular read or watch in flight
  monotonic_time main_deadline_{};     // it is late without a reply by then
  monotonic_time next_call_at_{};      // earliest time of the next regular call
  bool next_is_read_ = true;           // the next regular call is a read, not a watch
  bool next_is_fresh_ = false;
  monotonic_time next_extra_read_at_{};  // earliest time of the next read beside a late watch
  bool peer_query_pending_ = false;
  monotonic_time peer_query_sent_{};
  monotonic_time next_peer_query_at_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_VERSION_REFRESH_H_
