#include "process/site/shutdown_schedule.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An entry that is told to stop at time 0 and killed after six seconds.
class shutdown_schedule_fixture {
 protected:
  static constexpr bool kIdle = true;
  static constexpr bool kBusy = false;
  static constexpr bool kResigned = true;

  shutdown_phase At(milliseconds time, bool idle, bool resigned = kResigned) {
    return schedule_.Advance(idle, resigned, monotonic_time{} + time);
  }

  shutdown_schedule schedule_{monotonic_time{}, seconds{6}};
};

// Guards against connections closed under callers that the load balancer still sends here.
TEST_CASE_METHOD(shutdown_schedule_fixture,
                 "shutdown schedule, idle, ends once the load balancer has taken the entry out") {
  CHECK(At(seconds{0}, kIdle) == shutdown_phase::kServing);
  CHECK(At(seconds{2}, kIdle) == shutdown_phase::kServing);
  CHECK(At(milliseconds{2300}, kIdle) == shutdown_phase::kRejecting);
  CHECK(At(milliseconds{2300}, kIdle) == shutdown_phase::kEnded);
}

// Guards against a request cut off because it came after the last look at what is in flight.
TEST_CASE_METHOD(shutdown_schedule_fixture,
                 "shutdown schedule, request taken before rejecting, is waited for") {
  REQUIRE(At(milliseconds{2300}, kIdle) == shutdown_phase::kRejecting);
  CHECK(At(milliseconds{2320}, kBusy) == shutdown_phase::kRejecting);
  CHECK(At(milliseconds{2400}, kIdle) == shutdown_phase::kEnded);
}

TEST_CASE_METHOD(shutdown_schedule_fixture,
                 "shutdown schedule, not resigned, serves until little time is left") {
  CHECK(At(milliseconds{4500}, kIdle, !kResigned) == shutdown_phase::kServing);
  CHECK(At(milliseconds{4600}, kIdle, !kResigned) == shutdown_phase::kRejecting);
  CHECK(At(milliseconds{4600}, kIdle, !kResigned) == shutdown_phase::kEnded);
}

TEST_CASE_METHOD(shutdown_schedule_fixture,
                 "shutdown schedule, always busy, rejects, settles and ends before the kill") {
  CHECK(At(milliseconds{4500}, kBusy) == shutdown_phase::kServing);
  CHECK(At(milliseconds{4600}, kBusy) == shutdown_phase::kRejecting);
  CHECK(At(milliseconds{4980}, kBusy) == shutdown_phase::kRejecting);
  CHECK(At(milliseconds{5000}, kBusy) == shutdown_phase::kSettling);
  CHECK(At(milliseconds{5700}, kBusy) == shutdown_phase::kSettling);
  CHECK(At(milliseconds{5800}, kBusy) == shutdown_phase::kEnded);
}

// Guards against an end right at the wake-up of a suspended machine, before its requests in flight
// are settled and their answers sent.
TEST_CASE_METHOD(shutdown_schedule_fixture,
                 "shutdown schedule, suspended past its limit, still settles and sends") {
  REQUIRE(At(seconds{1}, kBusy) == shutdown_phase::kServing);
  CHECK(At(seconds{9}, kBusy) == shutdown_phase::kRejecting);
  CHECK(At(milliseconds{9020}, kBusy) == shutdown_phase::kSettling);
  CHECK(At(milliseconds{9040}, kBusy) == shutdown_phase::kSettling);
  CHECK(At(milliseconds{9060}, kIdle) == shutdown_phase::kEnded);
}

TEST_CASE("shutdown schedule, limit below its margin, rejects and settles at once") {
  shutdown_schedule schedule(monotonic_time{}, milliseconds{500});
  CHECK(schedule.Advance(false, true, monotonic_time{}) == shutdown_phase::kRejecting);
  CHECK(schedule.Advance(false, true, monotonic_time{}) == shutdown_phase::kSettling);
}

}  // namespace
}  // namespace catkinford
