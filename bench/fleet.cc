#include "bench/fleet.h"

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "bench/wire_bytes.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr size_t kRackSize = 8;
constexpr milliseconds kPollStep{20};
constexpr milliseconds kControlTimeout{5000};
constexpr const char* kConfigKey = "config";  // of the store: the operators' document

std::string ProgramDirectory() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

// Below the programs: the logs of a run stay there for whoever looks into a failure.
std::string NewDirectory(const std::string& programs) {
  std::string pattern = programs + "/../runs/run-XXXXXX";
  std::filesystem::create_directories(programs + "/../runs");
  return mkdtemp(pattern.data()) == nullptr ? programs : pattern;
}

std::string UrlAt(uint16_t port) { return absl::StrCat("http://127.0.0.1:", port); }

std::string EndpointName(const std::string& domain, size_t number) {
  return absl::StrCat(domain, "-ep-", number);
}

nlohmann::json ShapeOf(const resources& shape) {
  return {{"cpu_milli", shape.cpu_milli},
          {"memory_mb", shape.memory_mb},
          {"accelerators", shape.accelerators},
          {"slots", shape.slots}};
}

resources Times(const resources& shape, size_t count) {
  const auto n = static_cast<uint32_t>(count);
  return {shape.cpu_milli * n, shape.memory_mb * n, shape.accelerators * n, shape.slots * n};
}

}  // namespace

fleet::fleet(fleet_options options) : options_(std::move(options)), programs_(ProgramDirectory()) {
  directory_ = NewDirectory(programs_);
  const size_t endpoints = options_.domains.size() * options_.endpoints_per_domain;
  const resources whole = Times(options_.shape, endpoints);
  contract_ =
      MakeContract(options_.teams, whole, options_.team_running_limit.value_or(whole.slots));
  http_.Start();
}

fleet::~fleet() { Stop(); }

void fleet::Stop() {
  for (fleet_entry& entry : entries_) entry.process.Kill();
  for (endpoint_process& endpoint : endpoints_) endpoint.process.Kill();
  store_.Kill();
  for (fleet_entry& entry : entries_) {
    if (entry.instances) entry.instances->Stop();
  }
  proxy_.Stop();
  http_.Stop();
}

bool fleet::Start(milliseconds limit) {
  const auto until = steady_clock::now() + limit;
  proxy_.Start();
  if (!StartPlatform() || !WriteContract()) return false;
  entries_.resize(options_.domains.size() * options_.entries_per_domain);
  for (size_t slot = 0; slot < entries_.size(); ++slot) {
    fleet_entry& entry = entries_[slot];
    entry.domain = options_.domains[slot / options_.entries_per_domain];
    entry.name = absl::StrCat(entry.domain, "-", slot % options_.entries_per_domain);
    entry.caller_port = FreePort();
    entry.peer_port = FreePort();
  }
  // All entries have their ports now, so that the first list is whole and comes without the lag.
  for (size_t slot = 0; slot < entries_.size(); ++slot) {
    entries_[slot].instances =
        std::make_unique<instance_server>(0, options_.instance_lag, ListFor(slot));
    if (!entries_[slot].instances->Start()) return false;
  }
  for (size_t slot = 0; slot < entries_.size(); ++slot) {
    if (!StartEntry(slot)) return false;
  }
  for (size_t slot = 0; slot < entries_.size(); ++slot) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
    if (WaitReady(slot, left)) continue;
    std::fprintf(stderr, "fleet: %s is not ready; its log is in %s\n", entries_[slot].name.c_str(),
                 directory_.c_str());
    return false;
  }
  return true;
}

bool fleet::StartPlatform() {
  const std::string standin = programs_ + "/catkinford-standin";
  store_port_ = FreePort();
  std::vector<std::string> words = {standin, "store", absl::StrCat("--port=", store_port_),
                                    absl::StrCat("--seed=", options_.seed)};
  if (options_.freeze_leases) words.emplace_back("--freeze_leases");
  if (!store_.Start(words, directory_ + "/store.log")) return false;
  for (const std::string& domain : options_.domains) {
    endpoint_process process;
    process.port = FreePort();
    words = {standin,
             "endpoint",
             absl::StrCat("--port=", process.port),
             absl::StrCat("--prefix=", domain, "-ep"),
             absl::StrCat("--count=", options_.endpoints_per_domain),
             absl::StrCat("--shape=", options_.shape.cpu_milli, ",", options_.shape.memory_mb, ",",
                          options_.shape.accelerators, ",", options_.shape.slots)};
    if (!options_.fencing) words.emplace_back("--nofencing");
    if (!process.process.Start(words, directory_ + "/endpoints-" + domain + ".log")) return false;
    endpoints_.push_back(std::move(process));
  }
  for (const endpoint_process& process : endpoints_) {
    const auto until = steady_clock::now() + kControlTimeout;
    while (http_.SendAndWait({"GET", UrlAt(process.port) + "/record"}).code != 200) {
      if (steady_clock::now() > until) return false;
      std::this_thread::sleep_for(kPollStep);
    }
  }
  return true;
}

