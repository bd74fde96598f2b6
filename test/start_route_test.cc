#include "process/site/start_route.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string>

#include "process/site/payload_cache.h"
#include "process/site/start_words.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class start_route_fixture {
 protected:
  start_route_fixture() { route.SetEntries({"b", "c", "d"}); }
  std::optional<std::string> Carrier(const std::string& accepted_by, bool busy = true) {
    return route.CarrierFor("job", accepted_by, 0, busy, now);
  }

  start_route route;
  monotonic_time now{seconds(100)};
};

// Guards against a link that is filled by copies of one payload: jobs of many tasks, narrow link.
TEST_CASE_METHOD(start_route_fixture,
                 "start route, wide job and busy link, is sent where its payload is") {
  CHECK(Carrier("c") == "c");
  CHECK_FALSE(Carrier("c", false));
}

// Guards against starts that nobody sends because the entry that took their job is gone.
TEST_CASE_METHOD(start_route_fixture,
                 "start route, accepting entry gone, one other brings all tasks of the job") {
  const auto other = Carrier("gone");
  REQUIRE(other);
  CHECK(Carrier("gone") == other);
  CHECK(Carrier("") == other);
  route.SetEntries({});
  CHECK_FALSE(Carrier("gone"));
}

// Guards against a carrier whose own link is filled by a job of many tasks.
TEST_CASE_METHOD(start_route_fixture, "start route, wide job, its groups go several ways") {
  std::set<std::string> carriers;
  for (uint32_t group = 0; group < 20; ++group) {
    const auto carrier = route.CarrierFor("job", "c", group, true, now);
    REQUIRE(carrier);
    CHECK(route.CarrierFor("job", "c", group, true, now) == carrier);
    carriers.insert(*carrier);
  }
  CHECK(carriers.size() == 3);
}

// Guards against starts that wait for an entry which is cut off, one timeout after the other.
TEST_CASE_METHOD(start_route_fixture, "start route, carrier silent, is not used for a while") {
  const uint64_t call = route.Sent("c", now);
  now += milliseconds{100};
  CHECK(Carrier("c") == "c");
  now += milliseconds{100};
  CHECK(Carrier("c") != "c");
  now += milliseconds{800};
  route.Answered(call, false, now);
  CHECK(Carrier("c") != "c");
  now += seconds(4);
  CHECK(Carrier("c") == "c");
  route.Unheard("c", now);
  CHECK(Carrier("c") != "c");
}

// Guards against a start that reaches another task, instance or life than the one decided on.
TEST_CASE("given starts, written and read, are the same without their payload") {
  start_command order;
  order.to = {"i-1", "10.0.0.1:80", 1'700'000'000'000};
  order.key = {"0123456789abcdef", 2, 3, 41};
  order.run = 2007;
  order.payload = "payload";
  order.lease_until_ms = 482'113;
  order.checkpoint = "c";
  order.ticket = "t";
  const auto read = GivenStartsFromText(GivenStartsToText({9, "10.0.0.2:81", {{77, order}}}));
  REQUIRE(read);
  CHECK(read->epoch == 9);
  CHECK(read->owner == "10.0.0.2:81");
  REQUIRE(read->starts.size() == 1);
  CHECK(read->starts[0].number == 77);
  const start_command& again = read->starts[0].order;
  CHECK(again.key == order.key);
  CHECK(again.to.instance == order.to.instance);
  CHECK(again.to.address == order.to.address);
  CHECK(again.to.incarnation == order.to.incarnation);
  CHECK(again.run == order.run);
  CHECK(again.lease_until_ms == order.lease_until_ms);
  CHECK(again.checkpoint == order.checkpoint);
  CHECK(again.ticket == order.ticket);
  CHECK(again.payload.empty());
  for (const char* text : {"", "[]", "{}", R"({"epoch":1,"owner":"a","starts":[[1,2]]})"}) {
    CHECK_FALSE(GivenStartsFromText(text));
  }
}

TEST_CASE("start results, written and read, are the same") {
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
  // What only a later program knows may have been done or not.
  const auto later = StartResultsFromText("[[1,true,99]]");
  REQUIRE(later);
  CHECK(later->at(0).answer.result == command_result::kUnknown);
}

// Guards against payloads of all jobs of a long day in memory.
TEST_CASE("payload cache, full, forgets the oldest") {
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
