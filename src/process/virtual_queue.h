// Callers who were refused, each with the time at which it was told to come back.
//
// Told only how long the real queue takes, all who are refused come back to the same few free
// places and are refused again, over and over: one would notice many tries for each request, and an
// entry that is busy with refusals. Here each is told a time of its own, spaced as the queue
// drains, and one who keeps to it is taken in before newcomers.
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
  // The time for `id` to come back: not before `earliest`, and `gap` after the one told last. A
  // caller who holds a time that has not come is told the same again. None is told that would be
  // later than the queue is long.
  monotonic_time Join(const request_id& id, monotonic_time earliest, std::chrono::nanoseconds gap,
                      monotonic_time now);
  // Whether the caller comes back when it was told to; its place is then used.
  bool Redeem(const request_id& id, monotonic_time now);
  size_t Size() const { return due_.size(); }

 private:
  void Expire(monotonic_time now);

  absl::flat_hash_map<request_id, monotonic_time> due_;
  std::deque<std::pair<monotonic_time, request_id>>
      order_;  // by time; used places stay for a while
  monotonic_time last_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_VIRTUAL_QUEUE_H_
