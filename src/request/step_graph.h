// A job as a graph of steps, as submitted, and its durable form.
#ifndef CATKINFORD_REQUEST_STEP_GRAPH_H_
#define CATKINFORD_REQUEST_STEP_GRAPH_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "request/job_request.h"
#include "request/typed_error.h"

namespace catkinford {

using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// One step: `count` tasks of the same shape.
struct step_spec {
  uint32_t count = 1;
  resources need;                         // of one task
  std::chrono::milliseconds estimate{0};  // of one task; often wrong
  std::vector<uint32_t> after;            // earlier steps that must be done first
  bool checkpointing = false;
  bool gang = false;                                 // all tasks run at the same time or none does
  bool same_rack = false;                            // slower when placed over several racks
  bool speculative = false;                          // copies may run at the same time
  bool long_running = false;                         // runs until the job is cancelled
  bool fills = false;                                // uses only CPU that other tasks leave idle
  std::string required_label;                        // of the instance; empty: any
  std::string data_rack;                             // slower elsewhere; empty: no preference
  uint32_t max_per_instance = 0;                     // tasks of this step; 0: no limit
  std::string image;                                 // tasks of one image behave alike
  std::chrono::milliseconds tail_latency_target{0};  // of a serving task's response times; 0: none
  uint32_t max_unavailable = 0;  // tasks that the scheduler may make unavailable
};

// Scheduling parameters of a queue's jobs; copied into each job, which may outlive its queue.
struct job_terms {
  std::string service;                          // whose instances run it
  int priority = 0;                             // 0 is the highest
  uint32_t max_attempts = 1;                    // failed runs of one task before the job has failed
  double stretch = 2;                           // objective: this times the critical path ...
  std::chrono::milliseconds target_latency{0};  // ... and this
  bool needs_advice = false;  // only instances named by the queue's policy may run it
};

struct graph_job {
  std::string id;           // chosen by the caller: 16 hexadecimal digits
  std::string queue;        // its name
  std::string workspace;    // empty: the queue takes anonymous jobs
  std::string payload;      // opaque; passed to the instances
  std::string accepted_by;  // the entry that accepted it; empty in records of earlier programs
  // That entry has notified no owner of a lower epoch of this job; 0 if it is not known.
  uint64_t known_epoch = 0;
  std::vector<step_spec> steps;
  job_terms terms;
  wall_time accepted{};
  wall_time first_run{};                  // of a repeated job
  std::chrono::milliseconds interval{0};  // between occurrences
  uint32_t repeats = 0;                   // 0: runs once, immediately

  uint32_t Occurrences() const { return repeats == 0 ? 1 : repeats; }
};

// Why a submission is malformed.
enum class graph_fault : uint8_t {
  kBadId,
  kNoSteps,
  kTooManySteps,
  kNoTasks,
  kTooManyTasks,
  kBadDependency,  // `after` names the step itself, a later one or none
  kPayloadTooLong,
  kBadRepeats,
};
std::string_view ToText(graph_fault fault);

constexpr size_t kGraphIdLength = 16;
constexpr size_t kMaxPayload = 4000;  // bytes; the limit of the callers' interface
constexpr size_t kMaxSteps = 64;      // keeps progress records far below the store's value limit
constexpr uint32_t kMaxTasksPerStep = 10000;  // the same
constexpr uint32_t kMaxOccurrences = 100000;  // the same; occurrences are made when due

bool IsGraphId(std::string_view id);
leaf::result<void> CheckGraph(const graph_job& job);

// Length of the critical path; `durations` holds one value per step.
std::chrono::milliseconds CriticalPathLength(const std::vector<step_spec>& steps,
                                             std::span<const std::chrono::milliseconds> durations);

// The durable form. JobFromText fails with record_parse_error for bytes that are no job.
struct record_parse_error {};
std::string JobToText(const graph_job& job);
leaf::result<graph_job> JobFromText(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_STEP_GRAPH_H_
