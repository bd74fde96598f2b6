// A durable job (service, batch or gang) and its encoding in a segment of the job log. Pure.
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

// The state of a job that survives the replacement of every entry.
struct durable_job {
  request_id id;
  std::string team;
  workload_kind kind = workload_kind::kBatch;
  bool urgent = false;
  bool repeatable = true;
  uint32_t tasks = 1;
  resources each;
  std::chrono::milliseconds declared_run_time{0};
  std::chrono::system_clock::time_point submitted{};  // wall time, since it outlives processes
  std::string payload;
  std::vector<bool> done;    // by task: ended for good, successfully or not, and never runs again
  std::vector<bool> failed;  // by task: which of the done ones failed
  std::string fault;         // output of the first one that failed
  std::string answer;        // of the task that ended last
  std::chrono::system_clock::time_point deadline{};  // wall time; the clock's epoch: none
  // For a job that is spread over shards: the shard of each task, and the home, which answers for
  // the whole job. `home` is empty if that is the writer of this record.
  std::vector<job_part> parts;
  std::string home;
  uint64_t plan = 0;  // how often `parts` has changed
};

// One entry of the log.
enum class log_entry_kind : uint8_t {
  kJob,       // the complete current record; replaces any earlier one
  kTaskDone,  // one task has ended for good
  kJobDone,   // the job is over or cancelled: nothing of it runs again
};

struct log_entry {
  log_entry_kind kind = log_entry_kind::kJob;
  durable_job job;     // kJob
  request_id id;       // the other kinds
  uint32_t index = 0;  // kTaskDone
  bool failed = false;
  std::string text;  // the task's fault or the job's answer
};

// Adds the end of one task to the record. False when it was there already.
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

// `entries`: encoded and joined by commas.
std::string EncodeSegment(uint64_t epoch, const std::string& entries);
// Absent when any entry is not readable: a log with missing entries must not pass for complete.
std::optional<log_segment> DecodeSegment(const std::string& text);
// The encoded entries inside a segment's value, as passed to EncodeSegment().
std::optional<std::string> EntriesOf(const std::string& text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_DURABLE_JOB_H_
