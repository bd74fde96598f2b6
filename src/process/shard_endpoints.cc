// The part of a shard that talks to its endpoints: listings, syncs, silence and loss.
#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "process/shard.h"

namespace catkinford {

void shard::SetEndpoints(const std::vector<instance>& endpoints, monotonic_time now) {
  if (!has_endpoints_) opened_at_ = now;
  for (endpoint_record& at : endpoints_) at.present = false;
  for (const instance& from : endpoints) {
    const auto found = endpoint_by_name_.find(from.name);
    if (found == endpoint_by_name_.end()) {
      AddEndpoint(from, now);
      continue;
    }
    endpoint_record& at = endpoints_[found->second];
    at.present = true;
    if (at.address.base_url != from.address) {
      // Replaced under the same name: the new endpoint is asked for what the old one ran.
      at.address.base_url = from.address;
      at.link.Refence(now);
      SetCoreState(found->second, now);
    }
    if (at.leaving != from.leaving) {
      at.leaving = from.leaving;
      SetCoreState(found->second, now);
      if (at.leaving) AddEvent(event_code::kEndpointLeaving, {}, at.address.name);
    }
  }
  has_endpoints_ = true;
}

void shard::AddEndpoint(const instance& from, monotonic_time now) {
  const auto index = static_cast<endpoint_index>(endpoints_.size());
  const auto rack = racks_.try_emplace(from.rack, static_cast<uint32_t>(racks_.size())).first;
  endpoint_shape shape;
  shape.capacity = from.shape;
  shape.rack = rack->second;
  endpoint_link link(options_.link, options_.epoch, now);
  endpoints_.push_back({{from.address, from.name}, shape, link});
  endpoints_.back().leaving = from.leaving;
  endpoints_.back().added = now;
  endpoints_.back().drained = drained_.contains(from.name);
  endpoint_by_name_.emplace(from.name, index);
  ++unlisted_;
  core_.SetEndpoint(index, shape, endpoint_state::kUnfenced, now);
}

void shard::SetDrained(const std::vector<std::string>& names, monotonic_time now) {
  drained_ = {names.begin(), names.end()};
  for (endpoint_index index = 0; index < endpoints_.size(); ++index) {
    endpoint_record& at = endpoints_[index];
    const bool drained = drained_.contains(at.address.name);
    if (at.drained == drained) continue;
    at.drained = drained;
    SetCoreState(index, now);
    if (drained)
      AddEvent(event_code::kEndpointLeaving, {}, at.address.name, "drained by an operator");
  }
}

size_t shard::RunningAt(const std::string& endpoint) const {
  const auto found = endpoint_by_name_.find(endpoint);
  return found == endpoint_by_name_.end() ? 0 : TasksAt(found->second).size();
}

// The core's view of an endpoint follows from its link and from whether it is leaving or drained.
void shard::SetCoreState(endpoint_index index, monotonic_time now) {
  const endpoint_record& at = endpoints_[index];
  endpoint_state state = endpoint_state::kOpen;
  if (at.leaving || at.drained) state = endpoint_state::kLeaving;
  if (at.link.State() == endpoint_link_state::kSilent) state = endpoint_state::kSilent;
  if (at.link.State() == endpoint_link_state::kGone) state = endpoint_state::kGone;
  if (!at.listed && at.link.State() != endpoint_link_state::kGone)
    state = endpoint_state::kUnfenced;
  core_.SetEndpointState(index, state, now);
}

void shard::CallEndpoints(monotonic_time now) {
  for (endpoint_index index = 0; index < endpoints_.size(); ++index) {
    endpoint_record& at = endpoints_[index];
    if (at.link.BecomesGone(now)) {
      AddEvent(event_code::kEndpointGone, {}, at.address.name);
      if (!at.listed) identities_.OnListingLost(now);
      LoseAllAt(index, now);
      MarkListed(at, now);
      SetCoreState(index, now);
    }
    if (at.link.State() == endpoint_link_state::kGone && !at.present) continue;
    switch (at.link.Next(now)) {
      case link_call::kNone:
        break;
      case link_call::kFence:
        actions_.push_back(fence_action{index, at.link.Token()});
        break;
      case link_call::kSync:
        actions_.push_back(sync_action{index, at.link.Sync(), at.link.FreshConnection()});
        break;
    }
  }
}

monotonic_time shard::NextWake() const {
  monotonic_time wake = core_.NextWake();
  if (!deadlines_.empty()) wake = std::min(wake, deadlines_.begin()->first);
  if (!ended_.empty()) wake = std::min(wake, ended_.begin()->first);
  if (!accept_timeouts_.empty()) wake = std::min(wake, accept_timeouts_.begin()->first);
  wake = std::min(wake, parts_.NextWake());
  if (!unrecorded_jobs_.empty()) wake = std::min(wake, unrecorded_jobs_.begin()->first);
  for (const endpoint_record& at : endpoints_) wake = std::min(wake, at.link.NextWake());
  return wake;
}

void shard::MarkListed(endpoint_record& at, monotonic_time /*now*/) {
  if (at.listed) return;
  at.listed = true;
  --unlisted_;
}

void shard::SetIncarnations(incarnations recorded, monotonic_time now) {
  recorded_ = std::move(recorded);
  if (has_incarnations_) return;
  has_incarnations_ = true;
  for (endpoint_record& at : endpoints_) {
    if (at.link.Incarnation() != 0) CheckIncarnation(at, now);
  }
}

incarnations shard::Incarnations(monotonic_time now) const {
  incarnations wanted;
  for (const endpoint_record& at : endpoints_) {
    if (!at.present) continue;
    const bool complete =
        at.checked_incarnation != 0 && (at.state_lost_at == monotonic_time{} ||
                                        now - at.state_lost_at >= options_.identity_window);
    const auto before = recorded_.find(at.address.name);
    if (complete) wanted[at.address.name] = at.checked_incarnation;
    if (!complete && before != recorded_.end()) wanted[at.address.name] = before->second;
  }
  return wanted;
}

// An endpoint that restarted between an earlier owner's start and our listing has lost the task,
// and its listing looks complete. If it were taken as complete, work that is not repeatable would
// run a second time when its caller retries, with two starts of one request in the endpoints'
// records. An endpoint that joins an owner which has been active for an identity window was never
// listed by an earlier owner.
void shard::CheckIncarnation(endpoint_record& at, monotonic_time now) {
  const uint64_t incarnation = at.link.Incarnation();
  if (!has_incarnations_ || incarnation == at.checked_incarnation) return;
  const bool is_first = at.checked_incarnation == 0;
  at.checked_incarnation = incarnation;
  const auto before = recorded_.find(at.address.name);
  const bool same = before != recorded_.end() && before->second == incarnation;
  const bool no_earlier_owner = options_.epoch == 1 && recorded_.empty();
  const bool is_new =
      before == recorded_.end() && at.added - opened_at_ >= options_.identity_window;
  if (is_first && (same || no_earlier_owner || is_new)) return;
  at.state_lost_at = now;
  // What this owner started there is known, and lost.
  if (is_first) identities_.OnListingLost(now);
}

// Whether the reply shows that another owner has used a higher epoch.
bool shard::IsSuperseded(const endpoint_reply& reply) {
  if (reply.status != endpoint_status::kFenced) return false;
  const uint64_t epoch = OwnerEpochOf(reply.epoch);
  if (epoch <= options_.epoch) return false;
  actions_.push_back(superseded_action{epoch});
  AddEvent(event_code::kFencedOff, {}, options_.name);
  return true;
}

void shard::OnFence(endpoint_index index, uint64_t token, const endpoint_reply& reply,
                    monotonic_time now) {
  endpoint_record& at = endpoints_[index];
  if (token != at.link.Token() || IsSuperseded(reply)) return;
  if (reply.status != endpoint_status::kDone) {
    at.link.OnFenceFailed(now);
    return;
  }
  const uint64_t before = at.link.Incarnation();
  const bool restarted = before != 0 && before != reply.incarnation;
  at.link.OnFenced(reply.incarnation, now);
  CheckIncarnation(at, now);
  ApplyListing(index, token, reply, now);
  if (at.listed) DropUnlisted(index, reply, restarted, now);
  MarkListed(at, now);
  SetCoreState(index, now);
  AddEvent(event_code::kEndpointFenced, {}, at.address.name);
}

void shard::ApplyListing(endpoint_index index, uint64_t token, const endpoint_reply& reply,
                         monotonic_time now) {
  stop_action orphans;
  orphans.endpoint = index;
  orphans.token = token;
  for (const task_status& status : reply.tasks) {
    const job_state* job = Find(status.id.job);
    // A task that was moved while its failure domain was lost now runs in another shard.
    const bool moved = job != nullptr && status.id.index < job->tasks.size() &&
                       job->tasks[status.id.index].phase == task_phase::kRemote;
    if (moved) {
      if (!status.finished) orphans.ids.push_back(status.id);
      continue;
    }
    // A durable job that the store no longer knows has ended: none of its tasks may continue, and a
    // caller that requests it again must not start it anew.
    const bool is_orphan = job == nullptr && IsDurable(status.kind);
    if (!is_orphan) {
      ApplyListedTask(index, status, now);
      continue;
    }
    if (!status.finished) orphans.ids.push_back(status.id);
    RecordEnded(status, now);
  }
  if (!orphans.ids.empty()) actions_.push_back(std::move(orphans));
}

void shard::RecordEnded(const task_status& status, monotonic_time now) {
  job_state& job = jobs_[status.id.job];
  job.spec.id = status.id.job;
  job.spec.kind = status.kind;
  job.spec.team = status.team;
  job.ended = UnknownOutcome(status.id.job, "the job ended under an earlier owner");
  ended_.emplace(now + options_.identity_window, status.id.job);
}

void shard::ApplyListedTask(endpoint_index index, const task_status& status, monotonic_time now) {
  const task_id& id = status.id;
  const bool has_ended = status.finished && Find(id.job) == nullptr;
  if (has_ended) {
    const bool succeeded = status.result == task_result::kOk;
    const outcome_kind kind = succeeded ? outcome_kind::kCompleted : outcome_kind::kFailed;
    const bool lapsed = status.result == task_result::kLeaseExpired;
    identities_.AddFinished(id.job, lapsed ? outcome_kind::kUnknown : kind, status.answer, now);
    return;
  }
  auto [found, unknown] = jobs_.try_emplace(id.job);
  job_state& job = found->second;
  if (unknown) {
    job.spec.id = id.job;
    job.spec.kind = status.kind;
    job.spec.team = status.team;
    job.spec.each = status.amount;
    identities_.AddRunning(id.job, now);
  }
  if (id.index >= job.tasks.size()) job.tasks.resize(id.index + 1);
  task_progress& task = job.tasks[id.index];
  const bool is_later = id.attempt > task.attempt;
  const bool is_present = id.attempt == task.attempt && task.phase != task_phase::kWaiting;
  if (!is_later && !is_present) return;
  if (is_present && IsFinished(task.phase)) return;
  if (is_later) {
    running_task adopted{id, teams_.IndexOf(status.team), status.kind, status.amount, index};
    core_.Adopt(adopted, now);
    task.attempt = id.attempt;
    task.endpoint = index;
  } else if (task.phase != task_phase::kRunning) {
    core_.Started(id, now);
  }
  task.phase = task_phase::kRunning;
  job.ever_ran = true;
  if (status.finished) TaskEnded(id, status.result, status.answer, status.ran, now);
}

// Handles tasks that were believed to be at the endpoint and are missing from its listing. A
// restarted endpoint has lost everything that ran, and what was sent to it may have run in its
// former incarnation. Otherwise only a start whose reply was lost can be missing: it did not take
// effect, and with the token raised since then it never will.
void shard::DropUnlisted(endpoint_index index, const endpoint_reply& reply, bool restarted,
                         monotonic_time now) {
  absl::flat_hash_set<task_id> listed;
  for (const task_status& status : reply.tasks) listed.insert(status.id);
  std::vector<std::pair<task_id, task_phase>> missing;
  for (const auto& [id, job] : jobs_) {
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
      const task_progress& task = job.tasks[i];
      if (task.endpoint != index || !IsInFlight(task.phase)) continue;
      const task_id at{id, i, task.attempt};
      if (!listed.contains(at)) missing.emplace_back(at, task.phase);
    }
  }
  for (const auto& [id, phase] : missing) {
    if (phase == task_phase::kStartUnconfirmed && !restarted) {
      OnStartFailed(id, false, now);
    } else if (restarted || phase != task_phase::kSent) {
      LoseTask(id, now);
    }
  }
}

