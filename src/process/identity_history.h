// At most once: which requests marked not repeatable this shard has begun, and how they ended.
//
// The fenced lists of all endpoints are the durable part of this memory, since endpoints retain
// finished tasks for the identity window. A new owner that has fenced and listed every endpoint
// knows what started; what is in no list never started, and with its epoch refused never can.
// Until then, and where an endpoint's list is lost for good, an identity that is not known here
// may have run. docs/design/ tells what was weighed.
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
  std::chrono::milliseconds window{30000};  // remembered for this long after its end
  size_t capacity = 400000;                 // identities
  size_t answer_bytes = 32 << 20;           // of all kept answers together
};

enum class identity_verdict : uint8_t {
  kNew,        // surely never started: it is begun now, and may be started once
  kKnown,      // begun before: see Find()
  kUncertain,  // may have run under an earlier owner: the caller is told unknown
  kFull,       // no room to remember it, so it must not start
};

struct known_identity {
  bool finished = false;
  outcome_kind kind = outcome_kind::kUnknown;  // once finished
  bool has_answer = false;                     // false: the answer was given up for room
  std::string answer;
};

class identity_history {
 public:
  explicit identity_history(identity_options options) : options_(options) {}

  // The endpoints of the shard whose fenced list has not come yet.
  void SetUnlisted(size_t endpoints) { unlisted_ = endpoints; }
  // An endpoint was lost before this owner had listed it, or had lost its own memory: what it ran
  // is known to nobody.
  void OnListingLost(monotonic_time now);

  // `fresh`: the entry made the identity itself and has sent it nowhere before, so no earlier owner
  // can have seen it.
  identity_verdict Begin(const request_id& id, bool fresh, monotonic_time now);
  // From a fenced list.
  void AddRunning(const request_id& id, monotonic_time now);
  void AddFinished(const request_id& id, outcome_kind kind, const std::string& answer,
                   monotonic_time now);
  // The end of a run. A refusal means that nothing ran: the identity is free again.
  void Finish(const request_id& id, const outcome& result, monotonic_time now);
  std::optional<known_identity> Find(const request_id& id) const;
  // Forgets what ended longer ago than the window.
  void Expire(monotonic_time now);

  // Whether an unknown identity is surely one that never started.
  bool Certain(monotonic_time now) const { return unlisted_ == 0 && now >= uncertain_until_; }
  size_t Size() const { return entries_.size(); }
  size_t AnswerBytes() const { return answer_bytes_; }

 private:
  struct entry {
    monotonic_time ended{};  // zero: it runs
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
  std::deque<ending> endings_;  // in the order of time
  size_t answer_bytes_ = 0;
  size_t unlisted_ = 0;
  monotonic_time uncertain_until_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_IDENTITY_HISTORY_H_
