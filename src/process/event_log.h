// Logs numbered events: each goes into the timeline at once, and to the log through a bounded ring
// and a separate thread, so that a slow disk or terminal never delays a decision.
#ifndef CATKINFORD_PROCESS_EVENT_LOG_H_
#define CATKINFORD_PROCESS_EVENT_LOG_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "connection/bounded_ring.h"
#include "process/events.h"
#include "process/timeline.h"
#include "request/identity.h"
#include "request/job_request.h"

namespace catkinford {

struct event_log_options {
  event_level level = event_level::kInfo;  // lowest level logged; the timeline records all
  std::string file;                        // empty: standard error
  size_t queue_capacity = 8192;            // lines waiting for the log thread
};

class event_log {
 public:
  event_log(const event_log_options& options, timeline& events);
  // Writes all waiting lines.
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  // Thread-safe; never blocks on output. `subject` is a shard, endpoint, peer or team.
  void Emit(event_code code, monotonic_time now, const request_id& id = {}, uint64_t epoch = 0,
            std::string subject = {}, std::string detail = {});
  // Log lines dropped because the ring was full; the timeline still has their events.
  uint64_t DroppedLines() const { return dropped_.load(std::memory_order_relaxed); }

 private:
  struct line {
    event_code code{};
    request_id id;
    uint64_t epoch = 0;
    std::string subject;
    std::string detail;
  };

  void Run();
  static void Write(const line& entry);

  event_level level_;
  timeline& timeline_;
  bounded_ring<line> ring_;
  std::atomic<uint64_t> dropped_{0};
  std::thread writer_;
};

// The text of a log line after its time: "300 shard_claimed id=... epoch=4 subject=... ...".
std::string EventText(event_code code, const request_id& id, uint64_t epoch,
                      const std::string& subject, const std::string& detail);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_EVENT_LOG_H_
