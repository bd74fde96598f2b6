#include "bench/checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "bench/checker_runs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr size_t kShownViolations = 5;  // of each promise
constexpr std::array<std::string_view, kPromises> kPromiseNames = {
    "capacity", "one_place",    "own_team", "limit",         "whole_answer",
    "not_run",  "at_most_once", "leaving",  "graceful_stop", "configuration"};

// Debian's absl::StrCat does not take std::string_view.
template <typename Enum>
std::string Words(Enum value) {
  return std::string(ToText(value));
}

bool Overlap(monotonic_time a_from, monotonic_time a_to, monotonic_time b_from,
             monotonic_time b_to) {
  return a_from < b_to && b_from < a_to;
}

class history_checker {
 public:
  history_checker(const history& seen, const checker_bounds& bounds)
      : seen_(seen),
        bounds_(bounds),
        runs_(RunsOf(seen.events)),
        by_work_(IndexByWork(runs_, seen.calls)) {}

  verdict Run() {
    CheckCapacity();
    CheckOnePlace();
    CheckTeams();
    CheckWithdrawals();
    CheckLimits();
    for (const auto& [work, all] : by_work_) CheckWork(work, all);
    CheckLeaving();
    CheckStops();
    CheckReadings();
    CheckInForce();
    return std::move(result_);
  }

 private:
  void Count(promise which) { ++result_.checked[static_cast<size_t>(which)]; }
  void Broken(promise which, std::string subject, monotonic_time at, std::string detail) {
    result_.violations.push_back({which, std::move(subject), at, std::move(detail)});
  }
  bool Excused(const std::string& entry, monotonic_time from, monotonic_time to) const;
  // At `at`, a fault of the entry goes on or ended less than `grace` ago.
  bool JustFaulted(const std::string& entry, monotonic_time at, milliseconds grace) const;

  void CheckCapacity();
  void CheckOnePlace();
  void CheckTeams();
  void CheckWithdrawals();
  void CheckLimits();
  void CheckTeamLimit(const std::string& team, const std::vector<const task_run*>& runs);
  void CheckWork(const std::string& work, const work_history& all);
  void CheckAnswer(const call_record& call, const work_history& all);
  void CheckAcceptedRan(const call_record& call, const work_history& all);
  void CheckLeaving();
  void CheckStops();
  void CheckReadings();
  void CheckInForce();

  const history& seen_;
  const checker_bounds bounds_;
  const std::vector<task_run> runs_;
  const work_index by_work_;
  verdict result_;
};

bool history_checker::Excused(const std::string& entry, monotonic_time from,
                              monotonic_time to) const {
  return std::any_of(seen_.faults.begin(), seen_.faults.end(), [&](const fault_window& fault) {
    return fault.no_answers && fault.entry == entry && Overlap(fault.from, fault.to, from, to);
  });
}

bool history_checker::JustFaulted(const std::string& entry, monotonic_time at,
                                  milliseconds grace) const {
  return std::any_of(seen_.faults.begin(), seen_.faults.end(), [&](const fault_window& fault) {
    return fault.entry == entry && fault.from <= at && at <= fault.to + grace;
  });
}

void history_checker::CheckCapacity() {
  std::map<std::string, resources> capacity;
  for (const endpoint_capacity& endpoint : seen_.endpoints) {
    capacity[endpoint.endpoint] = endpoint.capacity;
  }
  std::map<std::string, std::vector<const task_run*>> by_endpoint;
  for (const task_run& run : runs_) by_endpoint[run.endpoint].push_back(&run);
  for (const auto& [endpoint, runs] : by_endpoint) {
    resources used;
    for (const load_step& step : StepsOf(runs)) {
      if (!step.is_start) {
        used -= step.run->amount;
        continue;
      }
      used += step.run->amount;
      Count(promise::kCapacity);
      if (!Fits(used, capacity[endpoint])) {
        Broken(promise::kCapacity, endpoint, step.at, "ran more than it holds");
      }
    }
  }
  // Refused by the endpoint itself, but given to it all the same.
  for (const run_event& event : seen_.events) {
    if (event.event != "refuse" || event.result != "no_room") continue;
    Broken(promise::kCapacity, event.endpoint, event.at, absl::StrCat("no room for ", event.id));
  }
}