std::vector<task_id> shard::TasksAt(endpoint_index index) const {
  std::vector<task_id> tasks;
  for (const auto& [id, job] : jobs_) {
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
      const task_progress& task = job.tasks[i];
      const bool is_at_endpoint = task.endpoint == index && IsInFlight(task.phase);
      if (is_at_endpoint) tasks.push_back({id, i, task.attempt});
    }
  }
  return tasks;
}

void shard::LoseAllAt(endpoint_index index, monotonic_time now) {
  for (const task_id& id : TasksAt(index)) LoseTask(id, now);
}

void shard::OnSync(endpoint_index index, uint64_t token, const endpoint_reply& reply,
                   monotonic_time now) {
  endpoint_record& at = endpoints_[index];
  if (token != at.link.Token() || at.link.State() != endpoint_link_state::kOpen) return;
  if (IsSuperseded(reply)) return;
  if (reply.status != endpoint_status::kDone) {
    if (at.link.OnSyncFailed(now)) {
      AddEvent(event_code::kEndpointSilent, {}, at.address.name);
      SetCoreState(index, now);
    }
    return;
  }
  if (reply.incarnation != at.link.Incarnation()) {
    at.link.Restarted(now);
    SetCoreState(index, now);
    return;
  }
  for (const finished_task& ended : reply.finished) {
    if (ended.seq <= at.link.ReceivedCursor()) continue;
    TaskEnded(ended.id, ended.result, ended.answer, ended.ran, now);
  }
  at.link.OnSynced(reply.cursor, at.unrecorded > 0, now);
  // The endpoint must keep ends that are not in the store yet: a new owner would find neither their
  // record nor their entry in the listing, and would run a finished task again.
  if (at.unrecorded == 0) at.link.AckUpTo(reply.cursor);
  if (reply.leaving && !at.leaving) {
    at.leaving = true;
    SetCoreState(index, now);
    AddEvent(event_code::kEndpointLeaving, {}, at.address.name);
  }
}

