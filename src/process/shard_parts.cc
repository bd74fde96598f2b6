// The part of a shard that handles jobs spread over several shards, both as their home and as the
// owner of one of their parts.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/shard.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// How long the caller of an accepted job waits for the records of its parts. The home has already
// recorded which replicas go to which shard, so the job is durable; the wait only lets the answer
// name the shards that have not confirmed.
constexpr milliseconds kPartsConfirmWait{1500};
constexpr milliseconds kPartRetention{600000};
// Bits for the send numbers of one owner; the next owner's numbers are higher.
constexpr int kSendBits = 24;

}  // namespace

void shard::MarkElsewhere(job_state& job) {
  for (const job_part& part : job.spec.parts) {
    if (part.shard == options_.name) continue;
    for (uint32_t i = part.first; i < part.first + part.tasks && i < job.tasks.size(); ++i) {
      job.tasks[i].phase = task_phase::kRemote;
    }
  }
}

// Starts to place the parts of a job whose home is this shard. Repeated after a change of owner,
// since it is not recorded which parts were confirmed.
void shard::OpenParts(const request_id& id, job_state& job, monotonic_time now) {
  if (!job.spec.home.empty()) return;
  std::vector<std::string> shards;
  for (const job_part& part : job.spec.parts) {
    const bool is_new = std::find(shards.begin(), shards.end(), part.shard) == shards.end();
    const bool is_open = HasRemoteTasks(job, part);
    if (is_open && is_new) shards.push_back(part.shard);
  }
  if (shards.empty()) return;
  parts_.Open(id, shards, options_.epoch << kSendBits, now);
  job.report_accepted_by = now + kPartsConfirmWait;
  accept_timeouts_.emplace(job.report_accepted_by, id);
}

bool shard::CanSendAccepted(const request_id& id, const job_state& job, monotonic_time now) const {
  if (!job.accepted || !job.durable || job.ended || job.unrecorded_plans > 0) return false;
  return parts_.Unplaced(id).empty() || now >= job.report_accepted_by;
}

outcome shard::Accepted(const request_id& id) const {
  outcome accepted = AcceptedOutcome(id);
  for (const std::string& name : parts_.Unplaced(id)) {
    absl::StrAppend(&accepted.detail, accepted.detail.empty() ? "not confirmed yet by " : ", ",
                    name);
  }
  return accepted;
}

void shard::SendAccepted(const request_id& id, job_state& job, monotonic_time now) {
  if (!CanSendAccepted(id, job, now)) return;
  accept_timeouts_.erase({job.report_accepted_by, id});
  Answer(job, Accepted(id));
}

void shard::OnPartAnswer(const part_answer_message& answer, monotonic_time now) {
  job_state* job = Find(answer.id);
  if (job == nullptr || job->ended) return;
  const part_event event = parts_.OnAnswer(answer);
  job->ever_ran = job->ever_ran || answer.ran;
  if (event == part_event::kNone) return;
  if (event == part_event::kPlaced) AddEvent(event_code::kPartPlaced, answer.id, answer.shard);
  if (event == part_event::kRefused) ReturnPartToHome(answer.id, *job, answer.shard);
  if (event == part_event::kOver) PartIsOver(answer, *job, now);
  if (job->ended) return;
  SendAccepted(answer.id, *job, now);
  EndIfOver(answer.id, *job, now);
}

void shard::PartIsOver(const part_answer_message& answer, job_state& job, monotonic_time now) {
  // Only a home cancels parts: an earlier owner of this shard began to cancel the job and was lost
  // before that was recorded. Some tasks are already cancelled, so the rest follows.
  if (answer.cancelled && !job.cancelled) CancelJob(answer.id, job, now);
  if (job.ended || job.cancelled || job.spec.kind == workload_kind::kService) return;
  const outcome& result = answer.result;
  if (result.kind == outcome_kind::kUnknown || result.kind == outcome_kind::kRefused) {
    End(answer.id, job, result, now);
    return;
  }
  if (result.kind == outcome_kind::kCompleted) job.answer = result.answer;
  if (result.kind == outcome_kind::kFailed && job.fault.empty()) job.fault = result.detail;
  for (const job_part& part : job.spec.parts) {
    if (part.shard != answer.shard) continue;
    for (uint32_t i = part.first; i < part.first + part.tasks && i < job.tasks.size(); ++i) {
      if (job.tasks[i].phase != task_phase::kRemote) continue;
      const auto& failed = answer.failed;
      const bool succeeded = std::find(failed.begin(), failed.end(), i) == failed.end();
      job.tasks[i].phase = succeeded ? task_phase::kDone : task_phase::kFailed;
      actions_.push_back(complete_action{
          {answer.id, i, 0}, succeeded, false, succeeded ? result.answer : result.detail});
    }
  }
}

