// The part of a shard that begins where an earlier owner ended: jobs from the log, and what has to
// wait until all endpoints are listed.
#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "process/shard.h"

namespace catkinford {

using std::chrono::milliseconds;

void shard::Restore(std::vector<restored_job> jobs, monotonic_time now) {
  for (restored_job& from : jobs) {
    const request_id id = from.spec.id;
    job_state& job = jobs_[id];
    job.spec = std::move(from.spec);
    job.has_spec = true;
    job.durable = true;
    job.accepted = true;
    job.awaits_listings = true;
    job.ever_ran = !from.done.empty() || !from.failed.empty();
    job.fault = std::move(from.fault);
    job.answer = std::move(from.answer);
    if (job.spec.deadline_left.count() > 0) job.deadline = now + job.spec.deadline_left;
    job.tasks.resize(job.spec.tasks);
    MarkElsewhere(job);
    for (const uint32_t index : from.done) {
      if (index < job.tasks.size()) job.tasks[index].phase = task_phase::kDone;
    }
    for (const uint32_t index : from.failed) {
      if (index < job.tasks.size()) job.tasks[index].phase = task_phase::kFailed;
    }
    restored_.push_back(id);
    OpenParts(id, job, now);
    EndIfOver(id, job, now);
  }
}

// Once every endpoint was listed, what neither ended nor runs is known to wait.
void shard::ResumeRestored(monotonic_time now) {
  if (restored_.empty() || !AllListed()) return;
  identities_.SetUnlisted(0);
  for (const request_id& id : std::exchange(restored_, {})) {
    job_state* job = Find(id);
    if (job == nullptr || job->ended) continue;
    const std::vector<uint32_t> waiting = WaitingTasks(*job);
    // In no list, and one of the lists is not whole: an earlier owner may have started it.
    if (!waiting.empty() && !job->spec.repeatable && !identities_.Certain(now)) {
      End(id, *job, UnknownOutcome(id, "it may have run where it is lost"), now);
      continue;
    }
    Track(id, *job);
    core_.Resume(RequestOf(*job, now), waiting, now);
    job->awaits_listings = false;
    if (!job->cancelled) continue;
    // Cancelled before the core knew it: it would run on, and its caller wait for ever.
    core_.Cancel(id, now);
    EndIfOver(id, *job, now);
  }
}

void shard::ReleaseHeld(monotonic_time now) {
  if (held_.empty()) return;
  for (held_place& held : std::exchange(held_, {})) {
    if (AllListed()) {
      if (held.place.deadline_left.count() > 0) {
        held.place.deadline_left = std::chrono::ceil<milliseconds>(held.until - now);
      }
      if (held.until > now) {
        Place(held.entry, std::move(held.place), now);
        continue;
      }
    }
    if (held.until > now) {
      held_.push_back(std::move(held));
      continue;
    }
    const outcome answer =
        UnknownOutcome(held.place.id, "an endpoint that may have run it has not been listed");
    actions_.push_back(answer_action{held.entry, answer});
  }
}

}  // namespace catkinford
