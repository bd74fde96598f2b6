#include "bench/scenario_run.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "bench/checker_runs.h"
#include "standin/json_fields.h"
#include "version/contract.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartLimit{20000};
constexpr milliseconds kDrainLimit{20000};
constexpr milliseconds kStopLimit{20000};
constexpr milliseconds kWatchStep{150};  // of the balancer's health check and the config readings
constexpr milliseconds kPollLimit{400};  // an entry that takes longer is out of the balancer
constexpr milliseconds kOperateLimit{5000};
constexpr milliseconds kServiceTime{600000};  // longer than any scenario
// The document without its comments: an entry may sign what it keeps with a comment of its own.
std::string Canonical(const std::string& text) {
  const auto parsed = ParseConfiguration(text);
  return std::holds_alternative<configuration>(parsed) ? ToText(std::get<configuration>(parsed))
                                                       : text;
}

void Canonicalize(std::vector<config_reading>& readings) {
  std::map<std::string, std::string> known;
  for (config_reading& reading : readings) {
    auto found = known.find(reading.text);
    if (found == known.end()) found = known.emplace(reading.text, Canonical(reading.text)).first;
    reading.text = found->second;
  }
}

constexpr monotonic_time kForEver = monotonic_time::max() - std::chrono::hours{24};

}  // namespace

scenario_run::scenario_run(scenario_options options)
    : options_(std::move(options)), fleet_(options_.fleet), random_(options_.seed) {
  http_.Start();
}

scenario_run::~scenario_run() {
  stopping_ = true;
  if (load_.joinable()) load_.join();
  if (watcher_.joinable()) watcher_.join();
  http_.Stop();
}

void scenario_run::Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

bool scenario_run::Begin() {
  if (!fleet_.Start(kStartLimit)) return false;
  came_up_ = true;
  for (size_t slot = 0; slot < fleet_.Entries(); ++slot) {
    watched_[slot] = {fleet_.Entry(slot).name, fleet_.UrlOf(slot)};
    ready_.insert(slot);
  }
  seen_.endpoints = fleet_.Capacities();
  AddLimits();
  times_.begun = times_.fault_begin = times_.fault_end = steady_clock::now();
  watcher_ = std::thread([this] { RunWatcher(); });
  SubmitServices();
  load_ = std::thread([this] {
    load_options load = options_.load;
    load.seed = options_.seed;
    RunLoad(load, callers_, Teams(), [this]() -> std::optional<std::vector<load_target>> {
      if (stopping_) return std::nullopt;
      return InBalancer();
    });
  });
  Sleep(options_.before);
  return true;
}

void scenario_run::AddLimits() {
  for (const workspace_contract& workspace : fleet_.Contract().config.workspaces) {
    for (const team_contract& team : workspace.teams) {
      resources limit = team.limit;
      limit.slots = 0;
      seen_.limits.push_back(
          {team.name, limit, team.running_limit, monotonic_time{}, milliseconds{0}});
    }
  }
}

void scenario_run::SubmitServices() {
  for (size_t i = 0; i < options_.services; ++i) {
    call_spec spec;
    spec.work = absl::StrCat("service-", options_.seed, "-", i);
    spec.kind = workload_kind::kService;
    spec.tasks = options_.replicas;
    spec.run_time = kServiceTime;
    const size_t slot = i % fleet_.Entries();
    callers_.Submit(fleet_.Entry(slot).name, fleet_.UrlOf(slot), Teams()[i % Teams().size()], spec,
                    steady_clock::now());
  }
}

std::vector<load_target> scenario_run::InBalancer() const {
  std::vector<load_target> targets;
  const std::lock_guard lock(mutex_);
  for (const size_t slot : ready_) {
    const auto& [name, url] = watched_.at(slot);
    targets.push_back({name, url});
  }
  return targets;
}

void scenario_run::RunWatcher() {
  while (!stopping_) {
    std::map<size_t, std::pair<std::string, std::string>> watched;
    {
      const std::lock_guard lock(mutex_);
      watched = watched_;
    }
    for (const auto& [slot, entry] : watched) PollEntry(slot, entry.first, entry.second);
    Sleep(kWatchStep);
  }
}

// The balancer's health check, and an operator who looks at the configuration in force.
void scenario_run::PollEntry(size_t slot, const std::string& name, const std::string& url) {
  http_call ready{"GET", url + "/readyz"};
  ready.timeout = kPollLimit;
  http_.Send(ready, [this, slot, name](const http_result& result) {
    const std::lock_guard lock(mutex_);
    if (watched_[slot].first != name) return;
    if (result.code == 200) {
      ready_.insert(slot);
    } else {
      ready_.erase(slot);
    }
  });
  http_call config{"GET", url + "/v1/config", "", fleet_.Contract().operator_secret};
  config.timeout = kPollLimit;
  const monotonic_time asked = steady_clock::now();
  http_.Send(config, [this, name, asked](const http_result& result) {
    if (result.code != 200) return;
    const nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
    const std::lock_guard lock(mutex_);
    seen_.readings.push_back(
        {name, static_cast<uint64_t>(IntOf(body, "version", 0)), TextOf(body, "text", ""), asked});
  });
}

