// Instances: how they come, go and come back, their leases and listings.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kDelayLook{50};
constexpr milliseconds kSilentPause{300};    // after the first listing without an answer
constexpr milliseconds kLongestPause{2000};  // the pause doubles up to this
constexpr uint32_t kLongestDoubling = 4;
// An instance that left the registry and runs nothing is forgotten after this time.
constexpr milliseconds kForgetAbsent{15000};
// A listing in flight is given up by the caller of OnNoListing(); this is only its backstop.
constexpr milliseconds kEvacuationMargin{250};
constexpr size_t kEndsAtOnce = 500;  // in one listing, by the platform's agreement

}  // namespace

void job_scheduler::NoteClock(fleet_instance& instance, int64_t clock_ms, monotonic_time now) {
  // Answers may overtake each other: the clock never goes back within a life.
  if (clock_ms < instance.clock_ms) return;
  instance.clock_ms = clock_ms;
  instance.clock_at = now;
}

void job_scheduler::Reborn(fleet_instance& instance, const instance_report& report,
                           monotonic_time now) {
  Note(scheduler_note::kind::kInstanceReborn, report.id,
       absl::StrCat("before=", instance.report.incarnation, " now=", report.incarnation));
  // What ran before is gone, but a start that was sent lately may have reached the new life: only
  // its own listing says what runs there.
  for (const undelivered_start& start : std::exchange(instance.undelivered, {})) {
    if (now - start.sent <= kLatestArrival) Expect(instance, start, now);
  }
  if (!instance.runs.empty()) {
    instance.earlier_orders_until = now + kLatestArrival + options_.run_lease;
  }
  instance.report = report;
  instance.listed = false;
  instance.lease_unknown = false;
  instance.replaced = false;
  instance.clock_ms = 0;
  instance.listed_at_ms = 0;
  instance.lease_until_ms = 0;
  instance.ends_seen = 0;
  instance.ends_acked = 0;
  instance.acks_sent = 0;
  instance.unstored.clear();
  instance.silent = 0;
  instance.faults = 0;
  instance.speed = 1;
  instance.next_listing = now;
}

// Counts with a start that may still arrive: its task starts nowhere else before it is stopped.
void job_scheduler::Expect(fleet_instance& instance, const undelivered_start& start,
                           monotonic_time now) {
  const auto found = jobs_.find(start.key.job);
  job_entry* entry = found == jobs_.end() ? nullptr : found->second.get();
  step_progress* step = entry == nullptr ? nullptr : entry->Find(start.key);
  graph_run& run = AddRun(instance, step == nullptr ? nullptr : entry, start.key, start.run);
  run.phase = run_phase::kUnknown;
  run.started = start.sent;
  AskStop(run, stop_cause::kUnknownStart, now);
  if (step == nullptr) return;
  task_state_slot& task = step->tasks[start.key.index];
  if (task.phase != slot_phase::kWaiting) return;
  task.phase = slot_phase::kActive;
  task.run = &run;
  --step->waiting;
  ++step->active;
}

fleet_instance& job_scheduler::MakeInstance(const instance_report& report, monotonic_time now) {
  std::unique_ptr<fleet_instance>& place = instances_[report.id];
  place = std::make_unique<fleet_instance>();
  place->report = report;
  place->ordinal = ++last_ordinal_;
  place->service = ServiceOrdinal(report.service);
  place->next_listing = now;
  by_ordinal_[place->ordinal] = place.get();
  return *place;
}

