// `catkinford-bench shares`: what each team gets of a full floor, beside its share.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/flags/declare.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "bench/caller.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/fleet.h"
#include "bench/latency.h"
#include "nlohmann/json.hpp"
#include "version/contract.h"

ABSL_FLAG(uint32_t, teams, 6, "shares: how many teams");
ABSL_FLAG(double, settle, 10, "shares: seconds before the figures are taken");
ABSL_FLAG(uint32_t, outstanding, 144, "shares: requests that each team keeps open");
ABSL_FLAG(std::string, absent, "", "shares: a team that goes away for --seconds and comes back");
ABSL_FLAG(std::string, far_heartbeat, "",
          "shares: the setting timing.far_heartbeat; empty: default");
ABSL_FLAG(uint32_t, domain_shards, 1,
          "shares: of each domain; above one, as many entries and racks of 8");
ABSL_FLAG(uint32_t, share_run_ms, 200, "shares: run time of each request");
ABSL_DECLARE_FLAG(double, seconds);

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartLimit{30000};
constexpr milliseconds kConfigLimit{15000};
constexpr milliseconds kDeadline{15000};
constexpr size_t kEndpointsPerDomain = 6;
constexpr size_t kRackSize = 8;  // whole racks belong to one shard
constexpr size_t kClients = 3;
// Eight of these fill an endpoint in processors, memory and slots alike.
constexpr resources kEach{2000, 4096, 0, 0};
// Parts of the floor; a team over the list's end gets the last.
constexpr std::array<double, 6> kParts = {30, 25, 20, 10, 10, 5};

struct team_load {
  team_access access;
  double share = 0;
  std::atomic<bool> present = true;
};

// Every team keeps its requests open: each answer is followed by the next request, a refusal when
// its caller was told to come back.
class closed_loop {
 public:
  closed_loop(fleet& running, std::vector<std::unique_ptr<team_load>>& teams)
      : running_(running), teams_(teams) {}

  void Begin(size_t team, uint32_t outstanding) {
    for (uint32_t i = 0; i < outstanding; ++i) Next(team);
  }
  // Sends what comes back, until then.
  void RunUntil(monotonic_time end) {
    std::unique_lock lock(mutex_);
    while (steady_clock::now() < end) {
      if (returns_.empty() || returns_.begin()->first > steady_clock::now()) {
        changed_.wait_until(lock, returns_.empty() ? end : std::min(end, returns_.begin()->first));
        continue;
      }
      const team_request back = returns_.begin()->second;
      returns_.erase(returns_.begin());
      lock.unlock();
      Send(back);
      lock.lock();
    }
  }
  void Stop() {
    stopped_ = true;
    callers_.WaitIdle(kDeadline + kDeadline);
  }
  std::vector<call_record> Records() const { return callers_.Records(); }

 private:
  struct team_request {
    size_t team = 0;
    uint64_t number = 0;
  };

  void Next(size_t team) { Send({team, next_++}); }

  void Send(const team_request& request) {
    if (stopped_ || !teams_[request.team]->present) return;
    call_spec spec;
    spec.work = absl::StrCat("share-", request.team, "-", request.number);
    spec.each = kEach;
    spec.run_time = milliseconds{absl::GetFlag(FLAGS_share_run_ms)};
    spec.deadline = kDeadline;
    const size_t slot = request.number % running_.Entries();
    callers_.Submit(running_.Entry(slot).name, running_.UrlOf(slot), teams_[request.team]->access,
                    spec, steady_clock::now(),
                    [this, request](const call_record& record) { Answered(request, record); });
  }

  void Answered(const team_request& request, const call_record& record) {
    if (record.retry_after.count() == 0) {
      Next(request.team);
      return;
    }
    const std::lock_guard lock(mutex_);
    returns_.emplace(record.answered + record.retry_after, request);
    changed_.notify_all();
  }

  fleet& running_;
  std::vector<std::unique_ptr<team_load>>& teams_;
  std::atomic<bool> stopped_ = false;
  std::atomic<uint64_t> next_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<monotonic_time, team_request> returns_;  // guarded by mutex_
  caller callers_{kClients};
};