void history_checker::CheckOnePlace() {
  // By the caller's mark and the task's number where there is a mark: the same request asked at two
  // entries must not become two jobs either.
  std::map<std::string, const task_run*> latest;
  for (const task_run& run : runs_) {
    const std::string place = run.work.empty() ? run.place : absl::StrCat(run.work, "/", run.index);
    Count(promise::kOnePlace);
    const task_run*& before = latest[place];
    if (before != nullptr && run.start < before->end) {
      Broken(promise::kOnePlace, place, run.start,
             absl::StrCat(before->id, " at ", before->endpoint, " and ", run.id, " at ",
                          run.endpoint));
    }
    if (before == nullptr || run.end > before->end) before = &run;
  }
}

void history_checker::CheckTeams() {
  for (const task_run& run : runs_) {
    Count(promise::kOwnTeam);
    const work_history& all = by_work_.at(run.work);
    const bool asked = std::any_of(
        all.calls.begin(), all.calls.end(),
        [&](const call_record* call) { return call->team == run.team && call->sent <= run.start; });
    if (!asked) {
      Broken(promise::kOwnTeam, run.id, run.start,
             absl::StrCat("ran for ", run.team, ", which did not ask for ", run.work));
    }
  }
}

void history_checker::CheckWithdrawals() {
  for (const key_withdrawal& withdrawal : seen_.withdrawals) {
    for (const call_record& call : seen_.calls) {
      const bool late = call.team == withdrawal.team && call.key == withdrawal.key &&
                        call.sent > withdrawal.accepted + bounds_.withdrawal;
      if (!late || !call.has_answer || Excused(call.entry, withdrawal.accepted, call.sent))
        continue;
      Count(promise::kOwnTeam);
      if (call.outcome == outcome_kind::kRefused) continue;
      Broken(promise::kOwnTeam, call.work, call.sent,
             absl::StrCat("taken with withdrawn key ", call.key));
    }
  }
}

void history_checker::CheckLimits() {
  std::map<std::string, std::vector<const task_run*>> by_team;
  for (const task_run& run : runs_) by_team[run.team].push_back(&run);
  for (const auto& [team, runs] : by_team) CheckTeamLimit(team, runs);
}

void history_checker::CheckTeamLimit(const std::string& team,
                                     const std::vector<const task_run*>& runs) {
  std::vector<const limit_record*> limits;
  for (const limit_record& limit : seen_.limits) {
    if (limit.team == team) limits.push_back(&limit);
  }
  if (limits.empty()) return;
  resources used;
  uint32_t running = 0;
  for (const load_step& step : StepsOf(runs)) {
    if (!step.is_start) {
      used -= step.run->amount;
      --running;
      continue;
    }
    used += step.run->amount;
    ++running;
    Count(promise::kLimit);
    // The last limit that has settled, and each later one: any of them may still allow it.
    bool within = false;
    for (auto limit = limits.rbegin(); limit != limits.rend(); ++limit) {
      if ((*limit)->from > step.at) continue;
      resources need = used;
      need.slots = 0;
      within = within || (Fits(need, (*limit)->limit) && running <= (*limit)->running);
      if ((*limit)->from + (*limit)->settled <= step.at) break;
    }
    if (within) continue;
    Broken(promise::kLimit, team, step.at,
           absl::StrCat(running, " tasks, ", used.cpu_milli, " milli-processors, ", used.memory_mb,
                        " MB running"));
  }
}

