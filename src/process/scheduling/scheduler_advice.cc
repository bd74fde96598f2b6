// Policy queries: a queue's policy decides which instances may run a step. A query takes time for
// each instance named, a ticket is valid for a short time, and a verdict never changes.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"
#include "process/scheduling/task_fit.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr size_t kMaxInstancesPerQuery = 100;  // the limit of the policy's service
constexpr size_t kSpareInstances = 1;  // beyond the need, as capacity may be taken meanwhile
constexpr milliseconds kQueryRetryDelay{100};  // after a query without a verdict; doubles
constexpr uint32_t kMaxDoublings = 4;
// Queries cheaper than this are sent before others.
constexpr milliseconds kCheapQuery{150};
constexpr milliseconds kDefaultValid{2000};
// A step is queried ahead if it will be ready within the duration of a query plus this.
constexpr milliseconds kLookaheadSlack{150};
// Limit on the first steps of one service per round, since each step scans all its instances. Of
// those further back, which may fit where the first ones do not, each is queried in one round of so
// many.
constexpr size_t kMaxStepsPerService = 64;
constexpr size_t kTurnsOfOthers = 4;
// How long free capacity counts as current when a waiting query is adapted.
constexpr milliseconds kRoundUsable{50};

void Claim(resources& from, const resources& capacity, uint32_t tasks) {
  from.cpu_milli -= std::min(from.cpu_milli, capacity.cpu_milli * tasks);
  from.memory_mb -= std::min(from.memory_mb, capacity.memory_mb * tasks);
  from.accelerators -= std::min(from.accelerators, capacity.accelerators * tasks);
}

advice_timing AdviceTimingOf(const job_entry& entry) {
  const queue_config* queue = entry.queue;
  return queue != nullptr && queue->advice ? *queue->advice : advice_timing{};
}

void SetExpected(advice_query& query, const advice_timing& cost) {
  const auto count = static_cast<int64_t>(query.instances.size());
  query.expected = cost.base + duration_cast<milliseconds>(cost.per_instance * count);
  query.urgent = query.expected < kCheapQuery;
}

// Visits the capacities, which are sorted by free processors, until `visit` returns false: first
// those with the processors and of a speed that suits the step.
template <typename Capacities, typename Visit>
void InPreferredOrder(Capacities& capacities, const resources& demand, const speed_need& need,
                      const instance_speeds& speeds, Visit visit) {
  if (need.what == speed_need::kind::kNone) {
    for (auto& each : capacities) {
      if (!visit(each)) return;
    }
    return;
  }
  for (const bool first : {true, false}) {
    for (auto& each : capacities) {
      const bool has_processors = each.free_cpu_milli >= demand.cpu_milli;
      if (first && !has_processors) break;
      if ((has_processors && Suits(need, speeds.Slowness(each.ordinal))) != first) continue;
      if (!visit(each)) return;
    }
  }
}

// Unless it is named already or the query is full.
void AddInstance(advice_query& query, std::string id) {
  std::vector<std::string>& named = query.instances;
  if (named.size() >= kMaxInstancesPerQuery) return;
  if (std::find(named.begin(), named.end(), id) == named.end()) named.push_back(std::move(id));
}

}  // namespace

// Number of the step's tasks that need an instance: waiting tasks, or copies of overdue ones.
uint32_t job_scheduler::TasksToPlace(const ready_step& ready, monotonic_time now) const {
  const step_progress& step = ready.occurrence->steps[ready.index];
  return step.waiting > 0 ? step.waiting : CopiesWanted(ready, now);
}

job_scheduler::advice_round job_scheduler::BeginAdvice(monotonic_time now) const {
  std::vector<const fleet_instance*> accepting;
  std::vector<uint64_t> order;  // free processors, inverted, then the position
  for (const auto& [id, instance] : instances_) {
    if (!AcceptsWork(*instance, now)) continue;
    const uint64_t used_up = UINT32_MAX - instance->Free().cpu_milli;
    order.push_back(used_up << 32 | accepting.size());
    accepting.push_back(instance.get());
  }
  std::sort(order.begin(), order.end());
  advice_round round;
  round.rank.resize(last_ordinal_ + 1);
  round.judged_for.resize(last_ordinal_ + 1);
  round.capacities.reserve(order.size());
  for (const uint64_t key : order) {
    const fleet_instance& instance = *accepting[key & UINT32_MAX];
    const resources free = instance.Free();
    round.capacities.push_back(
        {&instance, free, instance.ordinal, instance.service, free.cpu_milli});
    round.rank[instance.ordinal] = static_cast<uint32_t>(round.capacities.size());
  }
  return round;
}