// Queues here what another shard rejected, once that is recorded: an owner that read the old record
// would place the same replicas in another shard once more.
void shard::ReturnPartToHome(const request_id& id, job_state& job, const std::string& from) {
  for (job_part& part : job.spec.parts) {
    if (part.shard == from) part.shard = options_.name;
  }
  ++job.spec.plan;
  AddEvent(event_code::kPartTakenHome, id, from);
  RecordPlan(id, job);
}

void shard::RecordPlan(const request_id& id, job_state& job) {
  ++job.unrecorded_plans;
  actions_.push_back(record_action{id, true});
}

void shard::OnPartsRecorded(const request_id& id, job_state& job, monotonic_time now) {
  if (job.unrecorded_plans > 0 && --job.unrecorded_plans > 0) return;
  for (const job_part& part : job.spec.parts) {
    if (part.shard != options_.name) continue;
    for (uint32_t i = part.first; i < part.first + part.tasks && i < job.tasks.size(); ++i) {
      if (job.tasks[i].phase != task_phase::kRemote) continue;
      job.tasks[i].phase = task_phase::kWaiting;
      core_.TakeOverTask(id, i);
    }
  }
  if (options_.is_evacuated) OpenParts(id, job, now);
  SendAccepted(id, job, now);
}

// Whether a part that was rejected here is placed again after its home has recorded that it was not
// here. The stored rejection only applies to placements sent before that.
bool shard::IsRetriedPart(const job_state& job, const place_message& place) const {
  return job.ended && !job.end_unreported && !job.cancelled && !place.home.empty() &&
         job.spec.home == place.home && place.plan > job.spec.plan &&
         job.ended->kind == outcome_kind::kRefused;
}

void shard::Forget(const request_id& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  ended_.erase({found->second.forget_at, id});
  jobs_.erase(found);
}

// Accepts further tasks that the home has moved to this shard.
void shard::AddTasks(const request_id& id, job_state& job, place_message place) {
  const bool grows = std::any_of(place.parts.begin(), place.parts.end(), [&](const job_part& part) {
    return part.shard == options_.name && HasRemoteTasks(job, part);
  });
  if (!grows || job.unrecorded_plans > 0) return;
  job.spec.parts = std::move(place.parts);
  job.spec.plan = place.plan;
  RecordPlan(id, job);
}

// Cancels a part that never arrived or was forgotten. It is kept as cancelled: its placement may
// still be on its way and would start tasks of a job that its caller is told is over.
void shard::CancelUnknownPart(const std::string& entry, const cancel_message& what,
                              monotonic_time now) {
  job_state& job = jobs_[what.id];
  job.spec.id = what.id;
  job.spec.kind = workload_kind::kService;
  job.spec.home = what.home;
  job.spec.send = what.send;
  job.cancelled = true;
  job.ended = RejectedOutcome(what.id, rejection_reason::kCancelled, {}, "");
  job.forget_at = now + kPartRetention;
  ended_.emplace(job.forget_at, what.id);
  Reply(entry, job, *job.ended);
}

void shard::SendPartCalls(monotonic_time now) {
  while (!accept_timeouts_.empty() && accept_timeouts_.begin()->first <= now) {
    const request_id id = accept_timeouts_.begin()->second;
    accept_timeouts_.erase(accept_timeouts_.begin());
    job_state* job = Find(id);
    if (job != nullptr) SendAccepted(id, *job, now);
  }
  std::vector<part_call> calls;
  parts_.Tick(now, calls);
  for (part_call& call : calls) {
    // No shard may see a plan that is not recorded: if this owner were lost now, its successor
    // would read the previous plan and the same replicas would run twice.
    const job_state* job = Find(call.id);
    const bool waits = job != nullptr && job->unrecorded_plans > 0 && !call.is_cancel;
    if (!waits) actions_.push_back(part_action{std::move(call)});
  }
}

}  // namespace catkinford