void history_checker::CheckWork(const std::string& work, const work_history& all) {
  const bool all_refused =
      !all.calls.empty() && std::all_of(all.calls.begin(), all.calls.end(), [](const auto* call) {
        return call->surely_not_sent ||
               (call->has_answer && call->outcome == outcome_kind::kRefused);
      });
  if (all_refused) {
    Count(promise::kNotRun);
    if (!all.runs.empty()) {
      Broken(promise::kNotRun, work, all.runs.front()->start,
             absl::StrCat("refused (", Words(all.calls.front()->reason), ") and ran as ",
                          all.runs.front()->id));
    }
  }
  for (const call_record* call : all.calls) {
    if (!call->is_cancel || !call->has_answer || call->outcome != outcome_kind::kRefused) continue;
    if (call->reason != rejection_reason::kCancelled) continue;
    Count(promise::kNotRun);
    if (all.runs.empty()) continue;
    Broken(promise::kNotRun, work, all.runs.front()->start,
           absl::StrCat("cancelled before it ran, and ran as ", all.runs.front()->id));
  }
  if (!all.calls.empty() && !all.calls.front()->repeatable) {
    Count(promise::kAtMostOnce);
    std::set<uint32_t> started;
    for (const task_run* run : all.runs) {
      if (started.insert(run->index).second) continue;
      Broken(promise::kAtMostOnce, work, run->start,
             absl::StrCat("started again as ", run->id, " at ", run->endpoint));
    }
  }
  for (const call_record* call : all.calls) {
    CheckAnswer(*call, all);
  }
}

void history_checker::CheckAnswer(const call_record& call, const work_history& all) {
  Count(promise::kWholeAnswer);
  if (!call.has_answer) {
    if (call.surely_not_sent || Excused(call.entry, call.sent, call.answered)) return;
    Broken(promise::kWholeAnswer, call.work, call.sent,
           absl::StrCat(call.is_cancel ? "cancel: " : "", "no answer from ", call.entry));
    return;
  }
  if (call.is_cancel) return;
  const auto ended_as = [&](const char* result) {
    return std::any_of(all.runs.begin(), all.runs.end(),
                       [&](const task_run* run) { return run->result == result; });
  };
  if (call.outcome == outcome_kind::kCompleted) {
    if (call.kind == workload_kind::kInteractive && call.answer != call.work) {
      Broken(promise::kWholeAnswer, call.work, call.answered,
             absl::StrCat("got the answer \"", call.answer, "\""));
    }
    if (!ended_as("ok")) {
      Broken(promise::kWholeAnswer, call.work, call.answered,
             "told completed, never ran to its end");
    }
  }
  if (call.outcome == outcome_kind::kFailed && all.runs.empty()) {
    Broken(promise::kWholeAnswer, call.work, call.answered, "told failed, never started");
  }
  // Other runs of it may have failed; one that is told of as failed has a failed run to show.
  const bool all_well = std::all_of(all.runs.begin(), all.runs.end(),
                                    [](const task_run* run) { return run->result == "ok"; });
  if (call.outcome == outcome_kind::kFailed && !all.runs.empty() && all_well) {
    Broken(promise::kWholeAnswer, call.work, call.answered, "told failed, ran well");
  }
  if (call.outcome == outcome_kind::kAccepted) CheckAcceptedRan(call, all);
}

// An accepted job that is lost is a request without its answer. Where the records do not show its
// end, its caller must have been told one that they bear out: that it failed, of a job of which a
// task failed, or that nobody knows, of one that must not run again.
void history_checker::CheckAcceptedRan(const call_record& call, const work_history& all) {
  if (!seen_.all_work_over || call.cancelled || IsOver(call, all)) return;
  const bool one_failed = std::any_of(all.runs.begin(), all.runs.end(),
                                      [](const task_run* run) { return run->result == "failed"; });
  if (call.ended == outcome_kind::kFailed && one_failed) return;
  if (call.ended == outcome_kind::kUnknown && !call.repeatable) return;
  Broken(promise::kWholeAnswer, call.work, call.answered,
         absl::StrCat("accepted ", Words(call.kind), ", ", all.runs.size(), " runs of ", call.tasks,
                      " tasks, ended as ", call.ended ? Words(*call.ended) : "nothing"));
}

void history_checker::CheckLeaving() {
  std::map<std::string, monotonic_time> leaving;
  for (const run_event& event : seen_.events) {
    if (event.event == "leaving") leaving[event.endpoint] = event.at;
    if (event.event == "mode") leaving.erase(event.endpoint);
    if (event.event != "start" && event.event != "refuse") continue;
    const auto found = leaving.find(event.endpoint);
    if (found == leaving.end()) continue;
    Count(promise::kLeaving);
    if (event.at <= found->second + bounds_.leaving) continue;
    Broken(promise::kLeaving, event.endpoint, event.at, absl::StrCat("was given ", event.id));
  }
}