// Queries are refreshed one by one, and to sort all instances for each takes longer than the rest.
job_scheduler::advice_round job_scheduler::LatestAdviceRound(monotonic_time now) {
  if (now - latest_round_at_ > kRoundUsable) {
    latest_round_ = BeginAdvice(now);
    latest_round_at_ = now;
  }
  return latest_round_;
}

// Number of further tasks of the step that the instance may run, by the step's limit per instance.
uint32_t job_scheduler::MaxTasksAt(const ready_step& ready, const fleet_instance& instance,
                                   uint32_t wanted) const {
  const uint32_t limit = ready.entry->job.steps[ready.index].max_per_instance;
  if (limit == 0) return wanted;
  const step_progress& step = ready.occurrence->steps[ready.index];
  const auto placed = step.placed.find(&instance);
  const uint32_t here = placed == step.placed.end() ? 0 : placed->second;
  return std::min(wanted, limit - std::min(here, limit));
}

// Instances that are known to be allowed, those that fit most tasks first.
std::vector<job_scheduler::advice_option> job_scheduler::KnownOptions(const ready_step& ready,
                                                                      advice_round& round,
                                                                      uint32_t wanted,
                                                                      monotonic_time now) const {
  const resources capacity = CapacityOf(ready.entry->job.steps[ready.index]);
  const speed_need speed = SpeedNeedOf(ready, now);
  std::vector<advice_option> options;
  ++round.step;
  for (const advice_verdict& verdict : ready.occurrence->steps[ready.index].advice.verdicts) {
    round.judged_for[verdict.instance] = round.step;
    if (!verdict.allowed) continue;  // final
    const uint32_t rank = round.rank[verdict.instance];
    if (rank == 0) continue;
    unclaimed_capacity& candidate = round.capacities[rank - 1];
    if (candidate.service != ready.entry->service) continue;
    if (!HasLabel(*candidate.instance, ready)) continue;
    const uint32_t most = MaxTasksAt(ready, *candidate.instance, wanted);
    const bool good = verdict.expires > now + kTicketMargin &&
                      verdict.incarnation == candidate.instance->report.incarnation;
    const uint32_t tasks = TasksThatFit(candidate.unclaimed, capacity, most);
    options.push_back(
        {&candidate, tasks, good, tasks > 0 && Suits(speed, speeds_.Slowness(candidate.ordinal))});
  }
  std::sort(options.begin(), options.end(), [](const advice_option& a, const advice_option& b) {
    if (a.preferred != b.preferred) return a.preferred;
    if (a.tasks != b.tasks) return a.tasks > b.tasks;
    return a.capacity->instance->ordinal < b.capacity->instance->ordinal;
  });
  return options;
}

