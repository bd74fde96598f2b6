// When an entry asks what the newest configuration is, whom, and whether it may still answer by the
// one that it holds. No I/O.
//
// The operators' change counts from the store's answer to them, and has to be in force everywhere a
// fixed time later. So an entry keeps, beside the configuration, the moment as of which that was
// the newest: a watch of the store renews it, and where the watch is late, reads on
// connections of their own and the word of other entries do. Once the moment is older than the
// fixed time, a newer configuration may be in force, and a refusal by this one could be untrue.
#ifndef CATKINFORD_PROCESS_SITE_VERSION_REFRESH_H_
#define CATKINFORD_PROCESS_SITE_VERSION_REFRESH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "connection/store_types.h"
#include "request/job_request.h"

namespace catkinford {

// What an entry may say by the configuration that it holds.
enum class version_trust : uint8_t {
  kUnconfirmed,  // a newer one may be in force everywhere else
  kNewerKnown,   // another entry holds a newer one, which is not in force everywhere yet
  kNewest        // what it lacks does not exist
};

enum class version_call : uint8_t {
  kRead,  // the newest one, whole
  kWatch  // what changes after a revision, waiting for it
};

// One call to the store.
struct version_query {
  uint64_t id = 0;
  version_call call = version_call::kRead;
  uint64_t after = 0;                 // revision; of a watch
  std::chrono::milliseconds wait{0};  // at the store; of a watch
  monotonic_time sent{};
  bool fresh_connection = false;  // a kept one may have gone silent
};

// What an answer of the store says of the configuration.
struct version_reply {
  store_status status = store_status::kUnavailable;
  uint64_t revision = 0;  // of the store, when it answered
  size_t versions = 0;    // that the answer holds
  bool idle = false;      // an answer to a watch, and nothing has changed
};

// What another entry says of its own configuration.
struct peer_version {
  uint64_t number = 0;
  uint64_t revision = 0;             // of the store, as of which it was the newest
  std::chrono::milliseconds age{0};  // since then, at the time of the answer
};

class version_refresh {
 public:
  // `propagation_limit`: how long after its acknowledgement a change has to be in force everywhere.
  version_refresh(std::chrono::milliseconds propagation_limit, monotonic_time now);

  // The next call to the store, if one is due. `store_up`: the store answers this entry's other
  // calls; `arriving`: an answer with a configuration is on its way and moving.
  std::optional<version_query> NextStoreCall(bool store_up, bool arriving, monotonic_time now);
  void OnStoreReply(const version_query& query, const version_reply& reply, monotonic_time now);

  // True when another entry is to be asked now; one question at a time.
  bool ShouldQueryPeer(monotonic_time now);
  // `word`: nothing when it did not answer.
  void OnPeerReply(const std::optional<peer_version>& reply, monotonic_time now);

  // A configuration is in force here from now on.
  void OnApplied(uint64_t number);

  // The configuration here was the newest at this time.
  monotonic_time AsOf() const { return as_of_; }
  uint64_t Revision() const { return revision_; }
  uint64_t HighestKnown() const {
    return highest_known_;
  }  // the highest number that any entry holds
  version_trust Trust(monotonic_time now) const;

 private:
  version_query MakeQuery(version_call call, std::chrono::milliseconds wait, monotonic_time now);
  void Confirm(uint64_t revision, monotonic_time as_of);

  std::chrono::milliseconds propagation_limit_;
  uint64_t number_ = 0;         // in force here; 0: none
  uint64_t highest_known_ = 0;  // the highest that another entry has
  uint64_t revision_ = 0;
  monotonic_time as_of_{};
  uint64_t last_id_ = 0;
  std::optional<uint64_t> main_call_;  // the read or watch under way
  monotonic_time main_deadline_{};     // without an answer by then
  monotonic_time next_call_at_{};      // the next one, not before
  bool next_is_read_ = true;           // rather than a watch
  bool next_is_fresh_ = false;
  monotonic_time next_extra_read_at_{};  // the next read beside a watch that is late
  bool peer_query_pending_ = false;
  monotonic_time peer_query_sent_{};
  monotonic_time next_peer_query_at_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_VERSION_REFRESH_H_
