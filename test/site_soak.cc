#include "site_soak.h"

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr size_t kEntries = 5;
constexpr size_t kInstances = 6;
constexpr milliseconds kTaskDuration{250};
constexpr milliseconds kJobInterval{60};
constexpr milliseconds kFaultInterval{350};
constexpr milliseconds kCallTimeout{3000};  // how long callers wait for an answer
constexpr seconds kRecoveryLimit{60};  // generous: leases of dead owners and runs must end first
constexpr uint32_t kTries = 4;
constexpr char kQueue[] = "/open/";
constexpr char kTransientQueue[] = "going";
constexpr milliseconds kPropagationLimit{3000};  // the entries' setting bounds.config_limit_ms
constexpr milliseconds kVersionInterval{1500};
constexpr milliseconds kQueueCheckInterval{40};
constexpr milliseconds kCheckTimeout{300};  // a paused entry does not answer
constexpr uint32_t kManyQueues = 2500;      // about 570 KB on the wire
// Fewer than the three that each entry may open: entries that all keep theirs leave none. Enough
// for the owners before, between and after two losses of power and for three forwarded starts.
constexpr unsigned kConnectionLimit = 12;
constexpr double kNarrowMbps = 0.05;  // so narrow that the owner forwards its starts
constexpr double kWideMbps = 1000;
constexpr milliseconds kPowerLossInterval{2000};
constexpr milliseconds kHandoverTime{1000};  // in which a resumed owner closes its connections
constexpr milliseconds kShortestPowerLoss{100};
constexpr uint32_t kPowerLossRangeMs = 900;  // added to it
constexpr char kServiceJob[] = "00000000000fffff";
constexpr size_t kServiceTasks = kInstances;

std::string PathOf(const std::string& id) { return kQueue + id; }

json OpenQueue(const std::string& name) {
  return {{"name", name},
          {"host", "h"},
          {"prefix", absl::StrCat("/", name, "/")},
          {"service", "svc"},
          {"priority", 1},
          {"max-attempts", 3},
          {"stretch", 2},
          {"target-latency-ms", 500},
          {"advice", {{"decision-ms", 5}, {"per-item-ms", 0.5}, {"valid-ms", 2000}}},
          {"anonymous", true}};
}

}  // namespace

site_soak::site_soak(uint64_t seed, const std::string& name)
    : random_(seed),
      version_random_(seed + 1),
      power_random_(seed + 2),
      busy_owner_(seed % 2 == 1),
      name_(name),
      instances_(store_, kInstances, kTaskDuration, kConnectionLimit),
      http_(16) {
  proxy_.Start();
  http_.Start();
  for (size_t i = 0; i < kInstances; ++i) {
    instance_links_.push_back(proxy_.AddLink(instances_.PortOf(i)));
    instances_.SetRegisteredAddress(i,
                                    absl::StrCat("127.0.0.1:", proxy_.PortOf(instance_links_[i])));
  }
  ChangeVersion();
  for (size_t i = 0; i < kEntries; ++i) {
    entries_.push_back(std::make_unique<entry>());
    entries_.back()->name = absl::StrCat("entry-", i);
    WriteSettings(*entries_.back(), i % 2 == 0 ? "zone-a" : "zone-b");
    StartEntry(*entries_.back());
  }
}

site_soak::~site_soak() {
  for (auto& one : entries_) one->process.Kill();
  http_.Stop();
  proxy_.Stop();
}

void site_soak::WriteSettings(entry& added, const std::string& domain) {
  added.callers = FreePort();
  added.store_link = proxy_.AddLink(store_.Port());
  const std::string base = absl::StrCat(CATKINFORD_BIN_DIR, "/soak_", name_, "_", added.name);
  added.settings_file = base + ".json";
  added.log_file = base + ".log";
  const json settings{{"name", added.name},
                      {"failure_domain", domain},
                      {"listen",
                       {{"callers", absl::StrCat("127.0.0.1:", added.callers)},
                        {"ready", absl::StrCat("127.0.0.1:", FreePort())},
                        {"address", "127.0.0.1"},
                        {"peer_port", FreePort()},
                        {"metrics_port", 0}}},
                      {"machine", {{"link_mbps", busy_owner_ ? kNarrowMbps : kWideMbps}}},
                      {"platform",
                       {{"store", absl::StrCat("127.0.0.1:", proxy_.PortOf(added.store_link))},
                        {"advice", instances_.AdviceAddress()}}}};
  std::ofstream(added.settings_file) << settings.dump();
}

