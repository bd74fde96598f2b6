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

constexpr size_t kMostInOneAsk = 100;        // the policy's service takes no more
constexpr size_t kSpareInstances = 1;        // asked for beyond the need, as room may go meanwhile
constexpr milliseconds kAskAgainPause{100};  // after an ask without a verdict; doubles
constexpr uint32_t kLongestDoubling = 4;
// Asks cheaper than this go before others.
constexpr milliseconds kCheapAsk{150};
constexpr milliseconds kDefaultValid{2000};
// A step whose turn comes within the time of an ask and this much more is asked for ahead.
constexpr milliseconds kAheadSlack{150};
// Steps of one service that a round looks at, the most urgent first: each costs a look at all its
// instances, and those far behind have no chance of room.
constexpr size_t kStepsInLine = 64;
constexpr double kSlowestSpeed = 0.1;  // below this a learned speed says nothing

uint32_t TasksThatFit(const resources& free, const resources& room, uint32_t most) {
  uint32_t tasks = most;
  if (room.cpu_milli > 0) tasks = std::min(tasks, free.cpu_milli / room.cpu_milli);
  if (room.memory_mb > 0) tasks = std::min(tasks, free.memory_mb / room.memory_mb);
  if (room.accelerators > 0) tasks = std::min(tasks, free.accelerators / room.accelerators);
  return tasks;
}

resources RoomOf(const step_spec& terms) {
  resources room = terms.need;
  if (terms.fills) room.cpu_milli = 0;
  return room;
}

void Take(resources& from, const resources& room, uint32_t tasks) {
  from.cpu_milli -= std::min(from.cpu_milli, room.cpu_milli * tasks);
  from.memory_mb -= std::min(from.memory_mb, room.memory_mb * tasks);
  from.accelerators -= std::min(from.accelerators, room.accelerators * tasks);
}

}  // namespace

// Tasks of the step that need an instance: those that wait, or copies of those that are overdue.
uint32_t job_scheduler::Wanted(const ready_step& ready, monotonic_time now) const {
  const step_progress& step = ready.occurrence->steps[ready.index];
  const step_spec& terms = ready.entry->job.steps[ready.index];
  if (step.waiting > 0 || !terms.speculative) return step.waiting;
  const milliseconds expected = ExpectedRun(*ready.entry, step, ready.index);
  return static_cast<uint32_t>(std::count_if(
      step.tasks.begin(), step.tasks.end(),
      [&](const task_state_slot& task) { return WantsCopy(task, terms, expected, now); }));
}

job_scheduler::advice_round job_scheduler::BeginAdvice(monotonic_time now) const {
  advice_round round;
  round.place.resize(last_ordinal_ + 1);
  for (const auto& [id, instance] : instances_) {
    if (MayGetWork(*instance, now)) round.rooms.push_back({instance.get(), instance->Free()});
  }
  std::stable_sort(round.rooms.begin(), round.rooms.end(),
                   [](const advice_room& a, const advice_room& b) {
                     return a.left.cpu_milli > b.left.cpu_milli;
                   });
  for (size_t i = 0; i < round.rooms.size(); ++i) {
    round.place[round.rooms[i].instance->ordinal] = static_cast<uint32_t>(i + 1);
  }
  return round;
}

// How many tasks of the step the instance may hold beside those that are there.
uint32_t job_scheduler::MostThere(const ready_step& ready, const fleet_instance& instance,
                                  uint32_t wanted) const {
  const uint32_t limit = ready.entry->job.steps[ready.index].max_per_instance;
  if (limit == 0) return wanted;
  const step_progress& step = ready.occurrence->steps[ready.index];
  const auto placed = step.placed.find(&instance);
  const uint32_t here = placed == step.placed.end() ? 0 : placed->second;
  return std::min(wanted, limit - std::min(here, limit));
}

// Instances that are known to be allowed, those with most room first.
std::vector<job_scheduler::advice_option> job_scheduler::KnownOptions(const ready_step& ready,
                                                                      advice_round& round,
                                                                      uint32_t wanted,
                                                                      monotonic_time now) const {
  const resources room = RoomOf(ready.entry->job.steps[ready.index]);
  std::vector<advice_option> options;
  for (const advice_verdict& verdict : ready.occurrence->steps[ready.index].advice.verdicts) {
    if (!verdict.allowed) continue;  // for good
    const uint32_t place = round.place[verdict.instance];
    if (place == 0) continue;
    advice_room& there = round.rooms[place - 1];
    if (!MayRun(*there.instance, ready, now)) continue;
    const uint32_t most = MostThere(ready, *there.instance, wanted);
    const bool good = verdict.expires > now + kTicketMargin &&
                      verdict.incarnation == there.instance->report.incarnation;
    options.push_back({&there, TasksThatFit(there.left, room, most), good});
  }
  std::sort(options.begin(), options.end(), [](const advice_option& a, const advice_option& b) {
    if (a.tasks != b.tasks) return a.tasks > b.tasks;
    return a.room->instance->ordinal < b.room->instance->ordinal;
  });
  return options;
}

