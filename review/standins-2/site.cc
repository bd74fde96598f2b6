#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <initializer_list>
#include <utility>

namespace review {
namespace {

constexpr milliseconds kCallTimeout{3000};
constexpr milliseconds kReadyLimit{30000};
constexpr milliseconds kDecision{14};
constexpr double kPerItemMs = 0.21;
constexpr int kAttempts = 20;
constexpr milliseconds kRetryPause{300};
constexpr std::array<const char*, 3> kZones = {"zone-a", "zone-b", "zone-c"};

std::string FromEnvironment(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}

std::string Words(std::initializer_list<std::string> words) {
  std::string out;
  for (const std::string& each : words) {
    if (!out.empty()) out += ' ';
    out += each;
  }
  return out;
}

std::string PathOf(const std::string& queue, const std::string& id) {
  std::string out = "/";
  out += queue;
  out += '/';
  out += id;
  return out;
}

}  // namespace

site::site(const std::string& folder)
    : folder_(folder),
      program_(FromEnvironment("SITE_PROGRAM", "target/bin/catkinford-site")),
      scratch_(FromEnvironment("SCRATCH", "/tmp")),
      trouble_(FromEnvironment("TROUBLE", "1") != "0"),
      log_(folder + "/record.txt"),
      advice_(kDecision, kPerItemMs) {
  signal(SIGPIPE, SIG_IGN);
  log_.Line(std::string("trouble ") + (trouble_ ? "1" : "0"));
}

site::~site() {
  for (entry& each : entries_) Kill(each);
}

worker& site::AddWorker(worker_options options) {
  if (options.service.empty()) options.service = kService;
  if (options.zone.empty()) options.zone = kZones[workers_.size() % kZones.size()];
  workers_.push_back(std::make_unique<worker>(std::move(options), store_, log_));
  return *workers_.back();
}

void site::PutDesiredState(const std::vector<queue>& queues, const std::vector<tenant>& tenants) {
  json routes = json::array();
  for (const queue& each : queues) {
    json route{{"name", "r-" + each.name},
               {"host", "h.example"},
               {"prefix", "/" + each.name + "/"},
               {"route-type", "unsafe"},
               {"timeout-ms", 3000},
               {"target-latency-ms", 250},
               {"priority", each.priority},
               {"service", kService},
               {"max-attempts", each.max_attempts},
               {"stretch", 2.2},
               {"anonymous", false}};
    if (each.advice) {
      route["advice"] = {
          {"decision-ms", kDecision.count()}, {"per-item-ms", kPerItemMs}, {"valid-ms", 2000}};
    }
    routes.push_back(route);
  }
  json holders = json::array();
  for (const tenant& each : tenants) {
    holders.push_back({{"name", each.name},
                       {"api-keys", {each.key}},
                       {"priority", 1},
                       {"weight", each.weight},
                       {"maximum", {{"cpu", each.maximum_cpu}, {"mem-mb", 0}, {"gpu", 0}}}});
  }
  const json state{{"version", ++version_},
                   {"routes", routes},
                   {"services",
                    {{{"name", kService},
                      {"health-path", "/health"},
                      {"max-conns", 64},
                      {"protocol", "h1"},
                      {"tls", false},
                      {"admission-check", false},
                      {"standby", false}}}},
                   {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 262144}}},
                   {"tenants", holders}};
  store_.Put("op/config", state.dump());
  log_.Line("operator version " + std::to_string(version_));
}

void site::StartProcess(entry& of) {
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(of.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(program_.c_str(), program_.c_str(), "--settings", of.settings.c_str(), nullptr);
    _exit(127);
  }
  of.process = child;
  ++of.starts;
  log_.Line("process " + of.name + " starts");
}