void site_soak::StartEntry(entry& one) {
  one.running = one.process.Start(
      {absl::StrCat(CATKINFORD_BIN_DIR, "/catkinford-site"), "--settings", one.settings_file},
      one.log_file);
  one.paused = false;
  one.stopping = false;
}

http_result site_soak::Call(size_t at, const std::string& method, const std::string& path,
                            const std::string& body, milliseconds timeout) {
  http_call call;
  call.method = method;
  call.url = absl::StrCat("http://127.0.0.1:", entries_[at]->callers, path);
  call.body = body;
  call.headers.emplace_back("Host", "h");
  call.timeout = timeout;
  return http_.SendAndWait(call);
}

// --- callers -------------------------------------------------------------------------------------

// Behaves like a caller: after a rejection or no answer it submits the same job again, at a
// randomly picked entry.
void site_soak::Submit() {
  const std::string text = absl::StrCat(absl::Hex(++next_job_));
  const std::string id = std::string(16 - text.size(), '0') + text;
  json steps = {{{"count", 1 + Pick(4)}, {"cpu", 1000}, {"mem-mb", 64}, {"estimate-ms", 250}}};
  if (Pick(2) == 0) {
    steps.push_back({{"count", 1 + Pick(3)},
                     {"cpu", 1000},
                     {"mem-mb", 64},
                     {"estimate-ms", 250},
                     {"after", {0}}});
  }
  const std::string body = json{{"task-spec", id}, {"steps", steps}}.dump();
  job& added = jobs_[id];
  for (uint32_t tries = 0; tries < kTries && !added.accepted; ++tries) {
    const http_result result = Call(Pick(kEntries), "POST", PathOf(id), body, kCallTimeout);
    if (result.status == transfer_status::kNotSent) continue;
    if (result.status == transfer_status::kDone && result.code == 200) added.accepted = true;
    const bool rejected = result.status == transfer_status::kDone &&
                          (result.code == 503 || result.code == 429 || result.code == 404);
    if (!added.accepted && !rejected) added.outcome_unknown = true;
  }
}

// One task at each instance, all of which run until they are stopped.
void site_soak::SubmitServices() {
  const std::string body = json{{"task-spec", standin_instances::kServicePayload},
                                {"steps",
                                 {{{"count", kServiceTasks},
                                   {"cpu", 500},
                                   {"mem-mb", 64},
                                   {"estimate-ms", 250},
                                   {"anti-affinity", 1},
                                   {"long-running", true}}}}}
                               .dump();
  const http_result result =
      Call(PickForPower(kEntries), "POST", PathOf(kServiceJob), body, kCallTimeout);
  services_accepted_ = result.status == transfer_status::kDone && result.code == 200;
}

void site_soak::CancelOne() {
  if (jobs_.empty()) return;
  auto chosen = std::next(jobs_.begin(), Pick(static_cast<uint32_t>(jobs_.size())));
  if (!chosen->second.accepted) return;
  const http_result result =
      Call(Pick(kEntries), "DELETE", PathOf(chosen->first), {}, kCallTimeout);
  const bool rejected = result.status == transfer_status::kNotSent ||
                        (result.status == transfer_status::kDone && result.code == 503);
  if (!rejected) chosen->second.cancelled = true;
}

