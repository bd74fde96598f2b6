// The decisions of one shard: which task starts where, which waits, which gives way.
//
// Pure and deterministic: events and the present time come in, commands go out. No clock, no lock,
// no input or output, no log. One thread calls it.
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
  kUnfenced,  // of this shard, not yet listed under our epoch: full, also against every limit
  kOpen,
  kSilent,   // does not answer us: gets nothing new; what runs there is known and stays counted
  kLeaving,  // gets nothing new; what runs there is moved
  kGone      // lease waited out: its tasks do not run any more
};

struct endpoint_shape {
  resources capacity;
  uint32_t rack = 0;            // dense number
  uint32_t failure_domain = 0;  // dense number
};

// What the contract in force says of a team, as far as decisions need it.
struct team_terms {
  double weight = 1.0;          // share when the floor is full
  resources limit;              // upper limit across the fleet
  uint32_t running_limit = 0;   // running tasks across the fleet
  uint32_t queue_limit = 1000;  // tasks waiting in this shard
};

// The part of a team's limit that this shard holds. Running here never passes it.
struct team_grant {
  resources amount;
  uint32_t running = 0;
};

enum class stop_reason : uint8_t { kCancelled, kPreempted, kLeaving, kOverLimit, kDeadline };

enum class command_kind : uint8_t {
  kStart,   // send a start for `task` to `endpoint`
  kStop,    // stop `task` at `endpoint`; checkpoint first when `checkpoint`
  kRefuse,  // `task.job` did not run and will not: `reason`, `retry_after`, `detail`
  kEnded,   // `task.job` had begun and is over: nothing of it runs or will be placed: `end`
};

enum class job_end : uint8_t {
  kDone,       // every task ran to its end
  kFailed,     // a task failed by itself
  kCancelled,  // cancelled after something of it had been started
  kUnknown     // not repeatable, and a run was lost: it may have run and is not placed again
};

struct command {
  command_kind kind = command_kind::kStart;
  task_id task;
  endpoint_index endpoint = 0;
  resources amount;
  bool checkpoint = false;
  stop_reason why = stop_reason::kCancelled;
  rejection_reason reason = rejection_reason::kNone;  // of kRefuse; of kEnded, what ended it early
  std::chrono::milliseconds retry_after{0};
  std::string detail;
  job_end end = job_end::kDone;
  uint32_t tasks_done = 0;    // for kEnded
  uint32_t tasks_failed = 0;  // for kEnded
};

// A task found in a fenced list, or restored from a job's record.
struct running_task {
  task_id id;
  team_index team = 0;
  workload_kind kind = workload_kind::kBatch;
  resources amount;
  endpoint_index endpoint = 0;
};

enum class task_end : uint8_t {
  kDone,          // ran to its end, well
  kFailed,        // ran and failed by itself
  kStopped,       // stopped on our command
  kCheckpointed,  // stopped, can go on elsewhere
  kLost           // endpoint gone or lease lapsed: placed again if repeatable, else kUnknown
};

struct admission {
  bool queued = false;
  rejection_reason reason = rejection_reason::kNone;
  std::chrono::milliseconds retry_after{0};
  std::string detail;  // e.g. which resource, and the largest endpoint that exists
};

// Room left, for the choice between shards. Small: sent with each heartbeat.
struct shard_summary {
  resources free;              // over all open endpoints
  resources largest_free;      // the largest that one endpoint has, amount by amount
  resources largest_capacity;  // the largest endpoint there is, amount by amount
  uint32_t open_endpoints = 0;
  uint32_t queued_tasks = 0;
  uint32_t running_tasks = 0;
  std::chrono::milliseconds queue_delay{0};  // what a new interactive task would wait
};

struct team_usage {
  resources running;
  uint32_t running_tasks = 0;
  uint32_t queued_tasks = 0;
  resources wanted;  // running and queued
};

struct core_options {
  uint64_t seed = 1;  // jitter of retry-after, ties
  // Attempts of tasks count up from here. Each owner has a base of its own: with the numbers of an
  // earlier owner a start could meet the retained end of an old run and be taken for it.
  uint32_t attempt_base = 0;
};

class decision_core {
 public:
  explicit decision_core(core_options options);
  ~decision_core();
  decision_core(const decision_core&) = delete;
  decision_core& operator=(const decision_core&) = delete;

  // The floor.
  void SetEndpoint(endpoint_index endpoint, const endpoint_shape& shape, endpoint_state state,
                   monotonic_time now);
  // kGone gives back all that ran there: each task ends as kLost and waits again.
  void SetEndpointState(endpoint_index endpoint, endpoint_state state, monotonic_time now);

  // Contracts and limits.
  void SetTeam(team_index team, const team_terms& terms, monotonic_time now);
  void SetGrant(team_index team, const team_grant& grant, monotonic_time now);
  // Usage of the team in all other shards, for shares over the whole cell: the latest news of it,
  // which are `age` old on average.
  void SetUsageElsewhere(team_index team, const resources& running, std::chrono::milliseconds age,
                         monotonic_time now);
  // Size of the whole cell, the measure of a share.
  void SetCellCapacity(const resources& capacity);

  // Work.
  admission Submit(const job_request& request, monotonic_time now);
  // As Submit, for a job of which only the tasks in `here` are this shard's.
  admission SubmitPart(const job_request& request, const std::vector<uint32_t>& here,
                       monotonic_time now);
  // A task of a known job that was another shard's is this one's now, and waits.
  void TakeIn(const request_id& job, uint32_t index);
  // As Submit, for a job whose record was read back: only the tasks in `waiting` wait, the others
  // are over or come by Adopt(), before or after. Never refused for a full queue.
  void Resume(const job_request& request, const std::vector<uint32_t>& waiting, monotonic_time now);
  // A cheap mark; running tasks get kStop from the next Decide(). False when the job is not known.
  bool Cancel(const request_id& job, monotonic_time now);
  // From a fenced list: it runs, whatever the limits say. Its job may be unknown to the core: then
  // nothing of the job waits, and the task is only counted until it ends.
  void Adopt(const running_task& task, monotonic_time now);
  // The endpoint confirmed the start.
  void Started(const task_id& task, monotonic_time now);
  // The start did not take, proved (the endpoint refused it, or it was never sent): the task waits
  // again, also when it is not repeatable. An endpoint's fault counts against the endpoint.
  void StartFailed(const task_id& task, bool endpoint_fault, monotonic_time now);
  // Ends a run. Services are placed again after any end but a cancel. A gang that loses a task is
  // stopped and placed again as a whole; one whose task fails is stopped and ends.
  void Finished(const task_id& task, task_end end, std::chrono::milliseconds ran,
                monotonic_time now);

  // Appends what should be done now, at most a few hundred commands: NextWake() is then at once.
  // When nothing is left to do, calls that change nothing in between give nothing new.
  void Decide(monotonic_time now, std::vector<command>& out);
  // When Decide() has to be called next even if nothing happens.
  monotonic_time NextWake() const;

  // Views.
  shard_summary Summary() const;
  team_usage Usage(team_index team) const;
  // What a waiting job waits for, in words for its status; empty when it does not wait.
  std::string WaitsFor(const request_id& job) const;
  // Hash over all commands so far: the same decisions give the same number on every machine.
  uint64_t Signature() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_DECISION_CORE_H_
