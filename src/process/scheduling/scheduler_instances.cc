// Instances: joining, leaving and restarting, their leases and listings.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kTimeoutFactorInterval{50};
constexpr milliseconds kSilentRetryDelay{300};      // after the first listing without an answer
constexpr milliseconds kMaxSilentRetryDelay{2000};  // limit for the delay, which doubles
constexpr uint32_t kMaxDoublings = 4;
// An instance that left the registry and runs nothing is dropped after this time.
constexpr milliseconds kForgetAbsent{15000};
// A run counts as ending before its draining instance leaves only with this much time to spare.
constexpr milliseconds kEvacuationMargin{250};
constexpr size_t kMaxEndsPerListing = 500;  // defined by the platform

// Instances of one service with the same first label are machines of the same kind.
std::string KindOf(const instance_report& report) {
  return absl::StrCat(report.service, "/", report.labels.empty() ? "" : report.labels.front());
}

}  // namespace

void job_scheduler::UpdateClock(fleet_instance& instance, int64_t clock_ms, monotonic_time now) {
  // Answers may arrive out of order: the clock does not go back within an incarnation.
  if (clock_ms < instance.clock_ms) return;
  instance.clock_ms = clock_ms;
  instance.clock_at = now;
}

void job_scheduler::OnRestart(fleet_instance& instance, const instance_report& report,
                              monotonic_time now) {
  LogEvent(scheduler_event::kind::kInstanceReborn, report.id,
           absl::StrCat("before=", instance.report.incarnation, " now=", report.incarnation,
                        " runs=", instance.runs.size(),
                        " unanswered_leases=", instance.leases.Unanswered()));
  // The earlier runs have ended, but a recently sent start may have reached the new incarnation:
  // only its own listing shows what runs there.
  for (const undelivered_start& start : std::exchange(instance.undelivered, {})) {
    if (now - start.sent <= kMaxCommandDelay) ExpectLateStart(instance, start, now);
  }
  ReleaseEnded(instance, now);
  if (!instance.runs.empty()) {
    instance.earlier_commands_until = now + kMaxCommandDelay + OnOwnClock(options_.longest_lease);
  }
  // A stop that was answered holds for the earlier incarnation only. What ran there has ended, but
  // a start without an answer may still arrive.
  for (const auto& run : instance.runs) {
    if (run->phase == run_phase::kStopping) {
      run->phase = run->seen ? run_phase::kRunning : run_phase::kUnknown;
    }
    run->stop_confirmed = false;
    SetStopInFlight(*run, false);
    run->next_stop = now;
    run->overdue_since = {};
  }
  instance.report = report;
  SetRestarted(instance, now);
  instance.listed = false;
  // `lease_unknown` stays: an earlier owner may have known this incarnation and renewed there.
  instance.earlier_leases_until.reset();
  instance.replaced = false;
  instance.clock_ms = 0;
  instance.listed_at_ms = 0;
  instance.lease_until_ms = 0;
  instance.ends_seen = 0;
  instance.ends_acked = 0;
  instance.acks_sent = 0;
  instance.unstored.clear();
  instance.unidentified_ends.clear();
  instance.silent = 0;
  instance.faults = 0;
  speeds_.Add(instance.ordinal, KindOf(report));
  speeds_.OnRestart(instance.ordinal);
  instance.next_listing = now;
}

// A start names the incarnation that it is meant for, and one that is listed has arrived there. The
// task of such a run need not wait until the next incarnation is listed.
void job_scheduler::ReleaseEnded(fleet_instance& instance, monotonic_time now) {
  std::vector<graph_run*> ended;
  for (const auto& run : instance.runs) {
    if (run->listed && run->job != nullptr) ended.push_back(run.get());
  }
  for (graph_run* run : ended) ReleaseVanished(*run, "restarted", now);
}