void site_soak::QueryJobStates() {
  for (auto& [id, one] : jobs_) {
    if (!one.accepted || one.state == "completed" || one.state == "cancelled") continue;
    const http_result result = Call(Pick(kEntries), "GET", PathOf(id), {}, kCallTimeout);
    if (result.status != transfer_status::kDone) continue;
    if (result.code == 410)
      violations_.push_back(absl::StrCat(id, ": accepted, but reported as unknown"));
    if (result.code != 200) continue;
    const json body = json::parse(result.body, nullptr, false);
    one.state = body.is_object() ? body.value("state", std::string()) : std::string();
    if (one.state == "failed") violations_.push_back(absl::StrCat(id, ": failed without a cause"));
    if (one.state == "cancelled" && !one.cancelled) {
      violations_.push_back(absl::StrCat(id, ": cancelled without a request to cancel it"));
    }
  }
}

// --- configuration -------------------------------------------------------------------------------

void site_soak::ChangeVersion() {
  const bool present = PickForVersions(2) == 0;
  json queues = json::array({OpenQueue("open")});
  if (present) queues.push_back(OpenQueue(kTransientQueue));
  const uint32_t more = PickForVersions(2) == 0 ? 0 : PickForVersions(kManyQueues);
  for (uint32_t i = 0; i < more; ++i) queues.push_back(OpenQueue(absl::StrCat("other-", i)));
  const json version{{"version", ++version_},
                     {"routes", queues},
                     {"services", {{{"name", "svc"}, {"admission-check", false}}}},
                     {"limits", {{"max-body-bytes", 20000}}},
                     {"tenants", json::array()}};
  const std::string text = version.dump();
  queue_change change{present, steady_clock::now(), {}};
  store_.Put("op/config", text);
  change.acknowledged = steady_clock::now();
  queue_changes_.push_back(change);
}

// True if the answer agrees with the version in effect at the time of the query, or with any change
// within the propagation limit before it or until the answer: both old and new are allowed then.
bool site_soak::AnswerAllowed(bool present, steady_clock::time_point asked,
                              steady_clock::time_point answered) const {
  bool in_effect = false;
  bool changed = false;
  for (const queue_change& change : queue_changes_) {
    if (change.acknowledged <= asked - kPropagationLimit) {
      in_effect = change.present;
    } else if (change.sent <= answered) {
      changed = changed || change.present == present;
    }
  }
  return in_effect == present || changed;
}

// Sends a body that no queue accepts: it is rejected as malformed if the queue is present (400),
// and as an unknown queue if it is not (404).
std::optional<bool> site_soak::QueryTransientQueue(size_t at) {
  const auto asked = steady_clock::now();
  const http_result result =
      Call(at, "POST", absl::StrCat("/", kTransientQueue, "/00000000000000ff"), "no json",
           kCheckTimeout);
  const auto answered = steady_clock::now();
  const bool answered_in_time = result.status == transfer_status::kDone;
  if (!answered_in_time || (result.code != 400 && result.code != 404)) return std::nullopt;
  const bool present = result.code == 400;
  if (!AnswerAllowed(present, asked, answered)) {
    violations_.push_back(
        absl::StrCat(entries_[at]->name, ": reports a queue as ", present ? "present" : "absent",
                     ", by a version that is no longer in effect; newest is ", version_));
  }
  return present;
}

bool site_soak::AllAtNewestVersion() {
  bool all = true;
  for (size_t i = 0; i < kEntries; ++i)
    all = QueryTransientQueue(i) == queue_changes_.back().present && all;
  return all;
}

// --- faults --------------------------------------------------------------------------------------

void site_soak::InjectFault() {
  ++faults_;
  switch (Pick(8)) {
    case 0:
    case 1:
    case 2:
      return InjectProcessFault(*entries_[Pick(kEntries)]);
    case 3:
    case 4:
      return InjectStoreLinkFault(*entries_[Pick(kEntries)]);
    case 5:
      return InjectInstanceFault();
    default:
      return InjectStoreFault();
  }
}

void site_soak::InjectProcessFault(entry& one) {
  if (!one.process.Alive()) return StartEntry(one);
  if (one.paused) {
    one.process.Signal(SIGCONT);
    one.paused = false;
    return;
  }
  switch (Pick(4)) {
    case 0:
      one.stopping = true;
      return one.process.Signal(SIGTERM);  // it drains and is started again later
    case 1:
      one.paused = true;
      return one.process.Signal(SIGSTOP);
    case 2:
      return one.process.Signal(SIGHUP);
    default:
      one.process.Kill();
      if (Pick(2) == 0) StartEntry(one);
  }
}

