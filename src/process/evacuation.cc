#include "process/evacuation.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/durable_job.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Precedes the entry's name in the shards' records. No peer has such a name, so an entry of the
// domain that comes back finds no owner to query and takes its shards.
constexpr char kOwnerPrefix[] = "evacuation:";

}  // namespace

evacuation_size CountJobs(const std::vector<store_item>& items) {
  std::set<request_id> jobs;
  std::set<request_id> not_repeatable;
  for (const store_item& item : items) {
    const std::optional<log_segment> segment = DecodeSegment(item.value);
    if (!segment) continue;
    for (const log_entry& entry : segment->entries) {
      if (entry.kind == log_entry_kind::kJob) {
        jobs.insert(entry.job.id);
        if (!entry.job.repeatable) not_repeatable.insert(entry.job.id);
      } else if (entry.kind == log_entry_kind::kJobDone) {
        jobs.erase(entry.id);
        not_repeatable.erase(entry.id);
      }
    }
  }
  return {static_cast<uint32_t>(jobs.size()), static_cast<uint32_t>(not_repeatable.size())};
}

evacuation::evacuation(evacuation_options options, call_tags& tags)
    : options_(std::move(options)), tags_(tags), shards_(options_.shards) {}

void evacuation::Stop(std::string reason) {
  if (IsOver()) return;
  stop_reason_ = std::move(reason);
  state_ = evacuation_state::kStopped;
}

milliseconds evacuation::TimeLeft(monotonic_time now) const {
  if (state_ == evacuation_state::kReady) return milliseconds{0};
  if (state_ != evacuation_state::kWaiting) return options_.lease_wait;
  return std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(ready_at_ - now));
}

void evacuation::Tick(monotonic_time now, std::vector<store_request>& out) {
  if (call_tag_ != 0 || now < next_try_) return;
  if (resend_) {
    resend_ = false;
    call_.tag = tags_.Next();
    call_tag_ = call_.tag;
    out.push_back(call_);
    return;
  }
  switch (state_) {
    case evacuation_state::kReadingMembers:
      Range(MemberPrefix(options_.failure_domain), out);
      return;
    case evacuation_state::kReadingJobs:
      Range(absl::StrCat("jobs/", options_.failure_domain, "/"), out);
      return;
    case evacuation_state::kReadingShards:
      Range(ShardPrefix(options_.failure_domain), out);
      return;
    case evacuation_state::kRaisingEpochs:
      RaiseEpoch(out);
      return;
    case evacuation_state::kWaiting:
      if (now >= ready_at_) state_ = evacuation_state::kReady;
      return;
    default:
      return;
  }
}

void evacuation::Range(const std::string& prefix, std::vector<store_request>& out) {
  call_ = {};
  call_.kind = store_call_kind::kRange;
  call_.tag = tags_.Next();
  call_.key = prefix;
  call_tag_ = call_.tag;
  out.push_back(call_);
}

void evacuation::RaiseEpoch(std::vector<store_request>& out) {
  const shard_state& shard = shards_[next_shard_];
  call_ = {};
  call_.kind = store_call_kind::kSwap;
  call_.tag = tags_.Next();
  call_.key = ShardKey(options_.failure_domain, next_shard_);
  call_.expect = shard.revision;
  call_.value =
      ToText(shard_record{kOwnerPrefix + options_.entry, options_.incarnation, shard.epoch});
  call_.write_id = absl::StrCat(options_.entry, ":", options_.incarnation, ":evacuate:", call_.tag);
  call_tag_ = call_.tag;
  out.push_back(call_);
}

bool evacuation::OnReply(uint64_t tag, const store_reply& reply, monotonic_time now) {
  if (tag == 0 || tag != call_tag_) return false;
  call_tag_ = 0;
  if (IsOver()) return true;
  const bool definite =
      reply.status != store_status::kUnavailable && reply.status != store_status::kUnknown;
  if (!definite) {
    resend_ = true;
    next_try_ = now + options_.retry_after;
    return true;
  }
  switch (state_) {
    case evacuation_state::kReadingMembers:
      OnMembers(reply);
      break;
    case evacuation_state::kReadingJobs:
      size_ = CountJobs(reply.items);
      state_ = options_.dry_run ? evacuation_state::kCounted : evacuation_state::kReadingShards;
      break;
    case evacuation_state::kReadingShards:
      OnShards(reply);
      break;
    case evacuation_state::kRaisingEpochs:
      OnEpochRaised(reply, now);
      break;
    default:
      break;
  }
  return true;
}

void evacuation::OnMembers(const store_reply& reply) {
  for (const store_item& item : reply.items) {
    const std::optional<member_record> member = ParseMemberRecord(item.value);
    if (!member) continue;
    Stop(absl::StrCat(member->name, " of the domain holds a lease in the store"));
    return;
  }
  state_ = evacuation_state::kReadingJobs;
}

void evacuation::OnShards(const store_reply& reply) {
  for (const store_item& item : reply.items) {
    const std::optional<uint32_t> number = ShardOfKey(item.key);
    const std::optional<shard_record> record = ParseShardRecord(item.value);
    if (!number || *number >= shards_.size() || !record) continue;
    shards_[*number] = {item.revision, record->epoch};
  }
  for (shard_state& shard : shards_) ++shard.epoch;
  state_ = evacuation_state::kRaisingEpochs;
}

void evacuation::OnEpochRaised(const store_reply& reply, monotonic_time now) {
  const bool ours = reply.status == store_status::kConflict && !reply.items.empty() &&
                    call_.value == reply.items.front().value;
  if (reply.status != store_status::kDone && !ours) {
    Stop("another entry took over one of the domain's shards during the evacuation");
    return;
  }
  if (++next_shard_ < shards_.size()) return;
  state_ = evacuation_state::kWaiting;
  ready_at_ = now + options_.lease_wait;
}

}  // namespace catkinford