void job_scheduler::OnReport(const instance_report& report, monotonic_time now) {
  const auto known = instances_.find(report.id);
  if (known == instances_.end()) {
    MakeInstance(report, now);
    Note(scheduler_note::kind::kInstanceJoined, report.id,
         absl::StrCat("address=", report.address, " domain=", report.failure_domain,
                      " rack=", report.rack, " cpu=", report.capacity.cpu_milli,
                      " mb=", report.capacity.memory_mb));
  } else if (report.incarnation > known->second->report.incarnation) {
    Reborn(*known->second, report, now);
  } else if (report.incarnation < known->second->report.incarnation) {
    return;  // an old entry of an earlier life
  }
  fleet_instance& instance = *instances_.at(report.id);
  if (report.draining && !instance.report.draining) {
    Note(scheduler_note::kind::kInstanceDraining, report.id,
         absl::StrCat("remaining_ms=", report.remaining.count(), " runs=", instance.runs.size()));
  }
  if (!instance.present) {
    if (registry_seen_) {
      Note(scheduler_note::kind::kInstanceBack, report.id, "in the registry again");
    }
  }
  instance.present = true;
  instance.report = report;
  instance.service = ServiceOrdinal(report.service);
  std::vector<resources>& largest = largest_seen_[report.service];
  if (std::find(largest.begin(), largest.end(), report.capacity) == largest.end()) {
    largest.push_back(report.capacity);
  }
}

void job_scheduler::OnRegistry(const std::vector<instance_report>& reports, monotonic_time now) {
  absl::flat_hash_map<std::string, bool> present;
  for (const instance_report& report : reports) {
    OnReport(report, now);
    present[report.id] = true;
  }
  registry_seen_ = true;
  for (auto& [id, instance] : instances_) {
    if (present.contains(id) || !instance->present) continue;
    instance->present = false;
    instance->absent_since = now;
    Note(scheduler_note::kind::kInstanceAbsent, id,
         absl::StrCat("runs=", instance->runs.size(), " silent=", instance->silent));
  }
}

void job_scheduler::OnInherited(const std::vector<instance_report>& reports, monotonic_time now) {
  for (const instance_report& report : reports) {
    const auto known = instances_.find(report.id);
    fleet_instance& instance =
        known == instances_.end() ? MakeInstance(report, now) : *known->second;
    if (known == instances_.end()) {
      instance.present = false;
      instance.absent_since = now;
    }
    instance.lease_unknown = true;
    instance.noted = true;
  }
}

std::vector<instance_report> job_scheduler::Fleet() const {
  std::vector<instance_report> out;
  for (const auto& [id, instance] : instances_) {
    if (instance->InUse() || instance->lease_unknown) out.push_back(instance->report);
  }
  return out;
}

void job_scheduler::OnFleetStored(const std::vector<instance_report>& fleet) {
  for (auto& [id, instance] : instances_) instance->noted = false;
  for (const instance_report& report : fleet) {
    const auto found = instances_.find(report.id);
    if (found != instances_.end()) found->second->noted = true;
  }
}

bool job_scheduler::LeaseOver(const fleet_instance& instance, monotonic_time now) const {
  if (instance.replaced) return true;
  if (now < instance.earlier_orders_until) return false;
  if (instance.lease_unknown) {
    const double longest = static_cast<double>(options_.run_lease.count()) / kSlowestClock;
    const milliseconds alone = records_complete_ ? milliseconds{0} : options_.unvouched_owner;
    return now > took_over_ + options_.earlier_owner + alone +
                     milliseconds(static_cast<int64_t>(longest));
  }
  return instance.LeaseSurelyOver(now);
}

bool job_scheduler::InheritanceSettled(monotonic_time now) const {
  if (!registry_seen_) return false;
  return std::all_of(instances_.begin(), instances_.end(), [&](const auto& item) {
    const fleet_instance& instance = *item.second;
    return !instance.lease_unknown || LeaseOver(instance, now);
  });
}

void job_scheduler::DropRuns(fleet_instance& instance, const char* why, monotonic_time now) {
  instance.lease_unknown = false;
  while (!instance.runs.empty()) {
    graph_run& run = *instance.runs.front();
    job_entry* job = run.job;
    const task_key key = run.key;
    Note(scheduler_note::kind::kRunVanished, key.job,
         absl::StrCat("step=", key.step, " index=", key.index, " run=", run.number,
                      " instance=", instance.report.id, " ", why));
    Release(run, now);
    if (job != nullptr && !IsFinal(job->phase) && job->job.steps[key.step].gang) {
      BreakGang(*job, key, stop_cause::kGangBroken, now);
    }
  }
}

