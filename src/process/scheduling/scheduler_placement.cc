// Placement: which waiting task starts next, and on which instance.
#include <algorithm>
#include <limits>
#include <optional>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Above the range of all other terms of a score.
constexpr double kAvoided = 100;

double Fraction(uint32_t used, uint32_t capacity) {
  return capacity == 0 ? 0 : static_cast<double>(used) / static_cast<double>(capacity);
}

// Utilization of the instance's scarcest resource once the task runs there.
double FullnessWith(const fleet_instance& instance, const resources& demand) {
  const resources& capacity = instance.report.capacity;
  const resources& used = instance.used;
  return std::max({Fraction(used.cpu_milli + demand.cpu_milli, capacity.cpu_milli),
                   Fraction(used.memory_mb + demand.memory_mb, capacity.memory_mb),
                   Fraction(used.accelerators + demand.accelerators, capacity.accelerators)});
}

monotonic_time::duration Scaled(monotonic_time::duration time, double factor) {
  if (factor == 1) return time;
  return std::chrono::duration_cast<monotonic_time::duration>(time * factor);
}

bool RanBefore(const step_progress& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(), [](const graph_task_state& task) {
    return task.phase == graph_task_phase::kWaiting && task.last_run > 0;
  });
}

bool Exceeds(uint64_t amount, uint32_t limit) { return limit > 0 && amount > limit; }

bool Exceeds(const resources& used, const resources& need, const resources& limit) {
  return Exceeds(uint64_t{used.cpu_milli} + need.cpu_milli, limit.cpu_milli) ||
         Exceeds(uint64_t{used.memory_mb} + need.memory_mb, limit.memory_mb) ||
         Exceeds(uint64_t{used.accelerators} + need.accelerators, limit.accelerators);
}

}  // namespace

bool job_scheduler::WithinLimit(const job_entry& entry, const resources& need) const {
  if (version_ == nullptr || entry.job.workspace.empty()) return true;
  const workspace_config* workspace = version_->WorkspaceNamed(entry.job.workspace);
  if (workspace == nullptr || workspace->maximum == resources{}) return true;
  // Runs of unknown jobs may belong to any workspace.
  if (!unidentified_jobs_.empty()) return false;
  const auto found = usage_of_workspace_.find(entry.job.workspace);
  const resources used = found == usage_of_workspace_.end() ? resources{} : found->second;
  return !Exceeds(used, need, workspace->maximum);
}

bool job_scheduler::WithinMaximum(const job_entry& entry, const resources& need) const {
  const workspace_config* workspace = version_->WorkspaceNamed(entry.job.workspace);
  return workspace == nullptr || !Exceeds({}, need, workspace->maximum);
}

void job_scheduler::CountSchedulable(monotonic_time now) {
  schedulable_.Clear(services_.size());
  for (const auto& [id, instance] : instances_) {
    if (AcceptsWork(*instance, now)) schedulable_.Add(*instance);
  }
}

step_standing job_scheduler::StandingOf(const ready_step& ready) {
  const job_entry& entry = *ready.entry;
  const step_spec& step = entry.job.steps[ready.index];
  const step_advice& advice = ready.occurrence->steps[ready.index].advice;
  // While no instance of the service accepts work, nothing is known of what could be placed.
  const bool known = !schedulable_.Empty(entry.service);
  if (known && !schedulable_.CanHold(entry.service, step, advice)) {
    return step_standing::kUnplaceable;
  }
  const resources need = NeedAtOnce(step);
  if (WithinLimit(entry, need)) return step_standing::kEligible;
  return WithinMaximum(entry, need) ? step_standing::kOverLimit : step_standing::kUnplaceable;
}

// Without complete records a service that an earlier owner ran looks like one that never ran.
bool job_scheduler::MayHaveRun(const job_entry& entry) const {
  return entry.inherited && !records_complete_;
}

