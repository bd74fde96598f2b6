#include "connection/recent_delay.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an idle client whose last delay makes others patient for ever.
TEST_CASE("recent delay, nothing recorded for a while, is none") {
  recent_delay delay;
  recent_delay::time_point now{seconds(100)};
  CHECK(delay.Max(now) == milliseconds{0});
  delay.Record(milliseconds{900}, now);
  CHECK(delay.Max(now) == milliseconds{900});
  CHECK(delay.Max(now + milliseconds{400}) == milliseconds{900});
  CHECK(delay.Max(now + seconds(2)) == milliseconds{0});
  now += milliseconds{600};
  delay.Record(milliseconds{20}, now);
  CHECK(delay.Max(now) == milliseconds{900});
  delay.Record(milliseconds{20}, now + milliseconds{600});
  CHECK(delay.Max(now + milliseconds{600}) == milliseconds{20});
}

}  // namespace
}  // namespace catkinford
