#include "process/site/takeover_backoff.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class takeover_backoff_fixture {
 protected:
  // Counts takeovers when each owner is superseded as soon as its silence allows it.
  int TakeoversWithin(seconds time) {
    int count = 0;
    for (const monotonic_time end = now + time; now < end; now += milliseconds{50}) {
      if (!backoff.MayTakeOverOnSilence(now)) continue;
      backoff.OnOwner(++epoch, now);
      ++count;
    }
    return count;
  }

  takeover_backoff backoff;
  uint64_t epoch = 0;
  monotonic_time now{seconds(100)};
};

// Guards against a site that is taken from each busy owner in turn and makes no progress.
TEST_CASE_METHOD(takeover_backoff_fixture,
                 "takeover backoff, every owner silent, takeovers become rare") {
  backoff.OnOwner(++epoch, now);
  CHECK(TakeoversWithin(seconds(90)) <= 8);
}

// Guards against waiting for the lease to end when a long-standing owner loses power.
TEST_CASE_METHOD(takeover_backoff_fixture,
                 "takeover backoff, long-standing owner, silence suffices") {
  backoff.OnOwner(++epoch, now);
  CHECK(backoff.MayTakeOverOnSilence(now));
  now += seconds(60);
  backoff.OnOwner(++epoch, now);
  CHECK_FALSE(backoff.MayTakeOverOnSilence(now + milliseconds{1000}));
  CHECK(backoff.MayTakeOverOnSilence(now + seconds(4)));
}

// Guards against takeovers that stay slow after a single overload has passed.
TEST_CASE_METHOD(takeover_backoff_fixture, "takeover backoff, quiet period, pause is reset") {
  backoff.OnOwner(++epoch, now);
  TakeoversWithin(seconds(60));
  now += seconds(30);
  backoff.OnOwner(++epoch, now);
  CHECK(backoff.MayTakeOverOnSilence(now + seconds(4)));
}

}  // namespace
}  // namespace catkinford
