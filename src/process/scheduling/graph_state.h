// What the scheduler knows of each job: its tasks, how far they are, and what of that is stored.
#ifndef CATKINFORD_PROCESS_SCHEDULING_GRAPH_STATE_H_
#define CATKINFORD_PROCESS_SCHEDULING_GRAPH_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "request/job_request.h"
#include "request/step_graph.h"

namespace catkinford {

struct fleet_instance;
struct graph_run;
struct queue_config;

// Names one task everywhere: in orders, listings and records.
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

enum class slot_phase : uint8_t { kWaiting, kActive, kDone };

// A run that may be at work. It is stored before its start is sent, so that the next owner looks
// for it there, and need not wait for instances that have nothing to do with the task.
struct open_run {
  uint32_t number = 0;
  std::string instance;
  // Proved not to have begun, but its start got no answer: it may still reach the next life of the
  // instance up to here. Not stored.
  monotonic_time may_arrive_until{};
};

struct task_state_slot {
  slot_phase phase = slot_phase::kWaiting;
  std::vector<open_run> open_runs;
  // The runs that failed by themselves, each once: an end that was stored but not yet acknowledged
  // when its owner died is listed to the next owner again, and in any order. Counted twice, a sound
  // job would fail early; missed, a task would start once too often.
  std::vector<uint32_t> failed_runs;
  uint32_t last_run = 0;      // the highest run number used, or seen in a listing
  std::string checkpoint;     // of the latest run that told one
  graph_run* run = nullptr;   // the run that holds the task; a copy hangs on it
  graph_run* copy = nullptr;  // a second run of a speculative task
  monotonic_time waiting_since{};
};

// What a policy said of the instances that may run a step. The verdict never changes; the ticket
// ends with its time or with the instance's life.
struct advice_verdict {
  uint32_t instance = 0;  // its ordinal
  bool allowed = false;
  std::string ticket;
  int64_t incarnation = 0;  // of the instance: the ticket is good for that life only
  monotonic_time expires{};
};
struct step_advice {
  std::vector<advice_verdict> verdicts;  // by ordinal, ascending
  bool in_flight = false;
  uint32_t refused_asks = 0;  // in a row
  monotonic_time next_ask{};

  // Null: never asked about.
  const advice_verdict* Of(uint32_t instance) const;
  advice_verdict& Make(uint32_t instance);
  void Forget(uint32_t instance);
};

// An instance that will have room for a task.
struct held_room {
  uint32_t instance = 0;  // its ordinal
  monotonic_time from{};
};

struct step_progress {
  std::vector<task_state_slot> tasks;
  uint32_t waiting = 0;
  uint32_t active = 0;
  uint32_t done = 0;
  std::vector<uint32_t> gang_failed_runs;  // as failed_runs of a task
  bool ready = false;                      // all steps before it are done, and its time has come
  monotonic_time ready_at{};
  step_advice advice;
  // How long tasks of the step really took, from beginning to end: they are alike.
  std::chrono::milliseconds took_sum{0};
  uint32_t took_count = 0;
  // Instances that are held for its waiting tasks; as of the round `held_in`.
  std::vector<held_room> held;
  uint64_t held_in = 0;
  absl::flat_hash_map<const fleet_instance*, uint32_t> placed;  // tasks that hold room there

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
  // As the version in force says, looked up once: each decision needs them many times.
  const queue_config* queue = nullptr;
  uint32_t service = 0;  // ordinal of the service whose instances run it
  graph_phase phase = graph_phase::kQueued;
  std::map<uint32_t, std::unique_ptr<occurrence_state>> occurrences;  // due and not done
  uint32_t next_occurrence = 0;    // the first that is not due yet
  std::vector<uint32_t> finished;  // done occurrences at or above `done_below`
  uint32_t done_below = 0;         // all occurrences below are done
  bool started = false;            // some task has started, ever
  bool beyond_share = false;       // its workspace sent more than its share when it came
  bool inherited = false;          // known before this owner: its tasks may run where it cannot see
  uint64_t change = 0;             // counts changes of what must last
  uint64_t stored = 0;             // the last change that the store has
  uint64_t unrecorded = 0;         // the last change that may hold starts which left before it
  uint64_t being_stored = 0;       // the change that is on its way there
  monotonic_time objective{};      // when it starts to count as late, as far as is known
  monotonic_time accepted_at{};
  monotonic_time arrived{};
  monotonic_time finished_at{};

  bool AllDone() const;
  // Phase as it may be told: a final one only once it is stored.
  graph_phase VisiblePhase() const;
  step_progress* Find(const task_key& key);
};

// Makes the occurrence's tasks, all waiting.
std::unique_ptr<occurrence_state> MakeOccurrence(const graph_job& job, uint32_t number,
                                                 monotonic_time now);
// Notes that all of an occurrence is done and forgets its tasks.
void FinishOccurrence(job_entry& entry, uint32_t number);

// The durable progress: final phase, done tasks, failures, checkpoints.
std::string ProgressToText(const job_entry& entry);
// Applies a stored progress to a fresh entry. False, with the entry as it was, for bytes that are
// no progress of this job.
bool ApplyProgress(job_entry& entry, std::string_view text, monotonic_time now);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_GRAPH_STATE_H_
