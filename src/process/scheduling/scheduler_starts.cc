// Starts and their records: a start is decided on, its record is stored, and only then is it sent.
// The next owner reads from the records where each task may be running. Without them it would have
// to wait until every instance is listed or its leases have expired, and a single instance that is
// cut off would delay all tasks of all jobs for that long.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"

namespace catkinford {

using std::chrono::milliseconds;

void job_scheduler::SetRecordsComplete() { records_complete_ = true; }

scheduler_handover job_scheduler::HandOver(monotonic_time now) const {
  scheduler_handover out;
  for (const auto& [id, instance] : instances_) {
    if (instance->listed && instance->Reachable()) continue;
    const milliseconds left = std::chrono::ceil<milliseconds>(LeaseEnd(*instance, now) - now);
    out.waits[id] = {instance->report.incarnation, left};
  }
  out.complete = (records_complete_ || inheritance_settled_) && lookups_.empty();
  for (const auto& [id, entry] : jobs_) {
    if (entry->stored < entry->change) out.progress[id] = ProgressToText(*entry, numbers_);
  }
  return out;
}

void job_scheduler::OnUnstoredProgress(const std::string& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  job_entry& entry = *found->second;
  MarkChanged(entry);
  entry.unrecorded = entry.change;
}

void job_scheduler::OnEarlierOwnerDead(monotonic_time now) {
  earlier_owner_dead_at_ = std::min(earlier_owner_dead_at_, now);
}

monotonic_time job_scheduler::EarlierOwnerUntil() const {
  const milliseconds unconfirmed = records_complete_ ? milliseconds{0} : options_.unconfirmed_owner;
  return std::min(took_over_ + options_.earlier_owner + unconfirmed, earlier_owner_dead_at_);
}

void job_scheduler::SetUnrecordedStarts(bool allowed) {
  if (unrecorded_starts_ && !allowed) {
    for (job_entry* entry : active_) entry->unrecorded = entry->change;
  }
  unrecorded_starts_ = allowed;
}

bool job_scheduler::RecordsKnown() const {
  const bool settled = (records_complete_ || inheritance_settled_) && lookups_.empty();
  return settled && std::all_of(active_.begin(), active_.end(), [](const job_entry* entry) {
           return entry->stored >= entry->unrecorded;
         });
}

void job_scheduler::Start(fleet_instance& instance, const ready_step& ready, uint32_t index,
                          uint32_t number, monotonic_time now) {
  job_entry& entry = *ready.entry;
  step_progress& step = ready.occurrence->steps[ready.index];
  graph_task_state& task = step.tasks[index];
  const task_key key{entry.job.id, ready.occurrence->number, ready.index, index};
  graph_run& run = AddRun(instance, &entry, key, number);
  run.phase = run_phase::kPlanned;
  run.resumed = !task.checkpoint.empty();
  if (instance.ordinal < forecasts_.size() && forecasts_[instance.ordinal] != nullptr) {
    forecasts_[instance.ordinal]->Start(run.capacity, ExpectedRelease(ready, now));
  }
  if (speeds_.Uneven() && speeds_.Class(instance.ordinal) != speed_class::kSlow) {
    uint64_t& free = free_fast_milli_[instance.service];
    free -= std::min<uint64_t>(free, run.capacity.cpu_milli);
  }
  run.decided = now;
  run.started = now;
  run.progressed = now;
  if (task.first_decided == monotonic_time{}) task.first_decided = now;
  task.last_run = number;
  RecordRun(task, number, instance.report.id);
  if (task.phase == graph_task_phase::kActive) {
    task.copy = &run;
  } else {
    task.run = &run;
    ++task.starts;
    MoveTask(entry, key, graph_task_phase::kActive, now);
  }

  start_command request;
  request.to = {instance.report.id, instance.report.address, instance.report.incarnation};
  request.key = key;
  request.run = number;
  request.payload = entry.job.payload;
  request.checkpoint = task.checkpoint;
  const advice_verdict* verdict = step.advice.FindVerdict(instance.ordinal);
  if (verdict != nullptr) request.ticket = verdict->ticket;
  MarkChanged(entry);
  HurryRecord(entry);
  planned_.push_back({std::move(request), entry.change});
  LogDetail(scheduler_event::kind::kTaskStart, [&] {
    return std::pair(
        entry.job.id,
        absl::StrCat(
            "task=", key.occurrence, ".", key.step, ".", key.index, " run=", number,
            " instance=", instance.report.id, " free_cpu=", instance.Free().cpu_milli,
            " waited_ms=", std::chrono::duration_cast<milliseconds>(now - step.ready_at).count()));
  });
}

// The conditions may have changed since the start was decided on, while its record was stored.
bool job_scheduler::StillValid(const start_command& request, const fleet_instance& instance,
                               monotonic_time now) const {
  if (instance.report.incarnation != request.to.incarnation) return false;
  if (!instance.OpenToStarts()) return false;
  if (request.ticket.empty()) return true;
  const auto found = jobs_.find(request.key.job);
  if (found == jobs_.end()) return false;
  const step_progress* step = found->second->Find(request.key);
  if (step == nullptr) return false;
  const advice_verdict* verdict = step->advice.FindVerdict(instance.ordinal);
  return verdict != nullptr && verdict->ticket == request.ticket &&
         verdict->expires > now + kTicketMargin / 2;
}

bool job_scheduler::Stored(const planned_start& planned) const {
  if (unrecorded_starts_) return true;
  const auto found = jobs_.find(planned.request.key.job);
  // A start of a forgotten job counts as stored, so that TakeStarts() removes it.
  return found == jobs_.end() || found->second->stored >= planned.change;
}

bool job_scheduler::MaySendTo(const fleet_instance& instance) const {
  return starts_in_flight_ < options_.starts_in_flight &&
         instance.starts_in_flight < options_.starts_at_instance;
}

std::vector<start_command> job_scheduler::TakeStarts(monotonic_time now) {
  std::vector<start_command> out;
  std::deque<planned_start> later;
  for (planned_start& planned : planned_) {
    if (!Stored(planned)) {
      later.push_back(std::move(planned));
      continue;
    }
    start_command& request = planned.request;
    const auto found = by_id_.find(request.to.instance);
    if (found == by_id_.end()) continue;
    fleet_instance& instance = *found->second;
    graph_run* run = FindRun(instance, request.key, request.run);
    if (run == nullptr || run->phase != run_phase::kPlanned) continue;
    if (run->stopping == stop_cause::kNone && !MaySendTo(instance)) {
      later.push_back(std::move(planned));
      continue;
    }
    if (run->stopping != stop_cause::kNone || !StillValid(request, instance, now)) {
      job_entry* entry = run->job;
      LogEvent(
          scheduler_event::kind::kTaskRefused, request.key.job,
          absl::StrCat("task=", request.key.occurrence, ".", request.key.step, ".",
                       request.key.index, " run=", request.run, " instance=", request.to.instance,
                       " result=not_sent", " stop=", std::string(ToText(run->stopping))));
      Release(*run, now);
      if (entry != nullptr && !IsFinal(entry->phase) && entry->job.steps[request.key.step].gang) {
        BreakGang(*entry, request.key, request.run, now);
      }
      continue;
    }
    ++starts_in_flight_;
    ++instance.starts_in_flight;
    run->phase = run_phase::kSent;
    run->started = now;
    run->progressed = now;
    request.lease_until_ms = instance.ClockAt(now) + options_.run_lease.count();
    instance.lease_until_ms = std::max(instance.lease_until_ms, request.lease_until_ms);
    request.lease_command = instance.leases.OnSent(request.to.incarnation, now);
    out.push_back(std::move(request));
  }
  planned_ = std::move(later);
  return out;
}

// Adds the runs that an earlier owner recorded; each may exist until its instance is listed. An
// instance that is neither in the registry nor in the stored fleet has none.
size_t job_scheduler::RestoreRecordedRuns(job_entry& entry, monotonic_time now) {
  size_t restored = 0;
  for (auto& [number, occurrence] : entry.occurrences) {
    for (uint32_t i = 0; i < occurrence->steps.size(); ++i) {
      step_progress& step = occurrence->steps[i];
      for (uint32_t k = 0; k < step.tasks.size(); ++k) {
        graph_task_state& task = step.tasks[k];
        std::erase_if(task.open_runs, [&](const open_run& open) {
          return !by_id_.contains(open.instance) || instances_.at(open.instance)->listed;
        });
        if (task.phase == graph_task_phase::kDone) task.open_runs.clear();
        for (const open_run& open : task.open_runs) {
          const task_key key{entry.job.id, number, i, k};
          fleet_instance& instance = *instances_.at(open.instance);
          instance.lease_unknown = true;
          graph_run& run = AddRun(instance, &entry, key, open.number);
          run.phase = run_phase::kInherited;
          run.inherited = true;
          run.speed.SetInherited();
          run.started = now;
          run.progressed = now;
          ++restored;
        }
        // The latest start is the one that is most likely at work.
        const std::vector<graph_run*> open = OpenRuns({entry.job.id, number, i, k});
        if (!open.empty()) task.run = open.front();
        if (open.size() > 1 && entry.job.steps[i].speculative) task.copy = open[1];
        if (task.run == nullptr) continue;
        MoveTask(entry, {{}, number, i, k}, graph_task_phase::kActive, now);
      }
    }
  }
  return restored;
}

void job_scheduler::RecordRun(graph_task_state& task, uint32_t number,
                              const std::string& instance) {
  const auto known = std::find_if(
      task.open_runs.begin(), task.open_runs.end(),
      [&](const open_run& open) { return open.number == number && open.instance == instance; });
  if (known == task.open_runs.end()) {
    task.open_runs.push_back({number, instance, {}});
  } else {
    known->may_arrive_until = {};
  }
}

// A record that outlives its start makes the next owner wait for an instance that has nothing to do
// with the task.
void job_scheduler::DropExpiredRecords(monotonic_time now) {
  while (!expiring_records_.empty() && expiring_records_.front().at < now) {
    const task_key key = std::move(expiring_records_.front().key);
    expiring_records_.pop_front();
    const auto found = jobs_.find(key.job);
    step_progress* step = found == jobs_.end() ? nullptr : found->second->Find(key);
    if (step == nullptr || IsFinal(found->second->phase)) continue;
    const size_t erased =
        std::erase_if(step->tasks[key.index].open_runs, [&](const open_run& open) {
          return open.may_arrive_until != monotonic_time{} && open.may_arrive_until < now;
        });
    if (erased > 0) MarkChanged(*found->second);
  }
}

// The run has ended and need not be looked for, unless its start may still reach the next
// incarnation of the instance.
void job_scheduler::CloseRun(const graph_run& run, monotonic_time now) {
  step_progress* step = run.job == nullptr ? nullptr : run.job->Find(run.key);
  if (step == nullptr) return;
  std::vector<open_run>& open = step->tasks[run.key.index].open_runs;
  const auto found = std::find_if(open.begin(), open.end(), [&](const open_run& each) {
    return each.number == run.number && each.instance == run.instance->report.id;
  });
  if (found == open.end()) return;
  // The latter are those of an earlier owner, which this owner's listing has fenced off.
  const bool sent = run.phase != run_phase::kPlanned && run.phase != run_phase::kInherited;
  const bool overdue = run.overdue_since != monotonic_time{};
  const bool unanswered = !run.seen && sent && (run.stopping != stop_cause::kNone || overdue);
  if (unanswered && now < run.started + kMaxCommandDelay) {
    found->may_arrive_until = run.started + kMaxCommandDelay;
    expiring_records_.push_back({found->may_arrive_until, run.key});
    return;
  }
  open.erase(found);
  // Its record names the runs that its end has left; without them the next owner looks for none.
  if (IsFinal(run.job->phase) && !HasOpenRuns(*run.job)) MarkChanged(*run.job);
}

// The runs of the task that are not yet proved to have ended, the latest first. There may be more
// than the task's run and copy: a start that was not answered stays recorded until it can no longer
// arrive, and the next owner looks for each recorded run.
std::vector<graph_run*> job_scheduler::OpenRuns(const task_key& key) {
  std::vector<graph_run*> out;
  const auto found = jobs_.find(key.job);
  step_progress* step = found == jobs_.end() ? nullptr : found->second->Find(key);
  if (step == nullptr) return out;
  for (const open_run& open : step->tasks[key.index].open_runs) {
    const auto instance = by_id_.find(open.instance);
    if (instance == by_id_.end()) continue;
    if (graph_run* run = FindRun(*instance->second, key, open.number)) out.push_back(run);
  }
  std::sort(out.begin(), out.end(),
            [](const graph_run* a, const graph_run* b) { return a->number > b->number; });
  return out;
}

}  // namespace catkinford
