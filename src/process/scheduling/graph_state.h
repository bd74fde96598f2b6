// The scheduler's state of each job: its tasks, their progress, and which part of it is stored.
#ifndef CATKINFORD_PROCESS_SCHEDULING_GRAPH_STATE_H_
#define CATKINFORD_PROCESS_SCHEDULING_GRAPH_STATE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "process/scheduling/job_order.h"
#include "process/scheduling/job_stages.h"
#include "process/scheduling/run_numbers.h"
#include "process/speed/instance_speed.h"
#include "request/job_request.h"
#include "request/step_graph.h"

namespace catkinford {

struct fleet_instance;
struct graph_run;
struct queue_config;

// Identifies a task in commands, listings and records.
struct task_key {
  std::string job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const task_key&) const = default;
};

enum class graph_phase : uint8_t { kQueued, kRunning, kCompleted, kFailed, kCancelled };
std::string_view ToText(graph_phase phase);
bool IsFinal(graph_phase phase);

enum class graph_task_phase : uint8_t { kWaiting, kActive, kDone };

// A run that may exist. It is stored before its start is sent, so that the next owner looks for it
// there and need not wait for instances that have nothing to do with the task.
struct open_run {
  uint32_t number = 0;
  std::string instance;
  // Set if the run was proved not to have begun but its start got no answer: the start may reach
  // the next incarnation of the instance until then. Not stored.
  monotonic_time may_arrive_until{};
};

struct graph_task_state {
  graph_task_phase phase = graph_task_phase::kWaiting;
  std::vector<open_run> open_runs;
  // Runs that failed by themselves, each once. An end that was stored but not yet acknowledged when
  // its owner died is listed to the next owner again, in any order. Counting it twice would fail a
  // sound job early; missing one would start a task once too often.
  std::vector<uint32_t> failed_runs;
  uint32_t last_run = 0;      // highest run number that may have been used
  uint32_t stale_starts = 0;  // consecutive starts that were refused since their number is too low
  uint32_t stalls = 0;        // its runs that were stopped as stalled; a gang's are with its first
  std::string checkpoint;     // of the latest run that reported one
  graph_run* run = nullptr;   // the run that holds the task; a copy may run beside it
  graph_run* copy = nullptr;  // a second run of a speculative task
  monotonic_time waiting_since{};
  monotonic_time first_decided{};  // its first start by this owner
  uint32_t starts = 0;             // decided on by this owner, copies not counted
  // Ordinal of the instance on which it failed or its start was lost last; 0: none.
  uint32_t avoided_instance = 0;
};

// A policy's verdict on one instance for a step. The verdict never changes; the ticket expires, and
// it is void if the instance restarts.
struct advice_verdict {
  uint32_t instance = 0;  // its ordinal
  bool allowed = false;
  std::string ticket;
  int64_t incarnation = 0;  // of the instance: the ticket is valid for this incarnation only
  monotonic_time expires{};
};
struct step_advice {
  std::vector<advice_verdict> verdicts;  // by ordinal, ascending
  bool in_flight = false;
  uint32_t failed_queries = 0;  // consecutive
  monotonic_time first_allowed{};
  monotonic_time next_query{};

  // Returns null if the policy was never asked about the instance.
  const advice_verdict* FindVerdict(uint32_t instance) const;
  advice_verdict& MakeVerdict(uint32_t instance);
  // Takes over these verdicts, in any order, in place of earlier ones on the same instances.
  void Apply(std::vector<advice_verdict> latest);
  void RemoveVerdict(uint32_t instance);
};

// An instance that is expected to have capacity for a task.
struct capacity_reservation {
  uint32_t instance = 0;  // its ordinal
  monotonic_time from{};
};

// The order in which waiting steps get instances.
struct ready_order {
  // False first: service tasks that ran before and are down. There are few of them, and while the
  // number of starts is the bottleneck they would wait behind every burst.
  bool service_up = true;
  bool beyond_share = false;
  int priority = 0;
  job_order_key rank;
  uint64_t sequence = 0;  // of becoming ready

  auto operator<=>(const ready_order&) const = default;
};

// Of a step in the ready queue.
struct queue_position {
  uint32_t lane = 0;
  ready_order order;
  monotonic_time until{};  // when the rank changes by itself
  bool set_aside = false;  // no present instances can hold it

  bool operator==(const queue_position&) const = default;
};

