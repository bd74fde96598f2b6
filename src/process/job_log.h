// The durable jobs of one shard: a log in the platform's store, written by the shard's owner.
//
// The log is a chain of segments ("<prefix><number>"), each one value of the store, changed only by
// compare-and-swap. Entries are appended to the open segment by group commit, one call in flight at
// a time. The open segment is always followed by an empty one, so a new owner that has rewritten
// both has fenced off every earlier owner, however long that one was paused. Pure: takes replies
// and time, returns store calls and notices. See docs/design/ for the alternatives.
#ifndef CATKINFORD_PROCESS_JOB_LOG_H_
#define CATKINFORD_PROCESS_JOB_LOG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "connection/store_adapter.h"
#include "process/durable_job.h"
#include "process/registration.h"
#include "request/job_request.h"

namespace catkinford {

struct job_log_options {
  std::string prefix;  // "jobs/<domain>/<shard>/"
  std::string writer;  // names this process in write ids
  uint64_t epoch = 0;  // of the ownership under which the log is written
  // At most one commit in this time: a single job is written at once, the next one after it waits
  // this long.
  std::chrono::milliseconds commit_every{50};
  std::chrono::milliseconds retry_after{250};  // after an outage or a lost reply
  // A full segment is not written again. Each commit sends the whole open segment, so a larger one
  // costs bytes; a smaller one costs more items in the read of a takeover.
  size_t segment_bytes = 64 << 10;
  size_t text_bytes = 16 << 10;     // longest answer or fault that is kept
  size_t record_bytes = 700 << 10;  // longest entry: a store value is limited to 1 MB
};

enum class job_log_state : uint8_t {
  kReading,  // reading the log of earlier owners
  kFencing,  // rewriting the end of the log under our epoch
  kReady,
  kSuperseded,  // another owner has rewritten the end: nothing more becomes durable here
  kDamaged,     // a segment is not readable: continuing would lose its jobs
};

enum class append_result : uint8_t {
  kQueued,   // a notice will follow
  kPending,  // queued before, and not durable yet
  kKnown,    // durable already, or the job is over
  kTooLarge,
  kNotReady,
};

// Reports an entry that has become durable.
struct job_notice {
  log_entry_kind kind = log_entry_kind::kJob;
  request_id id;
  uint32_t index = 0;  // kTaskDone
};

class job_log {
 public:
  job_log(job_log_options options, call_tags& tags);

  void Tick(monotonic_time now, std::vector<store_request>& out);
  // False when the tag does not belong to this object.
  bool OnReply(uint64_t tag, const store_reply& reply, monotonic_time now);

  // Records a new job. It may be answered as "accepted" once its notice has come.
  append_result Append(const durable_job& job);
  // Replaces what the record of a known job says about its parts. Its notice is the same as for a
  // new job.
  append_result Replace(const durable_job& job);
  // Records the end of a task. Its notice must come before the endpoint's cursor is acknowledged:
  // otherwise a finished task could be forgotten everywhere and a new owner would run it again.
  // `text`: the output of a failed task, or the answer of the last task.
  append_result Complete(const request_id& id, uint32_t index, bool failed,
                         const std::string& text = {});
  append_result FinishJob(const request_id& id);
  // Withdraws the record of a job if neither the store nor a call in flight can have it. False when
  // it may be there: a later owner would then run the job.
  bool Withdraw(const request_id& id);

  job_log_state State() const { return state_; }
  std::vector<job_notice> TakeNotices();
  // Jobs that are not over, durable or queued to be recorded.
  struct known_job {
    durable_job record;
    uint64_t segment = 0;  // that holds its complete record
    size_t bytes = 0;      // of that record
    bool durable = false;
  };
  const absl::flat_hash_map<request_id, known_job>& Jobs() const { return jobs_; }
  bool Durable(const request_id& id) const;
  size_t Pending() const { return pending_.size(); }
  size_t Segments() const { return segments_.size(); }
  size_t Bytes() const { return total_bytes_; }

 private:
  struct segment {
    uint64_t revision = 0;
    size_t bytes = 0;
  };
  struct pending_entry {
    std::string text;
    job_notice notice;
    bool notifies = true;  // false for a copy made by compaction
  };
  enum class call_purpose : uint8_t { kNone, kRead, kRewrite, kCommit, kCreateNext, kDelete };

  // Takeover.
  void Read(std::vector<store_request>& out);
  void OnRead(const store_reply& reply);
  void Replay(uint64_t number, const log_segment& content, const store_item& item);
  void Apply(uint64_t number, const log_entry& entry, size_t bytes);
  void Rewrite(std::vector<store_request>& out);
  void OnRewritten(const store_reply& reply);

  // Writing.
  void Commit(monotonic_time now, std::vector<store_request>& out);
  bool PrepareValue();
  void CreateNext(std::vector<store_request>& out);
  void OnCommitted(const store_reply& reply);
  void OnCreated(const store_reply& reply);
  void OnEntryWritten(const pending_entry& entry);
  void Push(std::string text, const job_notice& notice, bool notifies);
  append_result DuplicateResult(const request_id& id) const;

  // Compaction.
  void StartCompaction();
  void DeleteOldest(std::vector<store_request>& out);
  void OnDeleted(const store_reply& reply);
  void AddJobBytes(known_job& job, uint64_t number, size_t bytes);
  void RemoveJob(const request_id& id);

  void Swap(call_purpose purpose, uint64_t number, uint64_t expect,
            std::optional<std::string> value, std::vector<store_request>& out);
  std::string KeyOf(uint64_t number) const;
  std::optional<uint64_t> NumberOf(const std::string& key) const;
  uint64_t LastNumber() const { return segments_.rbegin()->first; }
  uint64_t OpenNumber() const { return std::prev(segments_.end(), 2)->first; }

  job_log_options options_;
  call_tags& tags_;
  job_log_state state_ = job_log_state::kReading;
  absl::flat_hash_map<request_id, known_job> jobs_;
  std::map<uint64_t, segment> segments_;  // the last one is empty, the one before it is open
  size_t total_bytes_ = 0;
  size_t live_bytes_ = 0;     // of complete records of jobs that are not over
  std::string open_entries_;  // of the open segment, encoded
  std::string last_entries_;  // of the last segment while it is rewritten
  std::deque<pending_entry> pending_;
  absl::flat_hash_map<request_id, uint32_t> unwritten_;  // number of entries in pending_ by job
  std::vector<job_notice> notices_;

  // The one call in flight. After a lost reply the same call is sent again: the reply then shows
  // the new revision, a conflict with our own value, or a conflict with another owner's.
  call_purpose purpose_ = call_purpose::kNone;
  uint64_t call_tag_ = 0;
  store_request call_;
  size_t in_commit_ = 0;           // entries of pending_ that the call writes
  std::string committed_entries_;  // content of the open segment once the call succeeds
  bool resend_ = false;            // the call must be sent again
  bool reply_lost_ = false;        // a reply to the call was lost
  uint64_t rewritten_ = 0;         // the last segment that was rewritten during the takeover
  uint64_t compacting_ = 0;        // the segment being compacted; zero: none
  size_t pending_copies_ = 0;      // of its jobs, not durable yet
  monotonic_time next_commit_{};
  monotonic_time next_try_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_JOB_LOG_H_