// Which instances to name: a few allowed ones that have room for all that waits, or, where these do
// not suffice, also those that were never asked about, with room or without: the verdict stays, and
// naming an instance costs far less than another question.
std::vector<std::string> job_scheduler::WorthAsking(const ready_step& ready,
                                                    const advice_round& round,
                                                    const std::vector<advice_option>& known,
                                                    uint32_t wanted,
                                                    const advice_timing& cost) const {
  std::vector<std::string> out;
  uint32_t found = 0;
  size_t spare = kSpareInstances;
  for (const advice_option& option : known) {
    if (option.tasks == 0) break;
    if (found >= wanted && (option.ticket_good || spare-- == 0)) break;
    found += option.tasks;
    if (!option.ticket_good) out.push_back(option.room->instance->report.id);
  }
  if (found >= wanted) return out;
  // As many as cost no more than the question itself.
  const size_t cheap =
      cost.per_instance.count() <= 0
          ? kMostInOneAsk
          : static_cast<size_t>(duration_cast<microseconds>(cost.base) / cost.per_instance);
  const size_t most = std::min(kMostInOneAsk, std::max<size_t>(cheap, wanted));
  const step_advice& advice = ready.occurrence->steps[ready.index].advice;
  const resources room = RoomOf(ready.entry->job.steps[ready.index]);
  const size_t of_known = out.size();
  bool room_at_unknown = false;
  for (const advice_room& there : round.rooms) {
    if (out.size() >= most) break;
    if (there.instance->service != ready.entry->service) continue;
    if (advice.Of(there.instance->ordinal) != nullptr) continue;
    if (!HasLabel(*there.instance, ready)) continue;
    room_at_unknown = room_at_unknown || TasksThatFit(there.left, room, 1) > 0;
    out.push_back(there.instance->report.id);
  }
  if (!room_at_unknown) out.resize(of_known);
  return out;
}

// A ticket that is asked for only when the room is there comes too late: another's work takes it
// meanwhile.
void job_scheduler::AddHeld(const ready_step& ready, const advice_timing& cost, advice_order& order,
                            monotonic_time now) const {
  const step_progress& step = ready.occurrence->steps[ready.index];
  if (step.held_in != round_) return;
  const milliseconds ahead =
      cost.base + duration_cast<milliseconds>(cost.per_instance) + kAheadSlack;
  for (const held_room& held : step.held) {
    if (held.from > now + ahead) continue;
    const advice_verdict* verdict = step.advice.Of(held.instance);
    const auto found = by_ordinal_.find(held.instance);
    if (verdict == nullptr || found == by_ordinal_.end()) continue;
    if (verdict->expires > held.from + kTicketMargin) continue;
    const std::string& id = found->second->report.id;
    const bool named =
        std::find(order.instances.begin(), order.instances.end(), id) != order.instances.end();
    if (!named && order.instances.size() < kMostInOneAsk) order.instances.push_back(id);
  }
}

