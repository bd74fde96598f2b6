// Steps that cannot start: they wait, and take nothing from those that can.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>

#include "advised_floor.h"
#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr resources kInstance{16000, 65536, 0, 0};
constexpr uint32_t kGang = 1;
constexpr uint32_t kLong = 2;
constexpr uint32_t kShort = 3;

step_spec Gang(uint32_t count, uint32_t cpu_milli, milliseconds estimate) {
  step_spec step = Tasks(count, cpu_milli, estimate);
  step.gang = true;
  return step;
}

step_spec ServiceTasks(uint32_t count, uint32_t cpu_milli) {
  step_spec step = Tasks(count, cpu_milli, seconds(1));
  step.long_running = true;
  return step;
}

class six_instances_fixture {
 protected:
  six_instances_fixture() { floor.AddInstances(6, kInstance); }

  bool ShortJobStarts(milliseconds within = seconds(2)) {
    floor.SubmitPatient(kShort, Tasks(2, 2700, milliseconds(400)), milliseconds(400));
    floor.Run(within);
    return floor.Started(kShort);
  }

  advised_floor floor;
};

// Guards against idle instances that are reserved and claimed for a gang that is wider than all.
TEST_CASE_METHOD(six_instances_fixture,
                 "unplaceable step, gang wider than the floor, less urgent job starts") {
  floor.SubmitUrgent(kGang, Gang(40, 7000, seconds(2)), seconds(2));
  floor.Run(seconds(1));
  CHECK(ShortJobStarts());
  CHECK_FALSE(floor.Started(kGang));
}

// The same for many of them, ahead in the same queue.
TEST_CASE_METHOD(
    six_instances_fixture,
    "unplaceable step, hundreds of gangs wider than the floor, job behind them starts") {
  for (uint32_t i = 0; i < 300; ++i) {
    floor.SubmitPatient(100 + i, Gang(40, 7000, seconds(2)), seconds(2));
  }
  floor.Run(seconds(1));
  CHECK(ShortJobStarts());
}

// The same where service tasks, which do not end by themselves, leave too little for it.
TEST_CASE_METHOD(six_instances_fixture,
                 "unplaceable step, gang wider than what services leave, less urgent job starts") {
  floor.SubmitPatient(kLong, ServiceTasks(6, 4000), seconds(600));
  floor.Run(seconds(1));
  REQUIRE(floor.RunsOf(kLong) == 6);
  floor.SubmitUrgent(kGang, Gang(12, 7000, seconds(2)), seconds(2));
  floor.Run(seconds(1));
  CHECK(ShortJobStarts());
  CHECK_FALSE(floor.Started(kGang));
}

// The same where only few instances are left to it by its limit for one instance.
TEST_CASE_METHOD(six_instances_fixture,
                 "unplaceable step, gang beyond its limit per instance, less urgent job starts") {
  step_spec gang = Gang(7, 7000, seconds(2));
  gang.max_per_instance = 1;
  floor.SubmitUrgent(kGang, gang, seconds(2));
  floor.Run(seconds(1));
  CHECK(ShortJobStarts());
}

// Guards against a gang that is never started although the floor has grown.
TEST_CASE_METHOD(six_instances_fixture, "unplaceable step, floor grows, gang starts") {
  floor.SubmitUrgent(kGang, Gang(14, 7000, seconds(2)), seconds(2));
  floor.Run(seconds(1));
  REQUIRE_FALSE(floor.Started(kGang));
  floor.AddInstances(1, kInstance);
  floor.Run(seconds(1));
  CHECK(floor.RunsOf(kGang) == 14);
}