// Selects the instances to query: a few allowed ones with capacity for all waiting tasks or, if
// these do not suffice, also instances that were never queried, whether or not they have capacity:
// a verdict is permanent, and naming an instance costs far less than another query.
std::vector<std::string> job_scheduler::InstancesToQuery(const ready_step& ready,
                                                         const advice_round& round,
                                                         const std::vector<advice_option>& known,
                                                         uint32_t wanted, const advice_timing& cost,
                                                         monotonic_time now) const {
  std::vector<std::string> out;
  uint32_t found = 0;
  size_t spare = kSpareInstances;
  for (const advice_option& option : known) {
    if (option.tasks == 0) continue;
    if (found >= wanted && (option.ticket_good || spare-- == 0)) break;
    found += option.tasks;
    if (!option.ticket_good) out.push_back(option.capacity->instance->report.id);
  }
  if (found >= wanted && (known.empty() || known.front().preferred)) return out;
  // As many as cost no more than the query itself.
  const size_t cheap =
      cost.per_instance.count() <= 0
          ? kMaxInstancesPerQuery
          : static_cast<size_t>(duration_cast<microseconds>(cost.base) / cost.per_instance);
  const size_t most = std::min(kMaxInstancesPerQuery, std::max<size_t>(cheap, wanted));
  const resources capacity = CapacityOf(ready.entry->job.steps[ready.index]);
  std::vector<const fleet_instance*> unknown;
  bool free_at_unknown = false;
  const auto consider = [&](const unclaimed_capacity& candidate) {
    const bool full = out.size() + unknown.size() >= most;
    if (full && (free_at_unknown || unknown.empty())) return false;
    // Nor has any later one the processors.
    if (!free_at_unknown && candidate.free_cpu_milli < capacity.cpu_milli) return false;
    if (candidate.service != ready.entry->service || round.Judged(candidate.ordinal)) return true;
    if (!HasLabel(*candidate.instance, ready)) return true;
    const bool fits = Covers(candidate.unclaimed, capacity);
    if (full && !fits) return true;
    // Instances that lack another resource must not take all places of the query.
    if (full) unknown.pop_back();
    free_at_unknown = free_at_unknown || fits;
    unknown.push_back(candidate.instance);
    return true;
  };
  InPreferredOrder(round.capacities, capacity, SpeedNeedOf(ready, now), speeds_, consider);
  if (!free_at_unknown) return out;
  for (const fleet_instance* instance : unknown) out.push_back(instance->report.id);
  return out;
}

// A ticket that is requested only when the capacity is free arrives too late: another task takes it
// meanwhile.
void job_scheduler::AddReserved(const ready_step& ready, const advice_timing& cost,
                                advice_query& request, monotonic_time now) const {
  const step_progress& step = ready.occurrence->steps[ready.index];
  if (step.reserved_round != round_) return;
  const milliseconds ahead =
      cost.base + duration_cast<milliseconds>(cost.per_instance) + kLookaheadSlack;
  for (const capacity_reservation& reserved : step.reserved) {
    if (reserved.from > now + ahead) continue;
    const advice_verdict* verdict = step.advice.FindVerdict(reserved.instance);
    const fleet_instance* instance = InstanceAt(reserved.instance);
    if (verdict == nullptr || instance == nullptr) continue;
    if (verdict->expires > reserved.from + kTicketMargin) continue;
    AddInstance(request, instance->report.id);
  }
}

void job_scheduler::PlanStepAdvice(const ready_step& ready, advice_round& round,
                                   scheduler_commands& commands, monotonic_time now) {
  step_progress& step = ready.occurrence->steps[ready.index];
  if (!WithinLimit(*ready.entry, NeedAtOnce(ready.entry->job.steps[ready.index]))) return;
  const uint32_t wanted = TasksToPlace(ready, now);
  const std::vector<advice_option> known = KnownOptions(ready, round, wanted, now);
  const advice_timing cost = AdviceTimingOf(*ready.entry);
  advice_query request;
  if (!step.advice.in_flight && now >= step.advice.next_query) {
    request.instances = InstancesToQuery(ready, round, known, wanted, cost, now);
    AddReserved(ready, cost, request, now);
  }
  ClaimCapacity(ready, round, known, wanted, now);
  if (request.instances.empty()) return;
  request.job = ready.entry->job.id;
  request.occurrence = ready.occurrence->number;
  request.step = ready.index;
  SetExpected(request, cost);
  step.advice.in_flight = true;
  commands.advice.push_back(std::move(request));
}

// Capacity that this step will use is not queried for by later steps: their tickets would expire
// before they could be used.
void job_scheduler::ClaimCapacity(const ready_step& ready, advice_round& round,
                                  const std::vector<advice_option>& known, uint32_t wanted,
                                  monotonic_time now) const {
  const step_spec& terms = ready.entry->job.steps[ready.index];
  const resources capacity = CapacityOf(terms);
  struct claim_of {
    resources* from;
    uint32_t tasks;
  };
  std::vector<claim_of> claims;
  for (const advice_option& option : known) {
    const uint32_t tasks = std::min(wanted, option.tasks);
    if (wanted == 0) break;
    claims.push_back({&option.capacity->unclaimed, tasks});
    wanted -= tasks;
  }
  const auto claim = [&](unclaimed_capacity& candidate) {
    // Nor has any later one the processors.
    if (wanted == 0 || candidate.free_cpu_milli < capacity.cpu_milli) return false;
    if (!Covers(candidate.unclaimed, capacity)) return true;
    if (candidate.service != ready.entry->service || round.Judged(candidate.ordinal)) return true;
    if (!HasLabel(*candidate.instance, ready)) return true;
    const uint32_t most = MaxTasksAt(ready, *candidate.instance, wanted);
    const uint32_t tasks = TasksThatFit(candidate.unclaimed, capacity, most);
    claims.push_back({&candidate.unclaimed, tasks});
    wanted -= tasks;
    return true;
  };
  InPreferredOrder(round.capacities, capacity, SpeedNeedOf(ready, now), speeds_, claim);
  // A gang that does not start now uses none of it.
  if (terms.gang && wanted > 0) return;
  for (const claim_of& each : claims) Claim(*each.from, capacity, each.tasks);
}

