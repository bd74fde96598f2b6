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
constexpr milliseconds kTaskTakes{250};
constexpr milliseconds kBetweenJobs{60};
constexpr milliseconds kBetweenFaults{350};
constexpr milliseconds kCallTimeout{3000};  // what callers wait for an answer
constexpr seconds kCalmLimit{60};           // generous: leases of dead owners and runs end first
constexpr uint32_t kTries = 4;
constexpr char kQueue[] = "/open/";
constexpr char kGoingQueue[] = "going";
constexpr milliseconds kInForce{3000};  // a change is in force everywhere, by the entries' settings
constexpr milliseconds kBetweenVersions{1500};
constexpr milliseconds kBetweenQueueChecks{40};
constexpr milliseconds kCheckTimeout{300};  // an entry that stands still says nothing
constexpr uint32_t kManyQueues = 2500;      // some 570 KB on the wire

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
      versions_(seed + 1),
      name_(name),
      instances_(store_, kInstances, kTaskTakes),
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

void site_soak::WriteSettings(entry& made, const std::string& domain) {
  made.callers = FreePort();
  made.store_link = proxy_.AddLink(store_.Port());
  const std::string base = absl::StrCat(CATKINFORD_BIN_DIR, "/soak_", name_, "_", made.name);
  made.settings_file = base + ".json";
  made.log_file = base + ".log";
  const json settings{{"name", made.name},
                      {"failure_domain", domain},
                      {"listen",
                       {{"callers", absl::StrCat("127.0.0.1:", made.callers)},
                        {"ready", absl::StrCat("127.0.0.1:", FreePort())},
                        {"address", "127.0.0.1"},
                        {"peer_port", FreePort()},
                        {"metrics_port", 0}}},
                      {"platform",
                       {{"store", absl::StrCat("127.0.0.1:", proxy_.PortOf(made.store_link))},
                        {"advice", instances_.AdviceAddress()}}}};
  std::ofstream(made.settings_file) << settings.dump();
}

void site_soak::StartEntry(entry& one) {
  one.running = one.process.Start(
      {absl::StrCat(CATKINFORD_BIN_DIR, "/catkinford-site"), "--settings", one.settings_file},
      one.log_file);
  one.paused = false;
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

// As callers do: after a refusal or no answer the same job is handed in again, at another entry.
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
  job& made = jobs_[id];
  for (uint32_t tries = 0; tries < kTries && !made.accepted; ++tries) {
    const http_result result = Call(Pick(kEntries), "POST", PathOf(id), body, kCallTimeout);
    if (result.status == transfer_status::kNotSent) continue;
    if (result.status == transfer_status::kDone && result.code == 200) made.accepted = true;
    const bool refused = result.status == transfer_status::kDone &&
                         (result.code == 503 || result.code == 429 || result.code == 404);
    if (!made.accepted && !refused) made.unsure = true;
  }
}

void site_soak::CancelOne() {
  if (jobs_.empty()) return;
  auto chosen = std::next(jobs_.begin(), Pick(static_cast<uint32_t>(jobs_.size())));
  if (!chosen->second.accepted) return;
  const http_result result =
      Call(Pick(kEntries), "DELETE", PathOf(chosen->first), {}, kCallTimeout);
  const bool refused = result.status == transfer_status::kNotSent ||
                       (result.status == transfer_status::kDone && result.code == 503);
  if (!refused) chosen->second.cancelled = true;
}

void site_soak::Ask() {
  for (auto& [id, one] : jobs_) {
    if (!one.accepted || one.state == "completed" || one.state == "cancelled") continue;
    const http_result result = Call(Pick(kEntries), "GET", PathOf(id), {}, kCallTimeout);
    if (result.status != transfer_status::kDone) continue;
    if (result.code == 410)
      broken_.push_back(absl::StrCat(id, ": accepted, and told to be unknown"));
    if (result.code != 200) continue;
    const json body = json::parse(result.body, nullptr, false);
    one.state = body.is_object() ? body.value("state", std::string()) : std::string();
    if (one.state == "failed") broken_.push_back(absl::StrCat(id, ": failed without a cause"));
    if (one.state == "cancelled" && !one.cancelled) {
      broken_.push_back(absl::StrCat(id, ": cancelled, and nobody asked for it"));
    }
  }
}

