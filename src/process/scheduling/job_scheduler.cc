#include "process/scheduling/job_scheduler.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Objectives allow for one policy query a step, about this many instances.
constexpr int64_t kTypicalQueryInstances = 30;
constexpr size_t kMaxEvents = 20000;  // between two calls of TakeEvents(); further ones are dropped

// When the next occurrence that is not open is due.
wall_time NextDue(const job_entry& entry) {
  return entry.job.first_run + entry.job.interval * entry.next_occurrence;
}

}  // namespace

job_scheduler::job_scheduler(const scheduler_options& options, uint64_t epoch,
                             monotonic_time took_over)
    : options_(options), epoch_(epoch), took_over_(took_over) {}

job_scheduler::~job_scheduler() = default;

void job_scheduler::SetVersion(std::shared_ptr<const site_configuration> version) {
  version_ = std::move(version);
  for (auto& [id, entry] : jobs_) LookUpTerms(*entry);
  for (job_entry* entry : active_) UpdateReady(*entry, decided_at_);
}

void job_scheduler::LookUpTerms(job_entry& entry) {
  entry.queue = version_ == nullptr ? nullptr : version_->QueueNamed(entry.job.queue);
  entry.service = ServiceOrdinal(TermsOf(entry).service);
}

uint32_t job_scheduler::ServiceOrdinal(const std::string& service) {
  return services_.try_emplace(service, static_cast<uint32_t>(services_.size() + 1)).first->second;
}

void job_scheduler::LogEvent(scheduler_event::kind what, std::string subject, std::string detail) {
  if (events_.size() < kMaxEvents) events_.push_back({what, std::move(subject), std::move(detail)});
}

std::vector<scheduler_event> job_scheduler::TakeEvents() { return std::exchange(events_, {}); }

const job_terms& job_scheduler::TermsOf(const job_entry& entry) const {
  return entry.queue != nullptr ? entry.queue->jobs : entry.job.terms;
}

void job_scheduler::OnJob(graph_job job, std::string_view progress, bool inherited, wall_time wall,
                          monotonic_time now) {
  if (jobs_.contains(job.id)) return;
  auto made = std::make_unique<job_entry>();
  job_entry& entry = *made;
  entry.job = std::move(job);
  entry.number = ++last_job_number_;
  LookUpTerms(entry);
  entry.arrived = now;
  if (!progress.empty()) ApplyProgress(entry, progress, now, numbers_);
  entry.accepted_at = now - std::max(milliseconds{0}, wall - entry.job.accepted);
  entry.inherited = inherited || lookups_.contains(entry.job.id) ||
                    EarlierOwnerMayStart(entry.job, entry.accepted_at);
  entry.beyond_share = BeyondShare(entry.job);
  const std::string id = entry.job.id;
  jobs_[id] = std::move(made);
  if (IsFinal(entry.phase)) {
    entry.finished_at = now;
    final_.push_back(id);
    // Runs that an earlier owner could not stop use capacity until they have ended.
    RestoreRecordedRuns(entry, now);
    StopAllRuns(entry, now);
    return IdentifyWork(entry, now);
  }
  active_.push_back(&entry);
  window_.Join(entry.job);
  OpenOccurrences(entry, wall, now);
  const size_t restored = RestoreRecordedRuns(entry, now);
  LogEvent(scheduler_event::kind::kJobAdded, id,
           absl::StrCat("queue=", entry.job.queue, " workspace=", entry.job.workspace,
                        " steps=", entry.job.steps.size(), " inherited=", entry.inherited,
                        " recorded_runs=", restored));
  IdentifyWork(entry, now);
}

milliseconds job_scheduler::ExpectedRun(const job_entry& entry, const step_progress& step,
                                        uint32_t index) const {
  if (step.run_time_count > 0) return step.run_time_sum / step.run_time_count;
  return run_times_.Expected(entry.job.queue, entry.job.steps[index].estimate);
}

milliseconds job_scheduler::ExpectedRunOn(const fleet_instance& instance, const job_entry& entry,
                                          const step_progress& step, uint32_t index) const {
  const double slowness = speeds_.Slowness(instance.ordinal);
  const milliseconds usual = ExpectedRun(entry, step, index);
  if (slowness == 1) return usual;
  return milliseconds(std::llround(static_cast<double>(usual.count()) * slowness));
}

