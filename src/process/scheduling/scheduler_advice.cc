// Advice: a queue's policy says which instances may run a step. Asking costs time for each instance
// named, a ticket is good for a short time, and the verdict itself never changes.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A ticket with less left than this is asked for again.
constexpr milliseconds kTicketMargin{60};
constexpr size_t kMostInOneAsk = 100;        // the policy's service takes no more
constexpr size_t kSpareInstances = 1;        // asked for beyond the need, as room may go meanwhile
constexpr milliseconds kAskAgainPause{100};  // after an ask without a verdict; doubles
constexpr uint32_t kLongestDoubling = 4;
// Asks cheaper than this go before others.
constexpr milliseconds kCheapAsk{150};
constexpr milliseconds kDefaultValid{2000};
// A step whose turn comes within the time of an ask and this much more is asked for ahead.
constexpr milliseconds kAheadSlack{150};
// Steps looked at in one round, the most urgent first: each costs a look at all instances, and
// those far behind have no chance of room.
constexpr size_t kStepsInRound = 64;
constexpr double kSlowestSpeed = 0.1;  // below this a learned speed says nothing

uint32_t TasksThatFit(const resources& free, const resources& room, uint32_t most) {
  uint32_t tasks = most;
  if (room.cpu_milli > 0) tasks = std::min(tasks, free.cpu_milli / room.cpu_milli);
  if (room.memory_mb > 0) tasks = std::min(tasks, free.memory_mb / room.memory_mb);
  if (room.accelerators > 0) tasks = std::min(tasks, free.accelerators / room.accelerators);
  return tasks;
}

void Take(resources& from, const resources& room, uint32_t tasks) {
  from.cpu_milli -= std::min(from.cpu_milli, room.cpu_milli * tasks);
  from.memory_mb -= std::min(from.memory_mb, room.memory_mb * tasks);
  from.accelerators -= std::min(from.accelerators, room.accelerators * tasks);
}

}  // namespace

// Tasks of the step that need an instance: those that wait, or copies of those that are overdue.
uint32_t job_scheduler::Wanted(const step_progress& step, const step_terms& terms,
                               monotonic_time now) const {
  if (step.waiting > 0 || !terms.speculative) return step.waiting;
  return static_cast<uint32_t>(
      std::count_if(step.tasks.begin(), step.tasks.end(),
                    [&](const task_state_slot& task) { return WantsCopy(task, terms, now); }));
}

// Instances that may still be of use to the step: those allowed and those not asked about yet.
std::vector<job_scheduler::advice_option> job_scheduler::AdviceOptions(const ready_step& ready,
                                                                       const room_left& left,
                                                                       monotonic_time now) const {
  const step_terms& terms = ready.entry->job.steps[ready.index];
  const step_progress& step = ready.occurrence->steps[ready.index];
  resources room = terms.need;
  if (terms.fills) room.cpu_milli = 0;
  std::vector<advice_option> options;
  for (const auto& [id, instance] : instances_) {
    if (!MayRun(*instance, ready, now)) continue;
    const auto asked = step.advice.asked.find(id);
    const bool known = asked != step.advice.asked.end();
    if (known && !asked->second) continue;  // not allowed, for good
    uint32_t most = Wanted(step, terms, now);
    if (terms.most_per_instance > 0) {
      const auto placed = step.placed.find(instance.get());
      const uint32_t here = placed == step.placed.end() ? 0 : placed->second;
      most = std::min(most, terms.most_per_instance - std::min(here, terms.most_per_instance));
    }
    const auto found = left.find(instance.get());
    const resources free = found == left.end() ? instance->Free() : found->second;
    const auto ticket = step.advice.allowed.find(id);
    const bool good = ticket != step.advice.allowed.end() &&
                      ticket->second.expires > now + kTicketMargin &&
                      ticket->second.incarnation == instance->report.incarnation;
    options.push_back({instance.get(), TasksThatFit(free, room, most), known, good});
  }
  // Those that are known to be allowed first, then those with most room.
  std::sort(options.begin(), options.end(), [](const advice_option& a, const advice_option& b) {
    if (a.known != b.known) return a.known;
    if (a.tasks != b.tasks) return a.tasks > b.tasks;
    return a.instance->report.id < b.instance->report.id;
  });
  return options;
}

