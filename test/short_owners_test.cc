// Owners that each last for less than the wait for work that they have inherited.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>

#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"
#include "scheduling_world.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kService = 1;
constexpr milliseconds kOverlap{100};

// Starts are sent without their records. One of two instances is lost with a service task, and all
// that the owner knew is lost with it.
class lost_with_owner_fixture {
 protected:
  lost_with_owner_fixture() {
    scheduler_options options;
    options.unconfirmed_owner = milliseconds(3500);
    world.SetOptions(options);
    world.SetUnrecordedStarts();
    world.AddInstance("lost", kSmallInstance);
    world.Run(seconds(1));
    step_spec step = Tasks(1, 1000, seconds(1));
    step.long_running = true;
    world.Submit(Job(kService, {step}));
    world.Run(seconds(2));
    REQUIRE(world.Running(JobId(kService)) == 1);
    world.AddInstance("other", kSmallInstance);
    world.Run(seconds(1));
    world.Crash("lost", false);
    world.KillOwner(milliseconds(300));
    world.Run(milliseconds(400));
  }

  // Each owner hands over to the next one after this time.
  void RunOwners(milliseconds each, milliseconds in_all) {
    for (milliseconds passed{0}; passed < in_all; passed += each) {
      world.Run(each - kOverlap);
      world.PassSite(kOverlap);
      world.Run(kOverlap + milliseconds(1));
    }
  }

  scheduling_world world{11};
};

// Guards against work that is never started again since each owner begins its wait anew.
TEST_CASE_METHOD(lost_with_owner_fixture,
                 "short owners, task on a lost instance, starts elsewhere while they hand over") {
  const auto each = GENERATE(milliseconds(300), milliseconds(700), milliseconds(1000),
                             milliseconds(2000), milliseconds(3000), milliseconds(5000));
  CAPTURE(each.count());
  RunOwners(each, seconds(16));
  CHECK(world.Running(JobId(kService)) == 1);
  CHECK(world.Violations().empty());
}

// Guards against two runs of a task: the instance was out of reach and its lease has not ended.
TEST_CASE_METHOD(lost_with_owner_fixture,
                 "short owners, instance out of reach, its task starts nowhere else too early") {
  world.AddInstance("cut", kSmallInstance);
  world.Run(seconds(20));
  REQUIRE(world.Running(JobId(kService)) == 1);
  world.Cut(world.StartLog().back().instance, true);
  world.KillOwner(milliseconds(300));
  RunOwners(milliseconds(500), seconds(12));
  CHECK(world.Running(JobId(kService)) == 1);
  CHECK(world.Violations().empty());
}

// An owner that was told that the leases at an instance out of reach have ended.
class told_owner_fixture {
 protected:
  told_owner_fixture() {
    owner.OnInherited({gone, other}, now);
    owner.OnLeaseWaits({{"gone", {1, milliseconds(0)}}}, now);
    owner.OnRegistry({other}, now);
    owner.OnFleetStored({gone, other});
    const auto clock = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    owner.OnListing({{"other", "", 1}, {}, 0, {}}, {clock.count(), 1, {}, {}}, now, now);
    owner.OnJob(Job(kService, {Tasks(1, 1000, seconds(60))}), "", true, wall_time{}, now);
  }
  bool Starts() {
    now += milliseconds(20);
    owner.Decide(wall_time{}, now);
    return owner.StartsPlanned();
  }

  monotonic_time now{seconds(100)};
  instance_report gone = SmallInstance("gone");
  instance_report other = SmallInstance("other");
  job_scheduler owner{scheduler_options{}, 3, now};
};

TEST_CASE_METHOD(told_owner_fixture, "told owner, leases out of reach have ended, work starts") {
  CHECK(Starts());
}

// Guards against two runs of a task: a command for the earlier incarnation may reach the next one.
TEST_CASE_METHOD(told_owner_fixture, "told owner, instance restarts out of reach, work waits") {
  gone.incarnation = 2;
  owner.OnRegistry({gone, other}, now);
  CHECK_FALSE(Starts());
}

}  // namespace
}  // namespace catkinford
