#include "process/usage_average.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {

using std::chrono::milliseconds;

class usage_average_fixture {
 protected:
  uint32_t Cpu(uint32_t latest, milliseconds after) {
    now_ += after;
    return average_.Update(0, "t", {latest, latest, 0, 0}, now_).cpu_milli;
  }

  usage_average average_{milliseconds{6000}};
  monotonic_time now_{};
};

TEST_CASE_METHOD(usage_average_fixture, "usage elsewhere, first news, is taken whole", "[shares]") {
  CHECK(Cpu(9000, milliseconds{0}) == 9000);
  CHECK(average_.Update(1, "t", {100, 100, 0, 0}, now_).cpu_milli == 100);
}

// Use elsewhere swings with every heartbeat. What a shard acts on must not swing with it, and must
// reach the new level when the change stays.
TEST_CASE_METHOD(usage_average_fixture, "usage elsewhere, swinging, is taken as its mean",
                 "[shares]") {
  Cpu(5000, milliseconds{0});
  uint32_t seen = 0;
  for (int i = 0; i < 100; ++i) {
    Cpu(0, milliseconds{500});
    seen = Cpu(10000, milliseconds{500});
  }
  CHECK(seen > 4000);
  CHECK(seen < 6000);
  CHECK(Cpu(10000, milliseconds{60000}) == 10000);
}

}  // namespace catkinford