bool fleet::WriteContract() {
  const nlohmann::json write = {{"key", kConfigKey},
                                {"expect", 0},
                                {"value", ToText(contract_.config)},
                                {"write_id", "first"}};
  const auto until = steady_clock::now() + kControlTimeout;
  while (steady_clock::now() < until) {
    if (Post(UrlAt(store_port_) + "/v1/cas", write).code == 200) return true;
    std::this_thread::sleep_for(kPollStep);
  }
  return false;
}

uint16_t fleet::PortThrough(const std::string& link, uint16_t target, bool far) {
  if (!options_.proxied) return target;
  const std::string key = absl::StrCat(link, ":", target);
  auto found = links_.find(key);
  if (found == links_.end()) {
    const milliseconds delay = far ? options_.region_delay : milliseconds{0};
    found = links_.emplace(key, fleet_link{proxy_.AddLink(target), delay}).first;
    SetRule(link, {});
  }
  return proxy_.PortOf(found->second.index);
}

bool fleet::IsFar(size_t slot, const std::string& domain) const {
  return entries_[slot].domain != domain;
}

std::string fleet::WriteSettings(size_t slot) {
  const fleet_entry& entry = entries_[slot];
  const bool far = IsFar(slot, options_.domains.front());
  const std::string store = UrlAt(PortThrough(absl::StrCat("store/", slot), store_port_, far));
  const std::string instances =
      UrlAt(PortThrough(absl::StrCat("instances/", slot), entry.instances->Port(), far));
  const nlohmann::json settings = {{"name", entry.name},
                                   {"failure_domain", entry.domain},
                                   {"failure_domains", options_.domains},
                                   {"listen",
                                    {{"caller_port", entry.caller_port},
                                     {"peer_port", entry.peer_port},
                                     {"peer_secret_file", options_.peer_secret_file}}},
                                   {"platform",
                                    {{"store_url", store},
                                     {"instances_url", instances},
                                     {"endpoints_fence", options_.entries_trust_fencing}}},
                                   {"shards", {{"per_domain", options_.shards_per_domain}}},
                                   {"timing", options_.timing}};
  std::string file = absl::StrCat(directory_, "/", entry.name, ".json");
  std::ofstream(file) << settings.dump(2) << '\n';
  return file;
}

bool fleet::StartEntry(size_t slot) {
  std::vector<std::string> words = {programs_ + "/catkinfordd", "--settings", WriteSettings(slot)};
  words.insert(words.end(), options_.daemon_flags.begin(), options_.daemon_flags.end());
  fleet_entry& entry = entries_[slot];
  return entry.process.Start(words, absl::StrCat(directory_, "/", entry.name, ".log"));
}

nlohmann::json fleet::ListFor(size_t slot) {
  nlohmann::json list = nlohmann::json::array();
  for (size_t domain = 0; domain < options_.domains.size(); ++domain) {
    const uint16_t port =
        PortThrough(absl::StrCat("endpoints/", slot, "/", domain), endpoints_[domain].port,
                    IsFar(slot, options_.domains[domain]));
    for (size_t i = 0; i < options_.endpoints_per_domain; ++i) {
      const std::string name = EndpointName(options_.domains[domain], i);
      const auto state = endpoint_states_.find(name);
      list.push_back({{"name", name},
                      {"role", "endpoint"},
                      {"failure_domain", options_.domains[domain]},
                      {"rack", absl::StrCat(options_.domains[domain], "-rack-", i / kRackSize)},
                      {"address", UrlAt(port)},
                      {"state", state == endpoint_states_.end() ? "live" : state->second},
                      {"shape", ShapeOf(options_.shape)}});
    }
  }
  for (size_t other = 0; other < entries_.size(); ++other) {
    const fleet_entry& entry = entries_[other];
    if (!entry.listed) continue;
    const uint16_t port = other == slot ? entry.peer_port
                                        : PortThrough(absl::StrCat("peer/", slot, "/", other),
                                                      entry.peer_port, IsFar(slot, entry.domain));
    list.push_back({{"name", entry.name},
                    {"role", "entry"},
                    {"failure_domain", entry.domain},
                    {"rack", ""},
                    {"address", UrlAt(port)},
                    {"state", "live"}});
  }
  return list;
}

void fleet::UpdateLists() {
  for (size_t slot = 0; slot < entries_.size(); ++slot) {
    const std::string url = UrlAt(entries_[slot].instances->Port()) + "/control";
    Post(url, {{"instances", ListFor(slot)}});
  }
}

bool fleet::WaitReady(size_t slot, milliseconds limit) {
  const auto until = steady_clock::now() + limit;
  while (steady_clock::now() < until) {
    http_call call{"GET", UrlOf(slot) + "/readyz"};
    call.timeout = milliseconds{1000};
    if (http_.SendAndWait(call).code == 200) return true;
    if (!entries_[slot].process.Alive()) return false;
    std::this_thread::sleep_for(kPollStep);
  }
  return false;
}

