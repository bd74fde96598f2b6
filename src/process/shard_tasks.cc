// The part of a shard that tracks its tasks: the core's commands, starts, ends and outcomes.
#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "process/shard.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// How long the end of a durable job is kept for its callers.
constexpr milliseconds kDurableRetention{600000};
// How long to wait before checking again whether a task still runs after its request has ended.
constexpr milliseconds kRunningRecheck{1000};
// Retry-After for a caller whose deadline passed in the queue.
constexpr milliseconds kRetryAfter{1000};

}  // namespace

void shard::Act(monotonic_time now, std::vector<shard_action>& out) {
  ForgetOld(now);
  EndExpired(now);
  ReleaseDeferred(now);
  ResumeRestored(now);
  SendPartCalls(now);
  WithdrawUnrecorded(now);
  ApplyCommands(now);
  CallEndpoints(now);
  std::move(actions_.begin(), actions_.end(), std::back_inserter(out));
  actions_.clear();
}

void shard::ApplyCommands(monotonic_time now) {
  commands_.clear();
  core_.Decide(now, commands_);
  std::map<endpoint_index, start_action> starts;
  std::map<std::pair<endpoint_index, bool>, stop_action> stops;
  for (const command& next : commands_) {
    if (next.kind == command_kind::kRefuse) {
      // Only the part in this shard is rejected; parts elsewhere get their own answers.
      if (parts_.AllOver(next.task.job))
        RejectJob(next.task.job, next.reason, next.retry_after, next.detail, now);
    } else if (next.kind == command_kind::kStop) {
      stop_action& stop = stops[{next.endpoint, next.checkpoint}];
      stop.endpoint = next.endpoint;
      stop.token = endpoints_[next.endpoint].link.Token();
      stop.checkpoint = next.checkpoint;
      stop.ids.push_back(next.task);
      AddEvent(event_code::kTaskStopSent, next.task.job, endpoints_[next.endpoint].address.name);
    } else if (next.kind == command_kind::kEnded) {
      ApplyJobEnd(next, now);
    } else {
      AddStart(next, starts[next.endpoint]);
    }
  }
  for (auto& [index, start] : starts) {
    if (start.tasks.empty()) continue;
    endpoints_[index].link.OnStartSent(now);
    actions_.push_back(std::move(start));
  }
  for (auto& [key, stop] : stops) actions_.push_back(std::move(stop));
}

// The core will start nothing more of a job. Usually the ends of its tasks have already ended it.
void shard::ApplyJobEnd(const command& end, monotonic_time now) {
  job_state* job = Find(end.task.job);
  if (job == nullptr || job->ended) return;
  EndIfOver(end.task.job, *job, now);
  if (job->ended || ProgressOf(*job).running > 0 || !parts_.AllOver(end.task.job)) return;
  const bool may_have_run = end.end == job_end::kUnknown;
  const bool is_late = end.reason == rejection_reason::kDeadline;
  std::string detail = job->fault.empty() ? end.detail : job->fault;
  if (is_late && detail.empty()) detail = "its deadline passed before all of its tasks had started";
  outcome reported = FailedOutcome(end.task.job, detail);
  if (may_have_run) reported = UnknownOutcome(end.task.job, "one of its runs was lost");
  // Neither "not run" nor "ran" is certain for a job that an earlier owner may have started.
  if (is_late && !job->ever_ran) {
    reported =
        UnknownOutcome(end.task.job, "its deadline passed and it may have run under another owner");
  }
  End(end.task.job, *job, std::move(reported), now);
}

void shard::AddStart(const command& next, start_action& start) {
  job_state* job = Find(next.task.job);
  if (job == nullptr || next.task.index >= job->tasks.size()) return;
  endpoint_record& at = endpoints_[next.endpoint];
  job->tasks[next.task.index] = {next.task.attempt, next.endpoint, task_phase::kSent};
  start.endpoint = next.endpoint;
  start.arrived = std::exchange(job->arrived, monotonic_time{});
  start.token = at.link.Token();
  start_task task;
  task.id = next.task;
  task.amount = next.amount;
  task.kind = job->spec.kind;
  task.team = job->spec.team;
  task.payload = job->spec.payload;
  task.lease = options_.link.task_lease;
  task.retain = options_.identity_window;
  if (!options_.endpoints_fence) task.not_after = options_.start_bound;
  start.tasks.push_back(std::move(task));
  AddEvent(event_code::kTaskStartSent, next.task.job, at.address.name);
}