// Adds a run for a start that may still arrive: its task starts nowhere else until it is stopped.
void job_scheduler::ExpectLateStart(fleet_instance& instance, const undelivered_start& start,
                                    monotonic_time now) {
  const auto found = jobs_.find(start.key.job);
  job_entry* entry = found == jobs_.end() ? nullptr : found->second.get();
  step_progress* step = entry == nullptr ? nullptr : entry->Find(start.key);
  const bool has_step = entry != nullptr && start.key.step < entry->job.steps.size();
  graph_run& run = AddRun(instance, has_step ? entry : nullptr, start.key, start.run);
  run.phase = run_phase::kUnknown;
  run.started = start.sent;
  RequestStop(run, stop_cause::kUnknownStart, now);
  if (entry == nullptr) RequestLookup(start.key.job);
  if (step == nullptr) return;
  graph_task_state& task = step->tasks[start.key.index];
  if (task.phase != graph_task_phase::kWaiting) return;
  task.run = &run;
  MoveTask(*entry, start.key, graph_task_phase::kActive, now);
}

fleet_instance& job_scheduler::MakeInstance(const instance_report& report, monotonic_time now) {
  std::unique_ptr<fleet_instance>& slot = instances_[report.id];
  slot = std::make_unique<fleet_instance>();
  by_id_[report.id] = slot.get();
  slot->report = report;
  slot->ordinal = ++last_ordinal_;
  slot->service = ServiceOrdinal(report.service);
  slot->next_listing = now;
  latest_round_at_ = {};
  by_ordinal_.resize(last_ordinal_ + 1);
  by_ordinal_[slot->ordinal] = slot.get();
  speeds_.Add(slot->ordinal, KindOf(report));
  return *slot;
}

void job_scheduler::OnReport(const instance_report& report, monotonic_time now) {
  const auto known = by_id_.find(report.id);
  if (known == by_id_.end()) {
    MakeInstance(report, now);
    LogEvent(scheduler_event::kind::kInstanceJoined, report.id,
             absl::StrCat("address=", report.address, " domain=", report.failure_domain,
                          " rack=", report.rack, " cpu=", report.capacity.cpu_milli,
                          " mb=", report.capacity.memory_mb));
  } else if (report.incarnation > known->second->report.incarnation) {
    OnRestart(*known->second, report, now);
  } else if (report.incarnation < known->second->report.incarnation) {
    return;  // an outdated entry of an earlier incarnation
  }
  fleet_instance& instance = *instances_.at(report.id);
  if (report.draining && !instance.report.draining) {
    LogEvent(
        scheduler_event::kind::kInstanceDraining, report.id,
        absl::StrCat("remaining_ms=", report.remaining.count(), " runs=", instance.runs.size()));
  }
  if (!instance.present) {
    if (registry_seen_) {
      LogEvent(scheduler_event::kind::kInstanceBack, report.id, "in the registry again");
    }
  }
  instance.present = true;
  // An instance that was taken over from an earlier owner's record shows its labels only now.
  const bool kind_known =
      instance.report.labels == report.labels && instance.report.service == report.service;
  const bool restarted = instance.report.restarted;
  instance.report = report;
  instance.report.restarted = restarted;
  if (!kind_known) speeds_.Add(instance.ordinal, KindOf(report));
  instance.report_outdated = false;
  instance.domain_evacuated = evacuated_.contains(report.failure_domain);
  instance.service = ServiceOrdinal(report.service);
  std::vector<resources>& largest = largest_seen_[report.service];
  if (std::find(largest.begin(), largest.end(), report.capacity) == largest.end()) {
    largest.push_back(report.capacity);
  }
}

void job_scheduler::SetEvacuated(const std::set<std::string>& domains) {
  if (domains == evacuated_) return;
  const std::set<std::string> before = std::exchange(evacuated_, domains);
  for (auto& [id, instance] : instances_) {
    instance->domain_evacuated = evacuated_.contains(instance->report.failure_domain);
  }
  latest_round_at_ = {};
  const auto note = [this](const std::string& domain, bool evacuated) {
    size_t instances = 0;
    size_t runs = 0;
    for (const auto& [id, instance] : instances_) {
      if (instance->report.failure_domain != domain) continue;
      ++instances;
      runs += instance->runs.size();
    }
    LogEvent(scheduler_event::kind::kDomainEvacuated, domain,
             absl::StrCat("evacuated=", evacuated, " instances=", instances, " runs=", runs));
  };
  for (const std::string& domain : evacuated_) {
    if (!before.contains(domain)) note(domain, true);
  }
  for (const std::string& domain : before) {
    if (!evacuated_.contains(domain)) note(domain, false);
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
    LogEvent(scheduler_event::kind::kInstanceAbsent, id,
             absl::StrCat("runs=", instance->runs.size(), " silent=", instance->silent));
  }
}

