// The part of a shard that takes over from an earlier owner: jobs from the log, and requests that
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

// Once every endpoint is listed, tasks that neither ended nor run are known to be waiting.
void shard::ResumeRestored(monotonic_time now) {
  if (restored_.empty() || !AllListed()) return;
  identities_.SetUnlisted(0);
  for (const request_id& id : std::exchange(restored_, {})) {
    job_state* job = Find(id);
    if (job == nullptr || job->ended) continue;
    const std::vector<uint32_t> waiting = WaitingTasks(*job);
    // In no listing, and one of the listings is incomplete: an earlier owner may have started it.
    if (!waiting.empty() && !job->spec.repeatable && !identities_.Certain(now)) {
      End(id, *job, UnknownOutcome(id, "it may have run on an endpoint whose state is lost"), now);
      continue;
    }
    Track(id, *job);
    core_.Resume(RequestOf(*job, now), waiting, now);
    job->awaits_listings = false;
    if (!job->cancelled) continue;
    // Cancelled before the core knew the job: without this it would run on and its caller wait
    // forever.
    core_.Cancel(id, now);
    EndIfOver(id, *job, now);
  }
}

void shard::ReleaseDeferred(monotonic_time now) {
  if (deferred_.empty()) return;
  for (deferred_place& deferred : std::exchange(deferred_, {})) {
    if (AllListed()) {
      if (deferred.place.deadline_left.count() > 0) {
        deferred.place.deadline_left = std::chrono::ceil<milliseconds>(deferred.until - now);
      }
      if (deferred.until > now) {
        Place(deferred.entry, std::move(deferred.place), now);
        continue;
      }
    }
    if (deferred.until > now) {
      deferred_.push_back(std::move(deferred));
      continue;
    }
    const outcome answer = UnknownOutcome(
        deferred.place.id, "an endpoint that may have run it was not listed in time");
    actions_.push_back(answer_action{deferred.entry, answer});
  }
}

}  // namespace catkinford