// An instance ended and its address went to a newcomer, which answers there under its own id: only
// one process can listen at an address, so all that ran at the earlier one has ended with it. Its
// leases are not waited for; they would hold up its tasks for seconds. Orders that are still on
// their way to it name it, and the newcomer refuses them.
void job_scheduler::FindReplaced(const fleet_instance& newcomer, monotonic_time now) {
  for (auto& [id, instance] : instances_) {
    const instance_report& report = instance->report;
    if (instance.get() == &newcomer || instance->replaced) continue;
    if (report.address.empty() || report.address != newcomer.report.address) continue;
    if (report.incarnation >= newcomer.report.incarnation) continue;
    instance->replaced = true;
    // Should it come back under its id, a start that is still on its way may reach it.
    for (const auto& run : instance->runs) {
      if (!run->seen) instance->undelivered.push_back({run->key, run->number, run->started});
    }
    DropRuns(*instance, "address taken over", now);
  }
}

void job_scheduler::DropLapsed(monotonic_time now) {
  std::vector<std::string> forgotten;
  for (auto& [id, instance] : instances_) {
    if (instance->silent > 0 && LeaseOver(*instance, now)) {
      // Unreachable for longer than any lease: whatever ran there was killed by the instance.
      DropRuns(*instance, "lease over", now);
    }
    const bool idle = instance->runs.empty() && !instance->listing_in_flight;
    if (!instance->present && idle && now - instance->absent_since > kForgetAbsent &&
        LeaseOver(*instance, now)) {
      forgotten.push_back(id);
    }
  }
  for (const std::string& id : forgotten) {
    by_ordinal_.erase(instances_.at(id)->ordinal);
    instances_.erase(id);
  }
}

void job_scheduler::Evacuate(fleet_instance& instance, monotonic_time now) {
  // What ends with the instance is lost since its last checkpoint, and is missed only when its
  // lease is over; what is stopped in time goes on elsewhere at once.
  if (instance.clock_at == monotonic_time{}) return;
  for (const auto& run : instance.runs) {
    if (run->job == nullptr || run->stopping != stop_cause::kNone) continue;
    const step_spec& terms = run->job->job.steps[run->key.step];
    if (terms.long_running) {
      AskStop(*run, stop_cause::kEvacuated, now);
      continue;
    }
    if (terms.gang) continue;
    const auto ran = duration_cast<milliseconds>(now - run->started);
    const step_progress* step = run->job->Find(run->key);
    const auto takes =
        step == nullptr ? terms.estimate : ExpectedRun(*run->job, *step, run->key.step);
    const auto left = std::max(takes - ran, milliseconds{0});
    const bool ends_in_time = left + kEvacuationMargin < instance.report.remaining;
    if (!ends_in_time && terms.checkpointing) AskStop(*run, stop_cause::kEvacuated, now);
  }
}

void job_scheduler::AdvanceAcks(fleet_instance& instance) {
  while (!instance.unstored.empty()) {
    const seen_end& end = instance.unstored.front();
    const auto found = jobs_.find(end.job);
    if (found != jobs_.end() && found->second->stored < end.change) return;
    instance.ends_acked = end.number;
    instance.unstored.pop_front();
  }
}

void job_scheduler::Doubt(fleet_instance& instance, monotonic_time now) {
  if (instance.doubted) return;
  instance.doubted = true;
  instance.doubted_since = now;
  Note(scheduler_note::kind::kInstanceDoubted, instance.report.id,
       absl::StrCat("patience_ms=", Patience().count(), " runs=", instance.runs.size()));
}

void job_scheduler::Heard(fleet_instance& instance, monotonic_time sent) {
  if (sent >= instance.doubted_since) instance.doubted = false;
}

