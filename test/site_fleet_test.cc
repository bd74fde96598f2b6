// Whole sites of real processes against a stand-in of the platform's wire.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>

#include "site_fixture.h"

namespace catkinford {
namespace {

using nlohmann::json;

TEST_CASE_METHOD(site_fixture, "site, job of two steps, completes and is told at any entry") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(StateOf(0, "/keyed/" + JobId(1)) == "completed");
  CHECK(instances_.Starts().size() == 5);
  CHECK(instances_.DuplicateRuns().empty());
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
  CHECK(instances_.DuplicateRuns().empty());
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
  CHECK(instances_.DuplicateRuns().empty());
}

// The store does a change and its answer is lost. The entry may say neither "taken" nor "refused"
// before it knows: it asks again, and the condition of the change tells.
TEST_CASE_METHOD(site_fixture, "site, answer of the store lost, job is taken once") {
  store_.DropResponses(1);
  const http_result result = Call(0, "POST", "/keyed/" + JobId(1), TwoSteps());
  CHECK((result.code == 200 || result.code == 504));
  CHECK(Eventually([this] { return StateOf(1, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.Starts().size() == 5);
}

// Answers to starts are lost: the tasks may run. They are found in the listings or stopped before
// they start elsewhere.
TEST_CASE_METHOD(site_fixture, "site, answers to starts lost, no task runs twice at a time") {
  instances_.DropStartResponses(3);
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  CHECK(Eventually([this] { return StateOf(0, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.DuplicateRuns().empty());
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
  CHECK(instances_.DuplicateRuns().empty());
}

// Every process dies at once, also right after a job was taken: it is in the store, and the next
// owner finds it there.
TEST_CASE_METHOD(site_fixture, "site, all entries killed, accepted jobs complete after a restart") {
  REQUIRE(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  for (auto& entry : entries_) entry->process.Kill();
  for (auto& entry : entries_) Start(*entry);
  CHECK(Eventually([this] { return StateOf(0, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.DuplicateRuns().empty());
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
