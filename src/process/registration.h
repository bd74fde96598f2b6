// Registers one entry as a member of its failure domain: a lease in the platform's store that is
// kept alive, with the member key attached to it. Pure: takes replies and time, returns store
// calls.
#ifndef CATKINFORD_PROCESS_REGISTRATION_H_
#define CATKINFORD_PROCESS_REGISTRATION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "connection/store_adapter.h"
#include "process/ownership_record.h"
#include "request/job_request.h"

namespace catkinford {

enum class store_call_kind : uint8_t { kGrantLease, kKeepLease, kSwap, kRange };

// A call for the store adapter. Its reply is returned with the same tag.
struct store_request {
  store_call_kind kind = store_call_kind::kRange;
  uint64_t tag = 0;
  std::string key;  // the prefix for kRange
  uint64_t expect = 0;
  std::optional<std::string> value;
  std::string write_id;
  std::string lease;
  std::chrono::milliseconds ttl{0};
};

// Tags for the calls of one process, so that a late reply is never taken for another call's.
class call_tags {
 public:
  uint64_t Next() { return ++last_; }

 private:
  uint64_t last_ = 0;
};

class registration {
 public:
  registration(member_record self, std::string key, std::chrono::milliseconds ttl);

  void Tick(monotonic_time now, call_tags& tags, std::vector<store_request>& out);
  // False when the tag does not belong to this object.
  bool OnReply(uint64_t tag, const store_reply& reply, monotonic_time now);
  // Retries at the next Tick() instead of at the next period.
  void RetryAtNextTick() { next_call_ = {}; }
  // A read that began after the registration did not show the key: it is written again.
  void OnKeyMissing();
  // Marks this entry in its key as taking no more shards.
  void MarkLeaving();
  // Deletes the key; the entry does not register again.
  void Leave();

  // The member key is in the store, attached to the current lease, as far as is known.
  bool Registered() const { return registered_; }
  bool Left() const { return state_ == state::kLeft; }
  // A later process of the same name is registered; this one has been replaced.
  bool Replaced() const { return replaced_; }
  const std::string& Lease() const { return self_.lease; }
  // The store keeps the lease at least until then, counted from when the renewal was sent.
  monotonic_time ValidUntil() const { return valid_until_; }
  // When the store last gave a definite answer.
  monotonic_time LastAnswer() const { return last_answer_; }

 private:
  enum class state : uint8_t { kNoLease, kUnwritten, kRegistered, kLeaving, kLeft };

  store_request NextCall(call_tags& tags);
  void OnLeaseGranted(const store_reply& reply, monotonic_time now);
  void OnKeepAliveReply(const store_reply& reply, monotonic_time now);
  void OnKeyWritten(const store_reply& reply, monotonic_time now);
  void OnDeleted(const store_reply& reply, monotonic_time now);
  void LoseLease();

  member_record self_;
  std::string key_;
  std::chrono::milliseconds ttl_;
  state state_ = state::kNoLease;
  bool registered_ = false;
  bool replaced_ = false;
  uint64_t revision_ = 0;  // of the member key, as last seen
  uint64_t call_tag_ = 0;  // zero: no call is in flight
  monotonic_time sent_{};
  monotonic_time next_call_{};
  monotonic_time valid_until_{};
  monotonic_time last_answer_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_REGISTRATION_H_