void job_scheduler::UpdateReady(job_entry& entry, occurrence_state& occurrence, uint32_t index,
                                monotonic_time now) {
  const step_progress& step = occurrence.steps[index];
  const ready_step ready{&entry, &occurrence, index};
  if (!step.ready || step.waiting == 0 || IsFinal(entry.phase)) return ready_.Remove(ready);
  ready_order order;
  order.beyond_share = entry.beyond_share;
  order.priority = TermsOf(entry).priority;
  if (entry.job.steps[index].long_running) {
    // A service task is useful from the moment when it runs again: it can always be in time.
    order.service_up = !RanBefore(step) && !MayHaveRun(entry);
    order.rank = {job_rank::kInTime, step.ready_at};
    return ready_.Put(ready, order, monotonic_time::max());
  }
  const job_timing timing{entry.accepted_at, entry.objective, RemainingChain(entry, occurrence)};
  order.rank = OrderKeyOf(timing, now);
  ready_.Put(ready, order, KeyChangesAt(timing, now));
}

void job_scheduler::UpdateReady(job_entry& entry, monotonic_time now) {
  for (auto& [number, occurrence] : entry.occurrences) {
    for (uint32_t i = 0; i < occurrence->steps.size(); ++i) {
      UpdateReady(entry, *occurrence, i, now);
    }
  }
}

void job_scheduler::RemoveReady(job_entry& entry, occurrence_state& occurrence) {
  for (uint32_t i = 0; i < occurrence.steps.size(); ++i) ready_.Remove({&entry, &occurrence, i});
}

std::vector<ready_step> job_scheduler::NextSteps(monotonic_time now) {
  for (const ready_step& ready : ready_.TakeRankChanges(now)) {
    UpdateReady(*ready.entry, *ready.occurrence, ready.index, now);
  }
  CountSchedulable(now);
  return ready_.Next([this](const ready_step& ready) {
    ++steps_seen_;
    return StandingOf(ready);
  });
}

bool job_scheduler::AcceptsWork(const fleet_instance& instance, monotonic_time now) {
  if (!instance.OpenToStarts() || !instance.registered || instance.replaced) return false;
  if (now < instance.quarantined_until) return false;
  return now - instance.clock_at <= kMaxClockAge;
}

bool job_scheduler::MayRun(const fleet_instance& instance, const ready_step& ready,
                           monotonic_time now) const {
  if (instance.service != ready.entry->service || !AcceptsWork(instance, now)) return false;
  return HasLabel(instance, ready);
}

bool job_scheduler::HasLabel(const fleet_instance& instance, const ready_step& ready) {
  const step_spec& step = ready.entry->job.steps[ready.index];
  if (step.required_label.empty()) return true;
  const auto& labels = instance.report.labels;
  return std::find(labels.begin(), labels.end(), step.required_label) != labels.end();
}

speed_need job_scheduler::SpeedNeedOf(const ready_step& ready, monotonic_time now) const {
  if (!options_.instance_speed || !speeds_.Uneven()) return {};
  const job_entry& entry = *ready.entry;
  const step_spec& terms = entry.job.steps[ready.index];
  if (terms.long_running || terms.fills) return {speed_need::kind::kSlow};
  const milliseconds run = ExpectedRun(entry, ready.occurrence->steps[ready.index], ready.index);
  const milliseconds chain = std::max(run, RemainingChain(entry, *ready.occurrence));
  return DeadlineNeed(std::chrono::duration_cast<milliseconds>(entry.objective - now), chain, run);
}

void job_scheduler::CountFreeFast(monotonic_time now) {
  free_fast_milli_.assign(services_.size() + 1, 0);
  any_slow_.assign(services_.size() + 1, false);
  if (!options_.instance_speed || !speeds_.Uneven()) return;
  for (const auto& [id, instance] : instances_) {
    if (!AcceptsWork(*instance, now)) continue;
    if (speeds_.Class(instance->ordinal) == speed_class::kSlow) {
      any_slow_[instance->service] = true;
      continue;
    }
    free_fast_milli_[instance->service] += instance->Free().cpu_milli;
  }
}

