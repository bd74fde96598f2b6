// The part of a shard that moves its jobs to other failure domains after its own was lost.
#include <algorithm>
#include <utility>

#include "process/shard.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryAfter{1000};

// Converts the shard of each task into ranges of consecutive tasks.
std::vector<job_part> RangesOf(const std::vector<std::string>& where) {
  std::vector<job_part> parts;
  for (uint32_t i = 0; i < where.size(); ++i) {
    if (parts.empty() || parts.back().shard != where[i]) parts.push_back({where[i], i, 0});
    ++parts.back().tasks;
  }
  return parts;
}

}  // namespace

void shard::Evacuate(const task_split& split, monotonic_time now) {
  std::vector<request_id> waiting;
  for (const auto& [id, job] : jobs_) {
    const bool open = job.durable && !job.ended && !job.cancelled;
    if (open && !WaitingTasks(job).empty()) waiting.push_back(id);
  }
  evacuated_.still_waiting = 0;
  for (const request_id& id : waiting) {
    job_state& job = jobs_.at(id);
    if (!job.spec.home.empty()) {
      // Its home takes it back and places it again once it learns of this owner.
      ++evacuated_.returned;
      job.ever_ran = true;
      End(id, job,
          RejectedOutcome(id, rejection_reason::kOwnerUnreachable, {},
                          "its failure domain was evacuated"),
          now);
    } else if (!job.spec.repeatable) {
      ++evacuated_.unknown;
      AddEvent(event_code::kJobGivenUp, id, options_.name);
      End(id, job, UnknownOutcome(id, "it may have run in its failure domain, which was lost"),
          now);
    } else if (!MoveTasks(id, job, split)) {
      ++evacuated_.still_waiting;
    }
  }
}

// The tasks move only once the new plan is recorded: when the domain comes back, its owner must
// read in the log that these tasks are no longer its own.
bool shard::MoveTasks(const request_id& id, job_state& job, const task_split& split) {
  const std::vector<uint32_t> tasks = WaitingTasks(job);
  const std::vector<job_part> to = split(job.spec, static_cast<uint32_t>(tasks.size()));
  if (to.empty()) return false;
  std::vector<std::string> where(job.tasks.size(), options_.name);
  for (const job_part& part : job.spec.parts) {
    for (uint32_t i = part.first; i < part.first + part.tasks; ++i) where[i] = part.shard;
  }
  size_t next = 0;
  for (const job_part& part : to) {
    for (uint32_t i = 0; i < part.tasks && next < tasks.size(); ++i) {
      where[tasks[next]] = part.shard;
      job.tasks[tasks[next]].phase = task_phase::kRemote;
      ++next;
    }
  }
  job.spec.parts = RangesOf(where);
  ++job.spec.plan;
  job.ever_ran = true;  // it may have run before the domain was lost
  ++evacuated_.moved;
  AddEvent(event_code::kJobMoved, id, to.front().shard);
  RecordPlan(id, job);
  return true;
}

// Answers work that only this shard could have accepted or known about. Returns true when answered.
bool shard::RejectEvacuated(const std::string& entry, const place_message& place) {
  const bool can_move = IsDurable(place.kind) && place.repeatable && place.home.empty();
  if (can_move) return false;
  const bool certainly_new = place.fresh || !place.home.empty();
  const std::string why = "its failure domain was evacuated";
  job_state rejected;
  rejected.spec.home = place.home;
  rejected.spec.send = place.send;
  // Not fresh: the same identity may have run before the domain was lost.
  Reply(entry, rejected,
        certainly_new
            ? RejectedOutcome(place.id, rejection_reason::kOwnerUnreachable, kRetryAfter, why)
            : UnknownOutcome(place.id, why));
  return true;
}

}  // namespace catkinford