// Processor time that each team had in the window, by the endpoints' own records.
std::map<std::string, double> ReceivedIn(const std::vector<run_event>& events, monotonic_time from,
                                         monotonic_time to) {
  absl::flat_hash_map<std::string, const run_event*> starts;
  std::map<std::string, double> received;
  const auto add = [&](const run_event& start, monotonic_time end) {
    const std::chrono::duration<double> overlap = std::min(end, to) - std::max(start.at, from);
    if (overlap.count() > 0) received[start.team] += overlap.count() * start.amount.cpu_milli;
  };
  for (const run_event& event : events) {
    if (event.event == "start") starts[event.id] = &event;
    if (event.event != "end") continue;
    const auto found = starts.find(event.id);
    if (found == starts.end()) continue;
    add(*found->second, event.at);
    starts.erase(found);
  }
  for (const auto& [id, start] : starts) add(*start, to);
  return received;
}

// Processor time that the endpoints had in the window.
double CapacityIn(const fleet& running, monotonic_time from, monotonic_time to) {
  double cpu = 0;
  for (const endpoint_capacity& each : running.Capacities()) cpu += each.capacity.cpu_milli;
  return cpu * std::chrono::duration<double>(to - from).count();
}

struct share_window {
  std::string name;
  monotonic_time from;
  monotonic_time to;
  std::string absent;  // a team that wants nothing in it
};

// Prints one window; returns it with the largest distance between a part and its share.
nlohmann::json Judge(fleet& running, const std::vector<std::unique_ptr<team_load>>& teams,
                     const std::vector<run_event>& events, const share_window& window) {
  const std::map<std::string, double> received = ReceivedIn(events, window.from, window.to);
  double all = 0;
  for (const auto& [team, amount] : received) all += amount;
  double shares = 0;
  for (const auto& team : teams) {
    if (team->access.team != window.absent) shares += team->share;
  }
  nlohmann::json lines = nlohmann::json::array();
  double worst = 0;
  const double full = all / CapacityIn(running, window.from, window.to);
  std::printf("%s: floor %.1f %% in use\n", window.name.c_str(), full * 100);
  for (const auto& team : teams) {
    if (team->access.team == window.absent) continue;
    const auto found = received.find(team->access.team);
    const double part = found == received.end() ? 0 : found->second / all * 100;
    const double due = team->share / shares * 100;
    worst = std::max(worst, std::abs(part - due));
    std::printf("  %-8s share %5.1f %%  received %5.1f %%\n", team->access.team.c_str(), due, part);
    lines.push_back({{"team", team->access.team}, {"share", due}, {"received", part}});
  }
  std::printf("  largest distance %.2f percentage points\n", worst);
  return {{"window", window.name}, {"in_use", full}, {"worst_points", worst}, {"teams", lines}};
}

// Gives the teams their different shares, through an entry as an operator would.
bool SetShares(fleet& running, std::vector<std::unique_ptr<team_load>>& teams) {
  configuration config = running.Contract().config;
  double sum = 0;
  for (size_t i = 0; i < teams.size(); ++i) sum += kParts[std::min(i, kParts.size() - 1)];
  for (size_t i = 0; i < teams.size(); ++i) {
    teams[i]->share = kParts[std::min(i, kParts.size() - 1)] * 100 / sum;
    FindTeam(config, teams[i]->access.team)->share = teams[i]->share;
  }
  http_client http(0);
  http.Start();
  http_call read{"GET", running.UrlOf(0) + "/v1/config", "", running.Contract().operator_secret};
  const nlohmann::json present = nlohmann::json::parse(http.SendAndWait(read).body, nullptr, false);
  if (!present.is_object()) return false;
  const nlohmann::json change = {{"expect", present["version"]}, {"text", ToText(config)}};
  http_call write{"PUT", read.url, change.dump(), read.bearer, kConfigLimit};
  const http_result result = http.SendAndWait(write);
  http.Stop();
  if (result.code == 200) return true;
  std::fprintf(stderr, "shares: the contract was not taken: %s\n", result.body.c_str());
  return false;
}

// How long the completed requests of each team waited: whether those that were shed would have
// waited too long.
nlohmann::json WaitsByTeam(const std::vector<call_record>& records) {
  std::map<std::string, latency_samples<milliseconds>> waits;
  for (const call_record& record : records) {
    if (!record.has_answer || record.outcome != outcome_kind::kCompleted) continue;
    waits[record.team].Add(std::chrono::duration_cast<milliseconds>(
        record.answered - record.scheduled - record.run_time));
  }
  nlohmann::json all = nlohmann::json::object();
  for (const auto& [team, wait] : waits) {
    const auto p50 = wait.Percentile(0.5).count();
    const auto p99 = wait.Percentile(0.99).count();
    std::printf("  %-8s waited p50 %lld ms, p99 %lld ms\n", team.c_str(),
                static_cast<long long>(p50), static_cast<long long>(p99));
    all[team] = {{"p50_ms", p50}, {"p99_ms", p99}};
  }
  return all;
}

