// Decides whether a task that allows copies gets a second run beside its first.
//
// Loads: starts that are lost or carried out late, instances that are cut off, and runs of which a
// few take several times as long as the others. A job of many tasks is late if one of them is.
#ifndef CATKINFORD_PROCESS_SCHEDULING_COPY_POLICY_H_
#define CATKINFORD_PROCESS_SCHEDULING_COPY_POLICY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "process/scheduling/run_times.h"
#include "request/job_request.h"

namespace catkinford {

enum class copy_reason : uint8_t { kUnanswered, kUnreachable, kOverdue };
inline constexpr size_t kCopyReasons = 3;
std::string_view ToText(copy_reason reason);

// What is known of a task's only run.
struct copy_question {
  std::chrono::milliseconds elapsed{0};         // since its start was sent
  std::chrono::milliseconds expected{0};        // run time of such a task on its instance
  std::chrono::milliseconds expected_fresh{0};  // and on the instance of the copy
  run_time_spread spread;
  bool unanswered = false;  // its start
  std::chrono::milliseconds usual_answer{0};
  bool reachable = true;  // its instance
  // The job's result is of no use after that; `after`: work that is left once the task has ended.
  monotonic_time useful_until{};
  std::chrono::milliseconds after{0};
};

struct copy_verdict {
  std::optional<copy_reason> reason;   // none: no copy
  std::chrono::milliseconds rest{0};   // expected remaining time of the run
  std::chrono::milliseconds fresh{0};  // expected time of the copy
};

// The time after which a start counts as unanswered.
std::chrono::milliseconds UnansweredAfter(std::chrono::milliseconds usual_answer);
// `overdue_copies`: false for copies of runs on unreachable instances only.
copy_verdict DecideCopy(const copy_question& question, bool overdue_copies, monotonic_time now);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_COPY_POLICY_H_