bool job_scheduler::MayUseFast(const ready_step& ready, const resources& demand,
                               monotonic_time now) const {
  if (!options_.instance_speed || !speeds_.Uneven()) return true;
  const step_spec& terms = ready.entry->job.steps[ready.index];
  const uint32_t service = ready.entry->service;
  // Nothing is kept from steps that could use nothing else: where no instance of the service is
  // slow, or perhaps none with the label.
  if (terms.long_running || !any_slow_[service] || !terms.required_label.empty()) return true;
  const uint64_t kept = kept_.For(service, TermsOf(*ready.entry).priority, now);
  return kept == 0 || free_fast_milli_[service] >= kept + demand.cpu_milli;
}

fleet_instance* job_scheduler::ChooseInstance(const ready_step& ready, const graph_task_state& task,
                                              monotonic_time now, const std::string* rack) {
  const step_spec& terms = ready.entry->job.steps[ready.index];
  const step_progress& step = ready.occurrence->steps[ready.index];
  const bool advised = TermsOf(*ready.entry).needs_advice;
  resources demand = terms.need;
  if (terms.fills) demand.cpu_milli = 0;
  const monotonic_time::duration run = ExpectedRelease(ready, now) - now;
  const speed_need speed = SpeedNeedOf(ready, now);
  const bool may_use_fast = MayUseFast(ready, demand, now);
  fleet_instance* best = nullptr;
  double best_score = -std::numeric_limits<double>::infinity();
  const auto consider = [&](fleet_instance& instance) {
    if (rack != nullptr && instance.report.rack != *rack) return;
    if (task.run != nullptr && task.run->instance == &instance) return;
    if (!instance.Fits(demand) || !MayRun(instance, ready, now)) return;
    if (!may_use_fast && speeds_.Class(instance.ordinal) != speed_class::kSlow) return;
    const double slowness = speeds_.Slowness(instance.ordinal);
    if (!RespectsReservations(instance, demand, now + Scaled(run, slowness))) return;
    const auto placed = step.placed.find(&instance);
    const uint32_t here = placed == step.placed.end() ? 0 : placed->second;
    if (terms.max_per_instance > 0 && here >= terms.max_per_instance) return;
    double score = FullnessWith(instance, demand);
    // Long-running tasks are spread, so that the loss of one instance affects few of them.
    if (terms.long_running) score = -score - here;
    if (terms.fills) score = -score;
    score += SpeedScore(speed, slowness);
    if (!terms.data_rack.empty() && instance.report.rack == terms.data_rack) score += 2;
    if (!task.failed_runs.empty() && instance.faults > 0) score -= 1;
    // A fault of the instance would meet the task again.
    if (task.avoided_instance == instance.ordinal) score -= kAvoided;
    if (score <= best_score) return;
    best_score = score;
    best = &instance;
  };
  if (!advised) {
    for (auto& [id, instance] : instances_) consider(*instance);
    return best;
  }
  for (const advice_verdict& verdict : step.advice.verdicts) {
    if (!verdict.allowed || verdict.expires < now + kTicketMargin) continue;
    fleet_instance* instance = InstanceAt(verdict.instance);
    if (instance == nullptr || instance->report.incarnation != verdict.incarnation) continue;
    consider(*instance);
  }
  return best;
}

void job_scheduler::PlaceStep(const ready_step& ready, monotonic_time now) {
  const step_spec& terms = ready.entry->job.steps[ready.index];
  step_progress& step = ready.occurrence->steps[ready.index];
  for (uint32_t i = 0; i < step.tasks.size() && step.waiting > 0; ++i) {
    if (!MayPlanMore()) return;
    graph_task_state& task = step.tasks[i];
    if (task.phase != graph_task_phase::kWaiting) continue;
    if (!WithinLimit(*ready.entry, terms.need)) return;
    fleet_instance* instance = ChooseInstance(ready, task, now, nullptr);
    if (instance == nullptr) return;
    Start(*instance, ready, i, numbers_.Next(task.last_run), now);
  }
}