// Requests that were shed, by team, with the first and the last time from the begin: whether one
// team or one moment stands out.
nlohmann::json ShedByTeam(const std::vector<call_record>& records, monotonic_time begun) {
  struct shed_span {
    int count = 0;
    double first = 0;
    double last = 0;
  };
  std::map<std::string, shed_span> teams;
  for (const call_record& record : records) {
    if (!record.has_answer || record.reason != rejection_reason::kShed) continue;
    const double at = std::chrono::duration<double>(record.answered - begun).count();
    shed_span& span = teams[record.team];
    span.first = span.count == 0 ? at : std::min(span.first, at);
    span.last = std::max(span.last, at);
    ++span.count;
  }
  nlohmann::json all = nlohmann::json::object();
  for (const auto& [team, span] : teams) {
    std::printf("  %-8s shed %d between %.1f and %.1f s\n", team.c_str(), span.count, span.first,
                span.last);
    all[team] = {{"count", span.count}, {"first_s", span.first}, {"last_s", span.last}};
  }
  return all;
}

}  // namespace

int SharesMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  fleet_options options;
  options.endpoints_per_domain = kEndpointsPerDomain;
  const uint32_t shards = absl::GetFlag(FLAGS_domain_shards);
  if (shards > 1) {
    options.shards_per_domain = shards;
    options.entries_per_domain = shards;
    options.endpoints_per_domain = kRackSize * shards;
  }
  options.teams = absl::GetFlag(FLAGS_teams);
  options.seed = absl::GetFlag(FLAGS_seed);
  const std::string far_heartbeat = absl::GetFlag(FLAGS_far_heartbeat);
  if (!far_heartbeat.empty()) options.timing["far_heartbeat"] = far_heartbeat;
  fleet running(options);
  if (!running.Start(kStartLimit)) return 1;
  std::vector<std::unique_ptr<team_load>> teams;
  for (const team_access& access : running.Contract().teams) {
    teams.push_back(std::make_unique<team_load>());
    teams.back()->access = access;
  }
  if (!SetShares(running, teams)) return 1;

  const auto seconds = [](double count) {
    return std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double>(count));
  };
  const auto length = seconds(absl::GetFlag(FLAGS_seconds));
  const auto settle = seconds(absl::GetFlag(FLAGS_settle));
  const uint32_t outstanding = absl::GetFlag(FLAGS_outstanding);
  const std::string absent = absl::GetFlag(FLAGS_absent);
  closed_loop load(running, teams);
  const monotonic_time begun = steady_clock::now();
  for (size_t i = 0; i < teams.size(); ++i) load.Begin(i, outstanding);
  std::vector<share_window> windows;
  monotonic_time end = begun + length;
  load.RunUntil(end);
  windows.push_back({"all present", begun + settle, end, ""});
  const auto away = std::find_if(teams.begin(), teams.end(),
                                 [&](const auto& team) { return team->access.team == absent; });
  if (away != teams.end()) {
    (*away)->present = false;
    load.RunUntil(end + length);
    windows.push_back({absent + " away", end + settle, end + length, absent});
    (*away)->present = true;
    load.Begin(static_cast<size_t>(away - teams.begin()), outstanding);
    end += length;
    load.RunUntil(end + length);
    windows.push_back({absent + " back", end + settle, end + length, ""});
  }
  load.Stop();
  const std::vector<run_event> events = running.Events();
  nlohmann::json report = {{"seed", options.seed},
                           {"commit", absl::GetFlag(FLAGS_commit)},
                           {"windows", nlohmann::json::array()}};
  for (const share_window& window : windows) {
    report["windows"].push_back(Judge(running, teams, events, window));
  }
  std::map<std::string, int> ends;
  for (const call_record& record : load.Records()) {
    std::string kind(record.has_answer ? ToText(record.outcome) : "no_answer");
    if (record.reason != rejection_reason::kNone) {
      absl::StrAppend(&kind, ":", std::string(ToText(record.reason)));
    }
    ++ends[kind];
  }
  for (const auto& [kind, count] : ends) std::printf("%s %d  ", kind.c_str(), count);
  std::puts("");
  report["outcomes"] = ends;
  report["waits"] = WaitsByTeam(load.Records());
  report["shed"] = ShedByTeam(load.Records(), begun);
  if (!absl::GetFlag(FLAGS_json).empty()) {
    std::ofstream(absl::GetFlag(FLAGS_json)) << report.dump(1) << '\n';
  }
  return 0;
}

}  // namespace catkinford
