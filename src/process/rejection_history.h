// History of request attempts that this shard has answered with "not run".
//
// An entry sends a request again while it has no outcome, and such a message may still be in flight
// when the rejection is sent. Treated as a new request it would run after its caller was told that
// it did not. A caller that submits again is a different case: its request is tried anew. So each
// submission has a number, `ask`, which is the same in all messages that repeat it.
#ifndef CATKINFORD_PROCESS_REJECTION_HISTORY_H_
#define CATKINFORD_PROCESS_REJECTION_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "request/identity.h"
#include "request/job_request.h"
#include "request/outcome.h"

namespace catkinford {

class rejection_history {
 public:
  // `window`: longer than a message can be in flight. Beyond `capacity` the oldest is removed.
  rejection_history(std::chrono::milliseconds window, size_t capacity)
      : window_(window), capacity_(capacity) {}

  // `ask` zero means no number and is not recorded.
  void Add(const request_id& id, uint64_t ask, const outcome& refused, monotonic_time now);
  std::optional<outcome> Find(const request_id& id, uint64_t ask) const;
  void Expire(monotonic_time now);

 private:
  using ask_key = std::pair<request_id, uint64_t>;
  struct rejection {
    rejection_reason reason = rejection_reason::kNone;
    std::chrono::milliseconds retry_after{0};
  };

  void RemoveOldest();

  std::chrono::milliseconds window_;
  size_t capacity_;
  absl::flat_hash_map<ask_key, rejection> rejections_;
  std::deque<std::pair<monotonic_time, ask_key>> order_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_REJECTION_HISTORY_H_
