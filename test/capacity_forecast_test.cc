#include "process/scheduling/capacity_forecast.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "scheduling_jobs.h"
#include "scheduling_world.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

resources Accelerators(uint32_t count) { return {0, 0, count, 0}; }

// An instance of eight accelerators on which narrow runs end one after the other.
class busy_instance_fixture {
 protected:
  busy_instance_fixture() : forecast(Accelerators(0)) {
    for (int i = 1; i <= 8; ++i) forecast.AddEnd(now + seconds(i), Accelerators(1));
  }
  const monotonic_time now{seconds(100)};
  capacity_forecast forecast;
};

TEST_CASE_METHOD(busy_instance_fixture,
                 "capacity forecast, wide task, fits when enough runs have ended") {
  CHECK(forecast.EarliestFor(Accelerators(4), now) == now + seconds(4));
  CHECK(forecast.EarliestFor(Accelerators(8), now) == now + seconds(8));
}

TEST_CASE_METHOD(busy_instance_fixture,
                 "capacity forecast, task wider than the instance, never fits") {
  CHECK_FALSE(forecast.EarliestFor(Accelerators(9), now));
}

// Guards against starvation of wide tasks: each narrow run that ends would be replaced by the next.
TEST_CASE_METHOD(busy_instance_fixture,
                 "capacity forecast, reserved for a wide task, rejects long runs") {
  forecast.Reserve(Accelerators(8), now + seconds(8));
  CHECK_FALSE(forecast.MayUse(Accelerators(1), now + seconds(9)));
  CHECK(forecast.MayUse(Accelerators(1), now + seconds(7)));
}

TEST_CASE_METHOD(busy_instance_fixture,
                 "capacity forecast, fits beside the reservation, may start") {
  forecast.Reserve(Accelerators(4), now + seconds(4));
  CHECK_FALSE(forecast.MayUse(Accelerators(1), now + seconds(60)));
  forecast.AddEnd(now + seconds(4), Accelerators(1));
  CHECK(forecast.MayUse(Accelerators(1), now + seconds(60)));
}

TEST_CASE_METHOD(busy_instance_fixture,
                 "capacity forecast, reserved once, next reservation is later") {
  forecast.Reserve(Accelerators(4), now + seconds(4));
  CHECK(forecast.EarliestFor(Accelerators(4), now) == now + seconds(8));
}

// Guards against starvation of a task that needs an entire instance and comes first in order, under
// a stream of narrow tasks that keeps every instance half full.
TEST_CASE("scheduler, stream of narrow tasks, wide task gets an instance") {
  scheduling_world world(3);
  for (const char* id : {"a", "b", "c"}) world.AddInstance(id, kSmallInstance);
  world.Run(seconds(1));
  uint32_t number = 1;
  const auto stream = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      graph_job narrow = Job(number++, {Tasks(3, 1000, milliseconds(900))});
      narrow.terms.priority = 1;
      world.Submit(narrow);
      world.Run(milliseconds(150));
    }
  };
  stream(20);
  const uint32_t wide = number++;
  world.Submit(Job(wide, {Tasks(1, 8000, seconds(1))}));
  stream(20);
  CHECK(world.Phase(JobId(wide)) == graph_phase::kCompleted);
  CHECK(world.Violations().empty());
}

}  // namespace
}  // namespace catkinford
