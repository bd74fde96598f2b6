// A durable job (service, batch or gang) and its codec inside a segment of the job log. Pure.
#ifndef CATKINFORD_PROCESS_DURABLE_JOB_H_
#define CATKINFORD_PROCESS_DURABLE_JOB_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "request/identity.h"
#include "request/job_part.h"
#include "request/job_request.h"

namespace catkinford {

// What of a job has to survive the replacement of every entry.
struct durable_job {
  request_id id;
  std::string team;
  workload_kind kind = workload_kind::kBatch;
  bool urgent = false;
  bool repeatable = true;
  uint32_t tasks = 1;
  resources each;
  std::chrono::milliseconds declared_run_time{0};
  std::chrono::system_clock::time_point submitted{};  // wall time: it outlives processes
  std::string payload;
  std::vector<bool> done;    // by task: it ended for good, well or not, and never runs again
  std::vector<bool> failed;  // by task: of the done ones
  std::string fault;         // what the first of them said
  std::string answer;        // of the end after which no task was left
  std::chrono::system_clock::time_point deadline{};  // wall time; the clock's epoch: none
  // Of a job that is spread over shards: where each task lives, and, unless it is the writer of
  // this record, the shard that answers for the whole.
  std::vector<job_part> parts;
  std::string home;
  uint64_t plan = 0;  // how often `parts` has changed
};

// One line of the log.
enum class log_entry_kind : uint8_t {
  kJob,       // the whole record as it is now; a later one replaces an earlier one
  kTaskDone,  // one task ended for good
  kJobDone,   // the job is over or cancelled: nothing of it runs again
};

struct log_entry {
  log_entry_kind kind = log_entry_kind::kJob;
  durable_job job;     // kJob
  request_id id;       // the others
  uint32_t index = 0;  // kTaskDone
  bool failed = false;
  std::string text;  // its fault, or the job's answer
};

// Takes the end of one task into the record. False when it was there already.
bool RecordTaskEnd(durable_job& job, uint32_t index, bool failed, const std::string& text);

std::string EncodeJob(const durable_job& job);
std::string EncodeTaskDone(const request_id& id, uint32_t index, bool failed,
                           const std::string& text);
std::string EncodeJobDone(const request_id& id);

// The value of one segment: the epoch of the owner that wrote it last, and its entries.
struct log_segment {
  uint64_t epoch = 0;
  std::vector<log_entry> entries;
};

// `entries`: encoded, joined by commas.
std::string EncodeSegment(uint64_t epoch, const std::string& entries);
// Absent when any entry is not readable: a log with a hole must not pass for a whole one.
std::optional<log_segment> DecodeSegment(const std::string& text);
// The encoded entries inside a segment's value, as EncodeSegment() took them.
std::optional<std::string> EntriesOf(const std::string& text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_DURABLE_JOB_H_