void job_scheduler::OnInherited(const std::vector<instance_report>& reports, monotonic_time now) {
  for (const instance_report& report : reports) {
    const auto known = by_id_.find(report.id);
    const bool is_new = known == by_id_.end();
    fleet_instance& instance = is_new ? MakeInstance(report, now) : *known->second;
    if (report.restarted || instance.report.incarnation != report.incarnation) {
      SetRestarted(instance, now);
    }
    if (is_new) {
      instance.present = false;
      instance.absent_since = now;
    }
    instance.lease_unknown = true;
    instance.registered = true;
  }
}

std::vector<const instance_report*> job_scheduler::InUse() const {
  std::vector<const instance_report*> out;
  out.reserve(instances_.size());
  for (const auto& [id, instance] : instances_) {
    if (instance->InUse() || instance->lease_unknown) out.push_back(&instance->report);
  }
  return out;
}

std::vector<instance_report> job_scheduler::Fleet() const {
  std::vector<instance_report> out;
  for (const instance_report* report : InUse()) out.push_back(*report);
  return out;
}

void job_scheduler::OnFleetStored(const std::vector<instance_report>& fleet) {
  for (auto& [id, instance] : instances_) instance->registered = false;
  for (const instance_report& report : fleet) {
    const auto found = by_id_.find(report.id);
    if (found != by_id_.end()) found->second->registered = true;
  }
}

bool job_scheduler::InheritanceSettled(monotonic_time now) const {
  if (!registry_seen_) return false;
  return std::all_of(instances_.begin(), instances_.end(), [&](const auto& item) {
    const fleet_instance& instance = *item.second;
    return !instance.lease_unknown || LeaseExpired(instance, now);
  });
}

void job_scheduler::DropRuns(fleet_instance& instance, const char* reason, monotonic_time now) {
  instance.lease_unknown = false;
  while (!instance.runs.empty()) ReleaseVanished(*instance.runs.front(), reason, now);
}

void job_scheduler::ReleaseVanished(graph_run& run, const char* reason, monotonic_time now) {
  job_entry* job = run.job;
  const task_key key = run.key;
  const uint32_t number = run.number;
  LogEvent(scheduler_event::kind::kRunVanished, key.job,
           absl::StrCat("step=", key.step, " index=", key.index, " run=", number,
                        " instance=", run.instance->report.id, " ", reason));
  if (!run.seen && run.phase != run_phase::kPlanned) RememberUndelivered(run, now);
  Release(run, now);
  if (job != nullptr && !IsFinal(job->phase) && job->job.steps[key.step].gang) {
    BreakGang(*job, key, number, now);
  }
}

// If the instance returns under its id, a start that is still in flight may reach it.
void job_scheduler::RememberUndelivered(const graph_run& run, monotonic_time now) {
  std::vector<undelivered_start>& starts = run.instance->undelivered;
  std::erase_if(
      starts, [&](const undelivered_start& start) { return now - start.sent > kMaxCommandDelay; });
  starts.push_back({run.key, run.number, run.started});
}

// Finds instances that have ended and whose address now belongs to the newcomer, which answers
// there under its own id. Only one process can listen at an address, so all runs of the earlier
// instance have ended with it. Waiting for its leases would delay its tasks by seconds. Commands
// still in flight name the earlier instance, so the newcomer rejects them.
void job_scheduler::FindReplaced(const fleet_instance& newcomer, monotonic_time now) {
  for (auto& [id, instance] : instances_) {
    const instance_report& report = instance->report;
    if (instance.get() == &newcomer || instance->replaced) continue;
    if (report.address.empty() || report.address != newcomer.report.address) continue;
    if (report.incarnation >= newcomer.report.incarnation) continue;
    instance->replaced = true;
    DropRuns(*instance, "address taken over", now);
  }
}

