// Placement decisions of one shard: which task starts on which endpoint, which one waits and which
// one is preempted.
//
// Pure and deterministic: events and the current time go in, commands come out. It uses no clock,
// lock, I/O or log, and must be called from a single thread.
#ifndef CATKINFORD_PROCESS_DECISION_CORE_H_
#define CATKINFORD_PROCESS_DECISION_CORE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "request/identity.h"
#include "request/job_request.h"
#include "request/outcome.h"

namespace catkinford {

using endpoint_index = uint32_t;

enum class endpoint_state : uint8_t {
  kUnfenced,  // of this shard, not yet listed under our epoch: full, also against all limits
  kOpen,
  kSilent,   // does not answer: receives no new work; its known runs stay counted
  kLeaving,  // receives no new work; its running tasks are moved elsewhere
  kGone      // the lease has expired: its tasks no longer run
};

struct endpoint_shape {
  resources capacity;
  uint32_t rack = 0;            // dense number
  uint32_t failure_domain = 0;  // dense number
};

// The limits of a team in the effective contract, as far as placement needs them.
struct team_terms {
  double weight = 1.0;          // relative share when the fleet is at full capacity
  resources limit;              // upper limit across the fleet
  uint32_t running_limit = 0;   // running tasks across the fleet
  uint32_t queue_limit = 1000;  // tasks waiting in this shard
};

// The part of a team's limit that is granted to this shard. Usage in this shard never exceeds it.
struct team_grant {
  resources amount;
  uint32_t running = 0;
};

enum class stop_reason : uint8_t { kCancelled, kPreempted, kLeaving, kOverLimit, kDeadline };

enum class command_kind : uint8_t {
  kStart,   // send a start of `task` to `endpoint`
  kStop,    // stop `task` at `endpoint`; checkpoint first when `checkpoint`
  kRefuse,  // `task.job` did not run and never will: see `reason`, `retry_after`, `detail`
  kEnded,   // `task.job` was started and has ended: no task runs or will be placed: see `end`
};

enum class job_end : uint8_t {
  kDone,       // every task completed
  kFailed,     // a task failed on its own
  kCancelled,  // cancelled after at least one of its tasks had been started
  kUnknown     // not repeatable and a run was lost: it may have run and is not placed again
};

struct command {
  command_kind kind = command_kind::kStart;
  task_id task;
  endpoint_index endpoint = 0;
  resources amount;
  bool checkpoint = false;
  stop_reason why = stop_reason::kCancelled;
  rejection_reason reason = rejection_reason::kNone;  // of kRefuse; of kEnded, why it ended early
  std::chrono::milliseconds retry_after{0};
  std::string detail;
  job_end end = job_end::kDone;
  uint32_t tasks_done = 0;    // for kEnded
  uint32_t tasks_failed = 0;  // for kEnded
};

// A running task taken from a fenced listing or restored from a job's record.
struct running_task {
  task_id id;
  team_index team = 0;
  workload_kind kind = workload_kind::kBatch;
  resources amount;
  endpoint_index endpoint = 0;
};

enum class task_end : uint8_t {
  kDone,          // completed successfully
  kFailed,        // ran and failed on its own
  kStopped,       // stopped by our command
  kCheckpointed,  // stopped after a checkpoint, can resume elsewhere
  kLost           // endpoint lost or lease expired: placed again if repeatable, else kUnknown
};

struct admission {
  bool queued = false;
  rejection_reason reason = rejection_reason::kNone;
  std::chrono::milliseconds retry_after{0};
  std::string detail;  // e.g. the missing resource and the largest existing endpoint
};

// Free capacity of a shard, used to choose between shards. Small, as it is sent with each
// heartbeat.
struct shard_summary {
  resources free;              // over all open endpoints
  resources largest_free;      // the maximum over the endpoints, amount by amount
  resources largest_capacity;  // the maximum over the endpoints, amount by amount
  uint32_t open_endpoints = 0;
  uint32_t queued_tasks = 0;
  uint32_t running_tasks = 0;
  std::chrono::milliseconds queue_delay{0};  // expected wait of a new interactive task
};

struct team_usage {
  resources running;
  uint32_t running_tasks = 0;
  uint32_t queued_tasks = 0;
  resources wanted;  // running and queued
};

struct core_options {
  uint64_t seed = 1;  // for the jitter of retry_after
  // Attempt numbers of tasks count up from here. Each owner has its own base: if it reused an
  // earlier owner's numbers, a start could match the retained result of an old run and be taken for
  // it.
  uint32_t attempt_base = 0;
};

class decision_core {
 public:
  explicit decision_core(core_options options);
  ~decision_core();
  decision_core(const decision_core&) = delete;
  decision_core& operator=(const decision_core&) = delete;