struct step_progress {
  std::vector<graph_task_state> tasks;
  uint32_t waiting = 0;
  uint32_t active = 0;
  uint32_t done = 0;
  std::vector<uint32_t> gang_failed_runs;  // like failed_runs of a task
  bool ready = false;                      // all steps before it are done and the occurrence is due
  monotonic_time ready_at{};
  std::optional<queue_position> queued;
  uint64_t looked_at_round = 0;  // by the ready queue
  step_advice advice;
  // Run times of the step's tasks, which are alike, at the usual speed.
  std::chrono::milliseconds run_time_sum{0};
  uint32_t run_time_count = 0;
  std::vector<task_run_time> run_times;  // of undisturbed runs, until the step is done
  // Reservations for the step's waiting tasks; valid in the round `reserved_round` only.
  std::vector<capacity_reservation> reserved;
  uint64_t reserved_round = 0;
  job_stage_times stages;  // of the chain of steps that ends with this one; empty until it is done
  absl::flat_hash_map<const fleet_instance*, uint32_t> placed;  // tasks that occupy capacity there

  bool Done() const { return done == tasks.size(); }
};

struct occurrence_state {
  uint32_t number = 0;
  std::vector<step_progress> steps;
  bool started = false;
  bool Done() const;
};

struct job_entry {
  graph_job job;
  uint64_t number = 0;  // in the order of arrival at this owner
  uint32_t active_tasks = 0;
  // Queue in the version in effect, cached as each decision needs it many times.
  const queue_config* queue = nullptr;
  uint32_t service = 0;  // ordinal of the service whose instances run it
  graph_phase phase = graph_phase::kQueued;
  std::map<uint32_t, std::unique_ptr<occurrence_state>> occurrences;  // open and not done
  // First occurrence that is not open yet: it is not due, or due and beyond the window.
  uint32_t next_occurrence = 0;
  bool awaits_window = false;      // the next occurrence is due and beyond the window
  uint64_t waiting_tasks = 0;      // of all `occurrences`
  uint64_t done_tasks = 0;         // the same
  std::vector<uint32_t> finished;  // done occurrences at or above `done_below`, ascending
  uint32_t done_below = 0;         // all occurrences below are done
  bool started = false;            // some task is known to have begun
  bool beyond_share = false;       // exceeded the workspace's share on arrival
  bool inherited = false;          // older than this ownership: may have unlisted runs
  uint64_t change = 0;             // counts changes of the durable state
  uint64_t stored = 0;             // the last change that the store has
  uint64_t unrecorded = 0;  // the last change whose starts may have been sent before it was stored
  uint64_t being_stored = 0;     // the change that is being written
  uint32_t queued_to_store = 0;  // times in the queues of changed jobs
  uint64_t final_change = 0;     // the change that ended the job
  monotonic_time objective{};    // counts as late after this; an estimate
  monotonic_time accepted_at{};
  monotonic_time arrived{};
  monotonic_time finished_at{};
  job_stage_times stages;  // of the steps that ended it last; empty unless it is completed

  bool AllDone() const;
  // The phase that may be reported: a final phase only once it is stored.
  graph_phase VisiblePhase() const;
  step_progress* Find(const task_key& key);
};

// Creates the occurrence's tasks, all waiting.
std::unique_ptr<occurrence_state> MakeOccurrence(const graph_job& job, uint32_t number,
                                                 monotonic_time now);
// Adds the occurrence, which must not be there.
occurrence_state& AddOccurrence(job_entry& entry, uint32_t number, monotonic_time now);
// Marks an occurrence as done and drops its tasks.
void FinishOccurrence(job_entry& entry, uint32_t number);
bool IsFinished(const job_entry& entry, uint32_t number);

// True if a run of the job may still exist.
bool HasOpenRuns(const job_entry& entry);
// Upper bound on what the tasks of the occurrence that are not done, nor known to run, can use at
// the same time, whichever of them another owner has started.
resources LargestUsage(const graph_job& job, const occurrence_state& occurrence);

// Serializes the durable progress: final phase, done tasks, failures, checkpoints, open runs, and
// run numbers that a next owner would not count above by itself.
std::string ProgressToText(const job_entry& entry, const run_numbers& numbers = run_numbers(0));
// Applies stored progress to a fresh entry. Returns false and leaves the entry unchanged if `text`
// is not valid progress.
bool ApplyProgress(job_entry& entry, std::string_view text, monotonic_time now,
                   const run_numbers& numbers = run_numbers(0));

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_GRAPH_STATE_H_
