#include "process/part_keeper.h"

#include <algorithm>

namespace catkinford {
namespace {

constexpr uint32_t kMostDoublings = 4;

// Reasons for which a shard turns a part away before it has done anything for it. What is turned
// away for another reason is over: a part that was cancelled or came too late does not move.
bool IsTurnedAway(const outcome& result) {
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

bool part_keeper::Waits(const book& of, const part& one) {
  return of.cancelled ? one.state != part_state::kOver : one.state == part_state::kOwed;
}

void part_keeper::Schedule(const request_id& id, book& of, monotonic_time when) {
  schedule_.erase({of.next, id});
  of.next = when;
  if (when != monotonic_time::max()) schedule_.emplace(when, id);
}

void part_keeper::Open(const request_id& id, const std::vector<std::string>& shards,
                       uint64_t first_send, monotonic_time now) {
  if (shards.empty()) return;
  book& opened = books_[id];
  opened.sends = std::max(opened.sends, first_send);
  opened.rounds = 0;
  for (const std::string& shard : shards) {
    const auto one = std::find_if(opened.parts.begin(), opened.parts.end(),
                                  [&](const part& each) { return each.shard == shard; });
    if (one == opened.parts.end()) {
      opened.parts.push_back({shard, part_state::kOwed, opened.sends + 1});
    } else if (one->state != part_state::kOver) {
      one->state = part_state::kOwed;
      one->first_send = opened.sends + 1;
    }
  }
  Schedule(id, opened, now);
}

void part_keeper::Cancel(const request_id& id, monotonic_time now) {
  const auto found = books_.find(id);
  if (found == books_.end() || found->second.cancelled) return;
  found->second.cancelled = true;
  found->second.rounds = 0;
  Schedule(id, found->second, now);
}

part_news part_keeper::OnAnswer(const part_answer_message& answer) {
  const auto found = books_.find(answer.id);
  if (found == books_.end()) return part_news::kNone;
  book& of = found->second;
  const auto one = std::find_if(of.parts.begin(), of.parts.end(),
                                [&](const part& each) { return each.shard == answer.shard; });
  if (one == of.parts.end() || one->state == part_state::kOver) return part_news::kNone;
  if (answer.result.kind == outcome_kind::kAccepted) {
    // Of an earlier sending: it may not have told of all tasks that the shard is to take now.
    if (answer.send < one->first_send) return part_news::kNone;
    const bool is_news = one->state == part_state::kOwed;
    one->state = part_state::kPlaced;
    return is_news ? part_news::kPlaced : part_news::kNone;
  }
  if (answer.send != one->last_send) return part_news::kNone;
  if (IsTurnedAway(answer.result) && !of.cancelled) {
    of.parts.erase(one);
    return part_news::kRefused;
  }
  one->state = part_state::kOver;
  return part_news::kOver;
}

void part_keeper::OnNewOwner(const std::string& shard, monotonic_time now) {
  for (auto& [id, of] : books_) {
    for (part& one : of.parts) {
      if (one.shard != shard || one.state == part_state::kOver) continue;
      one.state = part_state::kOwed;
      one.first_send = of.sends + 1;
      of.rounds = 0;
      Schedule(id, of, now);
    }
  }
}

void part_keeper::Close(const request_id& id) {
  const auto found = books_.find(id);
  if (found == books_.end()) return;
  schedule_.erase({found->second.next, id});
  books_.erase(found);
}

bool part_keeper::AllOver(const request_id& id) const {
  const auto found = books_.find(id);
  if (found == books_.end()) return true;
  const std::vector<part>& parts = found->second.parts;
  return std::all_of(parts.begin(), parts.end(),
                     [](const part& one) { return one.state == part_state::kOver; });
}

std::vector<std::string> part_keeper::Unplaced(const request_id& id) const {
  std::vector<std::string> shards;
  const auto found = books_.find(id);
  if (found == books_.end()) return shards;
  for (const part& one : found->second.parts) {
    if (one.state == part_state::kOwed) shards.push_back(one.shard);
  }
  return shards;
}

void part_keeper::Tick(monotonic_time now, std::vector<part_call>& out) {
  while (!schedule_.empty() && schedule_.begin()->first <= now) {
    const request_id id = schedule_.begin()->second;
    book& of = books_.at(id);
    bool waits = false;
    for (part& one : of.parts) {
      if (!Waits(of, one)) continue;
      waits = true;
      one.last_send = ++of.sends;
      out.push_back({id, one.shard, one.last_send, of.cancelled});
    }
    const uint32_t doublings = std::min(of.rounds++, kMostDoublings);
    Schedule(id, of, waits ? now + resend_ * (1U << doublings) : monotonic_time::max());
  }
}

monotonic_time part_keeper::NextWake() const {
  return schedule_.empty() ? monotonic_time::max() : schedule_.begin()->first;
}

}  // namespace catkinford