  // Endpoints.
  void SetEndpoint(endpoint_index endpoint, const endpoint_shape& shape, endpoint_state state,
                   monotonic_time now);
  // kGone ends every task that ran there as kLost; repeatable ones are queued again.
  void SetEndpointState(endpoint_index endpoint, endpoint_state state, monotonic_time now);

  // Contracts and limits.
  void SetTeam(team_index team, const team_terms& terms, monotonic_time now);
  void SetGrant(team_index team, const team_grant& grant, monotonic_time now);
  // Latest reported usage of the team in all other shards, for shares over the whole cell; the
  // report is `age` old on average.
  void SetUsageElsewhere(team_index team, const resources& running, std::chrono::milliseconds age,
                         monotonic_time now);
  // Capacity of the whole cell, the base for computing shares.
  void SetCellCapacity(const resources& capacity);

  // Jobs and runs.
  admission Submit(const job_request& request, monotonic_time now);
  // Like Submit(), for a job of which only the tasks in `here` belong to this shard.
  admission SubmitPart(const job_request& request, const std::vector<uint32_t>& here,
                       monotonic_time now);
  // Queues a task of a known job that belonged to another shard and now belongs to this one.
  void TakeOverTask(const request_id& job, uint32_t index);
  // Like Submit(), for a job restored from its record: only the tasks in `waiting` are queued; the
  // others have ended or are added by Adopt(), before or after this call. Never rejected for a full
  // queue.
  void Resume(const job_request& request, const std::vector<uint32_t>& waiting, monotonic_time now);
  // Only marks the job; the next Decide() emits kStop for its running tasks. False when the job is
  // unknown.
  bool Cancel(const request_id& job, monotonic_time now);
  // Adds a task from a fenced listing: it runs already, whatever the limits are. If the core does
  // not know its job, no task of the job is queued and this one is only counted until it ends.
  void Adopt(const running_task& task, monotonic_time now);
  // The endpoint confirmed the start.
  void Started(const task_id& task, monotonic_time now);
  // The start is known to have had no effect (the endpoint rejected it, or it was never sent): the
  // task is queued again even if it is not repeatable. `endpoint_fault` counts the failure against
  // the endpoint.
  void StartFailed(const task_id& task, bool endpoint_fault, monotonic_time now);
  // Ends a run. Services are placed again after any end but a cancellation. A gang that loses a
  // task is stopped and placed again as a unit; a gang with a failed task is stopped and ends.
  void Finished(const task_id& task, task_end end, std::chrono::milliseconds ran,
                monotonic_time now);

  // Appends the commands to carry out now, a few hundred at most; if more remain, NextWake() is
  // immediate. Once nothing is left to do, further calls without new input append nothing.
  void Decide(monotonic_time now, std::vector<command>& out);
  // The time of the next Decide() call if no event arrives before.
  monotonic_time NextWake() const;

  // Queries.
  shard_summary Summary() const;
  team_usage Usage(team_index team) const;
  // What a waiting job waits for, as a status text; empty when it does not wait.
  std::string WaitsFor(const request_id& job) const;
  // Hash over all commands so far; identical decisions give the same value on every machine.
  uint64_t Signature() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_DECISION_CORE_H_