void job_scheduler::DropExpired(monotonic_time now) {
  DropExpiredRecords(now);
  std::vector<std::string> forgotten;
  for (auto& [id, instance] : instances_) {
    if (!instance->lease_unknown && now >= instance->restart_matters_until) {
      instance->report.restarted = false;
    }
    // This owner has sent no lease there, and has begun to listen too late to call it silent.
    const bool never_reached = !instance->listed && instance->lease_unknown;
    if ((instance->silent > 0 || never_reached) && LeaseExpired(*instance, now)) {
      // Unreachable for longer than any lease: the instance itself has killed its runs.
      DropRuns(*instance, "lease over", now);
    }
    const bool idle = instance->runs.empty() && !instance->listing_in_flight;
    if (!instance->present && idle && now - instance->absent_since > kForgetAbsent &&
        LeaseExpired(*instance, now)) {
      forgotten.push_back(id);
    }
  }
  if (!forgotten.empty()) {
    latest_round_at_ = {};
    schedulable_.Clear(services_.size());
  }
  for (const std::string& id : forgotten) {
    by_ordinal_[instances_.at(id)->ordinal] = nullptr;
    speeds_.Remove(instances_.at(id)->ordinal);
    by_id_.erase(id);
    instances_.erase(id);
  }
}

void job_scheduler::Evacuate(fleet_instance& instance, monotonic_time now) {
  // A run that ends with its instance loses all work since its last checkpoint, and its end is
  // noticed only when its lease expires. A run that is stopped in time resumes elsewhere at once.
  if (instance.clock_at == monotonic_time{}) return;
  for (const auto& run : instance.runs) {
    if (run->job == nullptr || run->stopping != stop_cause::kNone) continue;
    const step_spec& terms = run->job->job.steps[run->key.step];
    if (terms.long_running) {
      RequestStop(*run, stop_cause::kEvacuated, now);
      continue;
    }
    if (terms.gang) continue;
    const auto ran = duration_cast<milliseconds>(now - run->started);
    const step_progress* step = run->job->Find(run->key);
    const auto takes =
        step == nullptr ? terms.estimate : ExpectedRunOn(instance, *run->job, *step, run->key.step);
    const auto left = std::max(takes - ran, milliseconds{0});
    const bool ends_in_time = left + kEvacuationMargin < instance.report.remaining;
    if (!ends_in_time && terms.checkpointing) RequestStop(*run, stop_cause::kEvacuated, now);
  }
}

void job_scheduler::AdvanceAcks(fleet_instance& instance) {
  while (!instance.unstored.empty()) {
    const seen_end& end = instance.unstored.front();
    if (end.awaits_job) return;
    const auto found = jobs_.find(end.job);
    if (found != jobs_.end() && found->second->stored < end.change) return;
    if (end.awaits_inheritance && !inheritance_settled_) return;
    if (end.awaits_starts && StartMayArrive(*end.awaits_starts)) return;
    instance.ends_acked = end.number;
    instance.unstored.pop_front();
  }
}

void job_scheduler::MarkSuspect(fleet_instance& instance, monotonic_time now) {
  if (instance.suspect) return;
  instance.suspect = true;
  instance.suspect_since = now;
  LogEvent(scheduler_event::kind::kInstanceDoubted, instance.report.id,
           absl::StrCat("patience_ms=", Timeout().count(), " runs=", instance.runs.size()));
}

void job_scheduler::ClearSuspect(fleet_instance& instance, monotonic_time sent) {
  if (sent >= instance.suspect_since) instance.suspect = false;
}

// A command or a waiting listing may be delayed for seconds, and all ends at its instance would be
// received that much later. An overdue listing is abandoned and a second one sent, which does not
// wait for an end and renews no lease, as the instance itself may have failed. Only if that one
// goes unanswered too is the instance silent.
void job_scheduler::GiveUpOverdue(fleet_instance& instance, monotonic_time now) {
  if (!instance.listed || now <= instance.listing_due + Timeout()) return;
  if (instance.probing || instance.silent > 0) return MarkSilent(instance, "overdue", now);
  MarkSuspect(instance, now);
  instance.listing_in_flight = false;
  instance.probing = true;
  instance.next_listing = now;
}

