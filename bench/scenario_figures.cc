#include "bench/scenario_figures.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bench/checker_runs.h"
#include "bench/load.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSettling{500};  // of the load's first moments, which count for nothing

double MillisecondsBetween(monotonic_time from, monotonic_time to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

bool InDomain(const std::string& endpoint, const std::string& domain) {
  return endpoint.compare(0, domain.size(), domain) == 0;
}

double GoodputBetween(const std::vector<call_record>& calls, monotonic_time from,
                      monotonic_time to) {
  const double seconds = std::chrono::duration<double>(to - from).count();
  const auto good = std::count_if(calls.begin(), calls.end(), [&](const call_record& call) {
    return call.has_answer && !call.is_cancel && call.answered >= from && call.answered < to &&
           (call.outcome == outcome_kind::kCompleted || call.outcome == outcome_kind::kAccepted);
  });
  return seconds > 0 ? static_cast<double>(good) / seconds : 0;
}

// From the strike to the first start in the domain under an epoch that was not there before it.
std::optional<double> NextPlacement(const history& seen, const scenario_times& times) {
  if (times.domain.empty()) return std::nullopt;
  uint64_t epoch = 0;
  monotonic_time first = monotonic_time::max();
  const auto in_domain = [&](const run_event& event) {
    return event.event == "start" && InDomain(event.endpoint, times.domain);
  };
  for (const run_event& event : seen.events) {
    if (in_domain(event) && event.at <= times.struck) epoch = std::max(epoch, event.epoch);
  }
  for (const run_event& event : seen.events) {
    if (!in_domain(event) || event.at <= times.struck || event.epoch <= epoch) continue;
    first = std::min(first, event.at);
  }
  if (first == monotonic_time::max()) return std::nullopt;
  return MillisecondsBetween(times.struck, first);
}

// The longest time from the acceptance of a version until the last of the entries showed it; only
// as fine as the readings are frequent.
std::optional<double> InForce(const history& seen) {
  std::optional<double> longest;
  for (const config_acceptance& accepted : seen.acceptances) {
    std::map<std::string, monotonic_time> first;
    for (const config_reading& reading : seen.readings) {
      if (reading.version >= accepted.version) first.emplace(reading.entry, reading.at);
    }
    for (const auto& [entry, at] : first) {
      longest = std::max(longest.value_or(0), MillisecondsBetween(accepted.accepted, at));
    }
  }
  return longest;
}

// From the answer to the operator to the last call with the key that was not refused.
std::optional<double> LastUseOfWithdrawnKey(const history& seen) {
  std::optional<double> last;
  for (const key_withdrawal& withdrawal : seen.withdrawals) {
    last = last.value_or(0);
    for (const call_record& call : seen.calls) {
      if (call.team != withdrawal.team || call.key != withdrawal.key || !call.has_answer) continue;
      if (call.outcome == outcome_kind::kRefused || call.sent < withdrawal.accepted) continue;
      last = std::max(*last, MillisecondsBetween(withdrawal.accepted, call.sent));
    }
  }
  return last;
}

// Requests that ran, and ran outside the stricken domain only.
std::vector<call_record> CallsElsewhere(const history& seen, const std::string& domain) {
  const std::vector<task_run> runs = RunsOf(seen.events);
  const work_index index = IndexByWork(runs, seen.calls);
  std::vector<call_record> calls;
  for (const call_record& call : seen.calls) {
    const std::vector<const task_run*>& of = index.at(call.work).runs;
    const bool elsewhere = !of.empty() && std::none_of(of.begin(), of.end(), [&](const auto* run) {
      return InDomain(run->endpoint, domain);
    });
    if (elsewhere) calls.push_back(call);
  }
  return calls;
}

double P99Between(const std::vector<call_record>& calls, monotonic_time from, monotonic_time to) {
  std::vector<call_record> within;
  std::copy_if(calls.begin(), calls.end(), std::back_inserter(within),
               [&](const call_record& call) { return call.sent >= from && call.sent < to; });
  return FiguresOf(within).p99_ms;
}

// Replicas of each service that run at `at`, by failure domain: endpoints are named after theirs.
std::map<std::string, std::map<std::string, uint32_t>> ReplicasAt(const history& seen,
                                                                  monotonic_time at) {
  std::set<std::string> services;
  for (const call_record& call : seen.calls) {
    if (call.kind == workload_kind::kService && !call.is_cancel) services.insert(call.work);
  }
  std::map<std::string, std::map<std::string, uint32_t>> replicas;
  for (const std::string& service : services) replicas[service];
  for (const task_run& run : RunsOf(seen.events)) {
    const bool runs = run.start <= at && run.end > at && services.contains(run.work);
    if (runs) ++replicas[run.work][run.endpoint.substr(0, run.endpoint.rfind("-ep"))];
  }
  return replicas;
}

// What of a service would go on after the loss of any one domain, at worst: the mean over services,
// and the service that would keep the least.
nlohmann::json ServiceFigures(const history& seen, const scenario_times& times) {
  uint32_t running_before = 0;
  uint32_t running_during = 0;
  double kept_sum = 0;
  double kept_least = 1;
  const auto before = ReplicasAt(seen, times.fault_begin);
  const auto during = ReplicasAt(seen, times.fault_end);
  for (const auto& [service, domains] : before) {
    uint32_t all = 0;
    uint32_t most = 0;
    for (const auto& [domain, count] : domains) {
      all += count;
      most = std::max(most, count);
    }
    const double kept = all > 0 ? 1 - static_cast<double>(most) / all : 0;
    kept_sum += kept;
    kept_least = std::min(kept_least, kept);
    running_before += all;
  }
  uint32_t services_down = 0;
  for (const auto& [service, domains] : during) {
    services_down += domains.empty() ? 1 : 0;
    for (const auto& [domain, count] : domains) running_during += count;
  }
  std::vector<call_record> asked;
  std::copy_if(seen.calls.begin(), seen.calls.end(), std::back_inserter(asked),
               [](const call_record& call) {
                 return call.kind == workload_kind::kService && !call.is_cancel;
               });
  nlohmann::json figures = {{"running_before", running_before},
                            {"running_at_fault_end", running_during},
                            {"without_replica_at_fault_end", services_down}};
  if (before.empty()) return figures;
  figures["kept_at_worst_loss_mean"] = kept_sum / static_cast<double>(before.size());
  figures["kept_at_worst_loss_least"] = kept_least;
  std::vector<double> times_ms;
  for (const call_record& call : asked) {
    if (call.has_answer) times_ms.push_back(MillisecondsBetween(call.sent, call.answered));
  }
  std::sort(times_ms.begin(), times_ms.end());
  if (times_ms.empty()) return figures;
  figures["answer_p50_ms"] = times_ms[times_ms.size() / 2];
  figures["answer_longest_ms"] = times_ms.back();
  return figures;
}

void Put(nlohmann::json& figures, const char* name, const std::optional<double>& value) {
  if (value) figures[name] = *value;
}

}  // namespace