// Guards against a gang that starves behind a stream of short tasks.
TEST_CASE_METHOD(six_instances_fixture,
                 "waiting gang, short jobs go on coming on a full floor, starts") {
  for (uint32_t i = 0; i < 40; ++i) {
    floor.SubmitPatient(100 + i, Tasks(12, 2700, milliseconds(400)), milliseconds(400));
  }
  floor.Run(milliseconds(200));
  floor.SubmitUrgent(kGang, Gang(12, 7000, seconds(2)), seconds(2));
  for (uint32_t i = 0; i < 40; ++i) {
    floor.SubmitPatient(200 + i, Tasks(12, 2700, milliseconds(400)), milliseconds(400));
    floor.Run(milliseconds(100));
  }
  CHECK(floor.Started(kGang));
}

// Guards against idle instances that are kept for a gang which must wait for one long run.
TEST_CASE_METHOD(six_instances_fixture,
                 "waiting gang, one run holds it up for a minute, short jobs start beside it") {
  floor.SubmitPatient(kLong, Tasks(1, 12000, seconds(60)), seconds(60));
  floor.Run(seconds(1));
  REQUIRE(floor.Started(kLong));
  floor.SubmitUrgent(kGang, Gang(12, 7000, seconds(2)), seconds(2));
  floor.Run(seconds(1));
  CHECK(ShortJobStarts());
  CHECK_FALSE(floor.Started(kGang));
}

// Guards against idle instances that are kept for a step whose tasks wait for each other, by their
// limit per instance.
TEST_CASE_METHOD(six_instances_fixture,
                 "waiting step, at its limit on all instances, less urgent job starts") {
  step_spec apart = Tasks(24, 7000, seconds(40));
  apart.max_per_instance = 1;
  floor.SubmitUrgent(kLong, apart, seconds(40));
  floor.Run(seconds(1));
  REQUIRE(floor.RunsOf(kLong) == 6);
  floor.SubmitPatient(kShort, Tasks(2, 5000, seconds(2)), seconds(2));
  floor.Run(seconds(1));
  CHECK(floor.Started(kShort));
}

// Guards against a mostly idle floor that is kept for a gang while the run that it waits for lasts
// much longer than expected.
TEST_CASE_METHOD(six_instances_fixture,
                 "waiting gang, the run that it waits for is overdue, other job starts in 3 s") {
  floor.SubmitPatient(kLong, Tasks(1, 12000, seconds(2)), seconds(30));
  floor.Run(seconds(1));
  REQUIRE(floor.Started(kLong));
  floor.SubmitUrgent(kGang, Gang(12, 8000, seconds(2)), seconds(2));
  floor.Run(seconds(5));
  floor.SubmitPatient(kShort, Tasks(3, 4000, seconds(2)), seconds(2));
  floor.Run(seconds(3));
  CHECK(floor.Started(kShort));
  CHECK_FALSE(floor.Started(kGang));
}

class workspace_maximum_fixture {
 protected:
  workspace_maximum_fixture() { floor.AddInstances(6, kInstance); }

  advised_floor floor{resources{40000, 0, 0, 0}};
};

// Guards against idle instances that are kept for a gang beyond its workspace's maximum.
TEST_CASE_METHOD(workspace_maximum_fixture,
                 "unplaceable step, gang beyond its workspace's maximum, less urgent job starts") {
  floor.SubmitUrgent(kGang, Gang(12, 7000, seconds(2)), seconds(2));
  floor.Run(seconds(1));
  floor.SubmitPatient(kShort, Tasks(2, 2700, milliseconds(400)), milliseconds(400));
  floor.Run(seconds(2));
  CHECK(floor.Started(kShort));
  CHECK_FALSE(floor.Started(kGang));
}

// The same while the workspace has too much running for it.
TEST_CASE_METHOD(workspace_maximum_fixture,
                 "waiting gang, its workspace is nearly at its maximum, less urgent job starts") {
  floor.SubmitUrgent(kLong, Tasks(1, 12000, seconds(60)), seconds(60));
  floor.Run(seconds(1));
  floor.SubmitUrgent(kGang, Gang(10, 4000, seconds(2)), seconds(2));
  floor.Run(seconds(1));
  floor.SubmitPatient(kShort, Tasks(2, 2700, milliseconds(400)), milliseconds(400));
  floor.Run(seconds(2));
  CHECK(floor.Started(kShort));
  CHECK_FALSE(floor.Started(kGang));
}

