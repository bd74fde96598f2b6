// Rejected callers, each with the time at which it was told to retry.
//
// If callers were told only how long the real queue takes, all rejected callers would retry for the
// same few free slots and be rejected again, with many attempts for each request and an entry busy
// with rejections. Here each gets its own time, spaced at the drain rate of the queue, and one that
// keeps to it is admitted ahead of new requests.
#ifndef CATKINFORD_PROCESS_VIRTUAL_QUEUE_H_
#define CATKINFORD_PROCESS_VIRTUAL_QUEUE_H_

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <deque>
#include <utility>

#include "request/identity.h"
#include "request/job_request.h"

namespace catkinford {

class virtual_queue {
 public:
  // Returns the retry time of `id`: not before `earliest`, and `gap` after the last one assigned. A
  // caller whose assigned time has not come gets the same time again. The time is at most the
  // maximum delay away.
  monotonic_time Join(const request_id& id, monotonic_time earliest, std::chrono::nanoseconds gap,
                      monotonic_time now);
  // Whether the caller retries at its assigned time; the assignment is then used up.
  bool Redeem(const request_id& id, monotonic_time now);
  size_t Size() const { return due_.size(); }

 private:
  void Expire(monotonic_time now);

  absl::flat_hash_map<request_id, monotonic_time> due_;
  std::deque<std::pair<monotonic_time, request_id>>
      order_;  // by time; used assignments stay for a while
  monotonic_time last_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_VIRTUAL_QUEUE_H_