void site_soak::InjectStoreLinkFault(entry& one) {
  constexpr link_state kStates[] = {link_state::kPass,          link_state::kPass,
                                    link_state::kCut,           link_state::kStall,
                                    link_state::kDropResponses, link_state::kDropRequests};
  link_rule rule;
  rule.state = kStates[Pick(std::size(kStates))];
  if (Pick(4) == 0) rule.delay = milliseconds(Pick(150));
  if (PickForVersions(3) == 0) rule.bytes_per_second = 150'000 + PickForVersions(600'000);
  proxy_.SetRule(one.store_link, rule);
  if (Pick(4) == 0) proxy_.BlackholeOpenConnections(one.store_link);
}

void site_soak::InjectInstanceFault() {
  const link_index link = instance_links_[Pick(kInstances)];
  constexpr link_state kStates[] = {link_state::kPass, link_state::kCut,
                                    link_state::kDropResponses};
  link_rule rule;
  rule.state = kStates[Pick(std::size(kStates))];
  proxy_.SetRule(link, rule);
  if (Pick(3) == 0) proxy_.BlackholeOpenConnections(link);
}

void site_soak::InjectStoreFault() {
  switch (Pick(3)) {
    case 0:
      return store_.SetDown(Pick(2) == 0);
    case 1:
      return store_.DropResponses(static_cast<int>(1 + Pick(3)));
    default:
      return instances_.DropStartResponses(static_cast<int>(1 + Pick(3)));
  }
}

bool site_soak::ResumePaused() {
  bool resumed = false;
  for (auto& one : entries_) {
    if (!one->paused) continue;
    one->process.Signal(SIGCONT);
    one->paused = false;
    resumed = true;
  }
  return resumed;
}

void site_soak::LosePower() {
  ++faults_;
  const bool hits_all = NextLossHitsAll();
  ++power_losses_;
  if (hits_all) return LosePowerOfAll();
  entry& one = *entries_[PickForPower(kEntries)];
  one.process.Kill();
  one.power_returns =
      steady_clock::now() + kShortestPowerLoss + milliseconds(PickForPower(kPowerLossRangeMs));
}

// Instances still count the connections of the processes that are gone.
void site_soak::LosePowerOfAll() {
  for (auto& one : entries_) one->process.Signal(SIGSTOP);  // opens no more connections
  for (const link_index link : instance_links_) proxy_.LoseClients(link);
  for (auto& one : entries_) {
    one->process.Kill();
    one->power_returns =
        steady_clock::now() + kShortestPowerLoss + milliseconds(PickForPower(kPowerLossRangeMs));
  }
}

void site_soak::ReturnPower() {
  for (auto& one : entries_) {
    if (!one->power_returns || steady_clock::now() < *one->power_returns) continue;
    one->power_returns.reset();
    if (!one->process.Alive()) StartEntry(*one);
  }
}

void site_soak::ClearFaults() {
  store_.SetDown(false);
  for (auto& one : entries_) {
    proxy_.SetRule(one->store_link, {});
    if (one->paused) one->process.Signal(SIGCONT);
    one->paused = false;
    if (!one->process.Alive()) StartEntry(*one);
  }
  for (const link_index link : instance_links_) proxy_.SetRule(link, {});
}

// --- run -----------------------------------------------------------------------------------------

bool site_soak::AllEnded() {
  // Entries that were told to stop before the faults were cleared exit later and must be restarted.
  for (auto& one : entries_) {
    if (!one->process.Alive()) StartEntry(*one);
  }
  if (!services_accepted_) SubmitServices();
  QueryJobStates();
  const bool stopping =
      std::any_of(entries_.begin(), entries_.end(), [](const auto& one) { return one->stopping; });
  const bool jobs_ended = std::all_of(jobs_.begin(), jobs_.end(), [](const auto& item) {
    const job& one = item.second;
    return !one.accepted || one.cancelled || one.state == "completed";
  });
  return jobs_ended && services_accepted_ && !stopping;
}

