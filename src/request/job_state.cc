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
      case task_phase::kStartUnconfirmed:
      case task_phase::kRunning:
        ++progress.running;
        break;
      case task_phase::kDone:
        ++progress.done;
        break;
      case task_phase::kFailed:
        ++progress.failed;
        break;
      case task_phase::kRemote:
        break;
    }
  }
  return progress;
}

bool HasRemoteTasks(const job_state& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(),
                     [](const task_progress& task) { return task.phase == task_phase::kRemote; });
}

bool HasRemoteTasks(const job_state& job, const job_part& part) {
  for (uint32_t i = part.first; i < part.first + part.tasks && i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase == task_phase::kRemote) return true;
  }
  return false;
}

std::vector<uint32_t> WaitingTasks(const job_state& job) {
  std::vector<uint32_t> waiting;
  for (uint32_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase == task_phase::kWaiting) waiting.push_back(i);
  }
  return waiting;
}

std::optional<outcome> FinalOutcome(const job_state& job) {
  const job_progress progress = ProgressOf(job);
  if (progress.running > 0) return std::nullopt;
  if (progress.waiting > 0 && !job.cancelled) return std::nullopt;
  outcome end;
  end.id = job.spec.id;
  if (job.cancelled && !job.ever_ran) {
    end.kind = outcome_kind::kRefused;
    end.reason = rejection_reason::kCancelled;
    return end;
  }
  // A task that belonged to another shard at the cancellation is not known to have succeeded.
  const bool cut_short = progress.waiting > 0 || (job.cancelled && HasRemoteTasks(job));
  const bool completed = progress.failed == 0 && !cut_short;
  end.kind = completed ? outcome_kind::kCompleted : outcome_kind::kFailed;
  end.answer = completed ? job.answer : "";
  end.detail = job.cancelled ? "cancelled" : job.fault;
  return end;
}

}  // namespace catkinford
