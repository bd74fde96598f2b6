#include "process/site/listing_age.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class listing_age_fixture {
 protected:
  // The listing was made at `made` and is handled `late` after it.
  milliseconds Age(milliseconds made, milliseconds late) {
    return ages_.Age(kInstance, made.count() - kClockBehind.count(),
                     monotonic_time(seconds(1000)) + made + late);
  }

  static constexpr milliseconds kClockBehind{700};
  const std::string kInstance = "i-1";
  listing_age ages_;
};

// Guards against a figure that shows the distance of two clocks and not the age.
TEST_CASE_METHOD(listing_age_fixture,
                 "listing age, clocks apart, is the delay beyond the fastest") {
  CHECK(Age(milliseconds{1000}, milliseconds{2}) == milliseconds{0});
  CHECK(Age(milliseconds{1100}, milliseconds{302}) == milliseconds{300});
  CHECK(Age(milliseconds{1200}, milliseconds{2}) == milliseconds{0});
}

// Guards against a drift of clocks that is shown as an age forever.
TEST_CASE_METHOD(listing_age_fixture, "listing age, clock drifts, forgets the old offset") {
  Age(milliseconds{1000}, milliseconds{0});
  for (milliseconds at{1500}; at < milliseconds{8000}; at += milliseconds{500}) {
    Age(at, milliseconds{100});
  }
  CHECK(Age(milliseconds{8000}, milliseconds{100}) == milliseconds{0});
}

// Guards against a huge age of all listings after an instance has restarted.
TEST_CASE_METHOD(listing_age_fixture, "listing age, instance restarts, begins anew") {
  Age(milliseconds{5000}, milliseconds{0});
  CHECK(ages_.Age(kInstance, 10, monotonic_time(seconds(1007))) == milliseconds{0});
}

}  // namespace
}  // namespace catkinford