// The objective depends on actual run times, which become known step by step.
void job_scheduler::SetObjective(job_entry& entry) {
  const queue_config* queue = entry.queue;
  milliseconds advice{0};
  if (queue != nullptr && queue->advice) {
    advice = queue->advice->base +
             duration_cast<milliseconds>(queue->advice->per_instance * kTypicalQueryInstances);
  }
  std::vector<milliseconds> step_durations;
  const occurrence_state* first =
      entry.occurrences.empty() ? nullptr : entry.occurrences.begin()->second.get();
  for (uint32_t i = 0; i < entry.job.steps.size(); ++i) {
    const milliseconds run =
        first == nullptr ? entry.job.steps[i].estimate : ExpectedRun(entry, first->steps[i], i);
    step_durations.push_back(run + advice);
  }
  const auto chain =
      static_cast<double>(CriticalPathLength(entry.job.steps, step_durations).count());
  const milliseconds allowed(static_cast<int64_t>(entry.job.terms.stretch * chain));
  entry.objective = entry.accepted_at + allowed + entry.job.terms.target_latency;
}

milliseconds job_scheduler::RemainingChain(const job_entry& entry,
                                           const occurrence_state& occurrence) const {
  std::vector<milliseconds> step_durations;
  for (uint32_t i = 0; i < entry.job.steps.size(); ++i) {
    const step_progress& step = occurrence.steps[i];
    step_durations.push_back(step.Done() ? milliseconds{0} : ExpectedRun(entry, step, i));
  }
  return CriticalPathLength(entry.job.steps, step_durations);
}

void job_scheduler::LearnRun(job_entry& entry, step_progress& step, const graph_run& run,
                             monotonic_time now) {
  if (run.inherited || run.resumed || !run.AtFullSpeed()) return;
  const step_spec& terms = entry.job.steps[run.key.step];
  const auto took = std::max(milliseconds{1}, duration_cast<milliseconds>(now - run.started));
  const double slowness = speeds_.Slowness(run.instance->ordinal);
  const milliseconds expected = ExpectedRunOn(*run.instance, entry, step, run.key.step);
  if (expected.count() > 0 && run_time_ratios_.size() < kMaxEvents) {
    run_time_ratios_.push_back(static_cast<double>(took.count()) /
                               static_cast<double>(expected.count()));
  }
  const auto usual = std::max(
      milliseconds{1}, milliseconds(std::llround(static_cast<double>(took.count()) / slowness)));
  run_times_.OnSpread(entry.job.queue, BasisOf(step), ExpectedRun(entry, step, run.key.step), usual,
                      1.0 / terms.count);
  run_times_.OnRun(entry.job.queue, terms.estimate, usual, 1.0 / terms.count);
  step.run_time_sum += usual;
  ++step.run_time_count;
  // Members of a gang end together, whatever the speed of each.
  if (options_.instance_speed && !terms.gang && !terms.fills) {
    step.run_times.push_back({run.instance->ordinal, took});
  }
}

// Uses the time at which the job was accepted, so that the next owner computes the same.
bool job_scheduler::BeyondShare(const graph_job& job) {
  if (version_ == nullptr || job.workspace.empty()) return false;
  const workspace_config* workspace = version_->WorkspaceNamed(job.workspace);
  if (workspace == nullptr || workspace->weight <= 0) return false;
  return arrival_limits_[job.workspace].Exceeds(workspace->weight, job.accepted);
}

void job_scheduler::OpenOccurrences(job_entry& entry, wall_time wall, monotonic_time now) {
  std::vector<occurrence_state*> opened;
  while (entry.next_occurrence < entry.job.Occurrences()) {
    const uint32_t number = entry.next_occurrence;
    if (entry.job.repeats > 0 && wall < NextDue(entry)) {
      due_.emplace(std::pair(NextDue(entry), entry.number), &entry);
      break;
    }
    const auto seen = entry.occurrences.find(number);
    const bool made = seen == entry.occurrences.end() && !IsFinished(entry, number);
    if (made && !window_.MayOpenNext(entry)) {
      entry.awaits_window = true;
      break;
    }
    ++entry.next_occurrence;
    if (made) {
      opened.push_back(&AddOccurrence(entry, number, now));
    } else if (seen != entry.occurrences.end()) {
      opened.push_back(seen->second.get());
    }
  }
  if (opened.empty()) SetObjective(entry);
  for (occurrence_state* occurrence : opened) RefreshReady(entry, *occurrence, now);
}

void job_scheduler::ResumeOpening(job_entry& entry) {
  if (!entry.awaits_window || IsFinal(entry.phase) || !window_.MayOpenNext(entry)) return;
  entry.awaits_window = false;
  due_.emplace(std::pair(NextDue(entry), entry.number), &entry);
}

