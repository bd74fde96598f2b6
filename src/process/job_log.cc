#include "process/job_log.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
job_log::job_log(job_log_options options, call_tags& tags)
    : options_(std::move(options)), tags_(tags) {}

std::string job_log::KeyOf(uint64_t number) const {
  return absl::StrCat(options_.prefix, absl::Dec(number, absl::kZeroPad12));
}

std::optional<uint64_t> job_log::NumberOf(const std::string& key) const {
  uint64_t number = 0;
  const char* end = key.data() + key.size();
  if (key.size() <= options_.prefix.size()) return std::nullopt;
  const auto parsed = std::from_chars(key.data() + options_.prefix.size(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return number;
}

void job_log::Tick(monotonic_time now, std::vector<store_request>& out) {
  const bool stopped = state_ == job_log_state::kSuperseded || state_ == job_log_state::kDamaged;
  if (stopped || call_tag_ != 0 || now < next_try_) return;
  if (resend_) {
    resend_ = false;
    call_.tag = tags_.Next();
    call_tag_ = call_.tag;
    out.push_back(call_);
  } else if (state_ == job_log_state::kReading) {
    Read(out);
  } else if (state_ == job_log_state::kFencing) {
    Rewrite(out);
  } else {
    Commit(now, out);
  }
}

bool job_log::OnReply(uint64_t tag, const store_reply& reply, monotonic_time now) {
  if (tag == 0 || tag != call_tag_) return false;
  call_tag_ = 0;
  const bool definite =
      reply.status != store_status::kUnavailable && reply.status != store_status::kUnknown;
  if (!definite) {
    resend_ = true;
    reply_lost_ = reply_lost_ || reply.status == store_status::kUnknown;
    next_try_ = now + options_.retry_after;
    return true;
  }
  const call_purpose purpose = std::exchange(purpose_, call_purpose::kNone);
  // A conflict that shows our own value means that an earlier sending of this call took effect.
  const bool ours = reply.status == store_status::kConflict && !reply.items.empty() &&
                    call_.value == reply.items.front().value;
  store_reply seen = reply;
  if (ours) seen.status = store_status::kDone;
  if (purpose == call_purpose::kRead) OnRead(seen);
  if (purpose == call_purpose::kRewrite) OnRewritten(seen);
  if (purpose == call_purpose::kCommit) OnCommitted(seen);
  if (purpose == call_purpose::kCreateNext) OnCreated(seen);
  if (purpose == call_purpose::kDelete) OnDeleted(seen);
  return true;
}

void job_log::Swap(call_purpose purpose, uint64_t number, uint64_t expect,
                   std::optional<std::string> value, std::vector<store_request>& out) {
  call_ = {};
  call_.kind = store_call_kind::kSwap;
  call_.tag = tags_.Next();
  call_.key = KeyOf(number);
  call_.expect = expect;
  call_.value = std::move(value);
  call_.write_id = absl::StrCat(options_.writer, ":", call_.tag);
  purpose_ = purpose;
  call_tag_ = call_.tag;
  reply_lost_ = false;
  out.push_back(call_);
}

append_result job_log::Append(const durable_job& job) {
  if (state_ != job_log_state::kReady) return append_result::kNotReady;
  if (jobs_.contains(job.id)) return DuplicateResult(job.id);
  std::string text = EncodeJob(job);
  if (text.size() > options_.record_bytes) return append_result::kTooLarge;
  known_job& known = jobs_[job.id];
  known.record = job;
  known.record.done.resize(job.tasks);
  Push(std::move(text), {log_entry_kind::kJob, job.id, 0}, true);
  return append_result::kQueued;
}

append_result job_log::Replace(const durable_job& job) {
  if (state_ != job_log_state::kReady) return append_result::kNotReady;
  const auto found = jobs_.find(job.id);
  if (found == jobs_.end()) return DuplicateResult(job.id);
  durable_job& record = found->second.record;
  record.parts = job.parts;
  record.plan = job.plan;
  std::string text = EncodeJob(record);
  if (text.size() > options_.record_bytes) return append_result::kTooLarge;
  Push(std::move(text), {log_entry_kind::kJob, job.id, 0}, true);
  return append_result::kQueued;
}

append_result job_log::Complete(const request_id& id, uint32_t index, bool failed,
                                const std::string& text) {
  if (state_ != job_log_state::kReady) return append_result::kNotReady;
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return DuplicateResult(id);
  // A longer answer is not kept: each commit sends the whole open segment again.
  const std::string kept = text.size() <= options_.text_bytes ? text : std::string();
  if (!RecordTaskEnd(found->second.record, index, failed, kept)) return DuplicateResult(id);
  Push(EncodeTaskDone(id, index, failed, kept), {log_entry_kind::kTaskDone, id, index}, true);
  return append_result::kQueued;
}

append_result job_log::FinishJob(const request_id& id) {
  if (state_ != job_log_state::kReady) return append_result::kNotReady;
  if (!jobs_.contains(id)) return DuplicateResult(id);
  RemoveJob(id);
  Push(EncodeJobDone(id), {log_entry_kind::kJobDone, id, 0}, true);
  return append_result::kQueued;
}

bool job_log::Withdraw(const request_id& id) {
  const auto found =
      std::find_if(pending_.begin(), pending_.end(), [&](const pending_entry& entry) {
        return entry.notifies && entry.notice.kind == log_entry_kind::kJob && entry.notice.id == id;
      });
  if (found == pending_.end()) return false;
  const bool in_call = static_cast<size_t>(found - pending_.begin()) < in_commit_;
  if (in_call) {
    if (call_tag_ != 0 || reply_lost_) return false;
    // The store rejected the commit each time it was sent; the next one is built anew.
    resend_ = false;
    purpose_ = call_purpose::kNone;
    in_commit_ = 0;
  }
  if (--unwritten_[id] == 0) unwritten_.erase(id);
  RemoveJob(id);
  pending_.erase(found);
  return true;
}

append_result job_log::DuplicateResult(const request_id& id) const {
  return unwritten_.contains(id) ? append_result::kPending : append_result::kKnown;
}

void job_log::Push(std::string text, const job_notice& notice, bool notifies) {
  ++unwritten_[notice.id];
  pending_.push_back({std::move(text), notice, notifies});
}

bool job_log::Durable(const request_id& id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second.durable;
}

std::vector<job_notice> job_log::TakeNotices() { return std::exchange(notices_, {}); }

// Writing.

void job_log::Commit(monotonic_time now, std::vector<store_request>& out) {
  if (now < next_commit_) return;
  if (compacting_ == 0) StartCompaction();
  if (compacting_ != 0 && pending_copies_ == 0) {
    DeleteOldest(out);
    return;
  }
  if (pending_.empty()) return;
  if (!PrepareValue()) {
    CreateNext(out);
    return;
  }
  next_commit_ = now + options_.commit_every;
  Swap(call_purpose::kCommit, OpenNumber(), segments_[OpenNumber()].revision,
       EncodeSegment(options_.epoch, committed_entries_), out);
}

// Adds as many queued entries as fit into the open segment; false when none fits.
bool job_log::PrepareValue() {
  committed_entries_ = open_entries_;
  in_commit_ = 0;
  for (const pending_entry& entry : pending_) {
    const size_t size = committed_entries_.size() + entry.text.size() + 1;
    if (!committed_entries_.empty() && size > options_.segment_bytes) break;
    if (!committed_entries_.empty()) committed_entries_.push_back(',');
    committed_entries_.append(entry.text);
    ++in_commit_;
  }
  return in_commit_ > 0;
}

// The open segment is full. The empty one after it becomes the open one once a new empty segment
// follows it.
void job_log::CreateNext(std::vector<store_request>& out) {
  Swap(call_purpose::kCreateNext, LastNumber() + 1, 0, EncodeSegment(options_.epoch, {}), out);
}

void job_log::OnCreated(const store_reply& reply) {
  const uint64_t number = LastNumber() + 1;
  if (reply.status == store_status::kConflict) {
    // Left by an earlier owner that was fenced off before it could write to it.
    const bool empty = !reply.items.empty() && EntriesOf(reply.items.front().value) == "";
    if (!empty) state_ = job_log_state::kSuperseded;
    if (!empty) return;
  }
  segments_[number] = {reply.revision, 0};
  open_entries_.clear();
}

void job_log::OnCommitted(const store_reply& reply) {
  if (reply.status != store_status::kDone) {
    state_ = job_log_state::kSuperseded;
    return;
  }
  segment& open = segments_[OpenNumber()];
  open.revision = reply.revision;
  total_bytes_ += committed_entries_.size() - open.bytes;
  open.bytes = committed_entries_.size();
  open_entries_ = std::exchange(committed_entries_, {});
  for (; in_commit_ > 0; --in_commit_) {
    OnEntryWritten(pending_.front());
    pending_.pop_front();
  }
}

void job_log::OnEntryWritten(const pending_entry& entry) {
  if (entry.notifies) notices_.push_back(entry.notice);
  if (!entry.notifies) --pending_copies_;
  const auto unwritten = unwritten_.find(entry.notice.id);
  if (--unwritten->second == 0) unwritten_.erase(unwritten);
  if (entry.notice.kind != log_entry_kind::kJob) return;
  const auto found = jobs_.find(entry.notice.id);
  if (found == jobs_.end()) return;  // the job was over before its record was written
  found->second.durable = true;
  AddJobBytes(found->second, OpenNumber(), entry.text.size());
}

}  // namespace catkinford