// Four instances of a kind that all jobs may use, and one of a kind that some need.
class two_kinds_fixture {
 protected:
  two_kinds_fixture() {
    floor.AddInstances(4, kInstance, "plain");
    floor.AddInstances(1, kInstance, "rare");
    floor.Run(seconds(1));
  }

  static step_spec RareTasks(uint32_t count) {
    step_spec step = Tasks(count, 2700, milliseconds(400));
    step.required_label = "rare";
    return step;
  }
  bool ShortJobStarts() {
    floor.SubmitPatient(kShort, Tasks(2, 2700, milliseconds(400)), milliseconds(400));
    floor.Run(seconds(2));
    return floor.Started(kShort);
  }

  advised_floor floor;
};

// Guards against jobs for a lost kind of instance that take all places in the policy's queries.
TEST_CASE_METHOD(two_kinds_fixture,
                 "unplaceable step, hundreds of jobs for a lost kind, less urgent job starts") {
  floor.RemoveInstances("rare");
  for (uint32_t i = 0; i < 300; ++i) floor.SubmitUrgent(100 + i, RareTasks(2), milliseconds(400));
  floor.Run(seconds(1));
  CHECK(ShortJobStarts());
}

// The same where they are of the same workspace and queue, and come first.
TEST_CASE_METHOD(two_kinds_fixture,
                 "unplaceable step, hundreds of jobs for a lost kind, job behind them starts") {
  floor.RemoveInstances("rare");
  for (uint32_t i = 0; i < 300; ++i) floor.SubmitPatient(100 + i, RareTasks(2), milliseconds(400));
  floor.Run(seconds(1));
  CHECK(ShortJobStarts());
}

// Guards against jobs that are forgotten once their kind of instance is back.
TEST_CASE_METHOD(two_kinds_fixture, "unplaceable step, lost kind is back, all its jobs start") {
  floor.RemoveInstances("rare");
  for (uint32_t i = 0; i < 300; ++i) floor.SubmitUrgent(100 + i, RareTasks(1), milliseconds(100));
  floor.Run(seconds(5));
  floor.AddInstances(1, kInstance, "rare");
  floor.Run(seconds(30));
  for (uint32_t i = 0; i < 300; ++i) CHECK(floor.Started(100 + i));
}

// Guards against a job that takes a place for good though its policy allows no instance to it.
TEST_CASE_METHOD(two_kinds_fixture,
                 "unplaceable step, policy excludes all instances, job behind them starts") {
  for (const instance_report& report : floor.reports) floor.excluded.insert(report.id);
  for (uint32_t i = 0; i < 300; ++i) {
    floor.SubmitPatient(100 + i, Tasks(1, 2700, milliseconds(400)), milliseconds(400));
    floor.Run(milliseconds(20));
  }
  floor.Run(seconds(2));
  floor.excluded.clear();
  CHECK(ShortJobStarts());
}

// Guards against steps that wait for wide capacity and take all places in the policy's queries from
// those that fit beside what runs.
TEST_CASE_METHOD(two_kinds_fixture,
                 "waiting step, hundreds of wide ones wait for long runs, narrow one starts") {
  floor.SubmitPatient(kLong, Tasks(5, 9000, seconds(60)), seconds(60));
  floor.Run(seconds(1));
  REQUIRE(floor.RunsOf(kLong) == 5);
  for (uint32_t i = 0; i < 300; ++i) {
    floor.SubmitUrgent(100 + i, Tasks(1, 10000, seconds(1)), seconds(1));
  }
  floor.Run(seconds(1));
  CHECK(ShortJobStarts());
}

}  // namespace
}  // namespace catkinford
