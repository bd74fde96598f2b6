#include "process/scheduling/timeout_factor.h"

#include <catch2/catch.hpp>

namespace catkinford {

// Guards against an owner that is late itself and stops what runs at all its instances.
TEST_CASE("own delay, more answers late than a failure domain holds, patience is longer") {
  CHECK(TimeoutFactor(1000, 200, 300) > 1);
  CHECK(TimeoutFactor(48, 16, 24) > 1);
  CHECK(TimeoutFactor(100, 20, 100) > 1);
}

// Guards against patience with instances that are really out of reach.
TEST_CASE("own delay, a failure domain cut off, patience is as usual") {
  CHECK(TimeoutFactor(1000, 200, 250) == 1);
  CHECK(TimeoutFactor(48, 16, 16) == 1);
  CHECK(TimeoutFactor(4, 4, 4) == 1);
  CHECK(TimeoutFactor(0, 0, 0) == 1);
}

}  // namespace catkinford
