// Where the time of a job goes: the stages between its acceptance and its end.
//
// A step ends with the end of its last task, and becomes ready with the last of the steps before
// it. Only the runs of these tasks delay the job, so their stages add up to its duration.
#ifndef CATKINFORD_PROCESS_SCHEDULING_JOB_STAGES_H_
#define CATKINFORD_PROCESS_SCHEDULING_JOB_STAGES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "request/job_request.h"

namespace catkinford {

enum class job_stage : uint8_t {
  kKnown,   // accepted, until its owner knows it
  kAdvice,  // step ready, until its policy first allowed an instance
  kPlace,   // until the first start of the task was decided on
  kRetry,   // until the start of the run that ended the task was decided on
  kRecord,  // until that start was recorded and sent
  kStart,   // until an answer or a listing confirmed the run
  kRun,     // until the owner heard of the run's end
  kFinal    // until the job's final phase was stored
};
constexpr size_t kJobStages = 8;
std::string_view ToText(job_stage stage);

// When the task that ended its step passed each stage. A time that is not set is unknown: its stage
// counts as empty.
struct task_times {
  monotonic_time ready{};  // its step
  monotonic_time allowed{};
  monotonic_time first_decided{};
  monotonic_time decided{};
  monotonic_time sent{};
  monotonic_time confirmed{};
  monotonic_time ended{};
  std::chrono::milliseconds estimate{0};  // declared by the caller
  uint32_t lost_runs = 0;                 // earlier runs that never began or vanished
  uint32_t failed_runs = 0;
};

// Sums over a chain of steps.
class job_stage_times {
 public:
  void Add(job_stage stage, monotonic_time::duration spent) {
    spent_[static_cast<size_t>(stage)] += spent;
  }
  // Appends the step that the task ended.
  void AddStep(const task_times& task);

  std::chrono::milliseconds Of(job_stage stage) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        spent_[static_cast<size_t>(stage)]);
  }
  // When the chain's last step ended; not set if it has none.
  monotonic_time Ended() const { return ended_; }
  // "name=value" for each stage but the last, and the counts of runs.
  std::string ToFields() const;

 private:
  std::array<monotonic_time::duration, kJobStages> spent_{};
  std::chrono::milliseconds estimate_{0};
  uint32_t lost_runs_ = 0;
  uint32_t failed_runs_ = 0;
  monotonic_time ended_{};
};

// A job that was completed.
struct completed_job {
  int priority = 0;
  job_stage_times stages;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_JOB_STAGES_H_
