#include "process/shard.h"

#include <algorithm>
#include <map>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// How long the end of a durable job is remembered for its callers.
constexpr milliseconds kDurableMemory{600000};
// How long a task may outlast its request before its job's state is looked at again.
constexpr milliseconds kLinger{1000};
// The attempts of one owner for one task; see core_options::attempt_base.
constexpr int kAttemptBits = 12;
// What a caller of an unknown end is told about coming back to ask for it.
constexpr milliseconds kAskAgain{1000};

core_options CoreOptions(const shard_options& options) {
  core_options core;
  core.seed = options.epoch;
  core.attempt_base = static_cast<uint32_t>(options.epoch << kAttemptBits);
  return core;
}

identity_options IdentityOptions(const shard_options& options) {
  identity_options identities;
  identities.window = options.identity_window;
  return identities;
}

outcome Unknown(const request_id& id, std::string detail) {
  outcome result;
  result.id = id;
  result.kind = outcome_kind::kUnknown;
  result.retry_after = kAskAgain;
  result.detail = std::move(detail);
  return result;
}

outcome Failed(const request_id& id, std::string detail) {
  outcome result;
  result.id = id;
  result.kind = outcome_kind::kFailed;
  result.detail = std::move(detail);
  return result;
}

outcome Accepted(const request_id& id) {
  outcome result;
  result.id = id;
  result.kind = outcome_kind::kAccepted;
  return result;
}

bool IsOver(task_phase phase) { return phase == task_phase::kDone || phase == task_phase::kFailed; }

bool IsUnderWay(task_phase phase) { return phase != task_phase::kWaiting && !IsOver(phase); }

}  // namespace

shard::shard(shard_options options, team_names& teams)
    : options_(std::move(options)),
      teams_(teams),
      core_(CoreOptions(options_)),
      identities_(IdentityOptions(options_)) {}

void shard::Note(event_code code, const request_id& id, std::string subject, std::string detail) {
  actions_.push_back(event_action{code, id, std::move(subject), std::move(detail)});
}

