#include "process/part_tracker.h"

#include <algorithm>

namespace catkinford {
namespace {

constexpr uint32_t kMaxDoublings = 4;

// Whether the shard rejected the part before it had done anything for it, so that it may be placed
// elsewhere. Rejections for other reasons end the part: one that was cancelled or came too late
// does not move.
bool IsRejected(const outcome& result) {
  if (result.kind != outcome_kind::kRefused) return false;
  switch (result.reason) {
    case rejection_reason::kNeverFits:
    case rejection_reason::kOverLimit:
    case rejection_reason::kQueueFull:
    case rejection_reason::kShed:
    case rejection_reason::kNotDurable:
    case rejection_reason::kOwnerUnreachable:  // its failure domain was evacuated
      return true;
    default:
      return false;
  }
}

}  // namespace

bool part_tracker::NeedsSend(const tracked_job& job, const part& one) {
  return job.cancelled ? one.state != part_state::kOver : one.state == part_state::kUnplaced;
}

void part_tracker::Schedule(const request_id& id, tracked_job& job, monotonic_time when) {
  schedule_.erase({job.next, id});
  job.next = when;
  if (when != monotonic_time::max()) schedule_.emplace(when, id);
}

void part_tracker::Open(const request_id& id, const std::vector<std::string>& shards,
                        uint64_t first_send, monotonic_time now) {
  if (shards.empty()) return;
  tracked_job& opened = jobs_[id];
  opened.sends = std::max(opened.sends, first_send);
  opened.rounds = 0;
  for (const std::string& shard : shards) {
    const auto one = std::find_if(opened.parts.begin(), opened.parts.end(),
                                  [&](const part& each) { return each.shard == shard; });
    if (one == opened.parts.end()) {
      opened.parts.push_back({shard, part_state::kUnplaced, opened.sends + 1});
    } else if (one->state != part_state::kOver) {
      one->state = part_state::kUnplaced;
      one->first_send = opened.sends + 1;
    }
  }
  Schedule(id, opened, now);
}

void part_tracker::Cancel(const request_id& id, monotonic_time now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.cancelled) return;
  found->second.cancelled = true;
  found->second.rounds = 0;
  Schedule(id, found->second, now);
}

part_event part_tracker::OnAnswer(const part_answer_message& answer) {
  const auto found = jobs_.find(answer.id);
  if (found == jobs_.end()) return part_event::kNone;
  tracked_job& job = found->second;
  const auto one = std::find_if(job.parts.begin(), job.parts.end(),
                                [&](const part& each) { return each.shard == answer.shard; });
  if (one == job.parts.end() || one->state == part_state::kOver) return part_event::kNone;
  if (answer.result.kind == outcome_kind::kAccepted) {
    // The answer to an earlier sending, which may not have named all tasks that the shard takes
    // now.
    if (answer.send < one->first_send) return part_event::kNone;
    const bool is_new = one->state == part_state::kUnplaced;
    one->state = part_state::kPlaced;
    return is_new ? part_event::kPlaced : part_event::kNone;
  }
  if (answer.send != one->last_send) return part_event::kNone;
  if (IsRejected(answer.result) && !job.cancelled) {
    job.parts.erase(one);
    return part_event::kRefused;
  }
  one->state = part_state::kOver;
  return part_event::kOver;
}

void part_tracker::OnNewOwner(const std::string& shard, monotonic_time now) {
  for (auto& [id, job] : jobs_) {
    for (part& one : job.parts) {
      if (one.shard != shard || one.state == part_state::kOver) continue;
      one.state = part_state::kUnplaced;
      one.first_send = job.sends + 1;
      job.rounds = 0;
      Schedule(id, job, now);
    }
  }
}

void part_tracker::Close(const request_id& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  schedule_.erase({found->second.next, id});
  jobs_.erase(found);
}

bool part_tracker::AllOver(const request_id& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return true;
  const std::vector<part>& parts = found->second.parts;
  return std::all_of(parts.begin(), parts.end(),
                     [](const part& one) { return one.state == part_state::kOver; });
}

std::vector<std::string> part_tracker::Unplaced(const request_id& id) const {
  std::vector<std::string> shards;
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return shards;
  for (const part& one : found->second.parts) {
    if (one.state == part_state::kUnplaced) shards.push_back(one.shard);
  }
  return shards;
}

void part_tracker::Tick(monotonic_time now, std::vector<part_call>& out) {
  while (!schedule_.empty() && schedule_.begin()->first <= now) {
    const request_id id = schedule_.begin()->second;
    tracked_job& job = jobs_.at(id);
    bool needs_send = false;
    for (part& one : job.parts) {
      if (!NeedsSend(job, one)) continue;
      needs_send = true;
      one.last_send = ++job.sends;
      out.push_back({id, one.shard, one.last_send, job.cancelled});
    }
    const uint32_t doublings = std::min(job.rounds++, kMaxDoublings);
    Schedule(id, job, needs_send ? now + resend_ * (1U << doublings) : monotonic_time::max());
  }
}

monotonic_time part_tracker::NextWake() const {
  return schedule_.empty() ? monotonic_time::max() : schedule_.begin()->first;
}

}  // namespace catkinford
