#include "request/job_state.h"

#include <algorithm>

namespace catkinford {

job_progress ProgressOf(const job_state& job) {
  job_progress progress;
  for (const task_progress& task : job.tasks) {
    switch (task.phase) {
      case task_phase::kWaiting:
        ++progress.waiting;
        break;
      case task_phase::kSent:
      case task_phase::kMaybe:
      case task_phase::kRunning:
        ++progress.running;
        break;
      case task_phase::kDone:
        ++progress.done;
        break;
      case task_phase::kFailed:
        ++progress.failed;
        break;
      case task_phase::kElsewhere:
        break;
    }
  }
  return progress;
}

bool HasElsewhere(const job_state& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [](const task_progress& task) {
    return task.phase == task_phase::kElsewhere;
  });
}

bool HasElsewhere(const job_state& job, const job_part& part) {
  for (uint32_t i = part.first; i < part.first + part.tasks && i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase == task_phase::kElsewhere) return true;
  }
  return false;
}

std::vector<uint32_t> WaitingOf(const job_state& job) {
  std::vector<uint32_t> waiting;
  for (uint32_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase == task_phase::kWaiting) waiting.push_back(i);
  }
  return waiting;
}

std::optional<outcome> EndOf(const job_state& job) {
  const job_progress progress = ProgressOf(job);
  if (progress.running > 0) return std::nullopt;
  if (progress.waiting > 0 && !job.cancelled) return std::nullopt;
  outcome end;
  end.id = job.spec.id;
  if (job.cancelled && !job.ever_ran) {
    end.kind = outcome_kind::kRefused;
    end.reason = refusal_reason::kCancelled;
    return end;
  }
  // Of a task that was another shard's when the job was cancelled, nobody saw a good end.
  const bool cut_short = progress.waiting > 0 || (job.cancelled && HasElsewhere(job));
  const bool whole = progress.failed == 0 && !cut_short;
  end.kind = whole ? outcome_kind::kCompleted : outcome_kind::kFailed;
  end.answer = whole ? job.answer : "";
  end.detail = job.cancelled ? "cancelled" : job.fault;
  return end;
}

}  // namespace catkinford
