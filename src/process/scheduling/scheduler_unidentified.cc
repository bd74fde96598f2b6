// Runs and ends of jobs that this owner does not know. The inbox is read at a takeover and followed
// by a watch, so an earlier owner may have started a job that reaches this one later than a listing
// of its runs. Until then such a run may use any capacity, and such an end has no effect.
#include <utility>

#include "process/scheduling/job_scheduler.h"

namespace catkinford {

void job_scheduler::RequestLookup(const std::string& job) {
  if (lookups_.insert(job).second) lookups_to_send_.push_back(job);
}

std::vector<std::string> job_scheduler::TakeUnknownJobs() {
  return std::exchange(lookups_to_send_, {});
}

void job_scheduler::IdentifyWork(job_entry& entry, monotonic_time now) {
  if (lookups_.erase(entry.job.id) == 0) return;
  unidentified_jobs_.erase(entry.job.id);
  for (auto& [id, instance] : instances_) {
    for (const auto& run : instance->runs) {
      if (run->job != nullptr || run->key.job != entry.job.id) continue;
      if (run->key.step >= entry.job.steps.size()) {
        StopStray(*run, now);
        continue;
      }
      --instance->unidentified_runs;
      AssignJob(*run, entry);
      ReserveCapacity(*run, 1);
      ClaimOrStop(*run, now);
    }
  }
  // After the runs: the end of a gang's member stops the others.
  for (auto& [id, instance] : instances_) IdentifyEnds(entry, *instance, now);
}

void job_scheduler::IdentifyEnds(job_entry& entry, fleet_instance& instance, monotonic_time now) {
  for (const ended_row& row : instance.unidentified_ends) {
    if (row.key.job != entry.job.id) continue;
    ApplyEnd(entry, instance, row, nullptr, now);
    for (seen_end& end : instance.unstored) {
      if (end.number != row.number) continue;
      end.change = entry.change;
      end.awaits_job = false;
    }
  }
  std::erase_if(instance.unidentified_ends,
                [&](const ended_row& row) { return row.key.job == entry.job.id; });
}

void job_scheduler::OnJobAbsent(const std::string& job, monotonic_time now) {
  if (lookups_.erase(job) == 0) return;
  unidentified_jobs_.erase(job);
  for (auto& [id, instance] : instances_) {
    for (const auto& run : instance->runs) {
      if (run->job == nullptr && run->key.job == job) StopStray(*run, now);
    }
    for (seen_end& end : instance->unstored) {
      if (end.job == job) end.awaits_job = false;
    }
    std::erase_if(instance->unidentified_ends,
                  [&](const ended_row& row) { return row.key.job == job; });
  }
}

}  // namespace catkinford
