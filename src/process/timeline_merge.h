// Merges the timelines of all processes by wall time and writes them as Chrome trace or text.
#ifndef CATKINFORD_PROCESS_TIMELINE_MERGE_H_
#define CATKINFORD_PROCESS_TIMELINE_MERGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinford {

// An event of one process, in wall time of the clock of that process.
struct merged_event {
  std::chrono::microseconds wall{0};  // since 1970
  size_t process = 0;                 // index into merged_timeline::processes
  uint64_t seq = 0;
  uint32_t code = 0;
  std::string name;
  std::string id;  // of the request or job, 32 hexadecimal digits; empty if none
  uint64_t epoch = 0;
  std::string subject;
  std::string detail;
};

struct timeline_process {
  std::string name;
  std::string failure_domain;
  uint64_t next = 0;  // sequence number to continue reading at
};

struct merged_timeline {
  std::vector<timeline_process> processes;
  std::vector<merged_event> events;
};

// Adds the answer of one process to GET /v1/timeline; false if it is malformed. Each process
// reports its monotonic and wall time of the same moment, so that a change of the wall clock in
// between does not separate its events.
bool AddProcess(std::string_view answer, merged_timeline& into);
// Sorts by wall time; events of one process keep their order.
void SortByTime(merged_timeline& timeline);
// Removes all events except those of this request or job.
void KeepOnly(std::string_view id, merged_timeline& timeline);

// Returns a Chrome trace: a track for each process, a span for each request from its arrival to its
// answer, all other events as instants.
std::string ToChromeTrace(const merged_timeline& timeline);
// Returns one line per event.
std::string ToText(const merged_timeline& timeline);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_TIMELINE_MERGE_H_
