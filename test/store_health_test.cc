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

// Guards against submissions to a store that has stopped answering and holds every call until its
// timeout: a job sent to it would be neither accepted nor rejected.
TEST_CASE_METHOD(store_health_fixture, "store health, store silent, is suspect and then down") {
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

// Guards against rejected callers after a single lost reply, while later calls are answered.
TEST_CASE_METHOD(store_health_fixture, "store health, one reply lost, stays up") {
  const uint64_t lost = health.Sent(now);
  Wait(milliseconds{10});
  for (int i = 0; i < 30; ++i) AnswerAfter(milliseconds{30});
  CHECK(health.State(now) == store_state::kUp);
  health.Answered(lost, false, now);
  CHECK(health.State(now) == store_state::kUp);
}

// Guards against a store that is slow for everyone being taken for one that is down.
TEST_CASE_METHOD(store_health_fixture, "store health, store slow, stays up") {
  for (int i = 0; i < 20; ++i) AnswerAfter(milliseconds{300});
  health.Sent(now);
  Wait(milliseconds{600});
  CHECK(health.State(now) == store_state::kUp);
}

// Guards against sending more work to a store that rejects each call of this entry at once.
TEST_CASE_METHOD(store_health_fixture, "store health, calls rejected, is down until one succeeds") {
  for (int i = 0; i < 2; ++i) health.Answered(health.Sent(now), false, now);
  CHECK(health.State(now) == store_state::kDown);
  AnswerAfter(milliseconds{5});
  CHECK(health.State(now) == store_state::kUp);
}

// Guards against lost jobs in an outage of four seconds: a caller with four tries that is told to
// retry after one second each time has used them up just before the store is back.
TEST_CASE_METHOD(store_health_fixture, "store health, outage of four seconds, retries outlast it") {
  AnswerAfter(milliseconds{6});
  const monotonic_time outage = now;
  for (int tries = 0; tries < 4; ++tries) Wait(health.RetryAfter(now));
  CHECK(now - outage > std::chrono::seconds(5));
  AnswerAfter(milliseconds{6});
  CHECK(health.RetryAfter(now) == std::chrono::seconds(1));
}

}  // namespace
}  // namespace catkinford