milliseconds job_scheduler::Timeout() const {
  const auto measured_timeout = static_cast<double>(answer_timeout_.Timeout().count());
  return milliseconds(static_cast<int64_t>(timeout_factor_ * measured_timeout)) + local_delay_;
}

void job_scheduler::UpdateTimeoutFactor(monotonic_time now) {
  if (now < next_timeout_factor_update_) return;
  next_timeout_factor_update_ = now + kTimeoutFactorInterval;
  size_t waiting = 0;
  size_t overdue = 0;
  absl::flat_hash_map<std::string_view, size_t> of_domain;
  const milliseconds timeout = answer_timeout_.Timeout() + local_delay_;
  for (const auto& [id, instance] : instances_) {
    if (!instance->listing_in_flight || !instance->listed) continue;
    ++waiting;
    ++of_domain[instance->report.failure_domain];
    if (now > instance->listing_due + timeout) ++overdue;
  }
  size_t largest = 0;
  for (const auto& [domain, count] : of_domain) largest = std::max(largest, count);
  timeout_factor_ = TimeoutFactor(waiting, largest, overdue);
}

void job_scheduler::PlanListings(scheduler_commands& commands, monotonic_time now) {
  auto fences = static_cast<uint32_t>(std::count_if(
      instances_.begin(), instances_.end(),
      [](const auto& item) { return !item.second->listed && item.second->listing_in_flight; }));
  for (auto& [id, instance] : instances_) {
    if (instance->replaced) continue;
    if (instance->listing_in_flight) GiveUpOverdue(*instance, now);
    if (instance->listing_in_flight) PlanCheck(*instance, commands);
    if (instance->listing_in_flight || now < instance->next_listing) continue;
    AdvanceAcks(*instance);
    const bool fence = !instance->listed;
    const bool recheck = instance->silent > 0 && instance->present;
    const bool ack = instance->ends_acked > instance->acks_sent;
    // An idle instance gets no work while its clock is too old or a doubt is not settled.
    const bool refresh =
        instance->present && (instance->suspect || now - instance->clock_at > kMaxClockAge / 2);
    if (!fence && !recheck && !ack && !refresh && instance->runs.empty()) continue;
    if (!instance->present && instance->runs.empty() && LeaseExpired(*instance, now)) continue;
    if (fence && fences++ >= options_.fences_in_flight) continue;
    list_command request;
    request.to = {id, instance->report.address, instance->report.incarnation};
    // An instance that did not answer may have restarted, and its ends are numbered anew.
    if (instance->Reachable() && !instance->probing) request.ends_seen = instance->ends_acked;
    // The lease is not extended at an instance that does not answer: any attempt may have reached
    // it, so its runs could never be given up, and the work of a crashed instance would wait
    // forever.
    const bool renews = !fence && !instance->runs.empty() && instance->Reachable();
    if (renews && !instance->probing) {
      request.lease_until_ms = instance->ClockAt(now) + options_.run_lease.count();
      instance->lease_until_ms = std::max(instance->lease_until_ms, *request.lease_until_ms);
      request.lease_command = instance->leases.OnSent(request.to.incarnation, now);
      const bool waits_for_stop = std::any_of(
          instance->runs.begin(), instance->runs.end(), [](const std::unique_ptr<graph_run>& run) {
            return run->stop_confirmed || run->phase == run_phase::kUnknown || AwaitsListing(*run);
          });
      request.wait = waits_for_stop ? milliseconds{100} : listing_wait_.Wait();
    }
    instance->listing_in_flight = true;
    instance->listing_due = now + request.wait;
    request.number = ++instance->listing_number;
    commands.listings.push_back(std::move(request));
  }
}