void job_scheduler::PlaceGang(const ready_step& ready, monotonic_time now) {
  const step_spec& terms = ready.entry->job.steps[ready.index];
  step_progress& step = ready.occurrence->steps[ready.index];
  // If not all members wait, an earlier attempt of the gang is still being stopped.
  if (step.waiting != step.tasks.size()) return;
  if (!WithinLimit(*ready.entry, NeedAtOnce(terms))) return;

  resources demand = terms.need;
  if (terms.fills) demand.cpu_milli = 0;
  const auto try_rack = [&](const std::string* rack) {
    std::vector<fleet_instance*> chosen;
    for (const graph_task_state& task : step.tasks) {
      fleet_instance* instance = ChooseInstance(ready, task, now, rack);
      if (instance == nullptr) break;
      // Temporarily counted as used while the other members are placed.
      instance->used += demand;
      ++step.placed[instance];
      chosen.push_back(instance);
    }
    for (fleet_instance* instance : chosen) {
      instance->used -= demand;
      if (--step.placed[instance] == 0) step.placed.erase(instance);
    }
    return chosen;
  };
  std::vector<fleet_instance*> chosen;
  if (terms.same_rack) {
    std::vector<std::string> racks;
    racks.reserve(instances_.size());
    for (const auto& [id, instance] : instances_) racks.push_back(instance->report.rack);
    std::sort(racks.begin(), racks.end());
    racks.erase(std::unique(racks.begin(), racks.end()), racks.end());
    for (const std::string& rack : racks) {
      chosen = try_rack(&rack);
      if (chosen.size() == step.tasks.size()) break;
    }
  }
  // Slower across racks, but better than waiting indefinitely for a rack with enough capacity.
  if (chosen.size() != step.tasks.size()) chosen = try_rack(nullptr);
  if (chosen.size() != step.tasks.size()) return;
  uint32_t number = 0;
  std::string checkpoint;
  for (const graph_task_state& task : step.tasks) {
    number = std::max(number, numbers_.Next(task.last_run));
    if (!task.checkpoint.empty()) checkpoint = task.checkpoint;
  }
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    step.tasks[i].checkpoint = checkpoint;
    Start(*chosen[i], ready, i, number, now);
  }
}

// Until all instances that may run work of an earlier owner are listed, a task of an inherited job
// may already run on one of them, and only an upper bound on the usage of its workspace is known.
bool job_scheduler::MustWaitForInheritance(const job_entry& entry, const resources& need) const {
  if (MayHaveRun(entry)) return true;
  if (records_complete_) return false;
  const auto possible = possible_usage_of_workspace_.find(entry.job.workspace);
  if (possible == possible_usage_of_workspace_.end()) return false;
  return !WithinLimit(entry, need + possible->second);
}

bool job_scheduler::EarlierOwnerMayStart(const graph_job& job, monotonic_time accepted) const {
  // One that continues while the store is down, the unconfirmed owner, learns of a job only from
  // the entry that accepted it, which tells the latest owner that it knows of.
  const bool told_earlier_owner = job.known_epoch < epoch_;
  const monotonic_time until =
      told_earlier_owner ? EarlierOwnerUntil() : took_over_ + options_.earlier_owner;
  return !records_complete_ && !inheritance_settled_ &&
         accepted < std::min(until, earlier_owner_dead_at_);
}

void job_scheduler::CountPossibleRuns() {
  possible_usage_of_workspace_.clear();
  for (const job_entry* entry : active_) {
    if (!entry->inherited) continue;
    resources& sum = possible_usage_of_workspace_[entry->job.workspace];
    for (const auto& [number, occurrence] : entry->occurrences) {
      sum += LargestUsage(entry->job, *occurrence);
    }
  }
}

void job_scheduler::Place(const std::vector<ready_step>& steps, monotonic_time now) {
  if (!inheritance_settled_) {
    inheritance_settled_ = InheritanceSettled(now);
    if (!records_complete_) CountPossibleRuns();
  }
  ResetReservations(now);
  CountFreeFast(now);
  for (const ready_step& ready : steps) {
    if (!MayPlanMore()) break;
    const step_spec& terms = ready.entry->job.steps[ready.index];
    if (!inheritance_settled_ && MustWaitForInheritance(*ready.entry, terms.need)) continue;
    if (terms.gang) {
      PlaceGang(ready, now);
    } else {
      PlaceStep(ready, now);
    }
    ReserveCapacity(ready, now);
  }
  PlaceCopies(steps, now);
}

}  // namespace catkinford
