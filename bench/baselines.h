// Simple schedulers to measure the decision core against. They keep to what endpoints hold and to
// nothing else: no shares, no reservations, no preemption.
#ifndef CATKINFORD_BENCH_BASELINES_H_
#define CATKINFORD_BENCH_BASELINES_H_

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

#include "bench/random_source.h"
#include "process/decision_core.h"

namespace catkinford {

// An endpoint as a baseline sees it.
struct baseline_endpoint {
  resources capacity;
  resources used;

  resources Free() const { return SubtractOrZero(capacity, used); }
};

// The first endpoint that fits.
struct first_fit {
  explicit first_fit(uint64_t /*seed*/) {}
  bool Choose(const std::vector<baseline_endpoint>& floor, const resources& need,
              endpoint_index& chosen);
};

// The less loaded of two drawn at random; a few draws before it gives up for now.
struct random_of_two {
  explicit random_of_two(uint64_t seed) : random(seed) {}
  bool Choose(const std::vector<baseline_endpoint>& floor, const resources& need,
              endpoint_index& chosen);
  random_source random;
};

// Jobs in order of arrival; the first that finds no room holds up all behind it.
template <typename chooser>
class baseline_scheduler {
 public:
  explicit baseline_scheduler(core_options options) : chooser_(options.seed) {}

  void SetEndpoint(endpoint_index endpoint, const endpoint_shape& shape, endpoint_state /*state*/,
                   monotonic_time /*now*/) {
    if (floor_.size() <= endpoint) floor_.resize(endpoint + 1);
    floor_[endpoint].capacity = shape.capacity;
  }
  void SetTeam(team_index /*team*/, const team_terms& /*terms*/, monotonic_time /*now*/) {}
  void SetGrant(team_index /*team*/, const team_grant& /*grant*/, monotonic_time /*now*/) {}

  admission Submit(const job_request& request, monotonic_time /*now*/) {
    for (uint32_t index = 0; index < request.tasks; ++index) {
      queue_.push_back({{request.id, index, 1}, request});
    }
    return {true};
  }
  void Started(const task_id& /*task*/, monotonic_time /*now*/) {}

  void Finished(const task_id& task, task_end /*end*/, std::chrono::milliseconds /*ran*/,
                monotonic_time /*now*/) {
    const auto found = running_.find(task);
    if (found == running_.end()) return;
    floor_[found->second.endpoint].used -= found->second.amount;
    running_.erase(found);
  }

  void Decide(monotonic_time now, std::vector<command>& out) {
    while (!queue_.empty()) {
      const waiting& next = queue_.front();
      const bool late = next.request.deadline != monotonic_time{} && next.request.deadline <= now;
      if (late) {
        Give(command_kind::kRefuse, next, 0, out);
        out.back().reason = rejection_reason::kDeadline;
      } else {
        endpoint_index endpoint = 0;
        if (!chooser_.Choose(floor_, next.request.each, endpoint)) return;
        floor_[endpoint].used += next.request.each;
        running_[next.task] = {endpoint, next.request.each};
        Give(command_kind::kStart, next, endpoint, out);
      }
      queue_.pop_front();
    }
  }
  // A draw at random may find room that an earlier one missed.
  monotonic_time NextWake() const { return monotonic_time::max(); }
  uint64_t Signature() const { return 0; }

 private:
  struct waiting {
    task_id task;
    job_request request;
  };
  struct run {
    endpoint_index endpoint = 0;
    resources amount;
  };

  static void Give(command_kind kind, const waiting& next, endpoint_index endpoint,
                   std::vector<command>& out) {
    command c;
    c.kind = kind;
    c.task = next.task;
    c.endpoint = endpoint;
    c.amount = next.request.each;
    out.push_back(std::move(c));
  }

  chooser chooser_;
  std::vector<baseline_endpoint> floor_;
  std::deque<waiting> queue_;
  absl::flat_hash_map<task_id, run> running_;
};

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_BASELINES_H_
