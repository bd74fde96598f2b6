// When an owner that the store does not answer gives up the site.
#include "process/site/cut_off_resignation.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const monotonic_time kAnswered{seconds(100)};

// Guards against an owner that stores nothing until its lease ends.
TEST_CASE("cut off resignation, store answers others only, resigns") {
  cut_off_resignation resignation;
  CHECK(
      resignation.ShouldResign(outage_scope::kThisEntry, kAnswered, kAnswered + milliseconds(800)));
}

// Guards against a change of owner for one lost reply.
TEST_CASE("cut off resignation, store silent for a short time, continues") {
  cut_off_resignation resignation;
  CHECK_FALSE(
      resignation.ShouldResign(outage_scope::kThisEntry, kAnswered, kAnswered + milliseconds(500)));
}

// Guards against an owner that ends in an outage that no other entry can take over from.
TEST_CASE("cut off resignation, others not answered either, continues") {
  cut_off_resignation resignation;
  for (const outage_scope scope :
       {outage_scope::kAllEntries, outage_scope::kThisDomain, outage_scope::kUnknown}) {
    CHECK_FALSE(resignation.ShouldResign(scope, kAnswered, kAnswered + seconds(3)));
  }
}

// Guards against a site that changes its owner all the time, since its paths to the store flap.
TEST_CASE("cut off resignation, flapping, at most one in ten seconds") {
  cut_off_resignation resignation;
  int count = 0;
  for (milliseconds at{0}; at < seconds(30); at += milliseconds(100)) {
    const monotonic_time now = kAnswered + at + seconds(1);
    count += resignation.ShouldResign(outage_scope::kThisEntry, now - seconds(1), now) ? 1 : 0;
  }
  CHECK(count == 3);
}

}  // namespace
}  // namespace catkinford
