// Takeover of the log from earlier owners, and compaction.
#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "process/job_log.h"

namespace catkinford {
namespace {

constexpr uint64_t kFirstSegment = 1;
constexpr size_t kMaxGarbageRatio = 2;  // a log this many times its live records is compacted
constexpr size_t kExtraSegments = 2;    // plus this many segments
constexpr size_t kMinSegments = 3;      // a full one, the open one and the empty one

}  // namespace

// Takeover.

void job_log::Read(std::vector<store_request>& out) {
  call_ = {};
  call_.kind = store_call_kind::kRange;
  call_.tag = tags_.Next();
  call_.key = options_.prefix;
  purpose_ = call_purpose::kRead;
  call_tag_ = call_.tag;
  out.push_back(call_);
}

void job_log::OnRead(const store_reply& reply) {
  jobs_.clear();
  segments_.clear();
  total_bytes_ = 0;
  live_bytes_ = 0;
  std::map<uint64_t, const store_item*> items;
  for (const store_item& item : reply.items) {
    const std::optional<uint64_t> number = NumberOf(item.key);
    if (number) items[*number] = &item;
  }
  for (const auto& [number, item] : items) {
    const std::optional<log_segment> content = DecodeSegment(item->value);
    const bool later_owner = content && content->epoch > options_.epoch;
    if (!content) state_ = job_log_state::kDamaged;
    if (later_owner) state_ = job_log_state::kSuperseded;
    if (!content || later_owner) return;
    Replay(number, *content, *item);
  }
  for (auto& [id, job] : jobs_) job.durable = true;
  state_ = job_log_state::kFencing;
}

void job_log::Replay(uint64_t number, const log_segment& content, const store_item& item) {
  const std::string entries = EntriesOf(item.value).value_or("");
  segments_[number] = {item.revision, entries.size()};
  total_bytes_ += entries.size();
  open_entries_ = std::exchange(last_entries_, entries);
  const size_t count = std::max<size_t>(content.entries.size(), 1);
  for (const log_entry& entry : content.entries) Apply(number, entry, entries.size() / count);
}

// `bytes`: approximate size of the entry, used only for compaction.
void job_log::Apply(uint64_t number, const log_entry& entry, size_t bytes) {
  if (entry.kind == log_entry_kind::kJobDone) {
    RemoveJob(entry.id);
    return;
  }
  if (entry.kind == log_entry_kind::kJob) {
    known_job& known = jobs_[entry.job.id];
    known.record = entry.job;
    AddJobBytes(known, number, bytes);
    return;
  }
  const auto found = jobs_.find(entry.id);
  if (found == jobs_.end()) return;
  RecordTaskEnd(found->second.record, entry.index, entry.failed, entry.text);
}

// An earlier owner may have been paused with a commit in flight for any length of time. It can only
// write where it knows the revision: the open segment or the empty one after it. Rewriting first
// the one and then the other makes every such commit conflict. If the commit arrives between our
// read and the rewrite, the rewrite conflicts and everything is read again.
void job_log::Rewrite(std::vector<store_request>& out) {
  if (segments_.size() < 2 || !last_entries_.empty()) {  // a new log
    const uint64_t number = segments_.empty() ? kFirstSegment : LastNumber() + 1;
    segments_[number] = {};
    open_entries_ = std::exchange(last_entries_, {});
    Swap(call_purpose::kRewrite, number, 0, EncodeSegment(options_.epoch, {}), out);
    return;
  }
  const bool open_done = rewritten_ == OpenNumber();
  const uint64_t number = open_done ? LastNumber() : OpenNumber();
  const std::string& entries = open_done ? last_entries_ : open_entries_;
  Swap(call_purpose::kRewrite, number, segments_[number].revision,
       EncodeSegment(options_.epoch, entries), out);
}

void job_log::OnRewritten(const store_reply& reply) {
  const uint64_t number = NumberOf(call_.key).value_or(0);
  if (reply.status != store_status::kDone) {
    state_ = job_log_state::kReading;
    rewritten_ = 0;
    return;
  }
  segments_[number].revision = reply.revision;
  const bool both = segments_.size() >= 2 && number == LastNumber() && rewritten_ == OpenNumber();
  const bool created = call_.expect == 0;
  rewritten_ = created ? 0 : number;
  if (both && !created) state_ = job_log_state::kReady;
}

// Compaction. Jobs of the oldest segment that are not over are written again at the end in their
// current state; then the segment is deleted. Nothing else in it is needed after that: records of
// jobs that are over, and ends of tasks, either are older than a copy or belong to jobs that no
// segment holds.

void job_log::StartCompaction() {
  const size_t allowed = kMaxGarbageRatio * live_bytes_ + kExtraSegments * options_.segment_bytes;
  if (segments_.size() < kMinSegments || total_bytes_ <= allowed) return;
  compacting_ = segments_.begin()->first;
  for (const auto& [id, job] : jobs_) {
    if (job.segment != compacting_) continue;
    ++pending_copies_;
    Push(EncodeJob(job.record), {log_entry_kind::kJob, id, 0}, false);
  }
}

void job_log::DeleteOldest(std::vector<store_request>& out) {
  Swap(call_purpose::kDelete, compacting_, segments_[compacting_].revision, std::nullopt, out);
}

void job_log::OnDeleted(const store_reply& /*reply*/) {
  // Deleted, already removed, or changed by another owner, which will delete it.
  total_bytes_ -= segments_[compacting_].bytes;
  segments_.erase(compacting_);
  compacting_ = 0;
}

void job_log::AddJobBytes(known_job& job, uint64_t number, size_t bytes) {
  live_bytes_ -= job.bytes;
  job.segment = number;
  job.bytes = bytes;
  live_bytes_ += bytes;
}

void job_log::RemoveJob(const request_id& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  live_bytes_ -= found->second.bytes;
  jobs_.erase(found);
}

}  // namespace catkinford