// --- the configuration
// ----------------------------------------------------------------------------

void site_soak::ChangeVersion() {
  const bool there = PickVersion(2) == 0;
  json queues = json::array({OpenQueue("open")});
  if (there) queues.push_back(OpenQueue(kGoingQueue));
  const uint32_t more = PickVersion(2) == 0 ? 0 : PickVersion(kManyQueues);
  for (uint32_t i = 0; i < more; ++i) queues.push_back(OpenQueue(absl::StrCat("other-", i)));
  const json version{{"version", ++version_},
                     {"routes", queues},
                     {"services", {{{"name", "svc"}, {"admission-check", false}}}},
                     {"limits", {{"max-body-bytes", 20000}}},
                     {"tenants", json::array()}};
  const std::string text = version.dump();
  queue_change change{there, steady_clock::now(), {}};
  store_.Put("op/config", text);
  change.acknowledged = steady_clock::now();
  queue_changes_.push_back(change);
}

// By what was in force when it was asked, or by any change since: until the time is over within
// which a change has to be in force, both old and new may be said.
bool site_soak::MaySay(bool there, steady_clock::time_point asked,
                       steady_clock::time_point answered) const {
  bool in_force = false;
  bool changed = false;
  for (const queue_change& change : queue_changes_) {
    if (change.acknowledged <= asked - kInForce) {
      in_force = change.there;
    } else if (change.sent <= answered) {
      changed = changed || change.there == there;
    }
  }
  return in_force == there || changed;
}

// A body that no queue takes: refused as malformed where the queue is, as unknown where it is not.
std::optional<bool> site_soak::AskForQueue(size_t at) {
  const auto asked = steady_clock::now();
  const http_result result = Call(at, "POST", absl::StrCat("/", kGoingQueue, "/00000000000000ff"),
                                  "no json", kCheckTimeout);
  const auto answered = steady_clock::now();
  const bool told = result.status == transfer_status::kDone;
  if (!told || (result.code != 400 && result.code != 404)) return std::nullopt;
  const bool there = result.code == 400;
  if (!MaySay(there, asked, answered)) {
    broken_.push_back(absl::StrCat(entries_[at]->name, ": says ", there ? "there" : "not there",
                                   " of a queue, by a version that is out of force; newest is ",
                                   version_));
  }
  return there;
}

bool site_soak::AllFollow() {
  bool all = true;
  for (size_t i = 0; i < kEntries; ++i) all = AskForQueue(i) == queue_changes_.back().there && all;
  return all;
}

// --- faults --------------------------------------------------------------------------------------

void site_soak::BringFault() {
  ++faults_;
  switch (Pick(8)) {
    case 0:
    case 1:
    case 2:
      return FaultOfProcess(*entries_[Pick(kEntries)]);
    case 3:
    case 4:
      return FaultOfStoreLink(*entries_[Pick(kEntries)]);
    case 5:
      return FaultOfInstance();
    default:
      return FaultOfStore();
  }
}