http_result scenario_run::Operate(const std::string& method, const std::string& url,
                                  const std::string& body) {
  http_call call{method, url, body, fleet_.Contract().operator_secret};
  call.timeout = kOperateLimit;
  return http_.SendAndWait(call);
}

std::vector<size_t> scenario_run::SlotsOf(size_t domain) const {
  std::vector<size_t> slots;
  const size_t each = options_.fleet.entries_per_domain;
  for (size_t i = 0; i < each; ++i) slots.push_back(domain * each + i);
  return slots;
}

size_t scenario_run::OwnerSlot(size_t domain) {
  const std::string& name = options_.fleet.domains[domain];
  for (const load_target& target : InBalancer()) {
    const http_result result = Operate("GET", target.url + "/v1/members", "");
    const nlohmann::json members = nlohmann::json::parse(result.body, nullptr, false);
    for (const nlohmann::json& shard : ChildOf(members, "shards")) {
      if (TextOf(shard, "name", "").compare(0, name.size(), name) != 0) continue;
      const std::string owner = TextOf(shard, "owner", "");
      for (const size_t slot : SlotsOf(domain)) {
        if (fleet_.Entry(slot).name == owner) return slot;
      }
    }
  }
  return SlotsOf(domain).front();
}

void scenario_run::KillEntry(size_t slot) {
  fleet_entry& entry = fleet_.Entry(slot);
  const monotonic_time now = steady_clock::now();
  entry.process.Kill();
  const std::lock_guard lock(mutex_);
  seen_.faults.push_back({entry.name, now, kForEver});
}

void scenario_run::ReplaceEntry(size_t slot) {
  if (fleet_.Entry(slot).process.Alive()) KillEntry(slot);
  fleet_.ReplaceEntry(slot);
  const std::lock_guard lock(mutex_);
  ready_.erase(slot);
  watched_[slot] = {fleet_.Entry(slot).name, fleet_.UrlOf(slot)};
}

void scenario_run::PauseEntry(size_t slot) {
  fleet_entry& entry = fleet_.Entry(slot);
  const std::lock_guard lock(mutex_);
  seen_.faults.push_back({entry.name, steady_clock::now(), kForEver});
  entry.process.Signal(SIGSTOP);
}

// The window ends a little after the entry goes on: what came in meanwhile may have timed out.
void scenario_run::ResumeEntry(size_t slot) {
  fleet_entry& entry = fleet_.Entry(slot);
  entry.process.Signal(SIGCONT);
  const std::lock_guard lock(mutex_);
  for (fault_window& fault : seen_.faults) {
    if (fault.entry == entry.name && fault.to == kForEver) fault.to = steady_clock::now();
  }
}

void scenario_run::StopGracefully(size_t slot) {
  fleet_entry& entry = fleet_.Entry(slot);
  graceful_stop stop;
  stop.entry = entry.name;
  stop.signalled = steady_clock::now();
  entry.process.Signal(SIGTERM);
  const std::optional<int> code = entry.process.WaitFor(kStopLimit);
  stop.ended = steady_clock::now();
  stop.exit_code = code.value_or(-1);
  const std::lock_guard lock(mutex_);
  seen_.stops.push_back(stop);
}

void scenario_run::CutFromNews(size_t slot) {
  const std::lock_guard lock(mutex_);
  seen_.faults.push_back({fleet_.Entry(slot).name, steady_clock::now(), kForEver, false});
}

void scenario_run::Healed(size_t slot) {
  const std::lock_guard lock(mutex_);
  for (fault_window& fault : seen_.faults) {
    const bool open = fault.entry == fleet_.Entry(slot).name && fault.to == kForEver;
    if (open && !fault.no_answers) fault.to = steady_clock::now();
  }
}

std::optional<scenario_run::read_config> scenario_run::ReadConfig(size_t slot) {
  const http_result result = Operate("GET", fleet_.UrlOf(slot) + "/v1/config", "");
  const nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
  auto parsed = ParseConfiguration(TextOf(body, "text", ""));
  if (result.code != 200 || !std::holds_alternative<configuration>(parsed)) return std::nullopt;
  return read_config{static_cast<uint64_t>(IntOf(body, "version", 0)),
                     std::get<configuration>(std::move(parsed))};
}

std::optional<uint64_t> scenario_run::PutConfig(size_t slot, uint64_t expect,
                                                const configuration& config) {
  const std::string text = ToText(config);
  const nlohmann::json body = {{"expect", expect}, {"text", text}};
  const http_result result = Operate("PUT", fleet_.UrlOf(slot) + "/v1/config", body.dump());
  const nlohmann::json answer = nlohmann::json::parse(result.body, nullptr, false);
  if (result.code != 200) return std::nullopt;
  const auto version = static_cast<uint64_t>(IntOf(answer, "version", 0));
  const std::lock_guard lock(mutex_);
  seen_.acceptances.push_back({version, text, steady_clock::now()});
  return version;
}