// Steps that will become ready at about the time an answer would arrive: queried ahead, they start
// at once.
std::vector<ready_step> job_scheduler::UpcomingSteps(monotonic_time now) {
  std::vector<ready_step> out;
  for (const auto& [arrival, entry] : running_) {
    if (!TermsOf(*entry).needs_advice || entry->job.steps.size() < 2) continue;
    const queue_config* queue = entry->queue;
    if (queue == nullptr || !queue->advice) continue;
    const auto all = static_cast<int64_t>(std::min(instances_.size(), kMaxInstancesPerQuery));
    const milliseconds ahead = queue->advice->base +
                               duration_cast<milliseconds>(queue->advice->per_instance * all) +
                               kLookaheadSlack;
    for (auto& [number, occurrence] : entry->occurrences) {
      for (uint32_t i = 0; i < occurrence->steps.size(); ++i) {
        ++steps_seen_;
        if (occurrence->steps[i].ready || occurrence->steps[i].advice.in_flight) continue;
        // Queried ahead only once: instances that join later are queried when the step is ready.
        if (!occurrence->steps[i].advice.verdicts.empty()) continue;
        if (ReadyWithin(*entry, *occurrence, i, ahead, now)) {
          out.push_back({entry, occurrence.get(), i});
        }
      }
    }
  }
  return out;
}

bool job_scheduler::ReadyWithin(const job_entry& entry, const occurrence_state& occurrence,
                                uint32_t index, milliseconds ahead, monotonic_time now) const {
  for (const uint32_t earlier : entry.job.steps[index].after) {
    const step_progress& step = occurrence.steps[earlier];
    if (step.Done()) continue;
    if (step.waiting > 0) return false;
    for (const graph_task_state& task : step.tasks) {
      if (task.phase != graph_task_phase::kActive || task.run == nullptr) continue;
      const milliseconds expected = ExpectedRunOn(*task.run->instance, entry, step, earlier);
      if (task.run->started + expected > now + ahead) return false;
    }
  }
  return true;
}

// Steps that wait for an instance: of each service the first ones, and the others in turn. Those
// whose workspace is at its limit do not count: they would take all places.
std::vector<ready_step> job_scheduler::StepsToQuery(
    const std::vector<ready_step>& ready_steps) const {
  std::vector<ready_step> out;
  std::vector<size_t> taken(services_.size() + 1);
  for (const ready_step& ready : ready_steps) {
    const job_entry& entry = *ready.entry;
    if (ready.occurrence->steps[ready.index].waiting == 0) continue;
    if (!TermsOf(entry).needs_advice) continue;
    if (!WithinLimit(entry, NeedAtOnce(entry.job.steps[ready.index]))) continue;
    const size_t place = ready.in_turn ? 0 : taken[entry.service]++;
    if (place >= kMaxStepsPerService && (place + round_) % kTurnsOfOthers != 0) continue;
    out.push_back(ready);
  }
  return out;
}

void job_scheduler::PlanAdvice(const std::vector<ready_step>& ready_steps,
                               scheduler_commands& commands, monotonic_time now) {
  std::vector<ready_step> steps = StepsToQuery(ready_steps);
  for (const ready_step& next : UpcomingSteps(now)) steps.push_back(next);
  for (const ready_step& copies : CopySteps(now)) steps.push_back(copies);
  if (steps.empty()) return;
  advice_round round = BeginAdvice(now);
  latest_round_ = round;
  latest_round_at_ = now;
  for (const ready_step& ready : steps) {
    if (!TermsOf(*ready.entry).needs_advice) continue;
    const step_spec& terms = ready.entry->job.steps[ready.index];
    if (!inheritance_settled_ && MustWaitForInheritance(*ready.entry, terms.need)) continue;
    PlanStepAdvice(ready, round, commands, now);
  }
}

