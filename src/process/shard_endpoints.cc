// The part of a shard that speaks with its endpoints: lists, syncs, silence, loss.
#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "process/shard.h"

namespace catkinford {

void shard::SetEndpoints(const std::vector<instance>& endpoints, monotonic_time now) {
  if (!has_endpoints_) opened_ = now;
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
      // Replaced under the same name: what the old one ran is asked of the new one.
      at.address.base_url = from.address;
      at.link.Refence(now);
      SetCoreState(found->second, now);
    }
    if (at.leaving != from.leaving) {
      at.leaving = from.leaving;
      SetCoreState(found->second, now);
      if (at.leaving) Note(event_code::kEndpointLeaving, {}, at.address.name);
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
    if (drained) Note(event_code::kEndpointLeaving, {}, at.address.name, "drained by an operator");
  }
}

size_t shard::RunningAt(const std::string& endpoint) const {
  const auto found = endpoint_by_name_.find(endpoint);
  return found == endpoint_by_name_.end() ? 0 : TasksAt(found->second).size();
}

// What the core may do with an endpoint follows from its link and from who wants it to leave.
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
      Note(event_code::kEndpointGone, {}, at.address.name);
      if (!at.listed) identities_.OnListLost(now);
      LoseAllAt(index, now);
      Listed(at, now);
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
  if (!untold_.empty()) wake = std::min(wake, untold_.begin()->first);
  wake = std::min(wake, parts_.NextWake());
  if (!unrecorded_jobs_.empty()) wake = std::min(wake, unrecorded_jobs_.begin()->first);
  for (const endpoint_record& at : endpoints_) wake = std::min(wake, at.link.NextWake());
  return wake;
}

void shard::Listed(endpoint_record& at, monotonic_time /*now*/) {
  if (at.listed) return;
  at.listed = true;
  --unlisted_;
}

void shard::SetIncarnations(incarnations recorded, monotonic_time now) {
  recorded_ = std::move(recorded);
  if (has_incarnations_) return;
  has_incarnations_ = true;
  for (endpoint_record& at : endpoints_) {
    if (at.link.Incarnation() != 0) CheckMemory(at, now);
  }
}

incarnations shard::Incarnations(monotonic_time now) const {
  incarnations wanted;
  for (const endpoint_record& at : endpoints_) {
    if (!at.present) continue;
    const bool whole = at.checked_life != 0 && (at.forgot == monotonic_time{} ||
                                                now - at.forgot >= options_.identity_window);
    const auto before = recorded_.find(at.address.name);
    if (whole) wanted[at.address.name] = at.checked_life;
    if (!whole && before != recorded_.end()) wanted[at.address.name] = before->second;
  }
  return wanted;
}

// An endpoint that restarted between an earlier owner's start and our list has forgotten the task,
// and its list looks complete. Taken for complete, work that is not to be repeated would run a
// second time when its caller asks again, seen as two starts of one request in the endpoints'
// records. An endpoint that joins an owner that has been at work for a window was in nobody's list.
void shard::CheckMemory(endpoint_record& at, monotonic_time now) {
  const uint64_t life = at.link.Incarnation();
  if (!has_incarnations_ || life == at.checked_life) return;
  const bool is_first = at.checked_life == 0;
  at.checked_life = life;
  const auto before = recorded_.find(at.address.name);
  const bool same = before != recorded_.end() && before->second == life;
  const bool no_earlier_owner = options_.epoch == 1 && recorded_.empty();
  const bool is_new = before == recorded_.end() && at.added - opened_ >= options_.identity_window;
  if (is_first && (same || no_earlier_owner || is_new)) return;
  at.forgot = now;
  // What we ourselves had started there is known, and lost.
  if (is_first) identities_.OnListLost(now);
}

// Another owner has been here with a higher epoch.
bool shard::IsSuperseded(const endpoint_reply& reply) {
  if (reply.status != endpoint_status::kFenced) return false;
  const uint64_t epoch = OwnerEpochOf(reply.epoch);
  if (epoch <= options_.epoch) return false;
  actions_.push_back(superseded_action{epoch});
  Note(event_code::kFencedOff, {}, options_.name);
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
  CheckMemory(at, now);
  TakeList(index, token, reply, now);
  if (at.listed) DropUnlisted(index, reply, restarted, now);
  Listed(at, now);
  SetCoreState(index, now);
  Note(event_code::kEndpointFenced, {}, at.address.name);
}

void shard::TakeList(endpoint_index index, uint64_t token, const endpoint_reply& reply,
                     monotonic_time now) {
  stop_action strays;
  strays.endpoint = index;
  strays.token = token;
  for (const task_status& status : reply.tasks) {
    const job_state* job = Find(status.id.job);
    // A task that has moved to another shard while its failure domain was lost runs there now.
    const bool moved = job != nullptr && status.id.index < job->tasks.size() &&
                       job->tasks[status.id.index].phase == task_phase::kElsewhere;
    if (moved) {
      if (!status.finished) strays.ids.push_back(status.id);
      continue;
    }
    // A durable job that the store does not know any more has ended: nothing of it may go on, and
    // a caller that asks for it again must not start it anew.
    const bool stray = job == nullptr && IsDurable(status.kind);
    if (!stray) {
      TakeListed(index, status, now);
      continue;
    }
    if (!status.finished) strays.ids.push_back(status.id);
    RememberEnded(status, now);
  }
  if (!strays.ids.empty()) actions_.push_back(std::move(strays));
}