void shard::OnStartNotSent(const start_action& start, monotonic_time now) {
  for (const start_task& task : start.tasks) OnStartFailed(task.id, false, now);
}

void shard::OnStartFailed(const task_id& id, bool endpoint_fault, monotonic_time now) {
  job_state* job = nullptr;
  task_progress* task = FindTask(id, job);
  if (task == nullptr || IsFinished(task->phase)) return;
  task->phase = task_phase::kWaiting;
  core_.StartFailed(id, endpoint_fault, now);
  AddEvent(event_code::kTaskStartFailed, id.job, endpoints_[task->endpoint].address.name);
  if (job->cancelled) EndIfOver(id.job, *job, now);
}

void shard::TaskEnded(const task_id& id, task_result result, const std::string& answer,
                      milliseconds ran, monotonic_time now) {
  job_state* job = nullptr;
  task_progress* task = FindTask(id, job);
  if (task == nullptr || IsFinished(task->phase) || task->phase == task_phase::kWaiting) return;
  if (result == task_result::kLeaseExpired) {
    LoseTask(id, now);
    return;
  }
  const std::string& where = endpoints_[task->endpoint].address.name;
  AddEvent(event_code::kTaskFinished, id.job, where, answer.substr(0, 64));
  job->ever_ran = true;
  const bool stopped = result == task_result::kStopped || result == task_result::kCheckpointed;
  const bool restarts =
      !job->cancelled && !job->ended && (stopped || job->spec.kind == workload_kind::kService);
  task_end end = task_end::kDone;
  if (result == task_result::kFailed) end = task_end::kFailed;
  if (result == task_result::kStopped) end = task_end::kStopped;
  if (result == task_result::kCheckpointed) end = task_end::kCheckpointed;
  core_.Finished(id, end, ran, now);
  if (restarts) {
    task->phase = task_phase::kWaiting;
    return;
  }
  task->phase = result == task_result::kOk ? task_phase::kDone : task_phase::kFailed;
  if (result == task_result::kOk) job->answer = answer;
  if (result == task_result::kFailed && job->fault.empty()) job->fault = answer;
  if (job->durable && !job->ended) {
    const bool succeeded = task->phase == task_phase::kDone;
    const job_progress progress = ProgressOf(*job);
    const bool is_last = progress.waiting == 0 && progress.running == 0;
    actions_.push_back(complete_action{id, succeeded, false, !succeeded || is_last ? answer : ""});
    const bool is_new = unrecorded_.try_emplace({id.job, id.index}, task->endpoint).second;
    if (is_new) ++endpoints_[task->endpoint].unrecorded;
  }
  EndIfOver(id.job, *job, now);
}

void shard::OnCompletionRecorded(const request_id& id, uint32_t index, monotonic_time /*now*/) {
  const auto found = unrecorded_.find({id, index});
  if (found == unrecorded_.end()) return;
  --endpoints_[found->second].unrecorded;
  unrecorded_.erase(found);
}

// A run whose end was not seen and that certainly does not run any more.
void shard::LoseTask(const task_id& id, monotonic_time now) {
  job_state* job = nullptr;
  task_progress* task = FindTask(id, job);
  if (task == nullptr || !IsInFlight(task->phase)) return;
  const bool again = job->has_spec && job->spec.repeatable && !job->cancelled && !job->ended;
  if (again) {
    task->phase = task_phase::kWaiting;
    job->ever_ran = true;
    core_.Finished(id, task_end::kLost, {}, now);
    return;
  }
  // Not repeatable, or unknown whether it is: it may have run and is not run again.
  task->phase = task_phase::kFailed;
  core_.Finished(id, task_end::kFailed, {}, now);
  if (job->ended) return;
  End(id.job, *job, UnknownOutcome(id.job, "its endpoint was lost while it was running"), now);
}

void shard::Reply(const std::string& entry, const job_state& job, const outcome& result) {
  if (job.spec.home.empty()) {
    actions_.push_back(answer_action{entry, result});
    return;
  }
  part_answer_message answer;
  answer.id = result.id;
  answer.home = job.spec.home;
  answer.shard = options_.name;
  answer.send = job.spec.send;
  answer.cancelled = job.cancelled;
  answer.ran = job.ever_ran;
  for (uint32_t i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase == task_phase::kFailed) answer.failed.push_back(i);
  }
  answer.result = result;
  actions_.push_back(part_answer_action{entry, std::move(answer)});
}

void shard::Answer(const job_state& job, const outcome& result) {
  for (const std::string& entry : job.entries) Reply(entry, job, result);
}

