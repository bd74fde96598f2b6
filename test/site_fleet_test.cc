// Complete sites of real processes against a stand-in of the platform.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>

#include "site_fixture.h"

namespace catkinford {
namespace {

using nlohmann::json;

TEST_CASE_METHOD(site_fixture,
                 "site, job of two steps, completes and its state is known at any entry") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(StateOf(0, "/keyed/" + JobId(1)) == "completed");
  CHECK(instances_.Starts().size() == 5);
  CHECK(instances_.DuplicateRuns().empty());
}

// Guards against a job that runs twice: a caller that got no answer submits it again, and the load
// balancer picks another entry.
TEST_CASE_METHOD(site_fixture, "site, same job submitted at both entries, runs once") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  REQUIRE(Call(1, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(0, "/keyed/" + JobId(1)) == "completed"; }));
  REQUIRE(Call(1, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(instances_.Starts().size() == 5);
}

TEST_CASE_METHOD(site_fixture, "site, call without a valid key, is rejected") {
  CHECK(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps(), "other").code == 401);
  CHECK(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps(), "").code == 401);
  CHECK(Call(0, "POST", "/nowhere/" + JobId(1), TwoSteps()).code == 404);
  CHECK(Call(0, "POST", "/open/" + JobId(1), TwoSteps(), "").code == 200);
}

TEST_CASE_METHOD(site_fixture, "site, malformed submission, is rejected and has no other effect") {
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

TEST_CASE_METHOD(site_fixture, "site, cancelled job, is reported as cancelled and its tasks end") {
  const std::string long_running = json{
      {"task-spec", "work"},
      {"steps",
       {{{"count", 2},
         {"cpu", 500},
         {"mem-mb", 64},
         {"estimate-ms", 100},
         {"long-running", true}}}}}.dump();
  const std::string path = "/open/" + JobId(7);
  REQUIRE(Call(0, "POST", path, long_running).code == 200);
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
  // A malformed version changes nothing.
  store_.Put("op/config", "no version");
  CHECK(Call(0, "GET", "/keyed/", "", "key-2").code == 200);
}

// Guards against lost or duplicate runs when the owner is killed: another entry takes over and
// adopts them, and callers only notice a delay.
TEST_CASE_METHOD(site_fixture, "site, owner killed, work continues and nothing runs twice") {
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
  CHECK(instances_.DuplicateRuns().empty());
  CHECK(Owner() == static_cast<int>(other));
}

// Guards against a late takeover after a regular stop: the owner releases its lease, and the other
// entry takes over at once.
TEST_CASE_METHOD(site_fixture, "site, owner told to stop, hands the site over and exits") {
  REQUIRE(Eventually([this] { return Owner() >= 0; }));
  const auto owner = static_cast<size_t>(Owner());
  REQUIRE(Call(owner, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  entries_[owner]->process.Signal(SIGTERM);
  const size_t other = 1 - owner;
  CHECK(Eventually([&] { return Owner() == static_cast<int>(other); }));
  CHECK(Eventually([&] { return StateOf(other, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(entries_[owner]->process.WaitFor(kGenerousLimit) == 0);
  CHECK(instances_.DuplicateRuns().empty());
}

// Guards against a wrong answer when the store carries out a change and its reply is lost: the
// entry may report neither success nor failure before it repeats the call, whose condition then
// decides.
TEST_CASE_METHOD(site_fixture, "site, reply of the store lost, job is accepted once") {
  store_.DropResponses(1);
  const http_result result = Call(0, "POST", "/keyed/" + JobId(1), TwoSteps());
  CHECK((result.code == 200 || result.code == 504));
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.Starts().size() == 5);
}

// Guards against a second run when replies to starts are lost and the tasks may run: they are found
// in the listings, or stopped before they start elsewhere.
TEST_CASE_METHOD(site_fixture, "site, replies to starts lost, no task has two runs at a time") {
  instances_.DropStartResponses(3);
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(0, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.DuplicateRuns().empty());
}

// Guards against jobs accepted while the store is down and they can't be stored: callers get
// Retry-After, and jobs accepted earlier continue.
TEST_CASE_METHOD(site_fixture,
                 "site, store down, rejects new jobs at once and finishes accepted ones") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  REQUIRE(Eventually([this] { return !instances_.Starts().empty(); }));
  store_.SetDown(true);
  CHECK(Call(0, "POST", "/keyed/" + JobId(2), TwoSteps()).code == 503);
  CHECK(Eventually([this] { return instances_.Starts().size() == 5; }));
  store_.SetDown(false);
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(Call(0, "POST", "/keyed/" + JobId(2), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(2)) == "completed"; }));
  CHECK(instances_.DuplicateRuns().empty());
}

// Guards against lost jobs when all processes die right after a job was accepted: the next owner
// finds it in the store.
TEST_CASE_METHOD(site_fixture, "site, all entries killed, accepted jobs complete after a restart") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  for (auto& entry : entries_) entry->process.Kill();
  for (auto& entry : entries_) Start(*entry);
  CHECK(Eventually([this] { return StateOf(0, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.DuplicateRuns().empty());
}

TEST_CASE_METHOD(site_fixture, "site, finished job, its course is in the logs and the metrics") {
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