// Which instances to name: a few allowed ones that have room for all that waits, or, where these do
// not suffice, also those that were never asked about, with room or without: the verdict stays, and
// naming an instance costs far less than another question.
std::vector<std::string> job_scheduler::WorthAsking(const std::vector<advice_option>& options,
                                                    const advice_cost& cost,
                                                    uint32_t wanted) const {
  std::vector<std::string> out;
  uint32_t found = 0;
  bool room_at_unknown = false;
  size_t spare = kSpareInstances;
  for (const advice_option& option : options) {
    room_at_unknown = room_at_unknown || (!option.known && option.tasks > 0);
    if (!option.known || option.tasks == 0) continue;
    if (found >= wanted && (option.ticket_good || spare-- == 0)) break;
    found += option.tasks;
    if (!option.ticket_good) out.push_back(option.instance->report.id);
  }
  if (found >= wanted || !room_at_unknown) return out;
  // As many as cost no more than the question itself.
  const size_t cheap =
      cost.per_instance.count() <= 0
          ? kMostInOneAsk
          : static_cast<size_t>(duration_cast<microseconds>(cost.base) / cost.per_instance);
  const size_t most = std::min(kMostInOneAsk, std::max<size_t>(cheap, wanted));
  for (const advice_option& option : options) {
    if (out.size() >= most) break;
    if (!option.known) out.push_back(option.instance->report.id);
  }
  return out;
}

void job_scheduler::PlanStepAdvice(const ready_step& ready, room_left& left,
                                   scheduler_orders& orders, monotonic_time now) {
  step_progress& step = ready.occurrence->steps[ready.index];
  const step_terms& terms = ready.entry->job.steps[ready.index];
  if (!WithinLimit(*ready.entry, terms.need)) return;
  const std::vector<advice_option> options = AdviceOptions(ready, left, now);
  // Room that this step will use is not asked for by those that come after it: they would hold
  // tickets that are over before they are of use.
  resources room = terms.need;
  if (terms.fills) room.cpu_milli = 0;
  uint32_t wanted = Wanted(step, terms, now);
  for (const advice_option& option : options) {
    if (wanted == 0) break;
    const uint32_t tasks = std::min(wanted, option.tasks);
    if (tasks == 0) continue;
    resources& free = left.try_emplace(option.instance, option.instance->Free()).first->second;
    Take(free, room, tasks);
    wanted -= tasks;
  }
  if (step.advice.in_flight || now < step.advice.next_ask) return;
  const queue_terms* queue =
      version_ == nullptr ? nullptr : version_->QueueNamed(ready.entry->job.queue);
  const advice_cost cost = queue != nullptr && queue->advice ? *queue->advice : advice_cost{};
  advice_order order;
  order.instances = WorthAsking(options, cost, Wanted(step, terms, now));
  if (order.instances.empty()) return;
  order.job = ready.entry->job.id;
  order.occurrence = ready.occurrence->number;
  order.step = ready.index;
  order.expected =
      cost.base +
      duration_cast<milliseconds>(cost.per_instance * static_cast<int64_t>(order.instances.size()));
  order.urgent = order.expected < kCheapAsk;
  step.advice.in_flight = true;
  orders.advice.push_back(std::move(order));
}

