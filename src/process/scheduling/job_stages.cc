#include "process/scheduling/job_stages.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {

std::string_view ToText(job_stage stage) {
  switch (stage) {
    case job_stage::kKnown:
      return "known";
    case job_stage::kAdvice:
      return "advice";
    case job_stage::kPlace:
      return "place";
    case job_stage::kRetry:
      return "retry";
    case job_stage::kRecord:
      return "record";
    case job_stage::kStart:
      return "start";
    case job_stage::kRun:
      return "run";
    case job_stage::kFinal:
      return "final";
  }
  return "known";
}

void job_stage_times::AddStep(const task_times& task) {
  const std::array<std::pair<job_stage, monotonic_time>, 6> passed = {{
      {job_stage::kAdvice, task.allowed},
      {job_stage::kPlace, task.first_decided},
      {job_stage::kRetry, task.decided},
      {job_stage::kRecord, task.sent},
      {job_stage::kStart, task.confirmed},
      {job_stage::kRun, task.ended},
  }};
  // A stage may be passed early: a policy is queried ahead, an end is listed before the answer to
  // its start arrives.
  monotonic_time begin = task.ready;
  for (const auto& [stage, when] : passed) {
    const monotonic_time end = std::max(begin, std::min(when, task.ended));
    Add(stage, end - begin);
    begin = end;
  }
  estimate_ += task.estimate;
  lost_runs_ += task.lost_runs;
  failed_runs_ += task.failed_runs;
  ended_ = task.ended;
}

std::string job_stage_times::ToFields() const {
  std::string out;
  for (size_t i = 0; i < static_cast<size_t>(job_stage::kFinal); ++i) {
    const auto stage = static_cast<job_stage>(i);
    absl::StrAppend(&out, std::string(ToText(stage)), "_ms=", Of(stage).count(), " ");
  }
  absl::StrAppend(&out, "estimate_ms=", estimate_.count(), " lost_runs=", lost_runs_,
                  " failed_runs=", failed_runs_);
  return out;
}

}  // namespace catkinford