void job_scheduler::OpenSeen(job_entry& entry, uint32_t number, monotonic_time now) {
  const bool later = number >= entry.next_occurrence && number < entry.job.Occurrences();
  if (IsFinal(entry.phase) || !later) return;
  if (IsFinished(entry, number) || entry.occurrences.contains(number)) return;
  AddOccurrence(entry, number, now);
}

void job_scheduler::OpenDue(wall_time wall, monotonic_time now) {
  while (!due_.empty() && due_.begin()->first.first <= wall) {
    job_entry* const entry = due_.begin()->second;
    due_.erase(due_.begin());
    OpenOccurrences(*entry, wall, now);
  }
}

void job_scheduler::RefreshReady(job_entry& entry, occurrence_state& occurrence,
                                 monotonic_time now) {
  // Not open: an earlier owner began it.
  if (occurrence.number >= entry.next_occurrence) return;
  for (size_t i = 0; i < occurrence.steps.size(); ++i) {
    step_progress& step = occurrence.steps[i];
    if (step.ready) continue;
    const auto& after = entry.job.steps[i].after;
    const bool ready = std::all_of(after.begin(), after.end(), [&](uint32_t earlier) {
      return occurrence.steps[earlier].Done();
    });
    if (!ready) continue;
    step.ready = true;
    step.ready_at = now;
    CountReady(entry, step, static_cast<uint32_t>(i));
    const step_spec& terms = entry.job.steps[i];
    const bool counts = !terms.long_running && !terms.fills && !entry.beyond_share;
    const ready_step made{&entry, &occurrence, static_cast<uint32_t>(i)};
    if (counts && StandingOf(made) != step_standing::kUnplaceable) {
      kept_.OnReady(entry.service, TermsOf(entry).priority,
                    uint64_t{terms.need.cpu_milli} * step.waiting, now);
    }
  }
  SetObjective(entry);
  for (uint32_t i = 0; i < occurrence.steps.size(); ++i) UpdateReady(entry, occurrence, i, now);
}

void job_scheduler::MoveTask(job_entry& entry, const task_key& key, graph_task_phase to,
                             monotonic_time now) {
  occurrence_state& occurrence = *entry.occurrences.at(key.occurrence);
  step_progress& step = occurrence.steps[key.step];
  graph_task_state& task = step.tasks[key.index];
  const auto count = [&step](graph_task_phase phase) -> uint32_t& {
    if (phase == graph_task_phase::kWaiting) return step.waiting;
    return phase == graph_task_phase::kActive ? step.active : step.done;
  };
  const graph_task_phase from = std::exchange(task.phase, to);
  if (from == to) return;
  --count(from);
  ++count(to);
  if (from == graph_task_phase::kWaiting) --entry.waiting_tasks;
  if (to == graph_task_phase::kWaiting) ++entry.waiting_tasks;
  if (from == graph_task_phase::kDone) --entry.done_tasks;
  if (to == graph_task_phase::kDone) ++entry.done_tasks;
  ResumeOpening(entry);
  if (to == graph_task_phase::kWaiting) task.waiting_since = now;
  if (from == graph_task_phase::kActive && --entry.active_tasks == 0) running_.erase(entry.number);
  if (to == graph_task_phase::kActive && ++entry.active_tasks == 1 && !IsFinal(entry.phase)) {
    running_.emplace(entry.number, &entry);
  }
  const bool waits = step.waiting > 0;
  // Whether a waiting task ran before orders the steps of services.
  const bool reordered = waits && entry.job.steps[key.step].long_running;
  if (reordered || waits != step.queued.has_value()) {
    UpdateReady(entry, occurrence, key.step, now);
  }
}

void job_scheduler::MarkChanged(job_entry& entry) {
  if (entry.change == entry.stored || entry.change == entry.being_stored) {
    unstored_.push_back(&entry);
    ++entry.queued_to_store;
  }
  ++entry.change;
}

void job_scheduler::HurryRecord(job_entry& entry) {
  const bool awaited = IsFinal(entry.phase) && entry.phase != graph_phase::kCancelled;
  std::deque<job_entry*>& queue = awaited ? unstored_final_ : unstored_starts_;
  if (!queue.empty() && queue.back() == &entry) return;
  queue.push_back(&entry);
  ++entry.queued_to_store;
}

job_entry* job_scheduler::NextUnstored() {
  for (std::deque<job_entry*>* queue : {&unstored_final_, &unstored_starts_, &unstored_}) {
    while (!queue->empty()) {
      job_entry* const entry = queue->front();
      queue->pop_front();
      --entry->queued_to_store;
      // It may have been taken from the other queue.
      if (entry->change != entry->stored && entry->change != entry->being_stored) return entry;
    }
  }
  return nullptr;
}

