#include "process/site/takeover_spacing.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class takeover_spacing_fixture {
 protected:
  // Each owner is followed as soon as its silence suffices; how often that is.
  int TakeoversWithin(seconds time) {
    int count = 0;
    for (const monotonic_time end = now + time; now < end; now += milliseconds{50}) {
      if (!spacing.SilenceSuffices(now)) continue;
      spacing.OnOwner(++epoch, now);
      ++count;
    }
    return count;
  }

  takeover_spacing spacing;
  uint64_t epoch = 0;
  monotonic_time now{seconds(100)};
};

// Guards against a site that is taken from each busy owner in turn, and never works.
TEST_CASE_METHOD(takeover_spacing_fixture,
                 "takeover spacing, every owner silent, takeovers become rare") {
  spacing.OnOwner(++epoch, now);
  CHECK(TakeoversWithin(seconds(90)) <= 8);
}

// Guards against waiting for a lease where an owner of long standing loses power.
TEST_CASE_METHOD(takeover_spacing_fixture,
                 "takeover spacing, owner of long standing, silence suffices") {
  spacing.OnOwner(++epoch, now);
  CHECK(spacing.SilenceSuffices(now));
  now += seconds(60);
  spacing.OnOwner(++epoch, now);
  CHECK_FALSE(spacing.SilenceSuffices(now + milliseconds{1000}));
  CHECK(spacing.SilenceSuffices(now + seconds(4)));
}

// Guards against a site that stays slow to follow its owner for good after one bad spell.
TEST_CASE_METHOD(takeover_spacing_fixture, "takeover spacing, quiet again, forgets the bad spell") {
  spacing.OnOwner(++epoch, now);
  TakeoversWithin(seconds(60));
  now += seconds(30);
  spacing.OnOwner(++epoch, now);
  CHECK(spacing.SilenceSuffices(now + seconds(4)));
}

}  // namespace
}  // namespace catkinford