bool site::StartEntries(int count) {
  for (int i = 0; i < count; ++i) {
    entry made;
    made.name = "front-" + std::to_string(i);
    made.zone = kZones[static_cast<size_t>(i) % kZones.size()];
    made.callers = FreePort();
    made.ready = FreePort();
    made.peers = FreePort();
    made.metrics = FreePort();
    made.settings = scratch_ + "/" + made.name + ".json";
    made.log = scratch_ + "/" + made.name + ".log";
    // As deploy/settings.json.in fills it in.
    const json settings{
        {"name", made.name},
        {"failure_domain", made.zone},
        {"listen",
         {{"callers", "127.0.0.1:" + std::to_string(made.callers)},
          {"ready", "127.0.0.1:" + std::to_string(made.ready)},
          {"address", "127.0.0.1"},
          {"peer_port", made.peers},
          {"metrics_port", made.metrics}}},
        {"machine", {{"cpu_share", 0.25}, {"link_mbps", 1000.0}}},
        {"platform",
         {{"store", store_.Address()}, {"advice", advice_.Address()}, {"shortest_lease_ms", 1000}}},
        {"overload", {{"enabled", false}}},
        {"bounds",
         {{"config_limit_ms", 2000},
          {"longest_run_lease_ms", 6000},
          {"stop_limit_ms", 900},
          {"gang_limit_ms", 3000},
          {"early_limit_ms", 250},
          {"keep_final_s", 120},
          {"shutdown_limit_s", 6},
          {"remote_factor", 2}}}};
    std::ofstream(made.settings) << settings.dump();
    entries_.push_back(made);
  }
  for (entry& each : entries_) StartProcess(each);
  const auto until = steady::now() + kReadyLimit;
  while (steady::now() < until) {
    bool all = !Owner().empty();
    for (entry& each : entries_) {
      const auto answer = Call(each.ready, "GET", "/v1/readiness", {}, "", kCallTimeout);
      all = all && answer && answer->status == 200;
    }
    if (all) return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

void site::Kill(entry& of) {
  if (of.process < 0) return;
  kill(of.process, SIGKILL);
  waitpid(of.process, nullptr, 0);
  of.process = -1;
  log_.Line("process " + of.name + " is killed");
}

bool site::EndedByItself(entry& of) {
  int status = 0;
  if (of.process < 0 || waitpid(of.process, &status, WNOHANG) != of.process) return false;
  log_.Line("process " + of.name + " ended by itself, status " + std::to_string(status));
  of.process = -1;
  return true;
}

std::string site::Owner() {
  const auto text = store_.Value("site/owner");
  if (!text) return "";
  const json owner = json::parse(*text, nullptr, false);
  return owner.is_object() ? owner.at("entry").at("name").get<std::string>() : "";
}

response site::Consumer(const std::string& method, const std::string& queue, const std::string& id,
                        const std::string& key, const std::string& body) {
  for (size_t i = 0; i < entries_.size(); ++i) {
    const entry& at = entries_[turn_++ % entries_.size()];
    if (at.process < 0) continue;
    const auto answer = Call(at.callers, method, PathOf(queue, id),
                             {{"Host", "h.example"},
                              {"Authorization", "Bearer " + key},
                              {"X-Catkinford-Deadline-Ms", std::to_string(kCallTimeout.count())}},
                             body, kCallTimeout);
    if (answer) return *answer;
  }
  return {0, ""};
}

bool site::Submit(const std::string& queue, const std::string& id, const std::string& key,
                  const json& job) {
  for (int i = 0; i < kAttempts; ++i) {
    const response answer = Consumer("POST", queue, id, key, job.dump());
    log_.Line(Words({"submit", queue, id, "answered", std::to_string(answer.status)}));
    if (answer.status == 200) return true;
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

std::string site::State(const std::string& queue, const std::string& id, const std::string& key) {
  const response answer = Consumer("GET", queue, id, key);
  const json body = json::parse(answer.body, nullptr, false);
  std::string state = answer.status == 200 && body.is_object() ? body.value("state", std::string())
                                                               : std::to_string(answer.status);
  log_.Line("state " + queue + " " + id + " " + state);
  return state;
}

int site::Finish(bool broken, const std::string& what) {
  log_.Line(std::string(broken ? "BROKEN " : "held ") + what);
  std::printf("%s %s\n", broken ? "BROKEN" : "held", what.c_str());
  return broken ? 1 : 0;
}

int site::CouldNotRun(const std::string& why) {
  log_.Line("could not run: " + why);
  std::printf("could not run: %s\n", why.c_str());
  return 2;
}

std::string JobId(uint64_t number) {
  std::array<char, 17> out{};
  std::snprintf(out.data(), out.size(), "%016llx", static_cast<unsigned long long>(number));
  return out.data();
}

std::string JobOf(const std::string& task) { return task.substr(0, task.find('.')); }

json Step(int count, int cpu, int memory_mb, int estimate_ms) {
  return {{"count", count}, {"cpu", cpu}, {"mem-mb", memory_mb}, {"estimate-ms", estimate_ms}};
}

json JobOfSteps(const json& spec, const std::vector<json>& steps) {
  return {{"task-spec", spec.dump()}, {"steps", steps}};
}

}  // namespace review
