// Whole sites of real processes against a stand-in of the platform's wire.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/child_process.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "platform_standin.h"
#include "request/identity.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kGenerousLimit{30};

// A port that was free a moment ago.
uint16_t FreePort() {
  http_server probe(http_server_options{}, [](http_server::token, const http_request&) {});
  probe.Start();
  const uint16_t port = probe.Port();
  probe.Stop();
  return port;
}

bool Eventually(const std::function<bool()>& holds) {
  const auto until = std::chrono::steady_clock::now() + kGenerousLimit;
  while (std::chrono::steady_clock::now() < until) {
    if (holds()) return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

std::string JobId(uint32_t number) {
  const std::string text = absl::StrCat(absl::Hex(number));
  return std::string(16 - text.size(), '0') + text;
}

struct site_process {
  std::string name;
  uint16_t callers = 0;
  uint16_t ready = 0;
  uint16_t metrics = 0;
  std::string settings_file;
  std::string log_file;
  child_process process;
};

// Two entries, three instances, a queue that needs a key and advice, and one that needs neither.
class site_fixture {
 protected:
  site_fixture() : instances_(store_, 3, milliseconds(200)), http_(16) {
    http_.Start();
    PutVersion(1, {"key-1"});
    for (size_t i = 0; i < 2; ++i) AddEntry(absl::StrCat("entry-", i));
    for (auto& entry : entries_) Start(*entry);
    REQUIRE(Eventually([this] { return Ready(0) && Ready(1) && Owner() >= 0; }));
  }
  ~site_fixture() {
    for (auto& entry : entries_) entry->process.Kill();
    http_.Stop();
  }

  void PutVersion(uint64_t number, const std::vector<std::string>& keys) {
    const json version{
        {"version", number},
        {"routes",
         {{{"name", "keyed"},
           {"host", "h"},
           {"prefix", "/keyed/"},
           {"service", "svc"},
           {"priority", 0},
           {"max-attempts", 2},
           {"stretch", 2},
           {"target-latency-ms", 500},
           {"advice", {{"decision-ms", 5}, {"per-item-ms", 0.5}, {"valid-ms", 2000}}}},
          {{"name", "open"},
           {"host", "h"},
           {"prefix", "/open/"},
           {"service", "svc"},
           {"priority", 1},
           {"max-attempts", 2},
           {"stretch", 2},
           {"target-latency-ms", 500},
           {"advice", {{"decision-ms", 5}, {"per-item-ms", 0.5}, {"valid-ms", 2000}}},
           {"anonymous", true}}}},
        {"services", {{{"name", "svc"}, {"admission-check", false}}}},
        {"limits", {{"max-body-bytes", 20000}}},
        {"tenants", {{{"name", "team"}, {"api-keys", keys}, {"weight", 1}}}}};
    store_.Put("op/config", version.dump());
  }

  void AddEntry(const std::string& name) {
    auto entry = std::make_unique<site_process>();
    entry->name = name;
    entry->callers = FreePort();
    entry->ready = FreePort();
    entry->metrics = FreePort();
    const std::string base =
        absl::StrCat(CATKINFORD_BIN_DIR, "/site_", ToHex(NewRequestId()), "_", name);
    entry->settings_file = base + ".json";
    entry->log_file = base + ".log";
    const json settings{
        {"name", name},
        {"failure_domain", "zone-a"},
        {"listen",
         {{"callers", absl::StrCat("127.0.0.1:", entry->callers)},
          {"ready", absl::StrCat("127.0.0.1:", entry->ready)},
          {"address", "127.0.0.1"},
          {"peer_port", FreePort()},
          {"metrics_port", entry->metrics}}},
        {"platform", {{"store", store_.Address()}, {"advice", instances_.AdviceAddress()}}}};
    std::ofstream(entry->settings_file) << settings.dump();
    entries_.push_back(std::move(entry));
  }

  void Start(site_process& entry) {
    REQUIRE(entry.process.Start(
        {absl::StrCat(CATKINFORD_BIN_DIR, "/catkinford-site"), "--settings", entry.settings_file},
        entry.log_file));
  }

  bool Ready(size_t at) {
    http_call call;
    call.url = absl::StrCat("http://127.0.0.1:", entries_[at]->ready, "/v1/readiness");
    return http_.SendAndWait(call).code == 200;
  }

  http_result Call(size_t at, const std::string& method, const std::string& path,
                   const std::string& body = {}, const std::string& key = "key-1") {
    http_call call;
    call.method = method;
    call.url = absl::StrCat("http://127.0.0.1:", entries_[at]->callers, path);
    call.body = body;
    call.bearer = key;
    call.headers.emplace_back("Host", "h");
    call.timeout = milliseconds(3000);
    return http_.SendAndWait(call);
  }

  static std::string TwoSteps() {
    return json{
        {"task-spec", "work"},
        {"steps",
         {{{"count", 3}, {"cpu", 500}, {"mem-mb", 64}, {"estimate-ms", 200}},
          {{"count", 2}, {"cpu", 500}, {"mem-mb", 64}, {"estimate-ms", 200}, {"after", {0}}}}}}
        .dump();
  }

  std::string StateOf(size_t at, const std::string& path) {
    const http_result result = Call(at, "GET", path);
    const json body = json::parse(result.body, nullptr, false);
    return body.is_object() ? body.value("state", std::string()) : std::string();
  }

  // The entry that the store names as owner; -1: none.
  int Owner() {
    const auto text = store_.Value("site/owner");
    if (!text) return -1;
    for (size_t i = 0; i < entries_.size(); ++i) {
      if (text->find("\"" + entries_[i]->name + "\"") != std::string::npos) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  std::string Log(size_t at) {
    std::ifstream in(entries_[at]->log_file);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  }

  standin_metadata_store store_;
  standin_instances instances_;
  http_client http_;
  std::vector<std::unique_ptr<site_process>> entries_;
};

TEST_CASE_METHOD(site_fixture, "site, job of two steps, completes and is told at any entry") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(StateOf(0, "/keyed/" + JobId(1)) == "completed");
  CHECK(instances_.Starts().size() == 5);
  CHECK(instances_.Doubles().empty());
}

// A caller that got no answer sends its job again, to whichever entry the balancer picks: the buyer
// must not end up with two bookings.
TEST_CASE_METHOD(site_fixture, "site, same job handed in at both entries, runs once") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  REQUIRE(Call(1, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(0, "/keyed/" + JobId(1)) == "completed"; }));
  REQUIRE(Call(1, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(instances_.Starts().size() == 5);
}

TEST_CASE_METHOD(site_fixture, "site, call without a good key, is refused") {
  CHECK(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps(), "other").code == 401);
  CHECK(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps(), "").code == 401);
  CHECK(Call(0, "POST", "/nowhere/" + JobId(1), TwoSteps()).code == 404);
  CHECK(Call(0, "POST", "/open/" + JobId(1), TwoSteps(), "").code == 200);
}

TEST_CASE_METHOD(site_fixture, "site, malformed submission, is refused and costs nothing else") {
  const std::string path = "/keyed/" + JobId(1);
  CHECK(Call(0, "POST", path, "no json").code == 400);
  CHECK(Call(0, "POST", path, R"({"steps":[]})").code == 400);
  CHECK(Call(0, "POST", path, R"({"steps":[{"count":1,"after":[0]}]})").code == 400);
  CHECK(Call(0, "POST", path, R"({"steps":[{"count":"many"}]})").code == 400);
  CHECK(Call(0, "POST", "/keyed/short", TwoSteps()).code == 400);
  CHECK(Call(0, "POST", path, std::string(30000, ' ')).code == 413);
  CHECK(Call(0, "PUT", path, TwoSteps()).code == 405);
  CHECK(Call(0, "GET", path).code == 410);
  CHECK(Call(0, "DELETE", path).code == 410);
  CHECK(Call(0, "POST", path, TwoSteps()).code == 200);
  CHECK(Eventually([&] { return StateOf(0, path) == "completed"; }));
}

TEST_CASE_METHOD(site_fixture, "site, cancelled job, is told so and its tasks end") {
  const std::string lasting = json{{"task-spec", "work"},
                                   {"steps",
                                    {{{"count", 2},
                                      {"cpu", 500},
                                      {"mem-mb", 64},
                                      {"estimate-ms", 100},
                                      {"long-running", true}}}}}
                                  .dump();
  const std::string path = "/open/" + JobId(7);
  REQUIRE(Call(0, "POST", path, lasting).code == 200);
  REQUIRE(Eventually([this] { return instances_.Running() == 2; }));
  CHECK(Call(1, "DELETE", path).code == 200);
  CHECK(Eventually([&] { return StateOf(0, path) == "cancelled"; }));
  CHECK(Eventually([this] { return instances_.Running() == 0; }));
}

TEST_CASE_METHOD(site_fixture, "site, key withdrawn, stops working at every entry") {
  PutVersion(2, {"key-2"});
  for (size_t i = 0; i < 2; ++i) {
    CHECK(Eventually([&] {
      return Call(i, "POST", "/keyed/" + JobId(1), TwoSteps(), "key-1").code == 401 &&
             Call(i, "GET", "/keyed/", "", "key-2").code == 200;
    }));
  }
  // Bytes that are no version change nothing.
  store_.Put("op/config", "no version");
  CHECK(Call(0, "GET", "/keyed/", "", "key-2").code == 200);
}

// The entry that owns the site is killed while work runs. Another one takes over, adopts what runs,
// and callers only notice that a job takes a little longer.
TEST_CASE_METHOD(site_fixture, "site, owner killed, work goes on and nothing runs twice") {
  for (uint32_t i = 0; i < 8; ++i) {
    REQUIRE(Call(i % 2, "POST", "/keyed/" + JobId(i), TwoSteps()).code == 200);
  }
  const int owner = Owner();
  REQUIRE(owner >= 0);
  entries_[static_cast<size_t>(owner)]->process.Kill();
  const size_t other = owner == 0 ? 1 : 0;
  for (uint32_t i = 0; i < 8; ++i) {
    CHECK(Eventually([&] { return StateOf(other, "/keyed/" + JobId(i)) == "completed"; }));
  }
  CHECK(instances_.Doubles().empty());
  CHECK(Owner() == static_cast<int>(other));
}

// The owner is told to stop: it gives its lease back, and the other entry takes over at once.
TEST_CASE_METHOD(site_fixture, "site, owner told to stop, hands the site over and exits") {
  REQUIRE(Eventually([this] { return Owner() >= 0; }));
  const auto owner = static_cast<size_t>(Owner());
  REQUIRE(Call(owner, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  entries_[owner]->process.Signal(SIGTERM);
  const size_t other = 1 - owner;
  CHECK(Eventually([&] { return Owner() == static_cast<int>(other); }));
  CHECK(Eventually([&] { return StateOf(other, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(entries_[owner]->process.WaitFor(kGenerousLimit) == 0);
  CHECK(instances_.Doubles().empty());
}

// The store does a change and its answer is lost. The entry may say neither "taken" nor "refused"
// before it knows: it asks again, and the condition of the change tells.
TEST_CASE_METHOD(site_fixture, "site, answer of the store lost, job is taken once") {
  store_.LoseAnswers(1);
  const http_result result = Call(0, "POST", "/keyed/" + JobId(1), TwoSteps());
  CHECK((result.code == 200 || result.code == 504));
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.Starts().size() == 5);
}

// Answers to starts are lost: the tasks may run. They are found in the listings or stopped before
// they start elsewhere.
TEST_CASE_METHOD(site_fixture, "site, answers to starts lost, no task runs twice at a time") {
  instances_.LoseStartAnswers(3);
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(0, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.Doubles().empty());
}

// The store is away: nothing can be kept, so nothing is taken, and callers are told when to come
// back. What was taken before runs on.
TEST_CASE_METHOD(site_fixture, "site, store down, refuses at once and finishes what it has") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  REQUIRE(Eventually([this] { return !instances_.Starts().empty(); }));
  store_.SetDown(true);
  CHECK(Call(0, "POST", "/keyed/" + JobId(2), TwoSteps()).code == 503);
  CHECK(Eventually([this] { return instances_.Starts().size() == 5; }));
  store_.SetDown(false);
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(Call(0, "POST", "/keyed/" + JobId(2), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(2)) == "completed"; }));
  CHECK(instances_.Doubles().empty());
}

// Every process dies at once, also right after a job was taken: it is in the store, and the next
// owner finds it there.
TEST_CASE_METHOD(site_fixture, "site, all entries killed, accepted jobs complete after a restart") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  for (auto& entry : entries_) entry->process.Kill();
  for (auto& entry : entries_) Start(*entry);
  CHECK(Eventually([this] { return StateOf(0, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.Doubles().empty());
}

TEST_CASE_METHOD(site_fixture, "site, finished job, its way is in the logs and the metrics") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  REQUIRE(Eventually([this] { return StateOf(1, "/keyed/" + JobId(1)) == "completed"; }));
  const auto logged = [this](const std::string& name) {
    for (size_t i = 0; i < 2; ++i) {
      const std::string log = Log(i);
      size_t at = 0;
      while ((at = log.find(name, at)) != std::string::npos) {
        const std::string line = log.substr(at, log.find('\n', at) - at);
        if (line.find(JobId(1)) != std::string::npos) return true;
        ++at;
      }
    }
    return false;
  };
  for (const char* name : {"job_accepted", "job_added", "advice", "task_start", "task_end",
                           "job_ended", "state_told"}) {
    INFO(name);
    CHECK(Eventually([&] { return logged(name); }));
  }
  http_call call;
  call.url = absl::StrCat("http://127.0.0.1:", entries_[0]->metrics, "/metrics");
  CHECK(http_.SendAndWait(call).body.find("catkinford_site_answers_total") != std::string::npos);
}

}  // namespace
}  // namespace catkinford