// An order may be held up for seconds, a waiting listing as well, and all ends at its instance
// would be heard that much later. One that is overdue is given up and a second one sent, which
// waits for no end and renews no lease: it may be the instance that is gone. Only if that goes
// unanswered too is the instance silent.
void job_scheduler::GiveUpOverdue(fleet_instance& instance, monotonic_time now) {
  if (!instance.listed || now <= instance.listing_due + Patience()) return;
  if (instance.probing || instance.silent > 0) return FallSilent(instance, "overdue", now);
  Doubt(instance, now);
  instance.listing_in_flight = false;
  instance.probing = true;
  instance.next_listing = now;
}

// The waiting listing returns at an end, and a start that was never carried out has none: a second
// listing shows that it is not there, and its task may start elsewhere.
void job_scheduler::PlanCheck(fleet_instance& instance, scheduler_orders& orders) {
  if (!instance.listed || instance.check_in_flight) return;
  const bool wanted = std::any_of(
      instance.runs.begin(), instance.runs.end(), [](const std::unique_ptr<graph_run>& run) {
        return run->stop_confirmed && !run->seen && run->stopping == stop_cause::kUnknownStart;
      });
  if (!wanted) return;
  list_order order;
  order.to = {instance.report.id, instance.report.address, instance.report.incarnation};
  order.ends_seen = instance.ends_acked;
  order.check = true;
  instance.check_in_flight = true;
  orders.listings.push_back(std::move(order));
}

milliseconds job_scheduler::Patience() const {
  const auto usual = static_cast<double>(answer_time_.Patience().count());
  return milliseconds(static_cast<int64_t>(delay_factor_ * usual)) + own_delay_;
}

void job_scheduler::JudgeOwnDelay(monotonic_time now) {
  if (now < next_delay_look_) return;
  next_delay_look_ = now + kDelayLook;
  size_t waiting = 0;
  size_t overdue = 0;
  absl::flat_hash_map<std::string_view, size_t> of_domain;
  const milliseconds patience = answer_time_.Patience() + own_delay_;
  for (const auto& [id, instance] : instances_) {
    if (!instance->listing_in_flight || !instance->listed) continue;
    ++waiting;
    ++of_domain[instance->report.failure_domain];
    if (now > instance->listing_due + patience) ++overdue;
  }
  size_t largest = 0;
  for (const auto& [domain, count] : of_domain) largest = std::max(largest, count);
  delay_factor_ = DelayFactor(waiting, largest, overdue);
}

void job_scheduler::PlanListings(scheduler_orders& orders, monotonic_time now) {
  auto fences = static_cast<uint32_t>(std::count_if(
      instances_.begin(), instances_.end(),
      [](const auto& item) { return !item.second->listed && item.second->listing_in_flight; }));
  for (auto& [id, instance] : instances_) {
    if (instance->replaced) continue;
    if (instance->listing_in_flight) GiveUpOverdue(*instance, now);
    if (instance->listing_in_flight) PlanCheck(*instance, orders);
    if (instance->listing_in_flight || now < instance->next_listing) continue;
    AdvanceAcks(*instance);
    const bool fence = !instance->listed;
    const bool back = instance->silent > 0 && instance->present;
    const bool ack = instance->ends_acked > instance->acks_sent;
    if (!fence && !back && !ack && instance->runs.empty()) continue;
    if (!instance->present && instance->runs.empty() && LeaseOver(*instance, now)) continue;
    if (fence && fences++ >= options_.fences_in_flight) continue;
    list_order order;
    order.to = {id, instance->report.address, instance->report.incarnation};
    order.ends_seen = instance->ends_acked;
    // Not extended at an instance that does not answer: its runs could not be given up as long as
    // each try may have reached it, and a crashed instance's work would wait for ever.
    const bool renews = !fence && !instance->runs.empty() && instance->Reachable();
    if (renews && !instance->probing) {
      order.lease_until_ms = instance->ClockAt(now) + options_.run_lease.count();
      instance->lease_until_ms = std::max(instance->lease_until_ms, *order.lease_until_ms);
      const bool waits_for_stop = std::any_of(
          instance->runs.begin(), instance->runs.end(), [](const std::unique_ptr<graph_run>& run) {
            return run->stop_confirmed || run->phase == run_phase::kUnknown;
          });
      order.wait = waits_for_stop ? milliseconds{100} : listing_wait_.Wait();
    }
    instance->listing_in_flight = true;
    instance->listing_due = now + order.wait;
    order.number = ++instance->listing_number;
    orders.listings.push_back(std::move(order));
  }
}

