// Copies: second runs of tasks that allow them.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"
#include "process/scheduling/task_fit.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

milliseconds Scaled(milliseconds time, double factor) {
  return duration_cast<milliseconds>(std::chrono::duration<double, std::milli>(time) * factor);
}

bool AllowsCopies(const step_spec& terms) {
  return terms.speculative && !terms.gang && !terms.long_running;
}

// The task's only run may never begin: its start got no answer so far.
bool Unanswered(const graph_run& run) {
  if (run.seen) return false;
  return run.Unanswered() ||
         (run.phase == run_phase::kStopping && run.stopping == stop_cause::kUnknownStart);
}

bool MayArrive(const graph_run& run) {
  return !run.seen && run.phase != run_phase::kPlanned && run.phase != run_phase::kInherited;
}

// The number of runs of the task that are not proved to have ended.
size_t OpenCount(const graph_task_state& task) {
  return static_cast<size_t>(std::count_if(
      task.open_runs.begin(), task.open_runs.end(),
      [](const open_run& open) { return open.may_arrive_until == monotonic_time{}; }));
}

}  // namespace

run_times::basis job_scheduler::BasisOf(const step_progress& step) {
  return step.run_time_count > 0 ? run_times::basis::kStep : run_times::basis::kQueue;
}

copy_verdict job_scheduler::VerdictOnCopy(const ready_step& ready, const graph_task_state& task,
                                          milliseconds expected, const fleet_instance* at,
                                          monotonic_time now) const {
  const job_entry& entry = *ready.entry;
  if (!AllowsCopies(entry.job.steps[ready.index])) return {};
  if (task.phase != graph_task_phase::kActive || task.run == nullptr || task.copy != nullptr) {
    return {};
  }
  const graph_run& run = *task.run;
  // A start that was not sent yet is withdrawn if it cannot be sent.
  if (run.phase == run_phase::kPlanned) return {};
  copy_question question;
  question.unanswered = Unanswered(run);
  const bool given_up = question.unanswered && run.stopping == stop_cause::kUnknownStart;
  if (run.stopping != stop_cause::kNone && !given_up) return {};
  question.reachable = run.instance->Reachable();
  question.elapsed = duration_cast<milliseconds>(now - run.started);
  question.expected = Scaled(expected, speeds_.Slowness(run.instance->ordinal));
  // Most runs are within their time.
  if (question.reachable && !question.unanswered && question.elapsed <= question.expected) {
    return {};
  }
  if (OpenCount(task) > 1) return {};
  question.expected_fresh =
      at == nullptr ? expected : Scaled(expected, speeds_.Slowness(at->ordinal));
  const step_progress& step = ready.occurrence->steps[ready.index];
  question.spread = run_times_.Spread(entry.job.queue, BasisOf(step));
  // While this process itself is late, answers are too.
  if (!given_up) {
    question.usual_answer = Scaled(answer_timeout_.Usual(), timeout_factor_) + local_delay_;
  }
  question.useful_until = UsefulUntil({entry.accepted_at, entry.objective, milliseconds{0}});
  question.after = std::max(RemainingChain(entry, *ready.occurrence) - expected, milliseconds{0});
  return DecideCopy(question, options_.copies, now);
}

uint32_t job_scheduler::CopiesWanted(const ready_step& ready, monotonic_time now) const {
  if (!AllowsCopies(ready.entry->job.steps[ready.index])) return 0;
  const step_progress& step = ready.occurrence->steps[ready.index];
  const milliseconds expected = ExpectedRun(*ready.entry, step, ready.index);
  return static_cast<uint32_t>(
      std::count_if(step.tasks.begin(), step.tasks.end(), [&](const graph_task_state& task) {
        return VerdictOnCopy(ready, task, expected, nullptr, now).reason.has_value();
      }));
}

std::vector<ready_step> job_scheduler::CopySteps(monotonic_time now) {
  std::vector<ready_step> out;
  for (const auto& [arrival, entry] : running_) {
    for (auto& [number, occurrence] : entry->occurrences) {
      for (uint32_t i = 0; i < occurrence->steps.size(); ++i) {
        ++steps_seen_;
        const step_progress& step = occurrence->steps[i];
        if (!entry->job.steps[i].speculative || step.active == 0 || step.waiting > 0) continue;
        const ready_step ready{entry, occurrence.get(), i};
        if (CopiesWanted(ready, now) > 0) out.push_back(ready);
      }
    }
  }
  return out;
}

uint64_t job_scheduler::CopyBudget(uint32_t service) const {
  uint64_t capacity = 0;
  uint64_t held = 0;
  for (const auto& [id, instance] : instances_) {
    if (instance->service != service) continue;
    if (instance->present && !instance->replaced) capacity += instance->report.capacity.cpu_milli;
    for (const auto& run : instance->runs) {
      if (!run->copied_for) continue;
      // A copy whose first run has ended is the task's run.
      const step_progress* step = run->job == nullptr ? nullptr : run->job->Find(run->key);
      if (step != nullptr && step->tasks[run->key.index].run == run.get()) continue;
      held += run->capacity.cpu_milli;
    }
  }
  const auto most =
      static_cast<uint64_t>(static_cast<double>(capacity) * options_.copies_max_share);
  return most - std::min(most, held);
}

