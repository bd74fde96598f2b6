// Which asks of callers this shard has answered with "not run".
//
// An entry sends a request again while it has no outcome, and such a sending may still be under way
// when the refusal is. Taken for a new request it would run after its caller was told that it did
// not. A caller that asks anew is another matter: its request is tried anew. So each ask has a
// number, the same in all its sendings.
#ifndef CATKINFORD_PROCESS_REFUSAL_MEMORY_H_
#define CATKINFORD_PROCESS_REFUSAL_MEMORY_H_

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

class refusal_memory {
 public:
  // `window`: longer than a sending can be under way. Beyond `capacity` the oldest is forgotten.
  refusal_memory(std::chrono::milliseconds window, size_t capacity)
      : window_(window), capacity_(capacity) {}

  // Ask zero is nobody's.
  void Add(const request_id& id, uint64_t ask, const outcome& refused, monotonic_time now);
  std::optional<outcome> Find(const request_id& id, uint64_t ask) const;
  void Expire(monotonic_time now);

 private:
  using one_ask = std::pair<request_id, uint64_t>;
  struct refusal {
    rejection_reason reason = rejection_reason::kNone;
    std::chrono::milliseconds retry_after{0};
  };

  void ForgetOldest();

  std::chrono::milliseconds window_;
  size_t capacity_;
  absl::flat_hash_map<one_ask, refusal> refusals_;
  std::deque<std::pair<monotonic_time, one_ask>> order_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_REFUSAL_MEMORY_H_