job_state* shard::Find(const request_id& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const place_message* shard::SpecOf(const request_id& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second.spec;
}

// The task that `id` names, when that attempt is the present one; else a late report.
task_progress* shard::FindTask(const task_id& id, job_state*& job) {
  job = Find(id.job);
  if (job == nullptr || id.index >= job->tasks.size()) return nullptr;
  task_progress& task = job->tasks[id.index];
  return task.attempt == id.attempt ? &task : nullptr;
}

// ---- Requests ------------------------------------------------------------------------------

void shard::Place(const std::string& entry, place_message place, monotonic_time now) {
  const request_id id = place.id;
  if (job_state* job = Find(id)) {
    if (!job->has_spec) {
      job->spec = std::move(place);
      job->has_spec = true;
    }
    if (job->ended) {
      actions_.push_back(answer_action{entry, *job->ended});
      return;
    }
    if (std::find(job->entries.begin(), job->entries.end(), entry) == job->entries.end()) {
      job->entries.push_back(entry);
    }
    if (job->accepted && IsDurable(job->spec.kind)) {
      actions_.push_back(answer_action{entry, Accepted(id)});
    }
    return;
  }
  // An identity that another owner may have started must not start again while an endpoint that
  // could be running it has not been listed: it would run in two places, seen as two start records
  // of one task. It waits for the lists, or is answered as unknown.
  if (!place.fresh && !AllListed()) {
    const monotonic_time until = now + place.deadline_left;
    held_.push_back({entry, std::move(place), until});
    return;
  }
  if (!IsDurable(place.kind) && AnswerFromMemory(entry, place, now)) return;
  job_state& job = Admit(entry, std::move(place), now);
  if (IsDurable(job.spec.kind)) {
    actions_.push_back(record_action{id});
    return;
  }
  Submit(id, job, now);
}

// Answers an identity that has ended, or that may not start; else notes that it begins.
bool shard::AnswerFromMemory(const std::string& entry, const place_message& place,
                             monotonic_time now) {
  identities_.SetUnlisted(unlisted_);
  // What may be repeated waits for the lists only: what an endpoint ran that was lost before it was
  // listed has ended with its lease.
  const bool fresh = place.fresh || (place.repeatable && AllListed());
  switch (identities_.Begin(place.id, fresh, now)) {
    case identity_verdict::kNew:
      return false;
    case identity_verdict::kKnown:
      break;
    case identity_verdict::kUncertain:
      actions_.push_back(
          answer_action{entry, Unknown(place.id, "it may have run where it is lost")});
      return true;
    case identity_verdict::kFull: {
      outcome full = Unknown(place.id, "no room to remember it");
      full.kind = outcome_kind::kRefused;
      full.reason = refusal_reason::kQueueFull;
      actions_.push_back(answer_action{entry, std::move(full)});
      return true;
    }
  }
  const std::optional<known_identity> known = identities_.Find(place.id);
  if (!known || !known->finished) return false;
  // Nobody knows how it ended, it does not run any more, and it may run again.
  if (known->kind == outcome_kind::kUnknown && place.repeatable) return false;
  outcome answer = Unknown(place.id, "its answer is kept no longer");
  const bool whole = known->kind != outcome_kind::kCompleted || known->has_answer;
  if (whole) {
    answer.kind = known->kind;
    answer.answer = known->answer;
    answer.detail.clear();
  }
  actions_.push_back(answer_action{entry, std::move(answer)});
  return true;
}

job_state& shard::Admit(const std::string& entry, place_message place, monotonic_time now) {
  job_state& job = jobs_[place.id];
  job.spec = std::move(place);
  job.has_spec = true;
  job.arrived = now;
  job.entries.push_back(entry);
  job.tasks.resize(job.spec.tasks);
  if (job.spec.deadline_left.count() > 0) job.deadline = now + job.spec.deadline_left;
  if (!IsDurable(job.spec.kind)) deadlines_.emplace(job.deadline, job.spec.id);
  ++unanswered_;
  Note(event_code::kRequestQueued, job.spec.id, job.spec.team);
  return job;
}

job_request shard::RequestOf(const job_state& job, monotonic_time now) const {
  job_request request;
  request.id = job.spec.id;
  request.team = teams_.IndexOf(job.spec.team);
  request.kind = job.spec.kind;
  request.urgent = job.spec.urgent;
  request.repeatable = job.spec.repeatable;
  request.tasks = job.spec.tasks;
  request.each = job.spec.each;
  request.declared_run_time = job.spec.run_time;
  request.submitted = now;
  request.deadline = job.deadline;
  return request;
}

void shard::Submit(const request_id& id, job_state& job, monotonic_time now) {
  const admission admitted = core_.Submit(RequestOf(job, now), now);
  if (!admitted.queued) {
    Refuse(id, admitted.reason, admitted.retry_after, admitted.detail, now);
    return;
  }
  job.accepted = true;
  Track(id, job);
  if (!job.durable) return;
  for (const std::string& entry : job.entries) {
    actions_.push_back(answer_action{entry, Accepted(id)});
  }
}

void shard::OnRecorded(const request_id& id, bool durable, monotonic_time now) {
  job_state* job = Find(id);
  if (job == nullptr || job->ended) return;
  if (!durable) {
    Refuse(id, refusal_reason::kNotDurable, kAskAgain, "the store did not take the record", now);
    return;
  }
  job->durable = true;
  Submit(id, *job, now);
}

void shard::Restore(std::vector<restored_job> jobs, monotonic_time now) {
  for (restored_job& from : jobs) {
    const request_id id = from.spec.id;
    job_state& job = jobs_[id];
    job.spec = std::move(from.spec);
    job.has_spec = true;
    job.durable = true;
    job.accepted = true;
    job.ever_ran = !from.done.empty() || !from.failed.empty();
    job.tasks.resize(job.spec.tasks);
    for (const uint32_t index : from.done) {
      if (index < job.tasks.size()) job.tasks[index].phase = task_phase::kDone;
    }
    for (const uint32_t index : from.failed) {
      if (index < job.tasks.size()) job.tasks[index].phase = task_phase::kFailed;
    }
    ++unanswered_;
    restored_.push_back(id);
    EndIfOver(id, job, now);
  }
}

// Once every endpoint was listed, what neither ended nor runs is known to wait.
void shard::ResumeRestored(monotonic_time now) {
  if (restored_.empty() || !AllListed()) return;
  for (const request_id& id : std::exchange(restored_, {})) {
    job_state* job = Find(id);
    if (job == nullptr || job->ended) continue;
    std::vector<uint32_t> waiting;
    for (uint32_t i = 0; i < job->tasks.size(); ++i) {
      if (job->tasks[i].phase == task_phase::kWaiting) waiting.push_back(i);
    }
    Track(id, *job);
    core_.Resume(RequestOf(*job, now), waiting, now);
  }
}

void shard::ReleaseHeld(monotonic_time now) {
  if (held_.empty()) return;
  for (held_place& held : std::exchange(held_, {})) {
    if (AllListed()) {
      held.place.deadline_left = std::chrono::ceil<milliseconds>(held.until - now);
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
        Unknown(held.place.id, "an endpoint that may have run it has not been listed");
    actions_.push_back(answer_action{held.entry, answer});
  }
}

void shard::Cancel(const std::string& entry, const request_id& id, monotonic_time now) {
  job_state* job = Find(id);
  if (job == nullptr) {
    actions_.push_back(answer_action{entry, Unknown(id, "no such job here")});
    return;
  }
  if (job->ended) {
    actions_.push_back(answer_action{entry, *job->ended});
    return;
  }
  job->entries.push_back(entry);
  job->cancelled = true;
  core_.Cancel(id, now);
  EndIfOver(id, *job, now);
}

void shard::Status(const std::string& entry, const status_query& query, monotonic_time /*now*/) {
  status_answer answer;
  answer.query = query.query;
  answer.shard = options_.name;
  if (const job_state* job = Find(query.id)) {
    answer.known = true;
    answer.team = job->spec.team;
    answer.progress = ProgressOf(*job);
    answer.ended = job->ended;
    answer.waits_for = core_.WaitsFor(query.id);
    if (!job->accepted && answer.waits_for.empty() && !job->ended) answer.waits_for = "its record";
  }
  actions_.push_back(status_action{entry, std::move(answer)});
}

// ---- Ends ----------------------------------------------------------------------------------

void shard::Answer(const job_state& job, const outcome& result) {
  for (const std::string& entry : job.entries) {
    actions_.push_back(answer_action{entry, result});
  }
}

void shard::End(const request_id& id, job_state& job, outcome result, monotonic_time now) {
  if (job.ended) return;
  Answer(job, result);
  job.entries.clear();
  gangs_.erase(id);
  services_.erase(id);
  deadlines_.erase({job.deadline, id});
  if (job.durable) actions_.push_back(complete_action{{id, 0, 0}, false, true});
  job.ended = std::move(result);
  --unanswered_;
  if (!IsDurable(job.spec.kind)) identities_.Finish(id, *job.ended, now);
  ended_.emplace(job.durable ? now + kDurableMemory : now, id);
}

void shard::EndIfOver(const request_id& id, job_state& job, monotonic_time now) {
  if (job.ended) return;
  if (std::optional<outcome> end = EndOf(job)) End(id, job, *std::move(end), now);
}

void shard::Refuse(const request_id& id, refusal_reason reason, milliseconds retry_after,
                   std::string detail, monotonic_time now) {
  job_state* job = Find(id);
  if (job == nullptr || job->ended) return;
  outcome refused;
  refused.id = id;
  refused.kind = outcome_kind::kRefused;
  refused.reason = reason;
  refused.retry_after = retry_after;
  refused.detail = std::move(detail);
  // The core refuses what it has not started; for a job of which some task ran, "not run" would be
  // untrue of the whole.
  if (job->ever_ran) refused = Failed(id, "ended early: " + refused.detail);
  End(id, *job, std::move(refused), now);
}

// Drops the state of jobs that have ended, but not while one of their tasks still runs.
void shard::ForgetOld(monotonic_time now) {
  identities_.Expire(now);
  while (!ended_.empty() && ended_.begin()->first <= now) {
    const request_id id = ended_.begin()->second;
    ended_.erase(ended_.begin());
    const job_state* job = Find(id);
    if (job == nullptr) continue;
    if (ProgressOf(*job).running > 0) {
      ended_.emplace(now + kLinger, id);
      continue;
    }
    jobs_.erase(id);
  }
}

// A caller that waits is answered at its deadline, whatever still runs.
void shard::StopLate(monotonic_time now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const request_id id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    job_state* job = Find(id);
    if (job == nullptr || job->ended) continue;
    core_.Cancel(id, now);
    const job_progress progress = ProgressOf(*job);
    if (progress.running == 0) {
      Refuse(id, refusal_reason::kDeadline, kAskAgain, "the deadline passed in the queue", now);
      continue;
    }
    // Its end may already stand at the endpoint and be on its way: "failed" could be untrue.
    End(id, *job, Unknown(id, "the deadline passed while it ran"), now);
  }
}

// ---- Commands of the core ------------------------------------------------------------------

void shard::Act(monotonic_time now, std::vector<shard_action>& out) {
  ForgetOld(now);
  StopLate(now);
  ReleaseHeld(now);
  ResumeRestored(now);
  TakeCommands(now);
  CallEndpoints(now);
  std::move(actions_.begin(), actions_.end(), std::back_inserter(out));
  actions_.clear();
}

void shard::TakeCommands(monotonic_time now) {
  commands_.clear();
  core_.Decide(now, commands_);
  std::map<endpoint_index, start_action> starts;
  std::map<std::pair<endpoint_index, bool>, stop_action> stops;
  for (const command& next : commands_) {
    if (next.kind == command_kind::kRefuse) {
      Refuse(next.task.job, next.reason, next.retry_after, next.detail, now);
    } else if (next.kind == command_kind::kStop) {
      stop_action& stop = stops[{next.endpoint, next.checkpoint}];
      stop.endpoint = next.endpoint;
      stop.token = endpoints_[next.endpoint].link.Token();
      stop.checkpoint = next.checkpoint;
      stop.ids.push_back(next.task);
      Note(event_code::kTaskStopSent, next.task.job, endpoints_[next.endpoint].address.name);
    } else if (next.kind == command_kind::kEnded) {
      TakeEnd(next, now);
    } else {
      TakeStart(next, starts[next.endpoint]);
    }
  }
  for (auto& [index, start] : starts) {
    if (start.tasks.empty()) continue;
    endpoints_[index].link.OnStartSent(now);
    actions_.push_back(std::move(start));
  }
  for (auto& [key, stop] : stops) actions_.push_back(std::move(stop));
}

// The core's word that nothing more of a job will be started. Mostly the tasks' ends have told so.
void shard::TakeEnd(const command& end, monotonic_time now) {
  job_state* job = Find(end.task.job);
  if (job == nullptr || job->ended) return;
  EndIfOver(end.task.job, *job, now);
  if (job->ended || ProgressOf(*job).running > 0) return;
  const bool may_have_run = end.end == job_end::kUnknown;
  const std::string detail = job->fault.empty() ? end.detail : job->fault;
  End(end.task.job, *job,
      may_have_run ? Unknown(end.task.job, "a run of it was lost") : Failed(end.task.job, detail),
      now);
}

void shard::TakeStart(const command& next, start_action& start) {
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
  Note(event_code::kTaskStartSent, next.task.job, at.address.name);
}

void shard::OnStartNotSent(const start_action& start, monotonic_time now) {
  for (const start_task& task : start.tasks) StartDidNotTake(task.id, false, now);
}

void shard::StartDidNotTake(const task_id& id, bool endpoint_fault, monotonic_time now) {
  job_state* job = nullptr;
  task_progress* task = FindTask(id, job);
  if (task == nullptr || IsOver(task->phase)) return;
  task->phase = task_phase::kWaiting;
  core_.StartFailed(id, endpoint_fault, now);
  Note(event_code::kTaskStartFailed, id.job, endpoints_[task->endpoint].address.name);
  if (job->cancelled) EndIfOver(id.job, *job, now);
}

void shard::TaskEnded(const task_id& id, task_result result, const std::string& answer,
                      milliseconds ran, monotonic_time now) {
  job_state* job = nullptr;
  task_progress* task = FindTask(id, job);
  if (task == nullptr || IsOver(task->phase) || task->phase == task_phase::kWaiting) return;
  if (result == task_result::kLeaseLapsed) {
    LoseTask(id, now);
    return;
  }
  const std::string& where = endpoints_[task->endpoint].address.name;
  Note(event_code::kTaskFinished, id.job, where, answer.substr(0, 64));
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
    actions_.push_back(complete_action{id, task->phase == task_phase::kDone, false});
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

// A run whose end nobody saw, and that surely does not run any more.
void shard::LoseTask(const task_id& id, monotonic_time now) {
  job_state* job = nullptr;
  task_progress* task = FindTask(id, job);
  if (task == nullptr || !IsUnderWay(task->phase)) return;
  const bool again = job->has_spec && job->spec.repeatable && !job->cancelled && !job->ended;
  if (again) {
    task->phase = task_phase::kWaiting;
    job->ever_ran = true;
    core_.Finished(id, task_end::kLost, {}, now);
    return;
  }
  // Not to be repeated, or not known whether it may be: it may have run, and is not run again.
  task->phase = task_phase::kFailed;
  core_.Finished(id, task_end::kFailed, {}, now);
  if (job->ended) return;
  End(id.job, *job, Unknown(id.job, "its endpoint was lost while it ran"), now);
}

// ---- Contracts and views -------------------------------------------------------------------

void shard::SetConfiguration(const configuration& config, monotonic_time now) {
  for (const workspace_contract& workspace : config.workspaces) {
    for (const team_contract& team : workspace.teams) {
      team_terms terms;
      terms.weight = team.share;
      terms.limit = team.limit;
      terms.running_limit = team.running_limit;
      terms.queue_limit = team.queue_limit;
      core_.SetTeam(teams_.IndexOf(team.name), terms, now);
    }
  }
}

void shard::SetGrants(const std::vector<grant_entry>& grants, monotonic_time now) {
  for (const grant_entry& entry : grants) teams_.IndexOf(entry.team);
  // A team without an entry has returned all of its grant.
  std::vector<team_grant> by_team(teams_.Size());
  for (const grant_entry& entry : grants) by_team[teams_.IndexOf(entry.team)] = entry.grant;
  for (team_index team = 0; team < by_team.size(); ++team) {
    core_.SetGrant(team, by_team[team], now);
  }
}

void shard::SetUsageElsewhere(const std::string& team, const resources& running,
                              monotonic_time now) {
  core_.SetUsageElsewhere(teams_.IndexOf(team), running, now);
}

std::vector<grant_demand> shard::Demands() const {
  std::vector<grant_demand> demands;
  for (team_index team = 0; team < teams_.Size(); ++team) {
    const team_usage usage = core_.Usage(team);
    grant_demand demand;
    demand.team = teams_.NameOf(team);
    demand.used = {usage.running, usage.running_tasks};
    demand.wanted = {usage.wanted, usage.running_tasks + usage.queued_tasks};
    if (!gangs_.empty()) demand.piece = LargestGang(demand.team);
    demands.push_back(std::move(demand));
  }
  return demands;
}

void shard::Track(const request_id& id, const job_state& job) {
  if (job.spec.kind == workload_kind::kGang) gangs_.insert(id);
  if (job.spec.kind == workload_kind::kService) services_.insert(id);
}

team_grant shard::LargestGang(const std::string& team) const {
  team_grant largest;
  for (const request_id& id : gangs_) {
    const job_state& job = jobs_.at(id);
    if (job.spec.team != team || ProgressOf(job).waiting < job.tasks.size()) continue;
    resources whole;
    for (uint32_t i = 0; i < job.spec.tasks; ++i) whole += job.spec.each;
    // Amount by amount: the grant must hold whichever of them is next.
    largest.running = std::max(largest.running, job.spec.tasks);
    largest.amount.cpu_milli = std::max(largest.amount.cpu_milli, whole.cpu_milli);
    largest.amount.memory_mb = std::max(largest.amount.memory_mb, whole.memory_mb);
    largest.amount.accelerators = std::max(largest.amount.accelerators, whole.accelerators);
  }
  if (largest.running == 0) return largest;
  // What the team's services hold here is not given back, so the gang needs its room beside it.
  for (const request_id& id : services_) {
    const job_state& job = jobs_.at(id);
    if (job.spec.team != team) continue;
    const uint32_t running = ProgressOf(job).running;
    largest.running += running;
    for (uint32_t i = 0; i < running; ++i) largest.amount += job.spec.each;
  }
  largest.amount.slots = 0;
  return largest;
}

std::vector<team_report> shard::TeamReports() const {
  std::vector<team_report> reports;
  for (team_index team = 0; team < teams_.Size(); ++team) {
    const team_usage usage = core_.Usage(team);
    if (usage.running_tasks > 0) reports.push_back({teams_.NameOf(team), usage.running});
  }
  return reports;
}

shard_report shard::Report() const {
  shard_report report;
  report.shard = options_.name;
  report.epoch = options_.epoch;
  report.endpoints = static_cast<uint32_t>(endpoints_.size());
  report.summary = core_.Summary();
  return report;
}

}  // namespace catkinford
