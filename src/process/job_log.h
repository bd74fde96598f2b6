// The durable jobs of one shard: a log in the platform's store, written by the shard's owner.
//
// The log is a chain of segments ("<prefix><number>"), each one value of the store, changed by
// compare-and-swap alone. Entries are appended to the last segment by group commit, one call under
// way at a time. Behind the last one there is always an empty segment, so that a new owner that has
// rewritten both has shut out every earlier owner, however long that one was paused. Pure: replies
// and time come in, store calls and notices go out. docs/design/ tells what was weighed.
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
  std::string writer;  // of this process, for write ids
  uint64_t epoch = 0;  // of the ownership under which it is written
  // At most one commit in this time: a lone job waits this long for the next one after it.
  std::chrono::milliseconds commit_every{50};
  std::chrono::milliseconds retry_after{250};  // after an outage or a lost reply
  // A full segment is not written again. Each commit sends the whole last segment, so a larger one
  // costs bytes; a smaller one costs items in the read of a takeover.
  size_t segment_bytes = 64 << 10;
  size_t text_bytes = 16 << 10;     // the longest answer or fault that is kept
  size_t record_bytes = 700 << 10;  // the longest entry: a store value ends at 1 MB
};

enum class job_log_state : uint8_t {
  kReading,  // the log of earlier owners is being read
  kFencing,  // its end is being rewritten under our epoch
  kReady,
  kSuperseded,  // another owner has rewritten the end: nothing more gets durable here
  kDamaged,     // a segment is not readable: its jobs would be lost by going on
};

enum class append_result : uint8_t {
  kQueued,   // a notice will come
  kPending,  // taken before, and not durable yet
  kKnown,    // durable already, or of a job that is over
  kTooLarge,
  kNotReady,
};

// What has become durable.
struct job_notice {
  log_entry_kind kind = log_entry_kind::kJob;
  request_id id;
  uint32_t index = 0;  // kTaskDone
};

class job_log {
 public:
  job_log(job_log_options options, call_tags& tags);

  void Tick(monotonic_time now, std::vector<store_request>& out);
  // False when the tag is not of this object.
  bool OnReply(uint64_t tag, const store_reply& reply, monotonic_time now);

  // The job may be answered "accepted" once its notice has come.
  append_result Append(const durable_job& job);
  // What the record of a known job says of its parts is no longer so. A notice comes as for a new
  // one.
  append_result Replace(const durable_job& job);
  // Before the endpoint's cursor is acknowledged: otherwise a finished task could be forgotten by
  // everybody, and a new owner would run it again.
  // `text`: what a failed task said, or the answer of the last one.
  append_result Complete(const request_id& id, uint32_t index, bool failed,
                         const std::string& text = {});
  append_result FinishJob(const request_id& id);
  // Gives up the record of a job, if surely neither the store nor a call under way has it. False:
  // it may be there, and then a later owner would run the job.
  bool Withdraw(const request_id& id);

  job_log_state State() const { return state_; }
  std::vector<job_notice> TakeNotices();
  // Jobs that are not over, as recorded or about to be.
  struct known_job {
    durable_job record;
    uint64_t segment = 0;  // where its whole record stands
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
    bool notifies = true;  // false: a copy made by compaction
  };
  enum class call_purpose : uint8_t { kNone, kRead, kRewrite, kCommit, kCreateNext, kDelete };

  // Taking the log over.
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
  size_t live_bytes_ = 0;     // of whole records of jobs that are not over
  std::string open_entries_;  // of the open segment, encoded
  std::string last_entries_;  // of the last segment while it is rewritten
  std::deque<pending_entry> pending_;
  absl::flat_hash_map<request_id, uint32_t> unwritten_;  // entries of pending_ by job
  std::vector<job_notice> notices_;

  // The one call under way. A lost reply is followed by the very same call: it is answered by the
  // new revision, or by a conflict that shows our own value, or by one that shows another's.
  call_purpose purpose_ = call_purpose::kNone;
  uint64_t call_tag_ = 0;
  store_request call_;
  size_t in_commit_ = 0;           // entries of pending_ that the call writes
  std::string committed_entries_;  // what the open segment holds once it is done
  bool resend_ = false;            // the call is to be sent again
  bool reply_lost_ = false;        // a reply to the call is lost
  uint64_t rewritten_ = 0;         // the last segment that was rewritten on taking over
  uint64_t compacting_ = 0;        // the segment that is being compacted away
  size_t pending_copies_ = 0;      // of its jobs, not durable yet
  monotonic_time next_commit_{};
  monotonic_time next_try_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_JOB_LOG_H_