void job_scheduler::OnListing(const list_order& order, const instance_listing& listing,
                              monotonic_time sent, monotonic_time now) {
  const auto found = instances_.find(order.to.instance);
  if (found == instances_.end()) return;
  fleet_instance& instance = *found->second;
  if (order.check) instance.check_in_flight = false;
  if (!order.check && order.number == instance.listing_number) {
    instance.listing_in_flight = false;
    // Early ones came back with an end: they say nothing of how long an answer takes.
    if (now > sent + order.wait) {
      answer_time_.OnAnswer(duration_cast<milliseconds>(now - sent - order.wait));
    }
    if (std::exchange(instance.probing, false)) {
      listing_wait_.OnLost();
    } else {
      listing_wait_.OnAnswered();
    }
  }
  if (listing.incarnation < instance.report.incarnation) return;
  if (listing.incarnation > instance.report.incarnation && listing.incarnation != 0) {
    instance_report report = instance.report;
    report.incarnation = listing.incarnation;
    Reborn(instance, report, now);
  }
  if (instance.silent > 0) {
    Note(scheduler_note::kind::kInstanceBack, order.to.instance, "answers again");
  }
  instance.silent = 0;
  Heard(instance, sent);
  instance.acks_sent = std::max(instance.acks_sent, order.ends_seen);
  NoteClock(instance, listing.clock_ms, now);
  std::vector<ended_row> ends = listing.ended;
  std::sort(ends.begin(), ends.end(),
            [](const ended_row& a, const ended_row& b) { return a.number < b.number; });
  for (const ended_row& row : ends) HandleEnd(instance, row, now);
  // Two listings may be under way, and their answers overtake each other: of the older one only the
  // ends are news, and what it shows as running may be over.
  if (listing.clock_ms < instance.listed_at_ms) return;
  instance.listed_at_ms = listing.clock_ms;
  std::vector<const graph_run*> seen;
  for (const running_row& row : listing.running) {
    HandleRunning(instance, row, now);
    seen.push_back(FindRun(instance, row.key, row.run));
  }
  // Ends are told so many at a time: a run that is not listed may have its end on the next page.
  if (listing.ended.size() >= kEndsAtOnce) {
    instance.next_listing = now + options_.listing_pause;
    return;
  }
  HandleMissing(instance, seen, sent, now);
  if (!instance.listed) {
    instance.listed = true;
    instance.lease_unknown = false;
    FindReplaced(instance, now);
    // Whatever an earlier owner granted ends by then at the latest.
    instance.lease_until_ms =
        std::max(instance.lease_until_ms, listing.clock_ms + options_.run_lease.count());
    instance.next_listing = now;
    return;
  }
  instance.next_listing = now + options_.listing_pause;
}

void job_scheduler::OnNoListing(const list_order& order, order_result result, monotonic_time now) {
  const auto found = instances_.find(order.to.instance);
  if (found == instances_.end()) return;
  fleet_instance& instance = *found->second;
  // The waiting listing tells whether the instance is silent.
  if (order.check) {
    instance.check_in_flight = false;
    return;
  }
  // Given up before: its answer was overdue.
  if (!instance.listing_in_flight || order.number != instance.listing_number) return;
  FallSilent(instance, ToText(result), now);
}

void job_scheduler::FallSilent(fleet_instance& instance, std::string_view why, monotonic_time now) {
  instance.listing_in_flight = false;
  instance.probing = false;
  if (instance.silent++ == 0) {
    Note(scheduler_note::kind::kInstanceSilent, instance.report.id,
         absl::StrCat("result=", std::string(why), " runs=", instance.runs.size()));
  }
  const uint32_t doublings = std::min(instance.silent - 1, kLongestDoubling);
  instance.next_listing = now + std::min(kLongestPause, kSilentPause * (1 << doublings));
}

}  // namespace catkinford