void job_scheduler::RequestStop(graph_run& run, stop_cause cause, monotonic_time now) {
  if (run.stopping != stop_cause::kNone) return;
  run.stopping = cause;
  run.stop_requested_at = now;
  run.next_stop = now;
}

void job_scheduler::StopRuns(const task_key& key, stop_cause cause, monotonic_time now) {
  for (graph_run* run : OpenRuns(key)) RequestStop(*run, cause, now);
}

void job_scheduler::StopRuns(const job_entry& entry, const occurrence_state& occurrence,
                             stop_cause cause, monotonic_time now) {
  for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
    for (uint32_t k = 0; k < occurrence.steps[i].tasks.size(); ++k) {
      StopRuns({entry.job.id, occurrence.number, i, k}, cause, now);
    }
  }
}

void job_scheduler::StopAllRuns(const job_entry& entry, monotonic_time now) {
  const stop_cause cause =
      entry.phase == graph_phase::kCancelled ? stop_cause::kCancelled : stop_cause::kJobFailed;
  for (const auto& [number, occurrence] : entry.occurrences) {
    StopRuns(entry, *occurrence, cause, now);
  }
}

void job_scheduler::Finish(job_entry& entry, graph_phase phase, monotonic_time now) {
  if (IsFinal(entry.phase)) return;
  entry.phase = phase;
  entry.finished_at = now;
  MarkChanged(entry);
  entry.final_change = entry.change;
  if (phase != graph_phase::kCancelled) HurryRecord(entry);
  active_.erase(std::remove(active_.begin(), active_.end(), &entry), active_.end());
  running_.erase(entry.number);
  due_.erase(std::pair(NextDue(entry), entry.number));
  window_.Leave(entry.job);
  for (const auto& [number, occurrence] : entry.occurrences) RemoveReady(entry, *occurrence);
  final_.push_back(entry.job.id);
  if (phase != graph_phase::kCompleted) StopAllRuns(entry, now);
  const bool completed = phase == graph_phase::kCompleted;
  LogEvent(scheduler_event::kind::kJobFinal, entry.job.id,
           absl::StrCat("phase=", std::string(ToText(phase)),
                        " ms=", duration_cast<milliseconds>(now - entry.arrived).count(),
                        " late_ms=", duration_cast<milliseconds>(now - entry.objective).count(),
                        " priority=", TermsOf(entry).priority, completed ? " " : "",
                        completed ? entry.stages.ToFields() : std::string()));
}

void job_scheduler::OnCancel(const std::string& job, monotonic_time now) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  Finish(*found->second, graph_phase::kCancelled, now);
}

std::vector<job_progress_write> job_scheduler::TakeUnstored(size_t most, size_t bytes) {
  std::vector<job_progress_write> out;
  size_t taken = 0;
  while (out.size() < most && taken < bytes) {
    job_entry* const next = NextUnstored();
    if (next == nullptr) break;
    job_entry& entry = *next;
    entry.being_stored = entry.change;
    out.push_back({entry.job.id, ProgressToText(entry, numbers_), entry.change});
    taken += out.back().text.size();
  }
  return out;
}

void job_scheduler::OnStored(const std::vector<job_progress_write>& writes) {
  for (const job_progress_write& write : writes) {
    const auto found = jobs_.find(write.job);
    if (found == jobs_.end()) continue;
    found->second->stored = std::max(found->second->stored, write.change);
  }
}

void job_scheduler::OnNotStored(const std::vector<job_progress_write>& writes) {
  for (const job_progress_write& write : writes) {
    const auto found = jobs_.find(write.job);
    if (found == jobs_.end()) continue;
    job_entry& entry = *found->second;
    // Still the newest change: queue it again. A newer one has queued itself.
    if (entry.change == write.change) HurryRecord(entry);
    entry.being_stored = entry.stored;
  }
}

std::vector<completed_job> job_scheduler::CompletedBy(const std::vector<job_progress_write>& writes,
                                                      monotonic_time now) const {
  std::vector<completed_job> out;
  for (const job_progress_write& write : writes) {
    const job_entry* entry = Find(write.job);
    if (entry == nullptr || entry->phase != graph_phase::kCompleted) continue;
    if (entry->stored >= entry->final_change || write.change < entry->final_change) continue;
    out.push_back({TermsOf(*entry).priority, entry->stages});
    out.back().stages.Add(job_stage::kFinal, now - entry->finished_at);
  }
  return out;
}

bool job_scheduler::HoldsRuns(const job_entry& entry) const {
  return std::any_of(instances_.begin(), instances_.end(), [&](const auto& item) {
    return std::any_of(item.second->runs.begin(), item.second->runs.end(),
                       [&](const auto& run) { return run->job == &entry; });
  });
}

