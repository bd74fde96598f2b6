#include "process/site/store_health.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

class store_health_fixture {
 protected:
  void Wait(milliseconds time) { now += time; }
  void AnswerAfter(milliseconds time) {
    const uint64_t call = health.Sent(now);
    Wait(time);
    health.Answered(call, true, now);
  }

  store_health health;
  monotonic_time now{std::chrono::seconds(100)};
};

// The store goes silent and keeps every call until its timeout. A booking sent to it now would be
// neither taken nor refused, and the buyer would be told nothing that helps.
TEST_CASE_METHOD(store_health_fixture, "store health, store silent, is doubted and then down") {
  AnswerAfter(milliseconds{6});
  health.Sent(now);
  Wait(milliseconds{100});
  CHECK(health.State(now) == store_state::kUp);
  Wait(milliseconds{200});
  CHECK(health.State(now) == store_state::kSuspect);
  Wait(milliseconds{500});
  CHECK(health.State(now) == store_state::kDown);
  AnswerAfter(milliseconds{6});
  CHECK(health.State(now) == store_state::kUp);
}

// One answer gets lost and the next calls are answered: refusing work for that would turn callers
// away for nothing.
TEST_CASE_METHOD(store_health_fixture, "store health, one answer lost, stays up") {
  const uint64_t lost = health.Sent(now);
  Wait(milliseconds{10});
  for (int i = 0; i < 30; ++i) AnswerAfter(milliseconds{30});
  CHECK(health.State(now) == store_state::kUp);
  health.Answered(lost, false, now);
  CHECK(health.State(now) == store_state::kUp);
}

// The store is slow for everyone. Work goes on at its pace.
TEST_CASE_METHOD(store_health_fixture, "store health, store slow, stays up") {
  for (int i = 0; i < 20; ++i) AnswerAfter(milliseconds{300});
  health.Sent(now);
  Wait(milliseconds{600});
  CHECK(health.State(now) == store_state::kUp);
}

// The store turns this entry away at once, call after call.
TEST_CASE_METHOD(store_health_fixture,
                 "store health, calls turned away, is down until one is not") {
  for (int i = 0; i < 2; ++i) health.Answered(health.Sent(now), false, now);
  CHECK(health.State(now) == store_state::kDown);
  AnswerAfter(milliseconds{5});
  CHECK(health.State(now) == store_state::kUp);
}

// The store is down for four seconds, and a caller has four tries. Told to come back in one second
// each time, it has used them up just before the store is back, and its booking is lost.
TEST_CASE_METHOD(store_health_fixture, "store health, outage of four seconds, callers outlast it") {
  AnswerAfter(milliseconds{6});
  const monotonic_time outage = now;
  for (int tries = 0; tries < 4; ++tries) Wait(health.RetryAfter(now));
  CHECK(now - outage > std::chrono::seconds(5));
  AnswerAfter(milliseconds{6});
  CHECK(health.RetryAfter(now) == std::chrono::seconds(1));
}

}  // namespace
}  // namespace catkinford
