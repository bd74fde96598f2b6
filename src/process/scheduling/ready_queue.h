// The steps that wait for an instance, in the order in which they get one.
//
// A round of decisions looks at the first ones of each service and, in turn, at a few of the
// others, so that its cost does not grow with the backlog. Steps that cannot be placed on the
// present instances are set aside: they take no place among those, and some of them are tried again
// in each round, in turn.
#ifndef CATKINFORD_PROCESS_SCHEDULING_READY_QUEUE_H_
#define CATKINFORD_PROCESS_SCHEDULING_READY_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "process/scheduling/graph_state.h"
#include "process/scheduling/job_order.h"

namespace catkinford {

struct ready_step {
  job_entry* entry;
  occurrence_state* occurrence;
  uint32_t index;
  bool in_turn = false;  // not one of the first of its service
};

enum class step_standing : uint8_t {
  kEligible,
  kOverLimit,    // its workspace is at its limit
  kUnplaceable,  // the present instances cannot hold it, whatever ends
};

class ready_queue {
 public:
  using judge = std::function<step_standing(const ready_step&)>;

  // Adds the step, or moves it to its new place. `until`: when its rank changes by itself.
  void Put(const ready_step& ready, ready_order order, monotonic_time until);
  // Does nothing if the step is not queued.
  void Remove(const ready_step& ready);
  // The steps whose rank has changed by `now`; each must be put again or removed.
  std::vector<ready_step> TakeRankChanges(monotonic_time now);

  // The steps that a round looks at: of each service the first eligible ones, then some of the
  // others in turn, so that none waits forever behind steps that cannot start. Sets aside those
  // that are judged to be unplaceable.
  std::vector<ready_step> Next(const judge& standing_of);
  size_t SetAsideCount() const { return set_aside_.size(); }

 private:
  // Steps of one service and one workspace: while the workspace is at its limit, none of them
  // starts.
  struct lane {
    uint32_t service = 0;
    absl::btree_map<ready_order, ready_step> steps;
  };
  using steps_iterator = absl::btree_map<ready_order, ready_step>::iterator;

  uint32_t LaneOf(const job_entry& entry);
  void Insert(const ready_step& ready, const queue_position& position);
  void SetAside(const std::vector<ready_step>& steps);
  // Judges some of the steps that are set aside, in turn, and queues those that can be placed now.
  void RetrySetAside(const judge& standing_of);
  void AppendFirst(const judge& standing_of, std::vector<ready_step>& out);
  void AppendOthers(const judge& standing_of, std::vector<ready_step>& out);

  std::vector<lane> lanes_;
  absl::flat_hash_map<std::pair<uint32_t, std::string>, uint32_t> lane_of_;
  absl::btree_map<std::pair<monotonic_time, uint64_t>, ready_step> rank_changes_;
  absl::btree_map<uint64_t, ready_step> set_aside_;  // by sequence
  uint64_t retried_ = 0;                             // sequence of the last one that was retried
  size_t size_ = 0;                                  // in lanes
  uint64_t last_sequence_ = 0;
  uint64_t round_ = 0;
  // Where the turn of the other steps goes on: after this one.
  uint32_t turn_lane_ = 0;
  std::optional<ready_order> turn_after_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_READY_QUEUE_H_