std::vector<std::string> job_scheduler::TakeExpired(monotonic_time now, size_t most) {
  std::vector<std::string> out;
  while (!final_.empty() && out.size() < most) {
    const std::string id = final_.front();
    const job_entry& entry = *jobs_.at(id);
    if (now - entry.finished_at < options_.keep_final) break;
    final_.pop_front();
    // Jobs that are not settled yet are checked again after the others.
    if (entry.stored < entry.change || entry.queued_to_store > 0 || HoldsRuns(entry)) {
      final_.push_back(id);
      break;
    }
    out.push_back(id);
    jobs_.erase(id);
  }
  return out;
}

scheduler_commands job_scheduler::Decide(wall_time wall, monotonic_time now) {
  scheduler_commands commands;
  decided_at_ = now;
  OpenDue(wall, now);
  DropExpired(now);
  UpdateTimeoutFactor(now);
  if (options_.instance_speed) speeds_.Refresh(now);
  CheckRuns(commands, now);
  const std::vector<ready_step> ready = NextSteps(now);
  if (!starts_paused_) Place(ready, now);
  commands.starts = TakeStarts(now);
  PlanAdvice(ready, commands, now);
  PlanSpeeds(commands, now);
  PlanListings(commands, now);
  LogSpeedChanges(now);
  return commands;
}

void job_scheduler::LogSpeedChanges(monotonic_time now) {
  for (const uint32_t ordinal : speeds_.TakeClassChanges()) {
    const fleet_instance* instance = InstanceAt(ordinal);
    if (instance == nullptr) continue;
    const speed_estimate known = speeds_.Estimate(ordinal);
    const auto age = known.observations == 0 ? milliseconds{0}
                                             : duration_cast<milliseconds>(now - known.updated);
    LogEvent(scheduler_event::kind::kInstanceSpeed, instance->report.id,
             absl::StrCat("class=", std::string(ToText(speeds_.Class(ordinal))), " slowness=",
                          absl::StrFormat("%.2f deviation=%.2f", known.slowness, known.deviation),
                          " kind=", speeds_.Kind(ordinal), " runs=", known.observations,
                          " age_ms=", age.count()));
  }
}

const job_entry* job_scheduler::Find(const std::string& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : found->second.get();
}

size_t job_scheduler::Pending(const std::string& queue) const {
  return static_cast<size_t>(std::count_if(
      active_.begin(), active_.end(),
      [&](const job_entry* entry) { return entry->job.queue == queue && !entry->started; }));
}

bool job_scheduler::AnyCouldHold(const std::string& service, const step_spec& step) const {
  const auto found = largest_seen_.find(service);
  if (found == largest_seen_.end()) return true;
  return std::any_of(found->second.begin(), found->second.end(), [&](const resources& capacity) {
    const bool cpu = step.fills || step.need.cpu_milli <= capacity.cpu_milli;
    return cpu && step.need.memory_mb <= capacity.memory_mb &&
           step.need.accelerators <= capacity.accelerators;
  });
}

bool job_scheduler::Possible(const graph_job& job) const {
  return std::all_of(job.steps.begin(), job.steps.end(),
                     [&](const step_spec& step) { return AnyCouldHold(job.terms.service, step); });
}

size_t job_scheduler::RunCount() const {
  size_t count = 0;
  for (const auto& [id, instance] : instances_) count += instance->runs.size();
  return count;
}

learned_record job_scheduler::Learned(wall_time wall) const {
  learned_record out;
  out.epoch = epoch_;
  out.written = wall;
  out.queues = run_times_.Save();
  learned_speeds speeds = speeds_.Save();
  out.kinds = std::move(speeds.kinds);
  for (const own_speed& each : speeds.instances) {
    const fleet_instance* instance = InstanceAt(each.ordinal);
    if (instance == nullptr) continue;
    out.instances.push_back({instance->report.id, each.mean, each.weight});
  }
  return out;
}

learned_record job_scheduler::LoadLearned(const learned_record& record, monotonic_time now) {
  learned_record used = record;
  used.instances.clear();
  run_times_.Load(record.queues);
  if (!options_.instance_speed) {
    used.kinds.clear();
    return used;
  }
  learned_speeds speeds;
  speeds.kinds = record.kinds;
  for (const learned_instance& each : record.instances) {
    const auto found = by_id_.find(each.id);
    if (found == by_id_.end()) continue;
    speeds.instances.push_back({found->second->ordinal, each.mean, each.weight});
    used.instances.push_back(each);
  }
  speeds_.Load(speeds, now);
  return used;
}

}  // namespace catkinford
