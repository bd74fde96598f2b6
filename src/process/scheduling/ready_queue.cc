#include "process/scheduling/ready_queue.h"

#include <algorithm>
#include <queue>

namespace catkinford {
namespace {

// Steps of one service that a round looks at. Those further back are looked at in turn.
constexpr size_t kFirstSteps = 128;
// Steps of one lane that are over their workspace's limit, after which a round leaves the lane.
constexpr size_t kMaxOverLimit = 16;
// Other steps that a round looks at.
constexpr size_t kOtherSteps = 32;
// Steps set aside that a round tries again.
constexpr size_t kMaxRetries = 64;

step_progress& StepOf(const ready_step& ready) { return ready.occurrence->steps[ready.index]; }

}  // namespace

uint32_t ready_queue::LaneOf(const job_entry& entry) {
  const auto [found, added] = lane_of_.try_emplace(std::pair(entry.service, entry.job.workspace),
                                                   static_cast<uint32_t>(lanes_.size()));
  if (added) {
    lanes_.emplace_back();
    lanes_.back().service = entry.service;
  }
  return found->second;
}

void ready_queue::Put(const ready_step& ready, ready_order order, monotonic_time until) {
  const std::optional<queue_position>& queued = StepOf(ready).queued;
  order.sequence = queued ? queued->order.sequence : ++last_sequence_;
  const bool aside = queued && queued->set_aside;
  const queue_position position{LaneOf(*ready.entry), order, until, aside};
  if (queued == position) return;
  Remove(ready);
  Insert(ready, position);
}

void ready_queue::Insert(const ready_step& ready, const queue_position& position) {
  StepOf(ready).queued = position;
  const ready_order& order = position.order;
  if (position.until != monotonic_time::max()) {
    rank_changes_.emplace(std::pair(position.until, order.sequence), ready);
  }
  if (position.set_aside) {
    set_aside_.emplace(order.sequence, ready);
    return;
  }
  lanes_[position.lane].steps.emplace(order, ready);
  ++size_;
}

void ready_queue::Remove(const ready_step& ready) {
  step_progress& step = StepOf(ready);
  if (!step.queued) return;
  const queue_position position = *step.queued;
  step.queued.reset();
  rank_changes_.erase(std::pair(position.until, position.order.sequence));
  if (position.set_aside) {
    set_aside_.erase(position.order.sequence);
    return;
  }
  lanes_[position.lane].steps.erase(position.order);
  --size_;
}

std::vector<ready_step> ready_queue::TakeRankChanges(monotonic_time now) {
  std::vector<ready_step> out;
  for (auto it = rank_changes_.begin(); it != rank_changes_.end() && it->first.first <= now; ++it) {
    out.push_back(it->second);
  }
  return out;
}

std::vector<ready_step> ready_queue::Next(const judge& standing_of) {
  ++round_;
  RetrySetAside(standing_of);
  std::vector<ready_step> out;
  AppendFirst(standing_of, out);
  AppendOthers(standing_of, out);
  return out;
}

void ready_queue::SetAside(const std::vector<ready_step>& steps) {
  for (const ready_step& ready : steps) {
    queue_position position = *StepOf(ready).queued;
    Remove(ready);
    position.set_aside = true;
    Insert(ready, position);
  }
}

void ready_queue::RetrySetAside(const judge& standing_of) {
  const size_t tries = std::min(kMaxRetries, set_aside_.size());
  for (size_t i = 0; i < tries; ++i) {
    auto at = set_aside_.upper_bound(retried_);
    if (at == set_aside_.end()) at = set_aside_.begin();
    retried_ = at->first;
    const ready_step ready = at->second;
    if (standing_of(ready) == step_standing::kUnplaceable) continue;
    queue_position position = *StepOf(ready).queued;
    Remove(ready);
    position.set_aside = false;
    Insert(ready, position);
  }
}

void ready_queue::AppendFirst(const judge& standing_of, std::vector<ready_step>& out) {
  struct head {
    steps_iterator at;
    uint32_t in_lane;
    size_t over_limit;
  };
  const auto later = [](const head& a, const head& b) { return b.at->first < a.at->first; };
  std::priority_queue<head, std::vector<head>, decltype(later)> heads(later);
  uint32_t services = 0;
  for (uint32_t i = 0; i < lanes_.size(); ++i) {
    services = std::max(services, lanes_[i].service + 1);
    if (!lanes_[i].steps.empty()) heads.push({lanes_[i].steps.begin(), i, 0});
  }
  std::vector<size_t> taken(services);
  std::vector<ready_step> unplaceable;
  while (!heads.empty()) {
    head next = heads.top();
    heads.pop();
    lane& in = lanes_[next.in_lane];
    if (taken[in.service] >= kFirstSteps) continue;
    const ready_step& ready = next.at->second;
    const step_standing standing = standing_of(ready);
    if (standing == step_standing::kEligible) {
      StepOf(ready).looked_at_round = round_;
      out.push_back(ready);
      ++taken[in.service];
    } else if (standing == step_standing::kUnplaceable) {
      unplaceable.push_back(ready);
    } else if (++next.over_limit >= kMaxOverLimit) {
      continue;
    }
    if (++next.at != in.steps.end()) heads.push(next);
  }
  SetAside(unplaceable);
}

void ready_queue::AppendOthers(const judge& standing_of, std::vector<ready_step>& out) {
  if (size_ <= out.size()) return;
  const size_t first = out.size();
  size_t looked_at = 0;
  std::vector<ready_step> unplaceable;
  for (size_t passed = 0; passed <= lanes_.size() && looked_at < kOtherSteps; ++passed) {
    turn_lane_ %= static_cast<uint32_t>(lanes_.size());
    auto& steps = lanes_[turn_lane_].steps;
    auto at = turn_after_ ? steps.upper_bound(*turn_after_) : steps.begin();
    for (; at != steps.end() && looked_at < kOtherSteps; ++at, ++looked_at) {
      turn_after_ = at->first;
      if (StepOf(at->second).looked_at_round == round_) continue;
      const step_standing standing = standing_of(at->second);
      if (standing == step_standing::kEligible) {
        out.push_back(at->second);
        out.back().in_turn = true;
      }
      if (standing == step_standing::kUnplaceable) unplaceable.push_back(at->second);
    }
    if (at != steps.end()) break;
    ++turn_lane_;
    turn_after_.reset();
  }
  SetAside(unplaceable);
  std::sort(out.begin() + static_cast<std::ptrdiff_t>(first), out.end(),
            [](const ready_step& a, const ready_step& b) {
              return StepOf(a).queued->order < StepOf(b).queued->order;
            });
}

}  // namespace catkinford
