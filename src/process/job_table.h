// Jobs of one shard and the state of each task, in a slab addressed by handle.
#ifndef CATKINFORD_PROCESS_JOB_TABLE_H_
#define CATKINFORD_PROCESS_JOB_TABLE_H_

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "process/decision_core.h"

namespace catkinford {

using job_handle = uint32_t;
constexpr job_handle kNoJob = UINT32_MAX;

enum class task_state : uint8_t {
  kWaiting,
  kStarting,  // the start was sent
  kRunning,
  kStopping,  // the stop was sent
  kDone,
  kFailed
};

struct task_slot {
  uint32_t attempt = 0;
  endpoint_index endpoint = 0;
  uint32_t position = 0;  // in the endpoint's list of tasks
  task_state state = task_state::kWaiting;
  bool checkpointing = false;  // while kStopping: it was asked to write a checkpoint first
  monotonic_time started{};
  monotonic_time stop_due{};  // while checkpointing: its time limit; zero: no limit

  // Whether the task occupies capacity on its endpoint.
  bool Live() const {
    return state == task_state::kStarting || state == task_state::kRunning ||
           state == task_state::kStopping;
  }
};

// Reference to a task by job and index, for the task lists of endpoints.
struct task_ref {
  job_handle job = kNoJob;
  uint32_t index = 0;
};

struct job_record {
  job_request request;
  absl::InlinedVector<task_slot, 1> tasks;
  uint32_t generation = 0;  // distinguishes the job from a later one in the same slot
  uint32_t waiting = 0;
  uint32_t live = 0;
  uint32_t done = 0;
  uint32_t failed = 0;
  uint32_t possible_runs = 0;  // starts sent and not known to have had no effect
  uint32_t first_waiting = 0;  // no task with a lower index is waiting
  uint32_t failures_in_a_row = 0;
  uint32_t overtaken = 0;                 // newer jobs of its queue that were inserted ahead of it
  std::chrono::milliseconds expected{0};  // expected run time of all its tasks; zero: unknown
  job_handle next = kNoJob;               // in its queue
  job_handle previous = kNoJob;
  endpoint_index avoid = UINT32_MAX;  // the last start on this endpoint failed
  uint32_t reservation = UINT32_MAX;
  bool in_use = false;
  bool known = false;  // submitted, not only adopted from a listing
  bool queued = false;
  bool cancelled = false;
  bool may_have_run = false;  // not repeatable and a run was lost
  bool regrouping = false;    // a gang that waits until all its tasks have ended
  bool asked_reservation = false;
  bool backing_off = false;  // a service that keeps failing
};

class job_table {
 public:
  // The handle of the job, or kNoJob.
  job_handle Find(const request_id& id) const;
  // Adds a record; the id must not exist yet.
  job_handle Add(const request_id& id);
  void Remove(job_handle job);

  job_record& operator[](job_handle job) { return slab_[job]; }
  const job_record& operator[](job_handle job) const { return slab_[job]; }
  // Whether the handle still refers to the same job.
  bool Holds(job_handle job, uint32_t generation) const {
    return slab_[job].in_use && slab_[job].generation == generation;
  }
  size_t Size() const { return by_id_.size(); }

  // Calls visit(handle) for all jobs in order of handle; visit may remove the job.
  template <typename visitor>
  void VisitAll(visitor visit) {
    for (job_handle job = 0; job < slab_.size(); ++job) {
      if (slab_[job].in_use) visit(job);
    }
  }

 private:
  std::vector<job_record> slab_;
  std::vector<job_handle> free_;
  absl::flat_hash_map<request_id, job_handle> by_id_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_JOB_TABLE_H_
