#include "process/site/start_router.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string>

#include "process/site/payload_cache.h"
#include "process/site/start_messages.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class start_router_fixture {
 protected:
  start_router_fixture() { router.SetEntries({"b", "c", "d"}); }
  std::optional<std::string> Forwarder(const std::string& accepted_by, bool busy = true) {
    return router.ForwarderFor("job", accepted_by, 0, busy, now);
  }

  start_router router;
  monotonic_time now{seconds(100)};
};

// Guards against a narrow link that is saturated by copies of one payload in jobs of many tasks.
TEST_CASE_METHOD(start_router_fixture,
                 "start router, wide job and busy link, forwarded to the entry with its payload") {
  CHECK(Forwarder("c") == "c");
  CHECK_FALSE(Forwarder("c", false));
}

// Guards against starts that are never sent because the entry that accepted their job is gone.
TEST_CASE_METHOD(start_router_fixture,
                 "start router, accepting entry gone, one other forwards all tasks of the job") {
  const auto other = Forwarder("gone");
  REQUIRE(other);
  CHECK(Forwarder("gone") == other);
  CHECK(Forwarder("") == other);
  router.SetEntries({});
  CHECK_FALSE(Forwarder("gone"));
}

// Guards against a job of many tasks that saturates the link of a single forwarder.
TEST_CASE_METHOD(start_router_fixture,
                 "start router, wide job, its groups use several forwarders") {
  std::set<std::string> forwarders;
  for (uint32_t group = 0; group < 20; ++group) {
    const auto forwarder = router.ForwarderFor("job", "c", group, true, now);
    REQUIRE(forwarder);
    CHECK(router.ForwarderFor("job", "c", group, true, now) == forwarder);
    forwarders.insert(*forwarder);
  }
  CHECK(forwarders.size() == 3);
}

// Guards against starts that wait for a forwarder which is cut off, one timeout after the other.
TEST_CASE_METHOD(start_router_fixture, "start router, forwarder silent, avoided for a while") {
  const uint64_t call = router.Sent("c", now);
  now += milliseconds{100};
  CHECK(Forwarder("c") == "c");
  now += milliseconds{100};
  CHECK(Forwarder("c") != "c");
  now += milliseconds{800};
  router.OnAnswer(call, false, now);
  CHECK(Forwarder("c") != "c");
  now += seconds(4);
  CHECK(Forwarder("c") == "c");
  router.OnResultMissing("c", now);
  CHECK(Forwarder("c") != "c");
}

// Guards against a start that reaches another task, instance or incarnation than the one chosen.
TEST_CASE("forwarded starts, written and read, same without their payload") {
  start_command command;
  command.to = {"i-1", "10.0.0.1:80", 1'700'000'000'000};
  command.key = {"0123456789abcdef", 2, 3, 41};
  command.run = 2007;
  command.payload = "payload";
  command.lease_until_ms = 482'113;
  command.checkpoint = "c";
  command.ticket = "t";
  const auto read =
      ForwardedStartsFromText(ForwardedStartsToText({9, "10.0.0.2:81", {{77, command}}}));
  REQUIRE(read);
  CHECK(read->epoch == 9);
  CHECK(read->owner == "10.0.0.2:81");
  REQUIRE(read->starts.size() == 1);
  CHECK(read->starts[0].number == 77);
  const start_command& again = read->starts[0].command;
  CHECK(again.key == command.key);
  CHECK(again.to.instance == command.to.instance);
  CHECK(again.to.address == command.to.address);
  CHECK(again.to.incarnation == command.to.incarnation);
  CHECK(again.run == command.run);
  CHECK(again.lease_until_ms == command.lease_until_ms);
  CHECK(again.checkpoint == command.checkpoint);
  CHECK(again.ticket == command.ticket);
  CHECK(again.payload.empty());
  for (const char* text : {"", "[]", "{}", R"({"epoch":1,"owner":"a","starts":[[1,2]]})"}) {
    CHECK_FALSE(ForwardedStartsFromText(text));
  }
}

TEST_CASE("start results, written and read, same") {
  const auto read = StartResultsFromText(
      StartResultsToText({{7, true, {command_result::kStale, 482'113}}, {8, false, {}}}));
  REQUIRE(read);
  REQUIRE(read->size() == 2);
  CHECK(read->at(0).number == 7);
  CHECK(read->at(0).sent);
  CHECK(read->at(0).answer.result == command_result::kStale);
  CHECK(read->at(0).answer.clock_ms == 482'113);
  CHECK_FALSE(read->at(1).sent);
  CHECK_FALSE(read->at(1).answer.clock_ms);
  CHECK_FALSE(StartResultsFromText("{}"));
  CHECK_FALSE(StartResultsFromText("[[1]]"));
  // A result code of a later version: the start may have been executed or not.
  const auto later = StartResultsFromText("[[1,true,99]]");
  REQUIRE(later);
  CHECK(later->at(0).answer.result == command_result::kUnknown);
}

// Guards against unbounded memory use by the payloads of all jobs accepted so far.
TEST_CASE("payload cache, full, evicts the oldest") {
  payload_cache cache(100);
  cache.Put("a", std::string(60, 'a'));
  cache.Put("b", std::string(30, 'b'));
  REQUIRE(cache.Find("a") != nullptr);
  cache.Put("c", std::string(30, 'c'));
  CHECK(cache.Find("a") == nullptr);
  REQUIRE(cache.Find("b") != nullptr);
  CHECK(cache.Find("b")->size() == 30);
  cache.Put("b", "other");
  CHECK(cache.Find("b")->size() == 30);
  cache.Put("d", std::string(200, 'd'));
  CHECK(cache.Find("d") == nullptr);
}

}  // namespace
}  // namespace catkinford
