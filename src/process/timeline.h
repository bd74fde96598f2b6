// The timeline: a bounded ring of numbered events in each process, merged over all processes by
// `catkinford timeline`.
#ifndef CATKINFORD_PROCESS_TIMELINE_H_
#define CATKINFORD_PROCESS_TIMELINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "process/events.h"
#include "request/identity.h"
#include "request/job_request.h"

namespace catkinford {

struct timeline_event {
  uint64_t seq = 0;
  monotonic_time at{};
  event_code code{};
  request_id id;        // of the request or job; zero if none
  uint64_t epoch = 0;   // of the shard; zero if none
  std::string subject;  // shard, endpoint, peer or team
  std::string detail;
};

// Written by all threads of the process, read by the HTTP threads. New events overwrite the oldest.
class timeline {
 public:
  explicit timeline(size_t capacity);

  void Record(event_code code, monotonic_time now, const request_id& id = {}, uint64_t epoch = 0,
              std::string subject = {}, std::string detail = {});
  // Events with a sequence number of at least `since`, oldest first, at most `limit`.
  std::vector<timeline_event> Since(uint64_t since, size_t limit) const;

 private:
  mutable std::mutex mutex_;
  std::vector<timeline_event> ring_;
  uint64_t next_ = 1;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_TIMELINE_H_