void job_scheduler::PlanStepAdvice(const ready_step& ready, advice_round& round,
                                   scheduler_orders& orders, monotonic_time now) {
  step_progress& step = ready.occurrence->steps[ready.index];
  const step_spec& terms = ready.entry->job.steps[ready.index];
  if (!WithinLimit(*ready.entry, terms.need)) return;
  const uint32_t wanted = Wanted(ready, now);
  const std::vector<advice_option> known = KnownOptions(ready, round, wanted, now);
  const queue_config* queue = ready.entry->queue;
  const advice_timing cost = queue != nullptr && queue->advice ? *queue->advice : advice_timing{};
  advice_order order;
  if (!step.advice.in_flight && now >= step.advice.next_ask) {
    order.instances = WorthAsking(ready, round, known, wanted, cost);
    AddHeld(ready, cost, order, now);
  }
  SpeakFor(ready, round, known, wanted);
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

// Room that this step will use is not asked for by those that come after it: they would hold
// tickets that are over before they are of use.
void job_scheduler::SpeakFor(const ready_step& ready, advice_round& round,
                             const std::vector<advice_option>& known, uint32_t wanted) const {
  const resources room = RoomOf(ready.entry->job.steps[ready.index]);
  const step_advice& advice = ready.occurrence->steps[ready.index].advice;
  for (const advice_option& option : known) {
    const uint32_t tasks = std::min(wanted, option.tasks);
    if (tasks == 0) break;
    Take(option.room->left, room, tasks);
    wanted -= tasks;
  }
  for (advice_room& there : round.rooms) {
    if (wanted == 0) return;
    if (there.instance->service != ready.entry->service) continue;
    const uint32_t most = MostThere(ready, *there.instance, wanted);
    const uint32_t tasks = TasksThatFit(there.left, room, most);
    if (tasks == 0 || advice.Of(there.instance->ordinal) != nullptr) continue;
    if (!HasLabel(*there.instance, ready)) continue;
    Take(there.left, room, tasks);
    wanted -= tasks;
  }
}

// Steps whose turn comes about when an answer would: asked for ahead, they start at once.
std::vector<job_scheduler::ready_step> job_scheduler::NextSteps(monotonic_time now) {
  std::vector<ready_step> out;
  for (job_entry* entry : active_) {
    if (!TermsOf(*entry).needs_advice || entry->job.steps.size() < 2) continue;
    const queue_config* queue = entry->queue;
    if (queue == nullptr || !queue->advice) continue;
    const auto all = static_cast<int64_t>(std::min(instances_.size(), kMostInOneAsk));
    const milliseconds ahead = queue->advice->base +
                               duration_cast<milliseconds>(queue->advice->per_instance * all) +
                               kAheadSlack;
    for (auto& [number, occurrence] : entry->occurrences) {
      for (uint32_t i = 0; i < occurrence->steps.size(); ++i) {
        if (occurrence->steps[i].ready || occurrence->steps[i].advice.in_flight) continue;
        // Asked ahead once: what comes later is seen when its turn has come.
        if (!occurrence->steps[i].advice.verdicts.empty()) continue;
        if (TurnComesWithin(*entry, *occurrence, i, ahead, now)) {
          out.push_back({entry, occurrence.get(), i, {}});
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
    const auto takes = static_cast<double>(ExpectedRun(entry, step, earlier).count());
    for (const task_state_slot& task : step.tasks) {
      if (task.phase != slot_phase::kActive || task.run == nullptr) continue;
      const double speed = std::max(kSlowestSpeed, task.run->instance->speed);
      const auto expected = milliseconds(static_cast<int64_t>(takes / speed));
      if (task.run->started + expected > now + ahead) return false;
    }
  }
  return true;
}

// The steps that wait for an instance, a bounded number for each service. A step that no instance
// could take however empty the floor is keeps no place: its workspace is at its limit, or no
// instance of its service is large enough. With one line for all, jobs of a full service or of a
// workspace at its limit would fill it, and nothing behind them would ever be asked for.
std::vector<job_scheduler::ready_step> job_scheduler::FrontOfLines(
    const std::vector<ready_step>& ready_steps) const {
  std::vector<ready_step> out;
  std::vector<size_t> taken(services_.size() + 1);
  for (const ready_step& ready : ready_steps) {
    const job_entry& entry = *ready.entry;
    const step_spec& terms = entry.job.steps[ready.index];
    if (ready.occurrence->steps[ready.index].waiting == 0) continue;
    if (!TermsOf(entry).needs_advice || taken[entry.service] >= kStepsInLine) continue;
    if (!WithinLimit(entry, terms.need) || !AnyCouldHold(TermsOf(entry).service, terms)) continue;
    ++taken[entry.service];
    out.push_back(ready);
  }
  return out;
}

void job_scheduler::PlanAdvice(const std::vector<ready_step>& ready_steps, scheduler_orders& orders,
                               monotonic_time now) {
  advice_round round = BeginAdvice(now);
  std::vector<ready_step> steps = FrontOfLines(ready_steps);
  for (const ready_step& next : NextSteps(now)) steps.push_back(next);
  for (const ready_step& copies : CopySteps(now)) steps.push_back(copies);
  for (const ready_step& ready : steps) {
    if (!TermsOf(*ready.entry).needs_advice) continue;
    const step_spec& terms = ready.entry->job.steps[ready.index];
    if (!inheritance_settled_ && MustWaitForInheritance(*ready.entry, terms.need)) continue;
    PlanStepAdvice(ready, round, orders, now);
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
  const queue_config* queue = entry.queue;
  milliseconds valid = answer.valid;
  if (valid.count() == 0) {
    valid = queue != nullptr && queue->advice ? queue->advice->valid : kDefaultValid;
  }
  for (const std::string& id : order.instances) {
    const auto instance = instances_.find(id);
    if (instance != instances_.end()) step->advice.Make(instance->second->ordinal).allowed = false;
  }
  for (const auto& [id, ticket] : answer.allowed) {
    const auto found_instance = instances_.find(id);
    if (found_instance == instances_.end()) continue;
    const fleet_instance& instance = *found_instance->second;
    advice_verdict& verdict = step->advice.Make(instance.ordinal);
    verdict.allowed = true;
    verdict.ticket = ticket;
    verdict.incarnation = instance.report.incarnation;
    verdict.expires = now + valid;
  }
  Note(scheduler_note::kind::kAdvice, order.job,
       absl::StrCat("step=", order.occurrence, ".", order.step, " asked=", order.instances.size(),
                    " allowed=", answer.allowed.size(), " waiting=", step->waiting));
}

}  // namespace catkinford
