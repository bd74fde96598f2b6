// Lifecycle of runs: unanswered starts, ends, stops, stray runs.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"
#include "process/scheduling/stall_timeout.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A stop is repeated at this interval until its end is listed.
constexpr milliseconds kStopRetryInterval{500};
// Stops due at an instance for each one that may be in flight there.
constexpr uint32_t kStopsPerConnection = 32;
// After this many consecutive failed runs an instance is quarantined. Tasks that fail by themselves
// are a few in a hundred.
constexpr uint32_t kMaxConsecutiveFaults = 3;
constexpr milliseconds kQuarantineTime{4000};

std::string NameOf(const task_key& key) {
  return absl::StrCat(key.job, ".", key.occurrence, ".", key.step, ".", key.index);
}

}  // namespace

std::string_view ToText(command_result result) {
  switch (result) {
    case command_result::kDone:
      return "done";
    case command_result::kNotDone:
      return "not_done";
    case command_result::kFenced:
      return "fenced";
    case command_result::kStale:
      return "stale";
    case command_result::kLate:
      return "late";
    case command_result::kNoRoom:
      return "no_room";
    case command_result::kNoTicket:
      return "no_ticket";
    case command_result::kOtherIncarnation:
      return "other_life";
    case command_result::kMalformed:
      return "malformed";
    case command_result::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToText(run_end how) {
  switch (how) {
    case run_end::kDone:
      return "done";
    case run_end::kFailed:
      return "failed";
    case run_end::kStopped:
      return "stopped";
    case run_end::kLapsed:
      return "lapsed";
    case run_end::kBroken:
      return "broken";
    case run_end::kAlone:
      return "alone";
    case run_end::kUnknown:
      return "unknown";
  }
  return "unknown";
}

graph_run* job_scheduler::FindRun(fleet_instance& instance, const task_key& key, uint32_t number) {
  for (const auto& run : instance.runs) {
    const bool same = run->number == number && run->key.index == key.index &&
                      run->key.step == key.step && run->key.occurrence == key.occurrence;
    if (same && run->key.job == key.job) return run.get();
  }
  return nullptr;
}

bool job_scheduler::HoldsTask(const graph_run& run) {
  const step_progress* step = run.job == nullptr ? nullptr : run.job->Find(run.key);
  if (step == nullptr) return false;
  const graph_task_state& task = step->tasks[run.key.index];
  return task.run == &run || task.copy == &run;
}

graph_run& job_scheduler::AddRun(fleet_instance& instance, job_entry* job, const task_key& key,
                                 uint32_t number) {
  instance.runs.push_back(std::make_unique<graph_run>());
  graph_run& run = *instance.runs.back();
  run.key = key;
  run.number = number;
  run.instance = &instance;
  if (job == nullptr) {
    ++instance.unidentified_runs;
  } else {
    AssignJob(run, *job);
    ReserveCapacity(run, 1);
  }
  return run;
}

void job_scheduler::AssignJob(graph_run& run, job_entry& job) {
  const step_spec& terms = job.job.steps[run.key.step];
  run.job = &job;
  run.fills = terms.fills;
  run.serves = terms.tail_latency_target.count() > 0;
  run.capacity = terms.need;
  if (!terms.fills) return;
  run.capacity.cpu_milli = 0;
  ++run.instance->filling;
}

void job_scheduler::ReserveCapacity(graph_run& run, int sign) {
  if (run.job == nullptr) return;
  const resources& need = run.job->job.steps[run.key.step].need;
  resources& running = usage_of_workspace_[run.job->job.workspace];
  step_progress* step = run.job->Find(run.key);
  CountBusy(run, sign);
  const bool endless = run.job->job.steps[run.key.step].long_running;
  if (sign > 0) {
    run.instance->used += run.capacity;
    if (endless) run.instance->used_endlessly += run.capacity;
    running += need;
    if (step != nullptr) ++step->placed[run.instance];
    return;
  }
  run.instance->used -= run.capacity;
  if (endless) run.instance->used_endlessly -= run.capacity;
  running -= need;
  if (step == nullptr) return;
  const auto placed = step->placed.find(run.instance);
  if (placed != step->placed.end() && --placed->second == 0) step->placed.erase(placed);
}

void job_scheduler::Release(graph_run& run, monotonic_time now) {
  ReserveCapacity(run, -1);
  CloseRun(run, now);
  if (run.stopping == stop_cause::kCopyLost && run.seen) {
    copy_counts_.wasted += std::chrono::duration<double>(now - run.started) *
                           (static_cast<double>(run.capacity.cpu_milli) / 1000);
    if (run.copied_for) ++copy_counts_.lost;
  }
  fleet_instance& instance = *run.instance;
  SetStopInFlight(run, false);
  if (run.fills) --instance.filling;
  if (run.job == nullptr) --instance.unidentified_runs;
  const auto slot =
      std::find_if(instance.runs.begin(), instance.runs.end(),
                   [&](const std::unique_ptr<graph_run>& held) { return held.get() == &run; });
  const std::unique_ptr<graph_run> released = std::move(*slot);
  std::swap(*slot, instance.runs.back());
  instance.runs.pop_back();
  if (run.job != nullptr) {
    if (step_progress* step = run.job->Find(run.key)) {
      graph_task_state& task = step->tasks[run.key.index];
      const bool lost = !run.seen && run.stopping == stop_cause::kUnknownStart;
      if (lost) task.avoided_instance = instance.ordinal;
      if (task.copy == &run) task.copy = nullptr;
      if (task.run == &run) {
        task.run = std::exchange(task.copy, nullptr);
        if (task.run == nullptr) {
          const std::vector<graph_run*> others = OpenRuns(run.key);
          if (!others.empty()) task.run = others.front();
        }
        if (task.run == nullptr && task.phase == graph_task_phase::kActive) {
          MoveTask(*run.job, run.key, graph_task_phase::kWaiting, now);
        }
      }
    }
  }
}

task_times job_scheduler::TimesOf(const step_progress& step, const task_key& key,
                                  const graph_run* run, monotonic_time now) {
  const graph_task_state& task = step.tasks[key.index];
  // The failures of a gang are kept with its step.
  const size_t failures = task.failed_runs.size() + step.gang_failed_runs.size();
  const auto failed = static_cast<uint32_t>(failures);
  task_times times;
  times.ready = step.ready_at;
  times.allowed = step.advice.first_allowed;
  times.first_decided = task.first_decided;
  times.ended = now;
  times.failed_runs = failed;
  times.lost_runs = task.starts > failed ? task.starts - failed - 1 : 0;
  if (run == nullptr) return times;
  times.decided = run->decided;
  times.sent = run->started;
  times.confirmed = run->confirmed;
  return times;
}

// The chain continues the longest one before the step: that of the step that made it ready.
void job_scheduler::EndStep(const job_entry& entry, occurrence_state& occurrence, uint32_t index,
                            task_times times) {
  const step_spec& terms = entry.job.steps[index];
  job_stage_times chain;
  chain.Add(job_stage::kKnown, entry.arrived - std::min(entry.accepted_at, entry.arrived));
  for (const uint32_t earlier : terms.after) {
    const job_stage_times& before = occurrence.steps[earlier].stages;
    if (before.Ended() > chain.Ended()) chain = before;
  }
  times.estimate = terms.estimate;
  chain.AddStep(times);
  occurrence.steps[index].stages = chain;
}

void job_scheduler::OnTaskDone(job_entry& entry, const task_key& key, const task_times& times,
                               monotonic_time now) {
  step_progress* step = entry.Find(key);
  if (step == nullptr) return;
  const bool gang = entry.job.steps[key.step].gang;
  for (uint32_t i = 0; i < step->tasks.size(); ++i) {
    // One member of a gang that ends as done completes all members.
    if (!gang && i != key.index) continue;
    if (step->tasks[i].phase == graph_task_phase::kDone) continue;
    MoveTask(entry, {{}, key.occurrence, key.step, i}, graph_task_phase::kDone, now);
    if (!gang) StopRuns(key, stop_cause::kCopyLost, now);
  }
  MarkChanged(entry);
  const auto occurrence = entry.occurrences.find(key.occurrence);
  if (!step->Done()) {
    // Run times of the step's other tasks are known better now.
    if (step->queued) UpdateReady(entry, *occurrence->second, key.step, now);
    return;
  }
  if (!step->run_times.empty()) {
    const milliseconds expected =
        run_times_.Expected(entry.job.queue, entry.job.steps[key.step].estimate);
    speeds_.OnStep(std::exchange(step->run_times, {}), expected, now);
  }
  EndStep(entry, *occurrence->second, key.step, times);
  RefreshReady(entry, *occurrence->second, now);
  if (!occurrence->second->Done()) return;
  // Runs that still exist refer to the occurrence: they are stopped as stray runs.
  StopRuns(entry, *occurrence->second, stop_cause::kCopyLost, now);
  const job_stage_times stages = step->stages;
  RemoveReady(entry, *occurrence->second);
  FinishOccurrence(entry, key.occurrence);
  ResumeOpening(entry);
  if (!entry.AllDone()) return;
  entry.stages = stages;
  Finish(entry, graph_phase::kCompleted, now);
}

void job_scheduler::OnTaskFailed(job_entry& entry, const task_key& key, uint32_t run,
                                 fleet_instance& at, monotonic_time now) {
  step_progress* step = entry.Find(key);
  if (step == nullptr) return;
  const step_spec& terms = entry.job.steps[key.step];
  graph_task_state& task = step->tasks[key.index];
  if (task.phase == graph_task_phase::kDone) return;
  std::vector<uint32_t>& failed = terms.gang ? step->gang_failed_runs : task.failed_runs;
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) return;
  // Long-running tasks may fail any number of times: only the latest failure is kept.
  if (terms.long_running) failed.clear();
  failed.push_back(run);
  task.avoided_instance = at.ordinal;
  MarkChanged(entry);
  // A task that also failed elsewhere is more likely to be the cause than the instance.
  if (failed.size() == 1 && ++at.faults >= kMaxConsecutiveFaults) {
    at.faults = 0;
    at.quarantined_until = now + kQuarantineTime;
    LogEvent(scheduler_event::kind::kInstanceShunned, at.report.id, "failed runs in a row");
  }
  if (terms.long_running) return;
  if (failed.size() >= TermsOf(entry).max_attempts) Finish(entry, graph_phase::kFailed, now);
}

void job_scheduler::HandleEnd(fleet_instance& instance, const ended_row& row, monotonic_time now) {
  if (row.number <= instance.ends_seen) return;
  instance.ends_seen = row.number;
  const auto found = jobs_.find(row.key.job);
  job_entry* entry = found == jobs_.end() ? nullptr : found->second.get();
  graph_run* run = FindRun(instance, row.key, row.run);
  const stop_cause cause = run == nullptr ? stop_cause::kNone : run->stopping;
  LogDetail(scheduler_event::kind::kTaskEnd, [&] {
    const std::string ran =
        run == nullptr
            ? std::string()
            : absl::StrCat(" ran_ms=", duration_cast<milliseconds>(now - run->started).count());
    return std::pair(NameOf(row.key),
                     absl::StrCat("run=", row.run, " instance=", instance.report.id,
                                  " end=", std::string(ToText(row.how)), " held=", run != nullptr,
                                  " stop=", std::string(ToText(cause)), ran));
  });
  // A run of an unknown job is stopped as a stray once the job's record is known to be absent; such
  // an end has no effect.
  const bool job_absent = row.key.job.empty() || cause == stop_cause::kStray;
  bool awaits_starts = false;
  bool awaits_inheritance = false;
  if (entry != nullptr) {
    const bool counts = row.how == run_end::kDone || row.how == run_end::kFailed;
    awaits_inheritance = counts && entry->inherited && !inheritance_settled_ &&
                         row.key.step < entry->job.steps.size() &&
                         entry->job.steps[row.key.step].speculative;
    awaits_starts = counts && OtherStartMayArrive(*entry, row.key, run);
    ApplyEnd(*entry, instance, row, run, now);
  } else {
    if (run != nullptr) Release(*run, now);
    if (!job_absent) {
      instance.unidentified_ends.push_back(row);
      RequestLookup(row.key.job);
    }
  }
  const bool awaits_job = entry == nullptr && !job_absent;
  instance.unstored.push_back({row.number,
                               row.key.job,
                               entry == nullptr ? 0 : entry->change,
                               awaits_job,
                               {},
                               awaits_inheritance});
  if (awaits_starts) instance.unstored.back().awaits_starts = row.key;
}

void job_scheduler::ApplyEnd(job_entry& entry, fleet_instance& instance, const ended_row& row,
                             graph_run* run, monotonic_time now) {
  MarkStarted(entry);
  OpenSeen(entry, row.key.occurrence, now);
  step_progress* step = entry.Find(row.key);
  if (step == nullptr) {
    if (run != nullptr) Release(*run, now);
    return;
  }
  graph_task_state& task = step->tasks[row.key.index];
  task.last_run = std::max(task.last_run, row.run);
  if (!row.checkpoint.empty()) task.checkpoint = row.checkpoint;
  if (row.how == run_end::kDone && run != nullptr) {
    instance.faults = 0;
    NoteCopyOutcome(entry, *step, *run);
    LearnRun(entry, *step, *run, now);
  }
  const task_times times = TimesOf(*step, row.key, run, now);
  if (run != nullptr) {
    Release(*run, now);
  } else if (step->queued) {
    // The order of a service's tasks depends on whether they ran.
    UpdateReady(entry, *entry.occurrences.at(row.key.occurrence), row.key.step, now);
  }
  if (IsFinal(entry.phase)) return;
  if (row.how == run_end::kDone) return OnTaskDone(entry, row.key, times, now);
  if (row.how == run_end::kFailed) OnTaskFailed(entry, row.key, row.run, instance, now);
  if (IsFinal(entry.phase)) return;
  if (!row.checkpoint.empty()) MarkChanged(entry);
  if (entry.job.steps[row.key.step].gang) BreakGang(entry, row.key, row.run, now);
}

void job_scheduler::BreakGang(job_entry& entry, const task_key& member, uint32_t run,
                              monotonic_time now) {
  step_progress* step = entry.Find(member);
  if (step == nullptr) return;
  // All runs of an attempt have one number. A run of an earlier attempt says nothing of this one.
  const bool superseded =
      std::any_of(step->tasks.begin(), step->tasks.end(), [run](const graph_task_state& task) {
        return task.run != nullptr && task.run->number > run;
      });
  if (superseded) return;
  task_key key = member;
  for (key.index = 0; key.index < step->tasks.size(); ++key.index) {
    StopRuns(key, stop_cause::kGangBroken, now);
  }
}

graph_run& job_scheduler::Adopt(fleet_instance& instance, const running_row& row,
                                monotonic_time now) {
  const auto found = jobs_.find(row.key.job);
  const bool known = found != jobs_.end();
  const bool has_step = known && row.key.step < found->second->job.steps.size();
  graph_run& run = AddRun(instance, has_step ? found->second.get() : nullptr, row.key, row.run);
  run.phase = run_phase::kRunning;
  run.seen = true;
  run.listed = true;
  run.started = now;
  run.confirmed = now;
  run.progressed = now;
  run.speed.SetInherited();
  if (has_step) {
    ClaimOrStop(run, now);
  } else if (known) {
    StopStray(run, now);
  } else {
    LogEvent(scheduler_event::kind::kRunUnidentified, NameOf(row.key),
             absl::StrCat("run=", row.run, " instance=", instance.report.id));
    unidentified_jobs_.insert(row.key.job);
    RequestLookup(row.key.job);
  }
  return run;
}

void job_scheduler::ClaimOrStop(graph_run& run, monotonic_time now) {
  if (run.seen) MarkStarted(*run.job);
  OpenSeen(*run.job, run.key.occurrence, now);
  if (step_progress* step = run.job->Find(run.key)) {
    graph_task_state& task = step->tasks[run.key.index];
    task.last_run = std::max(task.last_run, run.number);
    // Recorded even if the run is not wanted: until it has ended, the task must not start
    // elsewhere.
    if (task.phase != graph_task_phase::kDone) {
      RecordRun(task, run.number, run.instance->report.id);
      MarkChanged(*run.job);
      run.job->unrecorded = run.job->change;
    }
  }
  if (!ClaimTask(run, now)) return StopStray(run, now);
  LogEvent(scheduler_event::kind::kRunAdopted, NameOf(run.key),
           absl::StrCat("run=", run.number, " instance=", run.instance->report.id));
}

// A run at work holds its task, unless another run that is at work does. One that is only recorded
// may not exist.
bool job_scheduler::ClaimTask(graph_run& run, monotonic_time now) {
  step_progress* step = run.job == nullptr ? nullptr : run.job->Find(run.key);
  if (step == nullptr || IsFinal(run.job->phase)) return false;
  const step_spec& terms = run.job->job.steps[run.key.step];
  graph_task_state& task = step->tasks[run.key.index];
  if (task.phase == graph_task_phase::kDone) return false;
  if (HoldsTask(run)) return true;
  if (task.run != nullptr) {
    const bool recorded_only = task.run->phase == run_phase::kInherited;
    // Members of a gang belong together, so the latest attempt is the one that goes on.
    const bool later_attempt = terms.gang && task.run->number > run.number;
    if (!recorded_only || later_attempt) {
      if (!terms.speculative || task.copy != nullptr) return false;
      task.copy = &run;
      return true;
    }
  }
  task.run = &run;
  MoveTask(*run.job, run.key, graph_task_phase::kActive, now);
  return true;
}

void job_scheduler::MarkStarted(job_entry& entry) {
  entry.started = true;
  if (entry.phase == graph_phase::kQueued) entry.phase = graph_phase::kRunning;
}

void job_scheduler::StopStray(graph_run& run, monotonic_time now) {
  if (run.stopping != stop_cause::kNone) return;
  LogEvent(scheduler_event::kind::kTaskStop, NameOf(run.key),
           absl::StrCat("run=", run.number, " instance=", run.instance->report.id,
                        " cause=stray known=", run.job != nullptr));
  RequestStop(run, stop_cause::kStray, now);
}

graph_run& job_scheduler::HandleRunning(fleet_instance& instance, const running_row& row,
                                        monotonic_time now) {
  graph_run* run = FindRun(instance, row.key, row.run);
  if (run == nullptr) return Adopt(instance, row, now);
  run->seen = true;
  run->listed = true;
  if (run->job != nullptr) MarkStarted(*run->job);
  if (run->Unanswered() || run->phase == run_phase::kInherited) {
    const bool inherited = run->phase == run_phase::kInherited;
    run->phase = run_phase::kRunning;
    run->confirmed = now;
    run->progressed = now;
    if (inherited && ClaimTask(*run, now)) {
      LogEvent(scheduler_event::kind::kRunAdopted, NameOf(row.key),
               absl::StrCat("run=", row.run, " instance=", instance.report.id));
    } else if (inherited) {
      StopStray(*run, now);
    }
  }
  if (row.percent != run->percent) {
    run->percent = row.percent;
    if (run->AtFullSpeed()) {
      run->longest_step =
          std::max(run->longest_step, duration_cast<milliseconds>(now - run->progressed));
    }
    run->progressed = now;
  }
  run->load = row.load;
  if (run->job == nullptr || row.checkpoint.empty()) return *run;
  if (step_progress* step = run->job->Find(row.key)) {
    step->tasks[row.key.index].checkpoint = row.checkpoint;
  }
  return *run;
}

void job_scheduler::HandleMissing(fleet_instance& instance,
                                  const std::vector<const graph_run*>& seen, monotonic_time sent,
                                  monotonic_time now) {
  std::vector<graph_run*> missing;
  for (const auto& run : instance.runs) {
    if (std::find(seen.begin(), seen.end(), run.get()) != seen.end()) continue;
    // A listing that was requested before the run was confirmed does not prove its absence.
    const bool known = (run->phase == run_phase::kRunning && run->confirmed < sent);
    // A run that is missing after its stop was answered can never begin.
    const bool stopped = run->stop_confirmed && run->stop_answered_at < sent;
    // This owner's listing fences off all commands of earlier owners.
    const bool inherited = run->phase == run_phase::kInherited;
    if (known || stopped || inherited) missing.push_back(run.get());
    if (AwaitsListing(*run) && run->overdue_since <= sent) {
      RequestStop(*run, stop_cause::kUnknownStart, now);
    }
  }
  for (graph_run* run : missing) {
    LogEvent(scheduler_event::kind::kRunVanished, NameOf(run->key),
             absl::StrCat("run=", run->number, " instance=", instance.report.id, " stop=",
                          std::string(ToText(run->stopping)), " holds_task=", HoldsTask(*run)));
    job_entry* entry = run->job;
    const task_key key = run->key;
    const bool inherited = run->phase == run_phase::kInherited;
    const uint32_t number = run->number;
    if (!run->seen) RememberUndelivered(*run, now);
    Release(*run, now);
    if (!inherited || entry == nullptr || IsFinal(entry->phase)) continue;
    if (entry->job.steps[key.step].gang) BreakGang(*entry, key, number, now);
  }
}

// A start that was never sent needs no stop: TakeStarts() withdraws it.
bool job_scheduler::StopDue(const graph_run& run, monotonic_time now) {
  return run.stopping != stop_cause::kNone && run.phase != run_phase::kPlanned &&
         !run.stop_in_flight && now >= run.next_stop;
}

uint32_t job_scheduler::MaxStopsAt(const fleet_instance& instance) const {
  if (stops_in_flight_ >= options_.stops_in_flight) return options_.stops_at_instance;
  const uint32_t wanted = instance.stops_due / kStopsPerConnection;
  return std::clamp(wanted, options_.stops_at_instance, options_.most_stops_at_instance);
}

void job_scheduler::SetStopInFlight(graph_run& run, bool in_flight) {
  if (std::exchange(run.stop_in_flight, in_flight) == in_flight) return;
  const uint32_t change = in_flight ? 1 : -1;
  run.instance->stops_in_flight += change;
  stops_in_flight_ += change;
}

void job_scheduler::SendStop(graph_run& run, std::vector<stop_command>& out, monotonic_time now) {
  fleet_instance& instance = *run.instance;
  SetStopInFlight(run, true);
  if (instance.stops_due > 0) --instance.stops_due;
  run.next_stop = now + kStopRetryInterval;
  const instance_report& report = instance.report;
  out.push_back({{report.id, report.address, report.incarnation},
                 run.key,
                 run.number,
                 instance.stops_in_flight > options_.stops_at_instance});
  LogEvent(scheduler_event::kind::kTaskStop, NameOf(run.key),
           absl::StrCat("run=", run.number, " instance=", report.id,
                        " cause=", std::string(ToText(run.stopping))));
}

std::vector<stop_command> job_scheduler::TakeStops(monotonic_time now) {
  std::vector<stop_command> out;
  for (const uint32_t ordinal : std::exchange(stop_released_, {})) {
    fleet_instance* instance = InstanceAt(ordinal);
    if (instance == nullptr || instance->stops_due == 0) continue;
    for (const auto& run : instance->runs) {
      if (instance->stops_in_flight >= MaxStopsAt(*instance)) break;
      if (StopDue(*run, now)) SendStop(*run, out, now);
    }
  }
  return out;
}

// Progress is known from listings only, so that the time since the latest one says nothing of the
// run.
void job_scheduler::StopIfStalled(graph_run& run, monotonic_time now) {
  if (run.phase != run_phase::kRunning || run.stopping != stop_cause::kNone) return;
  // Most runs made progress recently, and their timeout need not be computed.
  const auto without_progress = run.instance->listing_sent - run.progressed;
  if (without_progress <= kMinStallTimeout) return;
  if (run.job == nullptr || !run.AtFullSpeed() || !run.instance->Reachable()) return;
  const step_spec& terms = run.job->job.steps[run.key.step];
  step_progress* step = run.job->Find(run.key);
  if (terms.long_running || step == nullptr) return;
  const milliseconds expected = ExpectedRunOn(*run.instance, *run.job, *step, run.key.step);
  // Members of a gang wait for each other: any one of them may be found first.
  uint32_t& stalls = step->tasks[terms.gang ? 0 : run.key.index].stalls;
  if (without_progress <= StallTimeout(expected, run.longest_step, stalls)) return;
  ++stalls;
  RequestStop(run, stop_cause::kStalled, now);
}

void job_scheduler::CheckRun(graph_run& run, monotonic_time now) {
  if (run.Unanswered() && now - run.started >= Timeout()) OnOverdueStart(run, now);
  StopIfStalled(run, now);
}

void job_scheduler::CheckRuns(scheduler_commands& commands, monotonic_time now) {
  for (auto& [id, instance] : instances_) {
    if (instance->report.draining) Evacuate(*instance, now);
    for (const auto& run : instance->runs) {
      const stop_cause before = run->stopping;
      CheckRun(*run, now);
      if (before != stop_cause::kNone || run->stopping == stop_cause::kNone) continue;
      const bool gang = run->job != nullptr && run->key.step < run->job->job.steps.size() &&
                        run->job->job.steps[run->key.step].gang;
      if (gang) BreakGang(*run->job, run->key, run->number, now);
    }
    const auto due = [now](const auto& run) { return StopDue(*run, now); };
    instance->stops_due =
        static_cast<uint32_t>(std::count_if(instance->runs.begin(), instance->runs.end(), due));
    if (instance->stops_due > 0) stop_released_.insert(instance->ordinal);
  }
  commands.stops = TakeStops(now);
}

void job_scheduler::OnStartAnswer(const start_command& request, const command_answer& answer,
                                  monotonic_time now) {
  if (starts_in_flight_ > 0) --starts_in_flight_;
  const auto found = by_id_.find(request.to.instance);
  if (found == by_id_.end()) return;
  fleet_instance& instance = *found->second;
  if (instance.starts_in_flight > 0) --instance.starts_in_flight;
  NoteStartLease(instance, request, answer, now);
  const bool same_incarnation = request.to.incarnation == instance.report.incarnation;
  if (answer.clock_ms && same_incarnation) UpdateClock(instance, *answer.clock_ms, now);
  graph_run* run = FindRun(instance, request.key, request.run);
  if (run == nullptr) return;
  if (answer.clock_ms) {
    answer_timeout_.OnAnswer(duration_cast<milliseconds>(now - run->started));
    ClearSuspect(instance, run->started);
  }
  if (answer.result == command_result::kDone) {
    if (!run->Unanswered()) return;
    run->phase = run_phase::kRunning;
    run->seen = true;
    run->confirmed = now;
    run->progressed = now;
    if (run->job == nullptr) return;
    MarkStarted(*run->job);
    if (step_progress* step = run->job->Find(run->key))
      step->tasks[run->key.index].stale_starts = 0;
    return;
  }
  LogEvent(scheduler_event::kind::kTaskRefused, NameOf(request.key),
           absl::StrCat("run=", request.run, " instance=", request.to.instance,
                        " result=", std::string(ToText(answer.result))));
  if (answer.result == command_result::kUnknown) {
    if (run->phase == run_phase::kSent) run->phase = run_phase::kUnknown;
    return;
  }
  if (run->phase == run_phase::kRunning) return;  // confirmed by a listing, which takes precedence
  if (answer.result == command_result::kStale) {
    // What an earlier incarnation has seen says nothing of this one, where the start may arrive
    // too.
    if (same_incarnation) return OnStaleStart(*run, now);
    if (run->phase == run_phase::kSent) run->phase = run_phase::kUnknown;
    return;
  }
  job_entry* entry = run->job;
  step_progress* step = entry == nullptr ? nullptr : entry->Find(request.key);
  if (answer.result == command_result::kNoTicket && step != nullptr) {
    step->advice.RemoveVerdict(instance.ordinal);
  }
  if (answer.result == command_result::kNotDone ||
      answer.result == command_result::kOtherIncarnation ||
      answer.result == command_result::kNoRoom) {
    instance.quarantined_until = now + milliseconds{500};
  }
  const bool gang = step != nullptr && entry->job.steps[request.key.step].gang;
  Release(*run, now);
  if (gang) BreakGang(*entry, request.key, request.run, now);
}

// The run can begin no more, but it may have run: a call that is repeated reaches the instance
// twice. Only a listing that is requested from now on tells.
// Each further refusal raises the next number by more, however far it is behind.
void job_scheduler::OnStaleStart(graph_run& run, monotonic_time now) {
  if (step_progress* step = run.job == nullptr ? nullptr : run.job->Find(run.key)) {
    graph_task_state& task = step->tasks[run.key.index];
    const uint32_t refusals = ++task.stale_starts;
    task.last_run = std::max(task.last_run, run_numbers::AfterRefusal(run.number, refusals));
  }
  RequestStop(run, stop_cause::kUnknownStart, now);
  run.stop_confirmed = true;
  run.stop_answered_at = now;
  run.phase = run_phase::kStopping;
  run.next_stop = now + options_.stop_limit + kStopRetryInterval;
  run.instance->next_listing = std::min(run.instance->next_listing, now);
  const bool gang = run.job != nullptr && run.job->job.steps[run.key.step].gang;
  if (gang) BreakGang(*run.job, run.key, run.number, now);
}

void job_scheduler::OnStopAnswer(const stop_command& request, const command_answer& answer,
                                 monotonic_time now) {
  const auto found = by_id_.find(request.to.instance);
  if (found == by_id_.end()) return;
  if (request.to.incarnation != found->second->report.incarnation) return;
  if (found->second->stops_due > 0) stop_released_.insert(found->second->ordinal);
  if (answer.clock_ms) UpdateClock(*found->second, *answer.clock_ms, now);
  graph_run* run = FindRun(*found->second, request.key, request.run);
  if (run == nullptr) return;
  SetStopInFlight(*run, false);
  if (answer.clock_ms) ClearSuspect(*found->second, run->next_stop - kStopRetryInterval);
  if (answer.result != command_result::kDone) return;
  if (!run->stop_confirmed) {
    run->stop_confirmed = true;
    run->stop_answered_at = now;
    run->phase = run_phase::kStopping;
    // The waiting listing returns at the end; a run that never began has none, and only a listing
    // can show its absence.
    found->second->next_listing = std::min(found->second->next_listing, now);
  }
  run->next_stop = now + options_.stop_limit + kStopRetryInterval;
}

void job_scheduler::OnSpeedAnswer(const speed_command& request, const command_answer& answer,
                                  monotonic_time now) {
  const auto found = by_id_.find(request.to.instance);
  if (found == by_id_.end()) return;
  const bool same_incarnation = request.to.incarnation == found->second->report.incarnation;
  if (answer.clock_ms && same_incarnation) UpdateClock(*found->second, *answer.clock_ms, now);
  graph_run* run = FindRun(*found->second, request.key, request.run);
  if (run == nullptr) return;
  run->speed.OnAnswer(request.percent, answer.result, now);
}

}  // namespace catkinford