void shard::OnStart(endpoint_index index, uint64_t token, const std::vector<start_task>& sent,
                    const endpoint_reply& reply, monotonic_time now) {
  endpoint_record& at = endpoints_[index];
  const bool not_started = reply.status == endpoint_status::kNotSent ||
                           reply.status == endpoint_status::kRefused ||
                           reply.status == endpoint_status::kFenced;
  if (not_started) {
    const bool fault = reply.status == endpoint_status::kNotSent;
    for (const start_task& task : sent) OnStartFailed(task.id, fault, now);
    IsSuperseded(reply);
    return;
  }
  absl::flat_hash_set<task_id> decided;
  for (const task_call_result& result : reply.results) {
    if (reply.status != endpoint_status::kDone || result.result == call_result::kUnknown) continue;
    decided.insert(result.id);
    const bool started =
        result.result == call_result::kStarted || result.result == call_result::kAlready;
    if (!started) {
      OnStartFailed(result.id, result.result == call_result::kBroken, now);
      continue;
    }
    job_state* job = nullptr;
    task_progress* task = FindTask(result.id, job);
    if (task == nullptr || task->phase != task_phase::kSent) continue;
    task->phase = task_phase::kRunning;
    job->ever_ran = true;
    core_.Started(result.id, now);
    AddEvent(event_code::kTaskStarted, result.id.job, at.address.name);
  }
  std::vector<task_id> uncertain;
  for (const start_task& sent_task : sent) {
    job_state* job = nullptr;
    task_progress* task = FindTask(sent_task.id, job);
    if (decided.contains(sent_task.id) || task == nullptr) continue;
    if (task->phase != task_phase::kSent) continue;
    task->phase = task_phase::kStartUnconfirmed;
    uncertain.push_back(sent_task.id);
  }
  if (!uncertain.empty()) ResolveUncertainStarts(index, token, uncertain, now);
}

// Only a listing under a higher token than the start's shows whether the start took effect.
void shard::ResolveUncertainStarts(endpoint_index index, uint64_t token,
                                   const std::vector<task_id>& uncertain, monotonic_time now) {
  endpoint_record& at = endpoints_[index];
  const bool raised_since = token != at.link.Token() && options_.endpoints_fence;
  if (!raised_since) {
    at.link.Refence(now);
    SetCoreState(index, now);
    return;
  }
  // That listing has been applied: it would have shown the task as running or ended, and the token
  // now rejects the start. Otherwise the listing is still on its way and settles the task when it
  // arrives.
  if (at.link.State() != endpoint_link_state::kOpen) return;
  for (const task_id& id : uncertain) OnStartFailed(id, false, now);
}

}  // namespace catkinford