// Steps whose turn comes about when an answer would: asked for ahead, they start at once.
std::vector<job_scheduler::ready_step> job_scheduler::NextSteps(monotonic_time now) {
  std::vector<ready_step> out;
  for (job_entry* entry : active_) {
    if (!TermsOf(*entry).needs_advice || entry->job.steps.size() < 2) continue;
    const queue_terms* queue =
        version_ == nullptr ? nullptr : version_->QueueNamed(entry->job.queue);
    if (queue == nullptr || !queue->advice) continue;
    const auto all = static_cast<int64_t>(std::min(instances_.size(), kMostInOneAsk));
    const milliseconds ahead = queue->advice->base +
                               duration_cast<milliseconds>(queue->advice->per_instance * all) +
                               kAheadSlack;
    for (auto& [number, occurrence] : entry->occurrences) {
      for (uint32_t i = 0; i < occurrence->steps.size(); ++i) {
        if (occurrence->steps[i].ready || occurrence->steps[i].advice.in_flight) continue;
        // Asked ahead once: what comes later is seen when its turn has come.
        if (!occurrence->steps[i].advice.asked.empty()) continue;
        if (TurnComesWithin(*entry, *occurrence, i, ahead, now)) {
          out.push_back({entry, occurrence.get(), i});
        }
      }
    }
  }
  return out;
}

bool job_scheduler::TurnComesWithin(const job_entry& entry, const occurrence_state& occurrence,
                                    uint32_t index, milliseconds ahead, monotonic_time now) const {
  for (const uint32_t earlier : entry.job.steps[index].after) {
    const step_progress& step = occurrence.steps[earlier];
    if (step.Done()) continue;
    if (step.waiting > 0) return false;
    const step_terms& terms = entry.job.steps[earlier];
    for (const task_state_slot& task : step.tasks) {
      if (task.phase != slot_phase::kActive || task.run == nullptr) continue;
      const double speed = std::max(kSlowestSpeed, task.run->instance->speed);
      const auto expected =
          milliseconds(static_cast<int64_t>(static_cast<double>(terms.estimate.count()) / speed));
      if (task.run->started + expected > now + ahead) return false;
    }
  }
  return true;
}

void job_scheduler::PlanAdvice(scheduler_orders& orders, monotonic_time now) {
  room_left left;
  std::vector<ready_step> steps = ReadySteps();
  if (steps.size() > kStepsInRound) steps.resize(kStepsInRound);
  for (const ready_step& next : NextSteps(now)) steps.push_back(next);
  for (const ready_step& copies : CopySteps(now)) steps.push_back(copies);
  for (const ready_step& ready : steps) {
    if (!TermsOf(*ready.entry).needs_advice) continue;
    const step_terms& terms = ready.entry->job.steps[ready.index];
    if (!inheritance_settled_ && MustWaitForInheritance(*ready.entry, terms.need)) continue;
    PlanStepAdvice(ready, left, orders, now);
  }
}

void job_scheduler::OnAdvice(const advice_order& order, const advice_answer& answer,
                             monotonic_time now) {
  const auto found = jobs_.find(order.job);
  if (found == jobs_.end()) return;
  job_entry& entry = *found->second;
  step_progress* step = entry.Find({order.job, order.occurrence, order.step, 0});
  if (step == nullptr) return;
  step->advice.in_flight = false;
  if (!answer.answered) {
    const uint32_t doublings = std::min(step->advice.refused_asks++, kLongestDoubling);
    step->advice.next_ask = now + kAskAgainPause * (1 << doublings);
    return;
  }
  step->advice.refused_asks = 0;
  const queue_terms* queue = version_ == nullptr ? nullptr : version_->QueueNamed(entry.job.queue);
  milliseconds valid = answer.valid;
  if (valid.count() == 0) {
    valid = queue != nullptr && queue->advice ? queue->advice->valid : kDefaultValid;
  }
  for (const std::string& id : order.instances) step->advice.asked[id] = false;
  for (const auto& [id, ticket] : answer.allowed) {
    step->advice.asked[id] = true;
    const auto instance = instances_.find(id);
    if (instance == instances_.end()) continue;
    step->advice.allowed[id] = {ticket, instance->second->report.incarnation, now + valid};
  }
  Note(scheduler_note::kind::kAdvice, order.job,
       absl::StrCat("step=", order.occurrence, ".", order.step, " asked=", order.instances.size(),
                    " allowed=", answer.allowed.size(), " waiting=", step->waiting));
}

}  // namespace catkinford