void scenario_run::WithdrawKey(const team_access& team) {
  std::optional<read_config> present = ReadConfig(0);
  if (!present) return;
  for (key_record& key : FindTeam(present->config, team.team)->keys) {
    if (key.name == team.key_name) key.withdrawn = true;
  }
  if (!PutConfig(0, present->version, present->config)) return;
  const std::lock_guard lock(mutex_);
  seen_.withdrawals.push_back({team.team, team.key_name, steady_clock::now()});
}

void scenario_run::LowerLimit(const std::string& team, uint32_t running, milliseconds settled) {
  std::optional<read_config> present = ReadConfig(0);
  if (!present) return;
  team_contract& terms = *FindTeam(present->config, team);
  terms.running_limit = running;
  const monotonic_time asked = steady_clock::now();
  if (!PutConfig(0, present->version, present->config)) return;
  resources limit = terms.limit;
  limit.slots = 0;
  const std::lock_guard lock(mutex_);
  seen_.limits.push_back({team, limit, running, asked, settled});
}

void scenario_run::Drain(const std::string& endpoint) {
  Operate("POST", fleet_.UrlOf(0) + "/v1/endpoints/" + endpoint + "/drain", "{}");
}

void scenario_run::Evacuate(size_t slot, size_t domain) {
  const std::string& name = options_.fleet.domains[domain];
  const http_result result =
      Operate("POST", fleet_.UrlOf(slot) + "/v1/domains/" + name + "/evacuate", "{}");
  evacuations_.push_back(nlohmann::json::parse(result.body, nullptr, false));
}

void scenario_run::TimeNextPlacement(size_t domain) {
  times_.domain = options_.fleet.domains[domain];
  times_.struck = steady_clock::now();
}

void scenario_run::MarkFaultBegin() { times_.fault_begin = steady_clock::now(); }

void scenario_run::MarkFaultEnd() {
  if (times_.fault_end <= times_.fault_begin) times_.fault_end = steady_clock::now();
}

// Until each accepted job that nobody cancelled has run as many tasks as it has; services run on.
bool scenario_run::WaitForAccepted(milliseconds limit) {
  const auto until = steady_clock::now() + limit;
  for (;;) {
    const std::vector<call_record> calls = callers_.Records();
    const std::vector<task_run> runs = RunsOf(fleet_.Events());
    const work_index index = IndexByWork(runs, calls);
    const bool all_ran = std::all_of(calls.begin(), calls.end(), [&](const call_record& call) {
      const bool waits = call.has_answer && call.outcome == outcome_kind::kAccepted &&
                         !call.cancelled && !call.is_cancel;
      if (!waits) return true;
      return IsOver(call, index.at(call.work));
    });
    if (all_ran || steady_clock::now() >= until) return all_ran;
    Sleep(milliseconds{200});
  }
}

// Asks for the jobs of which the endpoints' records show no end, as their callers would.
void scenario_run::AskForEnds(history& seen) {
  const std::vector<task_run> runs = RunsOf(seen.events);
  const work_index index = IndexByWork(runs, seen.calls);
  const std::vector<load_target> targets = InBalancer();
  if (targets.empty()) return;
  for (call_record& call : seen.calls) {
    const bool accepted = call.has_answer && call.outcome == outcome_kind::kAccepted;
    if (!accepted || call.cancelled || IsOver(call, index.at(call.work))) continue;
    const http_result result = Operate("GET", targets.front().url + "/v1/jobs/" + call.id, "");
    const nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
    call.ended = ParseOutcomeKind(TextOf(ChildOf(body, "outcome"), "outcome", ""));
  }
}

nlohmann::json scenario_run::End() {
  Sleep(options_.after);
  stopping_ = true;
  if (load_.joinable()) load_.join();
  callers_.WaitIdle(kDrainLimit);
  const bool all_ran = came_up_ && WaitForAccepted(kDrainLimit);
  if (watcher_.joinable()) watcher_.join();
  history seen;
  scenario_times times;
  {
    const std::lock_guard lock(mutex_);
    seen = seen_;
    times = times_;
  }
  Canonicalize(seen.readings);
  seen.calls = callers_.Records();
  seen.events = fleet_.Events();
  AskForEnds(seen);
  http_.Stop();
  seen.all_work_over = true;
  std::ofstream(fleet_.Directory() + "/history.txt") << ToLines(seen);
  nlohmann::json result = ToJson(Check(seen, {}));
  result["figures"] = FiguresOf(seen, times);
  result["figures"]["accepted_all_ran"] = all_ran;
  if (!evacuations_.empty()) result["figures"]["evacuations"] = evacuations_;
  result["figures"]["store"] = fleet_.StoreCounters();
  // A run in which hardly anything worked before the fault proves nothing.
  const bool worked = result["figures"]["goodput_before"].get<double>() > options_.load.rate / 2;
  if (!worked) result["held"] = false;
  result["worked_before"] = worked;
  result["logs"] = fleet_.Directory();
  return result;
}

}  // namespace catkinford