nlohmann::json FiguresOf(const history& seen, const scenario_times& times) {
  std::vector<call_record> calls;
  std::copy_if(seen.calls.begin(), seen.calls.end(), std::back_inserter(calls),
               [](const call_record& call) {
                 return !call.is_cancel && call.kind != workload_kind::kService;
               });
  const monotonic_time settled = times.begun + kSettling;
  const double good_before = GoodputBetween(seen.calls, settled, times.fault_begin);
  const double good_during = GoodputBetween(seen.calls, times.fault_begin, times.fault_end);
  nlohmann::json figures = ToJson(FiguresOf(calls));
  figures["goodput_before"] = good_before;
  figures["goodput_during"] = good_during;
  figures["goodput_ratio"] = good_before > 0 ? good_during / good_before : 0;
  figures["p99_before_ms"] = P99Between(calls, settled, times.fault_begin);
  figures["p99_during_ms"] = P99Between(calls, times.fault_begin, times.fault_end);
  if (!times.domain.empty()) {
    const std::vector<call_record> elsewhere = CallsElsewhere(seen, times.domain);
    figures["others_p99_before_ms"] = P99Between(elsewhere, settled, times.fault_begin);
    figures["others_p99_during_ms"] = P99Between(elsewhere, times.fault_begin, times.fault_end);
  }
  figures["services"] = ServiceFigures(seen, times);
  Put(figures, "next_placement_ms", NextPlacement(seen, times));
  Put(figures, "config_in_force_ms", InForce(seen));
  Put(figures, "withdrawn_key_last_use_ms", LastUseOfWithdrawnKey(seen));
  return figures;
}

}  // namespace catkinford
