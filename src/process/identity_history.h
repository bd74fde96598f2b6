// At-most-once execution: which requests marked not repeatable this shard has started, and how they
// ended.
//
// The fenced listings of all endpoints are the durable part of this history, since endpoints retain
// finished tasks for the identity window. A new owner that has fenced and listed every endpoint
// knows what was started; what is in no listing was never started and never can be, as its epoch is
// rejected. Until then, and where the listing of an endpoint is lost for good, an unknown identity
// may have run. See docs/design/ for the trade-offs.
#ifndef CATKINFORD_PROCESS_IDENTITY_HISTORY_H_
#define CATKINFORD_PROCESS_IDENTITY_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "request/identity.h"
#include "request/job_request.h"
#include "request/outcome.h"

namespace catkinford {

struct identity_options {
  std::chrono::milliseconds window{30000};  // an identity is kept for this long after its end
  size_t capacity = 400000;                 // identities
  size_t answer_bytes = 32 << 20;           // of all stored answers together
};

enum class identity_verdict : uint8_t {
  kNew,        // certainly never started: recorded now, may be started once
  kKnown,      // started before: see Find()
  kUncertain,  // may have run under an earlier owner: the outcome is unknown
  kFull,       // the history is full, so it must not start
};

struct known_identity {
  bool finished = false;
  outcome_kind kind = outcome_kind::kUnknown;  // valid once finished
  bool has_answer = false;                     // false: the answer was dropped to free memory
  std::string answer;
};

class identity_history {
 public:
  explicit identity_history(identity_options options) : options_(options) {}

  // Sets the number of endpoints of the shard whose fenced listing has not arrived.
  void SetUnlisted(size_t endpoints) { unlisted_ = endpoints; }
  // An endpoint was lost before this owner had listed it, or lost its own history: what it ran is
  // unknown.
  void OnListingLost(monotonic_time now);

  // `fresh`: the entry generated the identity itself and has not sent it before, so no earlier
  // owner can have seen it.
  identity_verdict Begin(const request_id& id, bool fresh, monotonic_time now);
  // Records a task from a fenced listing.
  void AddRunning(const request_id& id, monotonic_time now);
  void AddFinished(const request_id& id, outcome_kind kind, const std::string& answer,
                   monotonic_time now);
  // Records the end of a run. A rejection means that nothing ran: the identity may be used again.
  void Finish(const request_id& id, const outcome& result, monotonic_time now);
  std::optional<known_identity> Find(const request_id& id) const;
  // Removes identities that ended longer ago than the window.
  void Expire(monotonic_time now);

  // Whether an unknown identity certainly never started.
  bool Certain(monotonic_time now) const { return unlisted_ == 0 && now >= uncertain_until_; }
  size_t Size() const { return entries_.size(); }
  size_t AnswerBytes() const { return answer_bytes_; }

 private:
  struct entry {
    monotonic_time ended{};  // zero: still running
    outcome_kind kind = outcome_kind::kUnknown;
  };
  struct ending {
    request_id id;
    monotonic_time ended{};
  };

  void End(const request_id& id, outcome_kind kind, const std::string& answer, monotonic_time now);
  void KeepAnswer(const request_id& id, const std::string& answer);

  identity_options options_;
  absl::flat_hash_map<request_id, entry> entries_;
  absl::flat_hash_map<request_id, std::string> answers_;
  std::deque<request_id> answer_order_;
  std::deque<ending> endings_;  // in order of time
  size_t answer_bytes_ = 0;
  size_t unlisted_ = 0;
  monotonic_time uncertain_until_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_IDENTITY_HISTORY_H_