void job_scheduler::HandleEnds(fleet_instance& instance, const std::vector<ended_row>& ends,
                               monotonic_time now) {
  const auto earlier = [](const ended_row& a, const ended_row& b) { return a.number < b.number; };
  if (std::is_sorted(ends.begin(), ends.end(), earlier)) {
    for (const ended_row& row : ends) HandleEnd(instance, row, now);
    return;
  }
  std::vector<ended_row> sorted = ends;
  std::sort(sorted.begin(), sorted.end(), earlier);
  for (const ended_row& row : sorted) HandleEnd(instance, row, now);
}

void job_scheduler::OnListing(const list_command& request, const instance_listing& listing,
                              monotonic_time sent, monotonic_time now) {
  const auto found = by_id_.find(request.to.instance);
  if (found == by_id_.end()) return;
  fleet_instance& instance = *found->second;
  instance.leases.OnAnswered(request.lease_command);
  if (request.check) instance.check_in_flight = false;
  if (!request.check && request.number == instance.listing_number) {
    instance.listing_in_flight = false;
    // A listing that returned early was answered at an end: its duration says nothing of the answer
    // time.
    if (now > sent + request.wait) {
      answer_timeout_.OnAnswer(duration_cast<milliseconds>(now - sent - request.wait));
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
    OnRestart(instance, report, now);
    instance.report_outdated = true;
  }
  NoteGrantedLease(instance, request, listing);
  if (instance.silent > 0) {
    LogEvent(scheduler_event::kind::kInstanceBack, request.to.instance, "answers again");
  }
  instance.silent = 0;
  ClearSuspect(instance, sent);
  instance.acks_sent = std::max(instance.acks_sent, request.ends_seen);
  UpdateClock(instance, listing.clock_ms, now);
  HandleEnds(instance, listing.ended, now);
  // Two listings may be in flight and be answered out of order. Of the older one only the ends are
  // used; its running runs may have ended since.
  if (listing.clock_ms < instance.listed_at_ms) return;
  instance.listed_at_ms = listing.clock_ms;
  instance.listing_sent = std::max(instance.listing_sent, sent);
  std::vector<const graph_run*> seen;
  seen.reserve(listing.running.size());
  for (const running_row& row : listing.running) {
    seen.push_back(&HandleRunning(instance, row, now));
  }
  // The number of ends in a listing is limited: the end of a run that is not listed may be on the
  // next page.
  if (listing.ended.size() >= kMaxEndsPerListing) {
    instance.next_listing = now + options_.listing_pause;
    return;
  }
  HandleMissing(instance, seen, sent, now);
  if (!instance.listed) {
    instance.listed = true;
    instance.lease_unknown = false;
    FindReplaced(instance, now);
    instance.lease_until_ms = std::max(instance.lease_until_ms,
                                       listing.clock_ms + EarlierOwnerLease(instance, now).count());
    instance.next_listing = now;
    return;
  }
  instance.next_listing = now + options_.listing_pause;
}

void job_scheduler::OnNoListing(const list_command& request, command_result result,
                                monotonic_time now) {
  const auto found = by_id_.find(request.to.instance);
  if (found == by_id_.end()) return;
  fleet_instance& instance = *found->second;
  if (result != command_result::kUnknown) instance.leases.OnAnswered(request.lease_command);
  // Only the waiting listing determines whether the instance is silent.
  if (request.check) {
    instance.check_in_flight = false;
    return;
  }
  // Abandoned before, as its answer was overdue.
  if (!instance.listing_in_flight || request.number != instance.listing_number) return;
  MarkSilent(instance, ToText(result), now);
}

void job_scheduler::MarkSilent(fleet_instance& instance, std::string_view reason,
                               monotonic_time now) {
  instance.listing_in_flight = false;
  instance.probing = false;
  if (instance.silent++ == 0) {
    LogEvent(scheduler_event::kind::kInstanceSilent, instance.report.id,
             absl::StrCat("result=", std::string(reason), " runs=", instance.runs.size()));
  }
  const uint32_t doublings = std::min(instance.silent - 1, kMaxDoublings);
  instance.next_listing =
      now + std::min(kMaxSilentRetryDelay, kSilentRetryDelay * (1 << doublings));
}

}  // namespace catkinford
