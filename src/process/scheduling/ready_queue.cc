#include "process/scheduling/ready_queue.h"

#include <algorithm>
#include <queue>

namespace catkinford {
namespace {

// Steps of one service that a round looks at. Those further back have no chance of an instance
// before the order changes.
constexpr size_t kFirstSteps = 128;
// Steps of one lane that are not eligible, after which a round leaves the lane.
constexpr size_t kMaxIneligible = 16;
// Other steps that a round looks at.
constexpr size_t kOtherSteps = 32;

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
  step_progress& step = StepOf(ready);
  const uint32_t at = LaneOf(*ready.entry);
  order.sequence = step.queued ? step.queued->order.sequence : ++last_sequence_;
  const queue_position position{at, order, until};
  if (step.queued == position) return;
  Remove(ready);
  step.queued = position;
  lanes_[at].steps.emplace(order, ready);
  if (until != monotonic_time::max()) {
    rank_changes_.emplace(std::pair(until, order.sequence), ready);
  }
  ++size_;
}

void ready_queue::Remove(const ready_step& ready) {
  step_progress& step = StepOf(ready);
  if (!step.queued) return;
  lanes_[step.queued->lane].steps.erase(step.queued->order);
  rank_changes_.erase(std::pair(step.queued->until, step.queued->order.sequence));
  step.queued.reset();
  --size_;
}

std::vector<ready_step> ready_queue::TakeRankChanges(monotonic_time now) {
  std::vector<ready_step> out;
  for (auto it = rank_changes_.begin(); it != rank_changes_.end() && it->first.first <= now; ++it) {
    out.push_back(it->second);
  }
  return out;
}

std::vector<ready_step> ready_queue::Next(const std::function<bool(const ready_step&)>& eligible) {
  ++round_;
  std::vector<ready_step> out;
  AppendFirst(eligible, out);
  AppendOthers(eligible, out);
  return out;
}

void ready_queue::AppendFirst(const std::function<bool(const ready_step&)>& eligible,
                              std::vector<ready_step>& out) {
  struct head {
    steps_iterator at;
    uint32_t in_lane;
    size_t ineligible;
  };
  const auto later = [](const head& a, const head& b) { return b.at->first < a.at->first; };
  std::priority_queue<head, std::vector<head>, decltype(later)> heads(later);
  uint32_t services = 0;
  for (uint32_t i = 0; i < lanes_.size(); ++i) {
    services = std::max(services, lanes_[i].service + 1);
    if (!lanes_[i].steps.empty()) heads.push({lanes_[i].steps.begin(), i, 0});
  }
  std::vector<size_t> taken(services);
  while (!heads.empty()) {
    head next = heads.top();
    heads.pop();
    lane& in = lanes_[next.in_lane];
    if (taken[in.service] >= kFirstSteps) continue;
    const ready_step& ready = next.at->second;
    if (eligible(ready)) {
      StepOf(ready).looked_at_round = round_;
      out.push_back(ready);
      ++taken[in.service];
    } else if (++next.ineligible >= kMaxIneligible) {
      continue;
    }
    if (++next.at != in.steps.end()) heads.push(next);
  }
}

void ready_queue::AppendOthers(const std::function<bool(const ready_step&)>& eligible,
                               std::vector<ready_step>& out) {
  if (size_ <= out.size()) return;
  const size_t first = out.size();
  size_t looked_at = 0;
  for (size_t passed = 0; passed <= lanes_.size() && looked_at < kOtherSteps; ++passed) {
    turn_lane_ %= static_cast<uint32_t>(lanes_.size());
    auto& steps = lanes_[turn_lane_].steps;
    auto at = turn_after_ ? steps.upper_bound(*turn_after_) : steps.begin();
    for (; at != steps.end() && looked_at < kOtherSteps; ++at, ++looked_at) {
      turn_after_ = at->first;
      if (StepOf(at->second).looked_at_round == round_ || !eligible(at->second)) continue;
      out.push_back(at->second);
    }
    if (at != steps.end()) break;
    ++turn_lane_;
    turn_after_.reset();
  }
  std::sort(out.begin() + static_cast<std::ptrdiff_t>(first), out.end(),
            [](const ready_step& a, const ready_step& b) {
              return StepOf(a).queued->order < StepOf(b).queued->order;
            });
}

}  // namespace catkinford