bool site_soak::AllServicesRun() {
  const std::set<std::string> tasks = instances_.RunningTasks();
  const auto count = std::count_if(tasks.begin(), tasks.end(), [](const std::string& task) {
    return task.starts_with(kServiceJob);
  });
  return static_cast<size_t>(count) == kServiceTasks;
}

std::vector<std::string> site_soak::Run(milliseconds time) {
  const auto run_start = steady_clock::now();
  auto next_job = run_start;
  auto next_fault = run_start + seconds(2);
  auto next_version = run_start + seconds(3);
  auto next_power_loss = run_start + seconds(4);
  auto next_check = run_start;
  while (steady_clock::now() < run_start + time) {
    std::this_thread::sleep_for(milliseconds(5));
    if (steady_clock::now() >= next_job) {
      if (!services_accepted_) SubmitServices();
      Submit();
      if (Pick(12) == 0) CancelOne();
      next_job = steady_clock::now() + kJobInterval;
    }
    if (steady_clock::now() >= next_fault) {
      InjectFault();
      next_fault = steady_clock::now() + kFaultInterval;
    }
    ReturnPower();
    if (steady_clock::now() >= next_power_loss) {
      // Earlier owners that are paused would leave more dead connections than an instance serves.
      if (NextLossHitsAll() && ResumePaused()) {
        next_power_loss = steady_clock::now() + kHandoverTime;
      } else {
        LosePower();
        next_power_loss = steady_clock::now() + kPowerLossInterval;
      }
    }
    if (steady_clock::now() >= next_version) {
      ChangeVersion();
      next_version = steady_clock::now() + kVersionInterval * (1 + PickForVersions(3));
    }
    if (steady_clock::now() >= next_check) {
      QueryTransientQueue(PickForVersions(kEntries));
      next_check = steady_clock::now() + kQueueCheckInterval;
    }
  }
  ClearFaults();
  const auto recovery_start = steady_clock::now();
  while (!AllEnded() && steady_clock::now() < recovery_start + kRecoveryLimit) {
    std::this_thread::sleep_for(milliseconds(200));
  }
  while (!AllServicesRun() && steady_clock::now() < recovery_start + kRecoveryLimit) {
    std::this_thread::sleep_for(milliseconds(200));
  }
  while (!AllAtNewestVersion() && steady_clock::now() < recovery_start + 2 * kRecoveryLimit) {
    std::this_thread::sleep_for(milliseconds(200));
  }
  CheckAtEnd();
  return violations_;
}

void site_soak::CheckAtEnd() {
  if (!AllAtNewestVersion()) violations_.push_back("an entry never applied the newest version");
  if (!services_accepted_) violations_.push_back("long-running tasks were never accepted");
  if (!AllServicesRun()) violations_.push_back("a long-running task does not run again");
  for (const std::string& task : instances_.DuplicateRuns()) {
    violations_.push_back(absl::StrCat(task, ": two runs at the same time"));
  }
  for (const std::string& task : instances_.StartsAfterDone()) {
    violations_.push_back(absl::StrCat(task, ": started after its end was acknowledged"));
  }
  std::set<std::string> started;
  for (const standin_start& start : instances_.Starts()) {
    started.insert(start.task.substr(0, start.task.find('.')));
  }
  for (const auto& [id, one] : jobs_) {
    if (one.accepted && !one.cancelled && one.state != "completed") {
      violations_.push_back(absl::StrCat(id, ": accepted, but never completed; state ", one.state));
    }
    if (!one.accepted && !one.outcome_unknown && started.contains(id)) {
      violations_.push_back(absl::StrCat(id, ": rejected at each try, but ran"));
    }
  }
}

size_t site_soak::Accepted() const {
  return static_cast<size_t>(std::count_if(jobs_.begin(), jobs_.end(),
                                           [](const auto& item) { return item.second.accepted; }));
}

}  // namespace catkinford