void site_soak::FaultOfProcess(entry& one) {
  if (!one.process.Alive()) return StartEntry(one);
  if (one.paused) {
    one.process.Signal(SIGCONT);
    one.paused = false;
    return;
  }
  switch (Pick(4)) {
    case 0:
      return one.process.Signal(SIGTERM);  // it drains meanwhile, and is started again later
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

void site_soak::FaultOfStoreLink(entry& one) {
  constexpr link_state kStates[] = {link_state::kPass,          link_state::kPass,
                                    link_state::kCut,           link_state::kStall,
                                    link_state::kDropResponses, link_state::kDropRequests};
  link_rule rule;
  rule.state = kStates[Pick(std::size(kStates))];
  if (Pick(4) == 0) rule.delay = milliseconds(Pick(150));
  if (PickVersion(3) == 0) rule.bytes_per_second = 150'000 + PickVersion(600'000);
  proxy_.SetRule(one.store_link, rule);
  if (Pick(4) == 0) proxy_.BlackholeOpenConnections(one.store_link);
}

void site_soak::FaultOfInstance() {
  const link_index link = instance_links_[Pick(kInstances)];
  constexpr link_state kStates[] = {link_state::kPass, link_state::kCut,
                                    link_state::kDropResponses};
  link_rule rule;
  rule.state = kStates[Pick(std::size(kStates))];
  proxy_.SetRule(link, rule);
  if (Pick(3) == 0) proxy_.BlackholeOpenConnections(link);
}

void site_soak::FaultOfStore() {
  switch (Pick(3)) {
    case 0:
      return store_.SetDown(Pick(2) == 0);
    case 1:
      return store_.DropResponses(static_cast<int>(1 + Pick(3)));
    default:
      return instances_.DropStartResponses(static_cast<int>(1 + Pick(3)));
  }
}

void site_soak::Mend() {
  store_.SetDown(false);
  for (auto& one : entries_) {
    proxy_.SetRule(one->store_link, {});
    if (one->paused) one->process.Signal(SIGCONT);
    one->paused = false;
    if (!one->process.Alive()) StartEntry(*one);
  }
  for (const link_index link : instance_links_) proxy_.SetRule(link, {});
}

// --- the run -------------------------------------------------------------------------------------

bool site_soak::AllEnded() {
  // One that was told to stop before the calm began ends, and is needed again.
  for (auto& one : entries_) {
    if (!one->process.Alive()) StartEntry(*one);
  }
  Ask();
  return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& item) {
    const job& one = item.second;
    return !one.accepted || one.cancelled || one.state == "completed";
  });
}

std::vector<std::string> site_soak::Run(milliseconds time) {
  const auto begun = steady_clock::now();
  auto next_job = begun;
  auto next_fault = begun + seconds(2);
  auto next_version = begun + seconds(3);
  auto next_check = begun;
  while (steady_clock::now() < begun + time) {
    std::this_thread::sleep_for(milliseconds(5));
    if (steady_clock::now() >= next_job) {
      Submit();
      if (Pick(12) == 0) CancelOne();
      next_job = steady_clock::now() + kBetweenJobs;
    }
    if (steady_clock::now() >= next_fault) {
      BringFault();
      next_fault = steady_clock::now() + kBetweenFaults;
    }
    if (steady_clock::now() >= next_version) {
      ChangeVersion();
      next_version = steady_clock::now() + kBetweenVersions * (1 + PickVersion(3));
    }
    if (steady_clock::now() >= next_check) {
      AskForQueue(PickVersion(kEntries));
      next_check = steady_clock::now() + kBetweenQueueChecks;
    }
  }
  Mend();
  const auto calm = steady_clock::now();
  while (!AllEnded() && steady_clock::now() < calm + kCalmLimit) {
    std::this_thread::sleep_for(milliseconds(200));
  }
  while (!AllFollow() && steady_clock::now() < calm + 2 * kCalmLimit) {
    std::this_thread::sleep_for(milliseconds(200));
  }
  CheckAtEnd();
  return broken_;
}

void site_soak::CheckAtEnd() {
  if (!AllFollow()) broken_.push_back("an entry never follows the newest version");
  for (const std::string& task : instances_.DuplicateRuns()) {
    broken_.push_back(absl::StrCat(task, ": two runs at the same time"));
  }
  for (const std::string& task : instances_.StartsAfterDone()) {
    broken_.push_back(absl::StrCat(task, ": started after its end was acknowledged"));
  }
  std::set<std::string> started;
  for (const standin_start& start : instances_.Starts()) {
    started.insert(start.task.substr(0, start.task.find('.')));
  }
  for (const auto& [id, one] : jobs_) {
    if (one.accepted && !one.cancelled && one.state != "completed") {
      broken_.push_back(absl::StrCat(id, ": accepted, and never completed: ", one.state));
    }
    if (!one.accepted && !one.unsure && started.contains(id)) {
      broken_.push_back(absl::StrCat(id, ": refused each time, and ran"));
    }
  }
}

size_t site_soak::Accepted() const {
  return static_cast<size_t>(std::count_if(jobs_.begin(), jobs_.end(),
                                           [](const auto& item) { return item.second.accepted; }));
}

}  // namespace catkinford
