// Advice: a queue's policy says which instances may run a step. Asking costs time for each instance
// named, a ticket is good for a short time, and the verdict itself never changes.
#include <algorithm>
#include <cmath>

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
constexpr double kFirstAllowedShare = 0.5;   // before anything was learned
constexpr double kShareKeep = 0.9;           // weight of the past in the learned share
constexpr size_t kSpareInstances = 2;        // asked for beyond the need
constexpr milliseconds kAskAgainPause{100};  // after an ask without a verdict; doubles
constexpr uint32_t kLongestDoubling = 4;
// Asks cheaper than this go before others.
constexpr milliseconds kCheapAsk{150};
constexpr milliseconds kDefaultValid{2000};

}  // namespace

std::vector<std::string> job_scheduler::WorthAsking(const ready_step& ready,
                                                    monotonic_time now) const {
  const step_terms& terms = ready.entry->job.steps[ready.index];
  const step_progress& step = ready.occurrence->steps[ready.index];
  resources room = terms.need;
  if (terms.fills) room.cpu_milli = 0;
  struct option {
    const fleet_instance* instance;
    uint32_t tasks;  // that it could take now
    bool known;      // allowed, with a ticket that is over
  };
  std::vector<option> options;
  double usable = 0;  // tasks that instances with a good ticket can take
  for (const auto& [id, instance] : instances_) {
    if (!MayRun(*instance, ready, now) || !instance->Fits(room)) continue;
    const resources free = instance->Free();
    uint32_t tasks = terms.count;
    if (room.cpu_milli > 0) tasks = std::min(tasks, free.cpu_milli / room.cpu_milli);
    if (room.memory_mb > 0) tasks = std::min(tasks, free.memory_mb / room.memory_mb);
    if (terms.most_per_instance > 0) {
      const auto placed = step.placed.find(instance.get());
      const uint32_t here = placed == step.placed.end() ? 0 : placed->second;
      if (here >= terms.most_per_instance) continue;
      tasks = std::min(tasks, terms.most_per_instance - here);
    }
    if (tasks == 0) continue;
    const auto asked = step.advice.asked.find(id);
    if (asked != step.advice.asked.end() && !asked->second) continue;  // not allowed, for good
    const auto ticket = step.advice.allowed.find(id);
    const bool good = ticket != step.advice.allowed.end() &&
                      ticket->second.expires > now + kTicketMargin &&
                      ticket->second.incarnation == instance->report.incarnation;
    if (good) {
      usable += tasks;
      continue;
    }
    options.push_back({instance.get(), tasks, asked != step.advice.asked.end()});
  }
  std::vector<std::string> out;
  double wanted = static_cast<double>(step.waiting) - usable;
  if (wanted <= 0) return out;
  // Those that are known to be allowed first, then those with most room.
  std::sort(options.begin(), options.end(), [](const option& a, const option& b) {
    if (a.known != b.known) return a.known;
    if (a.tasks != b.tasks) return a.tasks > b.tasks;
    return a.instance->report.id < b.instance->report.id;
  });
  const auto learned = allowed_share_.find(ready.entry->job.queue);
  const double share = learned == allowed_share_.end() ? kFirstAllowedShare : learned->second;
  size_t spare = kSpareInstances;
  for (const option& each : options) {
    if (out.size() >= kMostInOneAsk) break;
    if (wanted <= 0 && spare-- == 0) break;
    out.push_back(each.instance->report.id);
    wanted -= each.tasks * (each.known ? 1.0 : share);
  }
  return out;
}

void job_scheduler::PlanStepAdvice(const ready_step& ready, scheduler_orders& orders,
                                   monotonic_time now) {
  step_progress& step = ready.occurrence->steps[ready.index];
  if (step.advice.in_flight || now < step.advice.next_ask) return;
  const queue_terms* queue =
      version_ == nullptr ? nullptr : version_->QueueNamed(ready.entry->job.queue);
  advice_order order;
  order.instances = WorthAsking(ready, now);
  if (order.instances.empty()) return;
  order.job = ready.entry->job.id;
  order.occurrence = ready.occurrence->number;
  order.step = ready.index;
  if (queue != nullptr && queue->advice) {
    order.expected = queue->advice->base +
                     duration_cast<milliseconds>(queue->advice->per_instance *
                                                 static_cast<int64_t>(order.instances.size()));
  }
  order.urgent = order.expected < kCheapAsk;
  step.advice.in_flight = true;
  orders.advice.push_back(std::move(order));
}

void job_scheduler::PlanAdvice(scheduler_orders& orders, monotonic_time now) {
  for (const ready_step& ready : ReadySteps()) {
    if (!TermsOf(*ready.entry).needs_advice) continue;
    if (ready.entry->inherited && !inheritance_settled_) continue;
    PlanStepAdvice(ready, orders, now);
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
  const double share = static_cast<double>(answer.allowed.size()) /
                       static_cast<double>(std::max<size_t>(1, order.instances.size()));
  const auto learned = allowed_share_.try_emplace(entry.job.queue, share).first;
  learned->second = kShareKeep * learned->second + (1 - kShareKeep) * share;
  Note(scheduler_note::kind::kAdvice, order.job,
       absl::StrCat("step=", order.occurrence, ".", order.step, " asked=", order.instances.size(),
                    " allowed=", answer.allowed.size(), " waiting=", step->waiting));
}

}  // namespace catkinford
