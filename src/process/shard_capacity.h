// The endpoints of one shard: what each holds, what is free, and which of them accept new work.
#ifndef CATKINFORD_PROCESS_SHARD_CAPACITY_H_
#define CATKINFORD_PROCESS_SHARD_CAPACITY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "process/decision_core.h"
#include "process/endpoint_health.h"
#include "process/free_index.h"
#include "process/job_table.h"

namespace catkinford {

constexpr uint32_t kNoReservation = UINT32_MAX;

struct endpoint_record {
  resources capacity;
  resources used;
  resources preemptible;  // the part of `used` that batch work would release when stopped
  resources self_ending;  // the part of `used` that ends by itself: all but services and gangs
  uint32_t rack = 0;
  uint32_t failure_domain = 0;
  uint32_t interactive = 0;  // number of interactive tasks
  uint32_t reservation = kNoReservation;
  endpoint_state state = endpoint_state::kGone;
  bool known = false;
  bool cooling = false;  // it rejected a start for lack of capacity: our view is outdated
  endpoint_health health;
  std::vector<task_ref> tasks;

  resources Free() const { return SubtractOrZero(capacity, used); }
  // What would be free without the work that may be preempted, or that ends by itself.
  resources FreeWithoutBatch() const {
    return SubtractOrZero(capacity, SubtractOrZero(used, preemptible));
  }
  resources FreeEventually() const {
    return SubtractOrZero(capacity, SubtractOrZero(used, self_ending));
  }
};

// An endpoint shape, how many endpoints have it now, and the most at any one time.
struct shape_count {
  resources capacity;
  uint32_t present = 0;
  uint32_t most = 0;
};

class shard_capacity {
 public:
  void SetEndpoint(endpoint_index endpoint, const endpoint_shape& shape, endpoint_state state);
  void SetState(endpoint_index endpoint, endpoint_state state);

  bool Knows(endpoint_index e) const { return e < endpoints_.size() && endpoints_[e].known; }
  size_t Size() const { return endpoints_.size(); }
  const endpoint_record& operator[](endpoint_index endpoint) const { return endpoints_[endpoint]; }

  // Endpoints that accept new work, by free capacity.
  const free_index& Open() const { return open_; }
  // The same endpoints, by the capacity that would be free without batch work.
  const free_index& Preemptible() const { return preemptible_; }

  // Reserves the resources of one task; returns its position in the endpoint's task list.
  uint32_t Add(endpoint_index endpoint, const task_ref& task, const job_request& job);
  // Releases them. Returns the task that moved to `position`, or an empty reference.
  task_ref Remove(endpoint_index endpoint, uint32_t position, const job_request& job);

  void Reserve(endpoint_index endpoint, uint32_t reservation);
  void SetCooling(endpoint_index endpoint, bool cooling);

  // Records a good or failed run; true when the endpoint has just been ejected.
  bool RecordRun(endpoint_index endpoint, bool fault, monotonic_time now);
  void EndEjection(endpoint_index endpoint, monotonic_time now);

  // Whether the shard, when empty, could run `count` tasks of `each` at once. Shapes that were seen
  // before count as available: an endpoint that is down comes back or is replaced.
  bool CanEverHold(const resources& each, uint32_t count) const;
  // Names the amount that exceeds every endpoint, and the largest one available.
  std::string ExplainNeverFits(const resources& each) const;

  // Capacity of the endpoints that are not fenced yet; it counts against every team.
  const resources& Unfenced() const { return unfenced_; }
  uint32_t UnfencedEndpoints() const { return unfenced_endpoints_; }
  bool UnfencedTasksUnbounded() const { return unfenced_without_slots_ > 0; }
  uint32_t PresentEndpoints() const { return present_; }
  const resources& OpenCapacity() const { return open_capacity_; }
  uint32_t OpenEndpoints() const { return open_endpoints_; }
  const resources& LargestCapacity() const { return largest_; }
  // Interactive work in progress: its resources and number of tasks.
  const resources& InteractiveUse() const { return interactive_use_; }
  uint32_t InteractiveTasks() const { return interactive_tasks_; }
  uint32_t Interactive(uint32_t rack) const { return rack < racks_.size() ? racks_[rack] : 0; }

  // Endpoints with more free capacity than at the last call of ClearFreed().
  const std::vector<endpoint_index>& Freed() const { return freed_; }
  void ClearFreed() { freed_.clear(); }

 private:
  void CountState(const endpoint_record& e, bool in);
  void CountShape(const resources& capacity, bool in);
  // Updates the indexes from the endpoint's record.
  void Refresh(endpoint_index endpoint);

  std::vector<endpoint_record> endpoints_;
  std::vector<uint32_t> racks_;  // number of interactive tasks in each rack
  resources interactive_use_;
  uint32_t interactive_tasks_ = 0;
  std::vector<shape_count> shapes_;
  free_index open_;
  free_index preemptible_;
  std::vector<endpoint_index> freed_;
  resources unfenced_;
  resources open_capacity_;
  resources largest_;
  failure_ratio all_runs_;
  uint32_t unfenced_endpoints_ = 0;
  uint32_t unfenced_without_slots_ = 0;
  uint32_t open_endpoints_ = 0;
  uint32_t present_ = 0;
  uint32_t ejected_ = 0;
};

// Batch work that may be stopped and restarted is preempted by urgent work.
inline bool IsPreemptible(const job_request& job) {
  return job.kind == workload_kind::kBatch && job.repeatable && !job.urgent;
}

inline bool EndsByItself(const job_request& job) {
  return job.kind == workload_kind::kBatch || job.kind == workload_kind::kInteractive;
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SHARD_CAPACITY_H_
