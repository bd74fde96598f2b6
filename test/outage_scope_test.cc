// A store that answers some entries and not others: where a caller is served soonest.
#include "process/site/outage_scope.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <vector>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

class outage_scope_fixture {
 protected:
  // An entry whose latest answer from the store is that old.
  outage_answer Reports(milliseconds age, bool other_domain = true) const {
    return {other_domain, now - age};
  }
  static outage_answer Silent(bool other_domain = true) { return {other_domain, std::nullopt}; }

  // Asked for the first time about a call that was sent `waited` ago.
  outage_scope Judge(milliseconds waited, const std::vector<outage_answer>& answers) {
    REQUIRE(tracker.ShouldAsk(now - waited, now));
    tracker.OnAnswers(answers, now);
    return tracker.Scope(now);
  }

  monotonic_time now{std::chrono::seconds(100)};
  outage_tracker tracker;
};

// Guards against callers that wait for a store which serves them through any other entry.
TEST_CASE_METHOD(outage_scope_fixture,
                 "outage scope, another entry of the domain is answered, is this entry's") {
  CHECK(Judge(milliseconds(400), {Reports(milliseconds(900)), Reports(milliseconds(20), false)}) ==
        outage_scope::kThisEntry);
}

// Guards against callers that use up their tries within the domain before the balancer avoids it.
TEST_CASE_METHOD(outage_scope_fixture,
                 "outage scope, only entries of other domains are answered, is this domain's") {
  CHECK(Judge(milliseconds(400), {Reports(milliseconds(900), false), Reports(milliseconds(20))}) ==
        outage_scope::kThisDomain);
}

// Guards against sending callers in circles while no entry can serve them.
TEST_CASE_METHOD(outage_scope_fixture, "outage scope, no entry is answered, is all entries'") {
  CHECK(Judge(milliseconds(400), {Reports(milliseconds(500)), Reports(milliseconds(420)),
                                  Silent()}) == outage_scope::kAllEntries);
}

// Guards against an entry of a failure domain that is cut off, which takes the store for down.
TEST_CASE_METHOD(outage_scope_fixture,
                 "outage scope, other failure domains are silent, is this domain's") {
  CHECK(Judge(milliseconds(400), {Reports(milliseconds(450), false), Silent(), Silent()}) ==
        outage_scope::kThisDomain);
}

TEST_CASE_METHOD(outage_scope_fixture, "outage scope, single failure domain, is not cut off") {
  CHECK(Judge(milliseconds(400), {Reports(milliseconds(450), false), Silent(false)}) ==
        outage_scope::kAllEntries);
}

TEST_CASE_METHOD(outage_scope_fixture, "outage scope, store answers again, is unknown") {
  Judge(milliseconds(400), {Reports(milliseconds(20), false)});
  CHECK_FALSE(tracker.ShouldAsk(std::nullopt, now));
  CHECK(tracker.Scope(now) == outage_scope::kUnknown);
}

TEST_CASE_METHOD(outage_scope_fixture, "outage scope, verdict grown old, is unknown") {
  Judge(milliseconds(400), {Reports(milliseconds(20))});
  now += milliseconds(1500);
  CHECK(tracker.Scope(now) == outage_scope::kUnknown);
  CHECK(tracker.ShouldAsk(now - milliseconds(1900), now));
  CHECK_FALSE(tracker.ShouldAsk(now - milliseconds(1900), now));
}

}  // namespace
}  // namespace catkinford
