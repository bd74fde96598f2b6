// The part of a shard that moves its jobs to other failure domains, after its own was lost.
#include <algorithm>
#include <utility>

#include "process/shard.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kComeBack{1000};

// The same parts as ranges, from the shard of each task.
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
  evacuated_.left = 0;
  for (const request_id& id : waiting) {
    job_state& job = jobs_.at(id);
    if (!job.spec.home.empty()) {
      // Its home places it again once it hears of this owner, and takes it back then.
      ++evacuated_.given_back;
      job.ever_ran = true;
      End(id, job,
          RejectedOutcome(id, rejection_reason::kOwnerUnreachable, {}, "its domain was evacuated"),
          now);
    } else if (!job.spec.repeatable) {
      ++evacuated_.unknown;
      Note(event_code::kJobGivenUp, id, options_.name);
      End(id, job, UnknownOutcome(id, "its failure domain was lost, it may have run there"), now);
    } else if (!MoveTasks(id, job, split)) {
      ++evacuated_.left;
    }
  }
}

// Not before it is recorded: when the domain comes back, its owner reads here that these tasks are
// not its own any more.
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
  Note(event_code::kJobMoved, id, to.front().shard);
  RecordPlan(id, job);
  return true;
}

// Work that only this shard could take, or only it could know of. True when it is answered.
bool shard::TurnAwayEvacuated(const std::string& entry, const place_message& place) {
  const bool can_move = IsDurable(place.kind) && place.repeatable && place.home.empty();
  if (can_move) return false;
  const bool surely_new = place.fresh || !place.home.empty();
  const std::string why = "its failure domain was evacuated";
  job_state asked;
  asked.spec.home = place.home;
  asked.spec.send = place.send;
  // Not fresh: the same identity may have run before the domain was lost.
  Reply(entry, asked,
        surely_new ? RejectedOutcome(place.id, rejection_reason::kOwnerUnreachable, kComeBack, why)
                   : UnknownOutcome(place.id, why));
  return true;
}

}  // namespace catkinford
