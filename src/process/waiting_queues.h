// Waiting jobs: a lane for each team and class of work, and the order between lanes.
//
// A lane is a list through the jobs themselves, so that a job leaves at the same cost wherever it
// stands: a wave of cancellations does not slow down placements.
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

// In the order in which equal shares are served.
enum class queue_class : uint8_t { kUrgent, kInteractive, kService, kGang, kBatch };
constexpr size_t kQueueClasses = 5;

queue_class ClassOf(const job_request& request);

struct queue_ref {
  queue_class kind = queue_class::kUrgent;
  team_index team = 0;
};

// The order in which lanes are served: the lowest goes first, and no two are equal.
struct queue_rank {
  int first = 0;     // urgent work, then callers within their share, then all other work
  double ratio = 0;  // of the team to its share
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
  kNoCapacity,  // what stands first found no room
  kNoGrant,     // what stands first would pass the team's grant
  kPaused       // what stands first needs room on many endpoints: tried again after a time
};

// Jobs of a lane that are tried before it counts as blocked. Packing and p99 on a full floor of 467
// endpoints: 4 0.969, 25 us; 8 0.973, 34 us; 16 0.979, 70 us; 32 0.982, 146 us.
constexpr uint32_t kQueueDepth = 16;

using queue_needs = absl::InlinedVector<resources, kQueueDepth>;

struct waiting_queue {
  job_handle head = kNoJob;
  job_handle tail = kNoJob;
  uint32_t jobs = 0;
  uint32_t tasks = 0;
  queue_state state = queue_state::kEmpty;
  bool waits_for_grant = false;  // while blocked: a higher grant would help something in it
  bool pausing = false;          // a timer ends the pause
  bool watched = false;          // a timer looks after what stands first
  double ratio = 0;              // the key under which it stands in the order
  queue_needs needs;             // while kNoCapacity: one of these has to fit somewhere
  uint32_t position = 0;         // while kNoCapacity: in the list of such lanes
  drain_rate_estimator drain_rate;
  virtual_queue rejected;  // who was told to come back
};

// A lane that waits for room. Flat and small: each round on a full floor looks through all of them.
struct blocked_queue {
  resources min_need;  // less than this in any amount helps nothing in the lane
  uint64_t tried = 0;  // the round in which it last found no room
  queue_ref ref;
  bool withheld = false;  // there is room, but it is kept for callers who wait for an answer
};

class waiting_queues {
 public:
  explicit waiting_queues(job_table& jobs) : jobs_(jobs) {}

  waiting_queue& At(const queue_ref& ref);
  // The same for a lane that is known to exist.
  const waiting_queue& Peek(const queue_ref& ref) const {
    return teams_[ref.team][static_cast<size_t>(ref.kind)];
  }

  // `front`: a job whose tasks have waited before and come back. Short batch work goes before work
  // that is expected to run for long.
  void Append(job_handle job, bool front, double ratio);
  // Whether the job is among those that are tried before its lane counts as blocked.
  bool IsWithinDepth(job_handle job) const;
  void Remove(job_handle job);
  // The lane's count of tasks when a task of a queued job starts.
  void OnTaskStarted(const queue_ref& ref) { --At(ref).tasks; }

  // The team's share changed.
  void Rekey(team_index team, double ratio);

  // The ready lane of a class with the lowest ratio.
  std::optional<queue_ref> First(queue_class kind) const;
  void Block(const queue_ref& ref, queue_state why, const queue_needs& needs, bool waits_for_grant,
             uint64_t round, bool withheld);
  void Unblock(const queue_ref& ref);
  // Unblocks the team's lanes that wait for its grant.
  void GrantChanged(team_index team);
  // Lanes that wait for room, in no order.
  const std::vector<blocked_queue>& CapacityBlocked() const { return capacity_blocked_; }
  uint32_t WithheldQueues() const { return withheld_queues_; }
  // Of a class, those for which there is no room at all, not even what is kept.
  uint32_t CapacityBlockedCount(queue_class kind) const {
    return capacity_blocked_count_[static_cast<size_t>(kind)];
  }
  // No lane that waits for room needs less than this in any amount; it may be too low for a while.
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
  uint32_t blocks_ = 0;  // since min_need_ was worked out anew
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_WAITING_QUEUES_H_
