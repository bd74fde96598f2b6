// Waiting jobs: one queue for each team and class of work, and the order between queues.
//
// A queue is an intrusive list through the job records, so that removing a job costs the same at
// any position and a burst of cancellations does not slow down placements.
#ifndef CATKINFORD_PROCESS_WAITING_QUEUES_H_
#define CATKINFORD_PROCESS_WAITING_QUEUES_H_

#include <absl/container/btree_set.h>
#include <absl/container/inlined_vector.h>

#include <array>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "process/drain_rate_estimator.h"
#include "process/job_table.h"
#include "process/virtual_queue.h"

namespace catkinford {

// In the order in which queues of equal share are served.
enum class queue_class : uint8_t { kUrgent, kInteractive, kService, kGang, kBatch };
constexpr size_t kQueueClasses = 5;

queue_class ClassOf(const job_request& request);

struct queue_ref {
  queue_class kind = queue_class::kUrgent;
  team_index team = 0;
};

// Service order of queues: the lowest rank goes first, and no two are equal.
struct queue_rank {
  int first = 0;     // urgent jobs, then interactive jobs within their share, then all others
  double ratio = 0;  // ratio of the team's usage to its share
  queue_ref ref;

  bool operator<(const queue_rank& other) const {
    if (first != other.first) return first < other.first;
    if (ratio != other.ratio) return ratio < other.ratio;
    if (ref.kind != other.ref.kind) return ref.kind < other.ref.kind;
    return ref.team < other.ref.team;
  }
};

enum class queue_state : uint8_t {
  kEmpty,
  kReady,
  kNoCapacity,  // the head found no capacity
  kNoGrant,     // the head would exceed the team's grant
  kPaused       // the head needs capacity on many endpoints: retried after a pause
};

// Jobs of a queue that are tried before it counts as blocked. Packing and p99 decision time with
// 467 endpoints at full capacity: 4 0.969, 25 us; 8 0.973, 34 us; 16 0.979, 70 us; 32 0.982, 146
// us.
constexpr uint32_t kQueueDepth = 16;

using queue_needs = absl::InlinedVector<resources, kQueueDepth>;

struct waiting_queue {
  job_handle head = kNoJob;
  job_handle tail = kNoJob;
  uint32_t jobs = 0;
  uint32_t tasks = 0;
  queue_state state = queue_state::kEmpty;
  bool waits_for_grant = false;  // while blocked: a higher grant would help a job in it
  bool pausing = false;          // a timer ends the pause
  bool watched = false;          // a timer will check the head
  double ratio = 0;              // its key in the service order
  queue_needs needs;             // while kNoCapacity: one of these must fit on some endpoint
  uint32_t position = 0;         // while kNoCapacity: index in the list of such queues
  drain_rate_estimator drain_rate;
  virtual_queue rejected;  // callers rejected with Retry-After
};

// A queue that waits for capacity. Flat and small, as each round at full capacity scans all of
// them.
struct blocked_queue {
  resources min_need;  // less than this in any amount helps no job in the queue
  uint64_t tried = 0;  // the round in which it last found no capacity
  queue_ref ref;
  bool withheld = false;  // capacity is free but withheld for interactive requests
};

class waiting_queues {
 public:
  explicit waiting_queues(job_table& jobs) : jobs_(jobs) {}

  waiting_queue& At(const queue_ref& ref);
  // Like At(), for a queue that is known to exist.
  const waiting_queue& Peek(const queue_ref& ref) const {
    return teams_[ref.team][static_cast<size_t>(ref.kind)];
  }

  // `front`: a job whose tasks are queued again. Short batch jobs are inserted ahead of jobs with a
  // long expected run time.
  void Append(job_handle job, bool front, double ratio);
  // Whether the job is among those tried before its queue counts as blocked.
  bool IsWithinDepth(job_handle job) const;
  void Remove(job_handle job);
  // Updates the task count of the queue when a task of a queued job starts.
  void OnTaskStarted(const queue_ref& ref) { --At(ref).tasks; }

  // Updates the ratio of the team's usage to its share.
  void Rekey(team_index team, double ratio);

  // The ready queue of a class with the lowest ratio.
  std::optional<queue_ref> First(queue_class kind) const;
  void Block(const queue_ref& ref, queue_state why, const queue_needs& needs, bool waits_for_grant,
             uint64_t round, bool withheld);
  void Unblock(const queue_ref& ref);
  // Unblocks the team's queues that wait for its grant.
  void GrantChanged(team_index team);
  // Queues that wait for capacity, in no particular order.
  const std::vector<blocked_queue>& CapacityBlocked() const { return capacity_blocked_; }
  uint32_t WithheldQueues() const { return withheld_queues_; }
  // Number of queues of a class that wait for capacity, not counting those it is only withheld
  // from.
  uint32_t CapacityBlockedCount(queue_class kind) const {
    return capacity_blocked_count_[static_cast<size_t>(kind)];
  }
  // Lower bound of the need of every queue that waits for capacity, in each amount; may be lower
  // than necessary for a while.
  const resources& MinNeed() const { return min_need_; }
  bool AnyReady() const;

 private:
  using order_key = std::pair<double, team_index>;
  void MakeReady(const queue_ref& ref, double ratio);
  void DropState(const queue_ref& ref);
  job_handle FirstToOvertake(const waiting_queue& queue, const job_record& job);
  void UpdateMinNeed(const resources& need);

  job_table& jobs_;
  std::vector<std::array<waiting_queue, kQueueClasses>> teams_;
  std::array<absl::btree_set<order_key>, kQueueClasses> ready_;
  std::vector<blocked_queue> capacity_blocked_;
  std::array<uint32_t, kQueueClasses> capacity_blocked_count_{};
  uint32_t withheld_queues_ = 0;
  resources min_need_;
  uint32_t blocks_ = 0;  // since min_need_ was last recomputed
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_WAITING_QUEUES_H_
