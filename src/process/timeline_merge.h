// The time lines of all processes as one: by wall time, in the Chrome trace format or as text.
#ifndef CATKINFORD_PROCESS_TIMELINE_MERGE_H_
#define CATKINFORD_PROCESS_TIMELINE_MERGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinford {

// One event of one process, at the wall time of that process's clock.
struct merged_event {
  std::chrono::microseconds wall{0};  // since 1970
  size_t process = 0;                 // place in merged_timeline::processes
  uint64_t seq = 0;
  uint32_t code = 0;
  std::string name;
  std::string id;  // of the request or job, 32 hexadecimal digits; empty without one
  uint64_t epoch = 0;
  std::string subject;
  std::string detail;
};

struct timeline_process {
  std::string name;
  std::string failure_domain;
  uint64_t next = 0;  // where to read on
};

struct merged_timeline {
  std::vector<timeline_process> processes;
  std::vector<merged_event> events;
};

// Takes in the answer of one process to GET /v1/timeline. False when it is none. Each process gives
// its monotonic and wall time of one moment, so that a wall clock that was set meanwhile does not
// tear its events apart.
bool AddProcess(std::string_view answer, merged_timeline& into);
// By wall time; events of one process keep their order.
void SortByTime(merged_timeline& timeline);
// Only events of this request or job.
void KeepOnly(std::string_view id, merged_timeline& timeline);

// For viewers of the Chrome trace format: a track for each process, a span for each request from
// its arrival to its answer, everything else as instants.
std::string ToChromeTrace(const merged_timeline& timeline);
// One line an event.
std::string ToText(const merged_timeline& timeline);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_TIMELINE_MERGE_H_
