#include "process/scheduling/occurrence_window.h"

#include <algorithm>

namespace catkinford {
namespace {

// The occurrences of a job with such a step never end, so its done tasks are no reason to wait.
bool HasEndlessStep(const graph_job& job) {
  return std::any_of(job.steps.begin(), job.steps.end(),
                     [](const step_spec& step) { return step.long_running; });
}

}  // namespace

void occurrence_window::Join(const graph_job& job) {
  if (job.repeats > 1) ++jobs_;
}

void occurrence_window::Leave(const graph_job& job) {
  if (job.repeats > 1) --jobs_;
}

bool occurrence_window::MayOpenNext(const job_entry& entry) const {
  const auto first = entry.occurrences.begin();
  if (first == entry.occurrences.end() || first->first >= entry.next_occurrence) return true;
  const uint64_t share = std::min(kMaxIdleTasksPerJob, kMaxIdleTasks / std::max<size_t>(jobs_, 1));
  uint64_t tasks = entry.waiting_tasks;
  if (!HasEndlessStep(entry.job)) tasks += entry.done_tasks;
  for (const step_spec& step : entry.job.steps) tasks += step.count;
  return tasks <= share;
}

}  // namespace catkinford