void history_checker::CheckStops() {
  for (const graceful_stop& stop : seen_.stops) {
    Count(promise::kGracefulStop);
    if (stop.exit_code != 0) {
      Broken(promise::kGracefulStop, stop.entry, stop.ended,
             absl::StrCat("exit code ", stop.exit_code));
    }
    for (const call_record& call : seen_.calls) {
      if (call.entry != stop.entry || call.sent >= stop.ended || call.answered <= stop.signalled) {
        continue;
      }
      Count(promise::kGracefulStop);
      const bool unsure = call.has_answer && call.outcome == outcome_kind::kUnknown;
      if ((call.has_answer && !unsure) || call.surely_not_sent) continue;
      Broken(promise::kGracefulStop, call.work, call.answered,
             absl::StrCat(unsure ? "told unknown by " : "cut off by ", stop.entry));
    }
  }
}

void history_checker::CheckReadings() {
  std::map<std::string, uint64_t> highest;
  std::map<uint64_t, std::string> texts;
  for (const config_acceptance& accepted : seen_.acceptances) {
    const auto [at, is_new] = texts.emplace(accepted.version, accepted.text);
    if (is_new) continue;
    Broken(promise::kConfiguration, absl::StrCat("version ", accepted.version), accepted.accepted,
           "accepted twice");
  }
  for (const config_reading& reading : seen_.readings) {
    Count(promise::kConfiguration);
    uint64_t& known = highest[reading.entry];
    if (reading.version < known) {
      Broken(promise::kConfiguration, reading.entry, reading.at,
             absl::StrCat("went from version ", known, " back to ", reading.version));
    }
    known = std::max(known, reading.version);
    const auto text = texts.find(reading.version);
    if (text == texts.end() || text->second.empty() || text->second == reading.text) continue;
    Broken(promise::kConfiguration, reading.entry, reading.at,
           absl::StrCat("another text for version ", reading.version));
  }
}

void history_checker::CheckInForce() {
  for (const config_acceptance& accepted : seen_.acceptances) {
    for (const config_reading& reading : seen_.readings) {
      if (reading.at <= accepted.accepted + bounds_.in_force) continue;
      if (JustFaulted(reading.entry, reading.at, bounds_.in_force)) continue;
      Count(promise::kConfiguration);
      if (reading.version >= accepted.version) continue;
      Broken(promise::kConfiguration, reading.entry, reading.at,
             absl::StrCat("still at version ", reading.version, ", not ", accepted.version));
    }
  }
}

}  // namespace

std::string_view ToText(promise which) { return kPromiseNames[static_cast<size_t>(which)]; }

uint64_t verdict::Violations(promise which) const {
  return static_cast<uint64_t>(
      std::count_if(violations.begin(), violations.end(),
                    [&](const violation& found) { return found.broken == which; }));
}

verdict Check(const history& seen, const checker_bounds& bounds) {
  return history_checker(seen, bounds).Run();
}

nlohmann::json ToJson(const verdict& result) {
  nlohmann::json promises = nlohmann::json::object();
  for (size_t i = 0; i < kPromises; ++i) {
    const auto which = static_cast<promise>(i);
    promises[std::string(ToText(which))] = {{"checked", result.checked[i]},
                                            {"broken", result.Violations(which)}};
  }
  nlohmann::json shown = nlohmann::json::array();
  std::array<size_t, kPromises> shown_of{};
  for (const violation& found : result.violations) {
    if (++shown_of[static_cast<size_t>(found.broken)] > kShownViolations) continue;
    shown.push_back({{"promise", ToText(found.broken)},
                     {"subject", found.subject},
                     {"at_us", std::chrono::duration_cast<std::chrono::microseconds>(
                                   found.at.time_since_epoch())
                                   .count()},
                     {"detail", found.detail}});
  }
  return {{"held", result.Held()}, {"promises", promises}, {"violations", shown}};
}

}  // namespace catkinford
