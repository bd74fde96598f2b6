#include "process/scheduling/timeout_factor.h"

#include <catch2/catch.hpp>

namespace catkinford {

// Guards against an owner that is late itself and therefore stops runs at all its instances.
TEST_CASE("time-out factor, more answers late than a failure domain holds, is raised") {
  CHECK(TimeoutFactor(1000, 200, 300) > 1);
  CHECK(TimeoutFactor(48, 16, 24) > 1);
  CHECK(TimeoutFactor(100, 20, 100) > 1);
}

// Guards against raised time-outs for instances that are really unreachable.
TEST_CASE("time-out factor, a failure domain cut off, stays 1") {
  CHECK(TimeoutFactor(1000, 200, 250) == 1);
  CHECK(TimeoutFactor(48, 16, 16) == 1);
  CHECK(TimeoutFactor(4, 4, 4) == 1);
  CHECK(TimeoutFactor(0, 0, 0) == 1);
}

}  // namespace catkinford
