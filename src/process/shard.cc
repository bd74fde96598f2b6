#include "process/shard.h"

#include <algorithm>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Bits for the attempts of one owner at one task; see core_options::attempt_base.
constexpr int kAttemptBits = 12;
// How long a job without a deadline is deferred while an endpoint is not listed: no longer than its
// caller waits for its acceptance.
constexpr milliseconds kMaxDeferral{8000};
// How long to wait for another shard's answer about a part before the message is sent again.
constexpr milliseconds kPartResend{500};
// How long a record may wait for the store before the caller is answered. Longer than a change of
// the store's leader; shorter than the time after which an entry would answer `unknown`.
constexpr milliseconds kRecordTimeout{5000};
constexpr size_t kMaxRejections = 200000;   // of about 100 bytes each
constexpr milliseconds kWithdrawRetry{20};  // while a call to the store is in progress
// Retry-After for a caller whose job was not recorded.
constexpr milliseconds kRetryAfter{1000};

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

}  // namespace

shard::shard(shard_options options, team_names& teams)
    : options_(std::move(options)),
      teams_(teams),
      core_(CoreOptions(options_)),
      identities_(IdentityOptions(options_)),
      parts_(kPartResend),
      refusals_(options_.identity_window, kMaxRejections) {}

void shard::AddEvent(event_code code, const request_id& id, std::string subject,
                     std::string detail) {
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

// Returns the task that `id` names if that attempt is the current one; null for a late report.
task_progress* shard::FindTask(const task_id& id, job_state*& job) {
  job = Find(id.job);
  if (job == nullptr || id.index >= job->tasks.size()) return nullptr;
  task_progress& task = job->tasks[id.index];
  return task.attempt == id.attempt ? &task : nullptr;
}

void shard::Place(const std::string& entry, place_message place, monotonic_time now) {
  const request_id id = place.id;
  const uint64_t send = place.send;
  // A part that its home sends again is numbered by `send`, not by `ask`.
  if (!place.home.empty()) place.ask = 0;
  if (const std::optional<outcome> refused = refusals_.Find(id, place.ask)) {
    actions_.push_back(answer_action{entry, *refused});
    return;
  }
  if (const job_state* known = Find(id); known != nullptr && IsRetriedPart(*known, place))
    Forget(id);
  if (job_state* job = Find(id)) {
    if (std::find(job->asks.begin(), job->asks.end(), place.ask) == job->asks.end()) {
      job->asks.push_back(place.ask);
    }
    const bool same_home = !place.home.empty() && job->spec.home == place.home;
    if (!job->has_spec) {
      job->spec = std::move(place);
      job->has_spec = true;
    } else if (!job->ended && same_home) {
      AddTasks(id, *job, std::move(place));
    }
    job->spec.send = std::max(job->spec.send, send);
    if (job->ended && !job->end_unreported) {
      Reply(entry, *job, *job->ended);
      return;
    }
    if (std::find(job->entries.begin(), job->entries.end(), entry) == job->entries.end()) {
      job->entries.push_back(entry);
    }
    if (CanSendAccepted(id, *job, now)) Reply(entry, *job, Accepted(id));
    return;
  }
  if (options_.is_evacuated && RejectEvacuated(entry, place)) return;
  // An identity that another owner may have started must not start again while an endpoint that
  // could be running it has not been listed: it would run in two places, with two start records for
  // one task. It waits for the listings or is answered as unknown.
  if (!place.fresh && !AllListed()) {
    const bool has_deadline = place.deadline_left.count() > 0;
    const monotonic_time until = now + (has_deadline ? place.deadline_left : kMaxDeferral);
    deferred_.push_back({entry, std::move(place), until});
    return;
  }
  if (!IsDurable(place.kind) && AnswerFromHistory(entry, place, now)) return;
  const bool may_have_run =
      IsDurable(place.kind) && !place.fresh && !place.repeatable && !identities_.Certain(now);
  if (may_have_run) {
    actions_.push_back(answer_action{
        entry, UnknownOutcome(id, "it may have run on an endpoint whose state is lost")});
    return;
  }
  if (closed_) {
    RejectNew(entry, place, rejection_reason::kShuttingDown, "the shard's owner is shutting down",
              now);
    return;
  }
  job_state& job = Admit(entry, std::move(place), now);
  if (IsDurable(job.spec.kind)) {
    actions_.push_back(record_action{id});
    unrecorded_jobs_.emplace(now + kRecordTimeout, id);
    return;
  }
  Submit(id, job, now);
}

void shard::RejectNew(const std::string& entry, const place_message& place, rejection_reason reason,
                      std::string detail, monotonic_time now) {
  outcome refused = RejectedOutcome(place.id, reason, kRetryAfter, std::move(detail));
  refusals_.Add(place.id, place.ask, refused, now);
  if (!IsDurable(place.kind)) identities_.Finish(place.id, refused, now);
  actions_.push_back(answer_action{entry, std::move(refused)});
}

void shard::Close() {
  if (closed_) return;
  closed_ = true;
  std::set<std::pair<monotonic_time, request_id>> at_once;
  for (const auto& [when, id] : unrecorded_jobs_) at_once.emplace(monotonic_time{}, id);
  unrecorded_jobs_ = std::move(at_once);
}

bool shard::HasCallers() const {
  return !deferred_.empty() || std::any_of(jobs_.begin(), jobs_.end(), [](const auto& at) {
    const job_state& job = at.second;
    const bool reported = job.accepted && IsDurable(job.spec.kind);
    return !job.ended && !reported && !job.entries.empty();
  });
}

// Answers an identity that has ended or may not start; otherwise records that it begins.
bool shard::AnswerFromHistory(const std::string& entry, const place_message& place,
                              monotonic_time now) {
  identities_.SetUnlisted(unlisted_);
  // Repeatable work waits only for the listings: whatever ran on an endpoint that was lost before
  // it was listed has ended with its lease.
  const bool fresh = place.fresh || (place.repeatable && AllListed());
  switch (identities_.Begin(place.id, fresh, now)) {
    case identity_verdict::kNew:
      return false;
    case identity_verdict::kKnown:
      break;
    case identity_verdict::kUncertain:
      actions_.push_back(answer_action{
          entry, UnknownOutcome(place.id, "it may have run on an endpoint whose state is lost")});
      return true;
    case identity_verdict::kFull:
      RejectNew(entry, place, rejection_reason::kQueueFull, "the identity history is full", now);
      return true;
  }
  const std::optional<known_identity> known = identities_.Find(place.id);
  if (!known || !known->finished) return false;
  // Its end is unknown, it does not run any more, and it may run again.
  if (known->kind == outcome_kind::kUnknown && place.repeatable) return false;
  outcome answer = UnknownOutcome(place.id, "its answer is no longer retained");
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
  job.asks.push_back(job.spec.ask);
  job.tasks.resize(job.spec.tasks);
  MarkElsewhere(job);
  if (job.spec.deadline_left.count() > 0) job.deadline = now + job.spec.deadline_left;
  if (!IsDurable(job.spec.kind)) deadlines_.emplace(job.deadline, job.spec.id);
  AddEvent(event_code::kRequestQueued, job.spec.id, job.spec.team);
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
  const bool is_spread = !job.spec.parts.empty();
  const admission admitted = is_spread
                                 ? core_.SubmitPart(RequestOf(job, now), WaitingTasks(job), now)
                                 : core_.Submit(RequestOf(job, now), now);
  if (!admitted.queued) {
    RejectJob(id, admitted.reason, admitted.retry_after, admitted.detail, now);
    return;
  }
  job.accepted = true;
  Track(id, job);
  if (!job.durable) return;
  OpenParts(id, job, now);
  SendAccepted(id, job, now);
}

// A caller must not wait for as long as the store is down. Only a record that is certain not to be
// in the store can be withdrawn: otherwise a later owner would run a job whose caller was told that
// it did not run.
void shard::WithdrawUnrecorded(monotonic_time now) {
  while (!unrecorded_jobs_.empty() && unrecorded_jobs_.begin()->first <= now) {
    const request_id id = unrecorded_jobs_.begin()->second;
    unrecorded_jobs_.erase(unrecorded_jobs_.begin());
    const job_state* job = Find(id);
    if (job == nullptr || job->ended || job->durable) continue;
    actions_.push_back(withdraw_action{id});
    unrecorded_jobs_.emplace(now + kWithdrawRetry, id);
  }
}

void shard::OnRecorded(const request_id& id, bool durable, monotonic_time now) {
  job_state* job = Find(id);
  if (job == nullptr || job->ended) return;
  if (job->durable) {
    OnPartsRecorded(id, *job, now);
    return;
  }
  if (!durable) {
    RejectJob(id, rejection_reason::kNotDurable, kRetryAfter, "the store did not accept the record",
              now);
    return;
  }
  job->durable = true;
  Submit(id, *job, now);
}

void shard::Cancel(const std::string& entry, const cancel_message& what, monotonic_time now) {
  const request_id& id = what.id;
  job_state* job = Find(id);
  if (job == nullptr && !what.home.empty()) {
    CancelUnknownPart(entry, what, now);
    return;
  }
  if (job == nullptr) {
    actions_.push_back(
        answer_action{entry, UnknownOutcome(id, "the job is unknown to this shard")});
    return;
  }
  job->spec.send = std::max(job->spec.send, what.send);
  if (job->ended && !job->end_unreported) {
    job->cancelled = true;  // a rejected part is not placed again either
    Reply(entry, *job, *job->ended);
    return;
  }
  if (std::find(job->entries.begin(), job->entries.end(), entry) == job->entries.end()) {
    job->entries.push_back(entry);
  }
  CancelJob(id, *job, now);
}

void shard::CancelJob(const request_id& id, job_state& job, monotonic_time now) {
  job.cancelled = true;
  core_.Cancel(id, now);
  parts_.Cancel(id, now);
  EndIfOver(id, job, now);
}

void shard::Status(const std::string& entry, const status_query& query, monotonic_time /*now*/) {
  status_answer answer;
  answer.query = query.query;
  answer.shard = options_.name;
  if (const job_state* job = Find(query.id)) {
    answer.known = true;
    answer.team = job->spec.team;
    answer.home = job->spec.home;
    answer.parts = job->spec.parts;
    answer.progress = ProgressOf(*job);
    if (!job->end_unreported) answer.ended = job->ended;
    answer.waits_for = core_.WaitsFor(query.id);
    if (!job->accepted && answer.waits_for.empty() && !job->ended) answer.waits_for = "its record";
  }
  actions_.push_back(status_action{entry, std::move(answer)});
}

void shard::SetConfiguration(const configuration& config, monotonic_time now) {
  SetDrained(config.drained_endpoints, now);
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
  // A team without an entry has returned its whole grant.
  std::vector<team_grant> by_team(teams_.Size());
  for (const grant_entry& entry : grants) by_team[teams_.IndexOf(entry.team)] = entry.grant;
  for (team_index team = 0; team < by_team.size(); ++team) {
    core_.SetGrant(team, by_team[team], now);
  }
}

void shard::SetUsageElsewhere(const std::string& team, const resources& running, milliseconds age,
                              monotonic_time now) {
  core_.SetUsageElsewhere(teams_.IndexOf(team), running, age, now);
}

std::vector<grant_demand> shard::Demands() const {
  std::vector<grant_demand> demands;
  for (team_index team = 0; team < teams_.Size(); ++team) {
    const team_usage usage = core_.Usage(team);
    grant_demand demand;
    demand.team = teams_.NameOf(team);
    demand.used = {usage.running, usage.running_tasks};
    demand.wanted = {usage.wanted, usage.running_tasks + usage.queued_tasks};
    if (!gangs_.empty()) demand.indivisible = LargestGang(demand.team);
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
    // Maximum of each amount: the grant must hold whichever gang is next.
    largest.running = std::max(largest.running, job.spec.tasks);
    largest.amount.cpu_milli = std::max(largest.amount.cpu_milli, whole.cpu_milli);
    largest.amount.memory_mb = std::max(largest.amount.memory_mb, whole.memory_mb);
    largest.amount.accelerators = std::max(largest.amount.accelerators, whole.accelerators);
  }
  if (largest.running == 0) return largest;
  // What the team's services hold here is not returned, so the gang needs its capacity on top of
  // it.
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