// The end of a durable job that did not run, or not completely, is reported once it is recorded. If
// it were reported at once and the owner were lost before the write, the next owner would find the
// job unfinished and run it after its caller was told "cancelled" or "not run".
void shard::End(const request_id& id, job_state& job, outcome result, monotonic_time now) {
  if (job.ended) return;
  const bool never_recorded = result.reason == rejection_reason::kNotDurable;
  const bool is_durable = IsDurable(job.spec.kind);
  const bool has_record = is_durable && job.has_spec && !never_recorded;
  gangs_.erase(id);
  services_.erase(id);
  deadlines_.erase({job.deadline, id});
  accept_timeouts_.erase({job.report_accepted_by, id});
  parts_.Close(id);
  job.end_unreported = has_record && (job.cancelled || result.kind == outcome_kind::kRefused);
  job.ended = std::move(result);
  if (job.ended->kind == outcome_kind::kRefused) {
    for (const uint64_t ask : job.asks) refusals_.Add(id, ask, *job.ended, now);
  }
  if (!job.end_unreported) {
    Answer(job, *job.ended);
    job.entries.clear();
  }
  if (has_record) actions_.push_back(complete_action{{id, 0, 0}, false, true, ""});
  if (!is_durable) identities_.Finish(id, *job.ended, now);
  // A rejected part is retained too: a placement that was sent earlier and arrives late must not
  // start tasks that its home has since placed elsewhere.
  const bool remembered = has_record || !job.spec.home.empty();
  job.forget_at = remembered ? now + kDurableRetention : now;
  ended_.emplace(job.forget_at, id);
}

void shard::OnEndRecorded(const request_id& id) {
  job_state* job = Find(id);
  if (job == nullptr || !job->end_unreported) return;
  job->end_unreported = false;
  Answer(*job, *job->ended);
  job->entries.clear();
}

void shard::EndIfOver(const request_id& id, job_state& job, monotonic_time now) {
  if (job.ended || !parts_.AllOver(id)) return;
  // It may run on an endpoint that is not listed yet and would run on after "cancelled, not run".
  if (job.cancelled && job.awaits_listings) return;
  // Its tasks may be in other shards or on their way there: no waiting or running task here proves
  // nothing.
  const bool is_service = job.spec.kind == workload_kind::kService;
  const bool is_home = job.spec.home.empty();
  const bool continues = is_service || job.unrecorded_plans > 0 || (is_home && HasRemoteTasks(job));
  if (!job.spec.parts.empty() && !job.cancelled && continues) return;
  if (std::optional<outcome> end = FinalOutcome(job)) End(id, job, *std::move(end), now);
}

void shard::RejectJob(const request_id& id, rejection_reason reason, milliseconds retry_after,
                      std::string detail, monotonic_time now) {
  job_state* job = Find(id);
  if (job == nullptr || job->ended) return;
  outcome refused = RejectedOutcome(id, reason, retry_after, std::move(detail));
  // The core rejects what it has not started; for a job of which some task ran, "not run" would be
  // false.
  if (job->ever_ran) refused = FailedOutcome(id, "the job ended early: " + refused.detail);
  End(id, *job, std::move(refused), now);
}

// Drops the state of ended jobs, but not while one of their tasks still runs.
void shard::ForgetOld(monotonic_time now) {
  identities_.Expire(now);
  refusals_.Expire(now);
  while (!ended_.empty() && ended_.begin()->first <= now) {
    const request_id id = ended_.begin()->second;
    ended_.erase(ended_.begin());
    const job_state* job = Find(id);
    if (job == nullptr) continue;
    if (ProgressOf(*job).running > 0) {
      ended_.emplace(now + kRunningRecheck, id);
      continue;
    }
    jobs_.erase(id);
  }
}

// Answers callers that wait at their deadline, whatever still runs.
void shard::EndExpired(monotonic_time now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const request_id id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    job_state* job = Find(id);
    if (job == nullptr || job->ended) continue;
    core_.Cancel(id, now);
    const job_progress progress = ProgressOf(*job);
    if (progress.running == 0) {
      RejectJob(id, rejection_reason::kDeadline, kRetryAfter,
                "the deadline passed while it was queued", now);
      continue;
    }
    // Its end may already be recorded at the endpoint and on its way here: "failed" could be false.
    End(id, *job, UnknownOutcome(id, "the deadline passed while it was running"), now);
  }
}

}  // namespace catkinford