bool fleet::ReplaceEntry(size_t slot) {
  fleet_entry& entry = entries_[slot];
  entry.process.Kill();
  entry.name = absl::StrCat(entry.domain, "-r", ++replacements_);
  entry.caller_port = FreePort();
  entry.peer_port = FreePort();
  entry.listed = true;
  UpdateLists();
  return StartEntry(slot);
}

void fleet::Unlist(size_t slot) {
  entries_[slot].listed = false;
  UpdateLists();
}

std::string fleet::UrlOf(size_t slot) const { return UrlAt(entries_[slot].caller_port); }

std::vector<std::string> fleet::EndpointsOf(size_t domain) const {
  std::vector<std::string> names;
  for (size_t i = 0; i < options_.endpoints_per_domain; ++i) {
    names.push_back(EndpointName(options_.domains[domain], i));
  }
  return names;
}

std::vector<endpoint_capacity> fleet::Capacities() const {
  std::vector<endpoint_capacity> all;
  for (size_t domain = 0; domain < options_.domains.size(); ++domain) {
    for (const std::string& name : EndpointsOf(domain)) all.push_back({name, options_.shape});
  }
  return all;
}

http_result fleet::Post(const std::string& url, const nlohmann::json& body) {
  http_call call{"POST", url, body.dump()};
  call.timeout = kControlTimeout;
  return http_.SendAndWait(call);
}

void fleet::SetEndpointMode(const std::string& endpoint, const std::string& mode) {
  for (size_t domain = 0; domain < options_.domains.size(); ++domain) {
    if (endpoint.compare(0, options_.domains[domain].size(), options_.domains[domain]) != 0) {
      continue;
    }
    Post(UrlAt(endpoints_[domain].port) + "/control", {{"endpoint", endpoint}, {"mode", mode}});
  }
}

void fleet::SetEndpointLeaving(const std::string& endpoint) {
  endpoint_states_[endpoint] = "leaving";
  SetEndpointMode(endpoint, "leaving");
  UpdateLists();
}

void fleet::SetStore(const nlohmann::json& control) {
  Post(UrlAt(store_port_) + "/control", control);
}

// All links of that name, also those to an earlier instance in the slot.
void fleet::SetRule(const std::string& link, const link_rule& rule) {
  const std::string prefix = link + ":";
  for (const auto& [name, known] : links_) {
    if (name.compare(0, prefix.size(), prefix) != 0) continue;
    link_rule with_distance = rule;
    with_distance.delay += known.delay;
    proxy_.SetRule(known.index, with_distance);
  }
}

void fleet::Silence(const std::string& link) {
  const std::string prefix = link + ":";
  for (const auto& [name, known] : links_) {
    if (name.compare(0, prefix.size(), prefix) == 0) proxy_.BlackholeOpenConnections(known.index);
  }
}

void fleet::SetStoreLink(size_t slot, const link_rule& rule) {
  SetRule(absl::StrCat("store/", slot), rule);
}

void fleet::SetInstancesLink(size_t slot, const link_rule& rule) {
  SetRule(absl::StrCat("instances/", slot), rule);
}

void fleet::SetPeerLink(size_t from, size_t to, const link_rule& rule) {
  SetRule(absl::StrCat("peer/", from, "/", to), rule);
}

void fleet::SetEndpointLink(size_t slot, size_t domain, const link_rule& rule) {
  SetRule(absl::StrCat("endpoints/", slot, "/", domain), rule);
}

void fleet::SilenceEndpointConnections(size_t slot, size_t domain) {
  Silence(absl::StrCat("endpoints/", slot, "/", domain));
}

void fleet::SilencePeerConnections(size_t from, size_t to) {
  Silence(absl::StrCat("peer/", from, "/", to));
}

double fleet::PeerBytes() const {
  const std::map<uint16_t, double> bytes = WireBytesByPort();
  const auto at = [&bytes](uint16_t port) { return bytes.contains(port) ? bytes.at(port) : 0; };
  double sum = 0;
  for (const fleet_entry& entry : entries_) sum += at(entry.peer_port);
  return sum;
}

double fleet::PlatformBytes() const {
  const std::map<uint16_t, double> bytes = WireBytesByPort();
  const auto at = [&bytes](uint16_t port) { return bytes.contains(port) ? bytes.at(port) : 0; };
  double sum = at(store_port_);
  for (const endpoint_process& process : endpoints_) sum += at(process.port);
  for (const fleet_entry& entry : entries_) sum += at(entry.instances->Port());
  return sum;
}

std::vector<run_event> fleet::Events() {
  std::vector<run_event> events;
  for (const endpoint_process& process : endpoints_) {
    http_call call{"GET", UrlAt(process.port) + "/record"};
    call.timeout = kControlTimeout;
    const http_result result = http_.SendAndWait(call);
    if (result.code != 200 || !AppendRecord(result.body, events)) {
      std::fprintf(stderr, "fleet: an endpoint process gave no record\n");
    }
  }
  return events;
}

nlohmann::json fleet::StoreCounters() {
  const http_result result = http_.SendAndWait({"GET", UrlAt(store_port_) + "/control/counters"});
  return nlohmann::json::parse(result.body, nullptr, false);
}

}  // namespace catkinford