bool job_scheduler::CapacityShort(uint32_t service, const std::vector<ready_step>& waiting,
                                  monotonic_time now) const {
  return std::any_of(waiting.begin(), waiting.end(), [&](const ready_step& ready) {
    const step_progress& step = ready.occurrence->steps[ready.index];
    if (ready.entry->service != service || step.waiting == 0 || !step.queued) return false;
    const ready_order& order = step.queued->order;
    if (order.beyond_share || order.rank.rank != job_rank::kInTime) return false;
    const step_spec& terms = ready.entry->job.steps[ready.index];
    if (!WithinLimit(*ready.entry, terms.need)) return false;
    const resources capacity = CapacityOf(terms);
    uint32_t slots = 0;
    for (const auto& [id, instance] : instances_) {
      if (!MayRun(*instance, ready, now)) continue;
      const advice_verdict* verdict = step.advice.FindVerdict(instance->ordinal);
      if (verdict != nullptr && !verdict->allowed) continue;
      slots += TasksThatFit(instance->Free(), capacity, step.waiting);
      if (slots > step.waiting) return false;
    }
    return true;
  });
}

void job_scheduler::PlaceCopies(const std::vector<ready_step>& waiting, monotonic_time now) {
  struct allowance {
    bool capacity_short = false;
    uint64_t budget = 0;  // thousandths of a processor
  };
  absl::flat_hash_map<uint32_t, allowance> allowances;  // by service
  for (const ready_step& ready : CopySteps(now)) {
    const uint32_t service = ready.entry->service;
    const auto [found, is_new] = allowances.try_emplace(service);
    allowance& allowed = found->second;
    if (is_new) allowed = {CapacityShort(service, waiting, now), CopyBudget(service)};
    if (allowed.capacity_short) continue;
    const step_spec& terms = ready.entry->job.steps[ready.index];
    const uint64_t cpu_milli = terms.fills ? 0 : terms.need.cpu_milli;
    step_progress& step = ready.occurrence->steps[ready.index];
    const milliseconds expected = ExpectedRun(*ready.entry, step, ready.index);
    for (uint32_t i = 0; i < step.tasks.size(); ++i) {
      if (!MayPlanMore()) return;
      if (cpu_milli > allowed.budget) break;
      graph_task_state& task = step.tasks[i];
      if (!VerdictOnCopy(ready, task, expected, nullptr, now).reason) continue;
      if (!WithinLimit(*ready.entry, terms.need)) break;
      fleet_instance* instance = ChooseInstance(ready, task, now, nullptr);
      if (instance == nullptr) break;
      const copy_verdict verdict = VerdictOnCopy(ready, task, expected, instance, now);
      if (!verdict.reason) continue;
      Start(*instance, ready, i, numbers_.Next(task.last_run), now);
      allowed.budget -= cpu_milli;
      NoteCopy(ready, i, verdict, now);
    }
  }
}

void job_scheduler::NoteCopy(const ready_step& ready, uint32_t index, const copy_verdict& verdict,
                             monotonic_time now) {
  const graph_task_state& task = ready.occurrence->steps[ready.index].tasks[index];
  task.copy->copied_for = verdict.reason;
  ++copy_counts_.started[static_cast<size_t>(*verdict.reason)];
  LogEvent(scheduler_event::kind::kCopyDecided, ready.entry->job.id,
           absl::StrCat("task=", ready.occurrence->number, ".", ready.index, ".", index,
                        " reason=", std::string(ToText(*verdict.reason)), " elapsed_ms=",
                        duration_cast<milliseconds>(now - task.run->started).count(),
                        " rest_ms=", verdict.rest.count(), " fresh_ms=", verdict.fresh.count(),
                        " instance=", task.copy->instance->report.id,
                        " beside=", task.run->instance->report.id));
}

void job_scheduler::NoteCopyOutcome(const job_entry& entry, const step_progress& step,
                                    const graph_run& run) {
  if (!run.copied_for) return;
  const graph_task_state& task = step.tasks[run.key.index];
  if (task.phase == graph_task_phase::kDone) return;
  ++copy_counts_.won;
  if (run.copied_for != copy_reason::kOverdue || task.copy != &run || !task.run->seen) return;
  run_times_.OnBeaten(entry.job.queue, BasisOf(step), 1.0 / entry.job.steps[run.key.step].count);
}

bool job_scheduler::OtherStartMayArrive(const job_entry& entry, const task_key& key,
                                        const graph_run* run) {
  const bool copies = key.step < entry.job.steps.size() && AllowsCopies(entry.job.steps[key.step]);
  if (!copies) return false;
  const std::vector<graph_run*> open = OpenRuns(key);
  return std::any_of(open.begin(), open.end(),
                     [&](const graph_run* other) { return other != run && MayArrive(*other); });
}

bool job_scheduler::StartMayArrive(const task_key& key) const {
  return std::any_of(instances_.begin(), instances_.end(), [&](const auto& item) {
    return std::any_of(item.second->runs.begin(), item.second->runs.end(),
                       [&](const auto& run) { return MayArrive(*run) && run->key == key; });
  });
}

}  // namespace catkinford