void shard::RememberEnded(const task_status& status, monotonic_time now) {
  job_state& job = jobs_[status.id.job];
  job.spec.id = status.id.job;
  job.spec.kind = status.kind;
  job.spec.team = status.team;
  job.ended = UnknownOutcome(status.id.job, "ended under an earlier owner");
  ended_.emplace(now + options_.identity_window, status.id.job);
}

void shard::TakeListed(endpoint_index index, const task_status& status, monotonic_time now) {
  const task_id& id = status.id;
  const bool has_ended = status.finished && Find(id.job) == nullptr;
  if (has_ended) {
    const bool well = status.result == task_result::kOk;
    const outcome_kind kind = well ? outcome_kind::kCompleted : outcome_kind::kFailed;
    const bool lapsed = status.result == task_result::kLeaseExpired;
    identities_.LearnFinished(id.job, lapsed ? outcome_kind::kUnknown : kind, status.answer, now);
    return;
  }
  auto [found, unknown] = jobs_.try_emplace(id.job);
  job_state& job = found->second;
  if (unknown) {
    job.spec.id = id.job;
    job.spec.kind = status.kind;
    job.spec.team = status.team;
    job.spec.each = status.amount;
    identities_.LearnRunning(id.job, now);
  }
  if (id.index >= job.tasks.size()) job.tasks.resize(id.index + 1);
  task_progress& task = job.tasks[id.index];
  const bool is_later = id.attempt > task.attempt;
  const bool is_present = id.attempt == task.attempt && task.phase != task_phase::kWaiting;
  if (!is_later && !is_present) return;
  if (is_present && IsOver(task.phase)) return;
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

// What we believed to be at the endpoint and is not in its list. A restarted endpoint has lost all
// that ran, and what was sent to it may have run in its former life. Else only a start whose reply
// is lost can be missing: it did not take, and with the token raised since it never will.
void shard::DropUnlisted(endpoint_index index, const endpoint_reply& reply, bool restarted,
                         monotonic_time now) {
  absl::flat_hash_set<task_id> listed;
  for (const task_status& status : reply.tasks) listed.insert(status.id);
  std::vector<std::pair<task_id, task_phase>> missing;
  for (const auto& [id, job] : jobs_) {
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
      const task_progress& task = job.tasks[i];
      if (task.endpoint != index || !IsUnderWay(task.phase)) continue;
      const task_id at{id, i, task.attempt};
      if (!listed.contains(at)) missing.emplace_back(at, task.phase);
    }
  }
  for (const auto& [id, phase] : missing) {
    if (phase == task_phase::kMaybe && !restarted) {
      StartDidNotTake(id, false, now);
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
      const bool is_there = task.endpoint == index && IsUnderWay(task.phase);
      if (is_there) tasks.push_back({id, i, task.attempt});
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
      Note(event_code::kEndpointSilent, {}, at.address.name);
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
  // Ends that are not in the store yet must stay at the endpoint: a new owner would find neither
  // their record nor their list entry, and would run a finished task again.
  if (at.unrecorded == 0) at.link.AckUpTo(reply.cursor);
  if (reply.leaving && !at.leaving) {
    at.leaving = true;
    SetCoreState(index, now);
    Note(event_code::kEndpointLeaving, {}, at.address.name);
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
    for (const start_task& task : sent) StartDidNotTake(task.id, fault, now);
    IsSuperseded(reply);
    return;
  }
  absl::flat_hash_set<task_id> decided;
  for (const task_call_result& result : reply.results) {
    if (reply.status != endpoint_status::kDone || result.result == call_result::kUnknown) continue;
    decided.insert(result.id);
    const bool took =
        result.result == call_result::kStarted || result.result == call_result::kAlready;
    if (!took) {
      StartDidNotTake(result.id, result.result == call_result::kBroken, now);
      continue;
    }
    job_state* job = nullptr;
    task_progress* task = FindTask(result.id, job);
    if (task == nullptr || task->phase != task_phase::kSent) continue;
    task->phase = task_phase::kRunning;
    job->ever_ran = true;
    core_.Started(result.id, now);
    Note(event_code::kTaskStarted, result.id.job, at.address.name);
  }
  std::vector<task_id> unsure;
  for (const start_task& sent_task : sent) {
    job_state* job = nullptr;
    task_progress* task = FindTask(sent_task.id, job);
    if (decided.contains(sent_task.id) || task == nullptr) continue;
    if (task->phase != task_phase::kSent) continue;
    task->phase = task_phase::kMaybe;
    unsure.push_back(sent_task.id);
  }
  if (!unsure.empty()) SettleUnsure(index, token, unsure, now);
}

// Only a list under a token that is higher than the start's tells whether the start took.
void shard::SettleUnsure(endpoint_index index, uint64_t token, const std::vector<task_id>& unsure,
                         monotonic_time now) {
  endpoint_record& at = endpoints_[index];
  const bool raised_since = token != at.link.Token() && options_.endpoints_fence;
  if (!raised_since) {
    at.link.Refence(now);
    SetCoreState(index, now);
    return;
  }
  // That list has come: it would have shown the task as running or ended, and the token keeps the
  // start out from now on. Else it is under way, and settles the task when it comes.
  if (at.link.State() != endpoint_link_state::kOpen) return;
  for (const task_id& id : unsure) StartDidNotTake(id, false, now);
}

}  // namespace catkinford