// Instances that were named before stay named while they have no ticket: another step's claim on
// their capacity may be gone by the time of the answer.
bool job_scheduler::RefreshQuery(advice_query& query, monotonic_time now) {
  const auto found = jobs_.find(query.job);
  if (found == jobs_.end()) return false;
  job_entry& entry = *found->second;
  const auto occurrence = entry.occurrences.find(query.occurrence);
  if (occurrence == entry.occurrences.end() || query.step >= entry.job.steps.size()) return false;
  const ready_step ready{&entry, occurrence->second.get(), query.step};
  step_advice& advice = ready.occurrence->steps[query.step].advice;
  const uint32_t wanted = IsFinal(entry.phase) ? 0 : TasksToPlace(ready, now);
  if (wanted == 0 || !WithinLimit(entry, entry.job.steps[query.step].need)) {
    advice.in_flight = false;
    return false;
  }
  advice_round round = LatestAdviceRound(now);
  const std::vector<advice_option> known = KnownOptions(ready, round, wanted, now);
  const advice_timing cost = AdviceTimingOf(entry);
  std::vector<std::string> earlier = std::move(query.instances);
  query.instances = InstancesToQuery(ready, round, known, wanted, cost, now);
  AddReserved(ready, cost, query, now);
  for (std::string& id : earlier) {
    const auto instance = by_id_.find(id);
    if (instance == by_id_.end() || !MayRun(*instance->second, ready, now)) continue;
    const advice_verdict* verdict = advice.FindVerdict(instance->second->ordinal);
    if (verdict != nullptr && (!verdict->allowed || verdict->expires > now + kTicketMargin))
      continue;
    AddInstance(query, std::move(id));
  }
  if (query.instances.empty()) {
    advice.in_flight = false;
    return false;
  }
  SetExpected(query, cost);
  return true;
}

void job_scheduler::OnAdvice(const advice_query& request, const advice_answer& answer,
                             monotonic_time now) {
  const auto found = jobs_.find(request.job);
  if (found == jobs_.end()) return;
  job_entry& entry = *found->second;
  step_progress* step = entry.Find({request.job, request.occurrence, request.step, 0});
  if (step == nullptr) return;
  step->advice.in_flight = false;
  if (!answer.answered) {
    const uint32_t doublings = std::min(step->advice.failed_queries++, kMaxDoublings);
    step->advice.next_query = now + kQueryRetryDelay * (1 << doublings);
    return;
  }
  step->advice.failed_queries = 0;
  const queue_config* queue = entry.queue;
  milliseconds valid = answer.valid;
  if (valid.count() == 0) {
    valid = queue != nullptr && queue->advice ? queue->advice->valid : kDefaultValid;
  }
  std::vector<advice_verdict> verdicts;
  verdicts.reserve(request.instances.size());
  for (const std::string& id : request.instances) {
    const auto instance = by_id_.find(id);
    if (instance == by_id_.end()) continue;
    verdicts.emplace_back();
    verdicts.back().instance = instance->second->ordinal;
  }
  step->advice.Apply(std::move(verdicts));
  for (const auto& [id, ticket] : answer.allowed) {
    const auto found_instance = by_id_.find(id);
    if (found_instance == by_id_.end()) continue;
    const fleet_instance& instance = *found_instance->second;
    advice_verdict& verdict = step->advice.MakeVerdict(instance.ordinal);
    verdict.allowed = true;
    if (step->advice.first_allowed == monotonic_time{}) step->advice.first_allowed = now;
    verdict.ticket = ticket;
    verdict.incarnation = instance.report.incarnation;
    verdict.expires = now + valid;
  }
  LogDetail(scheduler_event::kind::kAdvice, [&] {
    return std::pair(request.job, absl::StrCat("step=", request.occurrence, ".", request.step,
                                               " asked=", request.instances.size(), " allowed=",
                                               answer.allowed.size(), " waiting=", step->waiting));
  });
}

}  // namespace catkinford
