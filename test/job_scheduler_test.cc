#include "process/scheduling/job_scheduler.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "scheduling_jobs.h"
#include "scheduling_world.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class job_scheduler_fixture {
 protected:
  void AddInstances(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      world.AddInstance(absl::StrCat("instance-", i), kSmallInstance);
    }
  }
  void CheckNothingViolated() {
    for (const std::string& what : world.Violations()) UNSCOPED_INFO(what);
    CHECK(world.Violations().empty());
  }

  scheduling_world world{7};
};

TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, job of two steps, runs them in order") {
  AddInstances(2);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(3, 1000, milliseconds(400)), Tasks(2, 1000, milliseconds(300), {0})}));
  world.Run(seconds(2));
  CHECK(world.Phase(JobId(1)) == graph_phase::kCompleted);
  CHECK(world.Starts() == 5);
  CheckNothingViolated();
}

TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, more tasks than room, never overfills") {
  AddInstances(2);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(40, 3000, milliseconds(300))}));
  world.Run(seconds(10));
  CHECK(world.Phase(JobId(1)) == graph_phase::kCompleted);
  CheckNothingViolated();
}

TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, workspace at its limit, starts no more") {
  world.SetWorkspaceMaximum("workspace", {3000, 0, 0, 0});
  AddInstances(2);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(8, 1000, milliseconds(500))}));
  world.Run(milliseconds(300));
  CHECK(world.Running(JobId(1)) == 3);
  world.Run(seconds(5));
  CHECK(world.Phase(JobId(1)) == graph_phase::kCompleted);
  CheckNothingViolated();
}

TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, task that always fails, fails the job") {
  AddInstances(2);
  world.SetFailing(JobId(1), 100);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(1, 1000, milliseconds(200))}));
  world.Run(seconds(3));
  CHECK(world.Phase(JobId(1)) == graph_phase::kFailed);
  CHECK(world.Starts() == 2);
  CheckNothingViolated();
}

TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, cancelled job, stops its tasks") {
  AddInstances(2);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(4, 1000, seconds(60))}));
  world.Run(seconds(1));
  REQUIRE(world.Running(JobId(1)) == 4);
  world.Cancel(JobId(1));
  world.Run(seconds(1));
  CHECK(world.Running(JobId(1)) == 0);
  CHECK(world.Phase(JobId(1)) == graph_phase::kCancelled);
}

// Guards against starts by limits and queues that are out of force, and against killing what runs.
TEST_CASE_METHOD(job_scheduler_fixture,
                 "job scheduler, starts held, starts nothing and renews runs") {
  AddInstances(2);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(2, 1000, seconds(60))}));
  world.Run(seconds(1));
  REQUIRE(world.Running(JobId(1)) == 2);
  world.HoldStarts(true);
  world.Submit(Job(2, {Tasks(2, 1000, milliseconds(300))}));
  world.Run(seconds(8));
  CHECK(world.Running(JobId(1)) == 2);
  CHECK(world.Starts() == 2);
  world.HoldStarts(false);
  world.Run(seconds(2));
  CHECK(world.Phase(JobId(2)) == graph_phase::kCompleted);
  CheckNothingViolated();
}

TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, lasting task that ends, is started again") {
  AddInstances(2);
  step_spec lasting = Tasks(2, 1000, milliseconds(300));
  lasting.long_running = true;
  world.Run(seconds(1));
  world.Submit(Job(1, {lasting}));
  world.Run(seconds(1));
  REQUIRE(world.Running(JobId(1)) == 2);
  world.Crash("instance-0", true);
  world.Crash("instance-1", true);
  world.Run(seconds(12));
  CHECK(world.Running(JobId(1)) == 2);
  CheckNothingViolated();
}

// An instance stops answering for good: it lost power, and the registry drops it after a few
// seconds. Its tasks would wait for ever if each try to reach it were taken to have extended their
// lease; a user's job would stand still though the floor is free.
TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, instance dead, its tasks run elsewhere") {
  AddInstances(2);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(6, 1000, seconds(20))}));
  world.Run(seconds(1));
  REQUIRE(world.Running(JobId(1)) == 6);
  world.Crash("instance-0", false);
  world.Run(seconds(12));
  CHECK(world.Running(JobId(1)) == 6);
  CheckNothingViolated();
}

// An instance is cut off and runs on. Its lease ends only on its own clock: a second run before
// that would book the same room twice.
TEST_CASE_METHOD(job_scheduler_fixture,
                 "job scheduler, instance cut off, no second run too early") {
  AddInstances(2);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(6, 1000, seconds(20))}));
  world.Run(seconds(1));
  world.Cut("instance-0", true);
  world.Run(seconds(12));
  world.Cut("instance-0", false);
  world.Run(seconds(30));
  CHECK(world.Phase(JobId(1)) == graph_phase::kCompleted);
  CheckNothingViolated();
}

// The owner dies after it stored that a run failed and before the instance was told so: the end is
// listed to the next owner again. Counted twice, a job with two attempts is shown as failed after
// one.
TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, end listed again, counts a failure once") {
  AddInstances(1);
  world.Run(seconds(1));
  graph_job job = Job(1, {Tasks(1, 1000, milliseconds(200))});
  job_scheduler first(scheduler_options{}, 1, monotonic_time{});
  const monotonic_time now{seconds(100)};
  const wall_time wall{};
  instance_report report;
  report.id = "instance";
  report.service = "service";
  report.capacity = kSmallInstance;
  const task_key key{JobId(1), 0, 0, 0};
  const list_order order{{"instance", "", 0}, {}, 0, {}};
  const instance_listing failed{5000, 0, {}, {{1, key, 1, run_end::kFailed, ""}}};

  first.OnRegistry({report}, now);
  first.OnJob(job, "", false, wall, now);
  first.OnListing(order, failed, now, now);
  const auto writes = first.TakeUnstored(10);
  REQUIRE(writes.size() == 1);

  job_scheduler second(scheduler_options{}, 2, now);
  second.OnRegistry({report}, now);
  second.OnJob(job, writes.front().text, true, wall, now);
  second.OnListing(order, failed, now, now);
  CHECK(second.Find(JobId(1))->phase != graph_phase::kFailed);
}

// Two runs of a task failed on two instances, and the next owner hears of the later one first. If
// the earlier one were taken for counted, the task would start a third time.
TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, failures heard in any order, all count") {
  graph_job job = Job(1, {Tasks(1, 1000, milliseconds(200))});
  job_scheduler owner(scheduler_options{}, 2, monotonic_time{});
  const monotonic_time now{seconds(100)};
  instance_report report;
  report.service = "service";
  report.capacity = kSmallInstance;
  instance_report other = report;
  report.id = "instance-0";
  other.id = "instance-1";
  const task_key key{JobId(1), 0, 0, 0};
  owner.OnRegistry({report, other}, now);
  owner.OnJob(job, "", true, wall_time{}, now);
  owner.OnListing({{"instance-1", "", 0}, {}, 0, {}},
                  {5000, 0, {}, {{1, key, 2, run_end::kFailed, ""}}}, now, now);
  owner.OnListing({{"instance-0", "", 0}, {}, 0, {}},
                  {5000, 0, {}, {{1, key, 1, run_end::kFailed, ""}}}, now, now);
  CHECK(owner.Find(JobId(1))->phase == graph_phase::kFailed);
}

// Owners die one after the other while work runs: each next one adopts what runs, and nothing runs
// twice or is lost.
TEST_CASE_METHOD(job_scheduler_fixture, "job scheduler, owners die in a row, all jobs complete") {
  AddInstances(4);
  world.Run(seconds(1));
  for (uint32_t i = 0; i < 20; ++i) {
    world.Submit(
        Job(i, {Tasks(4, 1000, milliseconds(700)), Tasks(2, 2000, milliseconds(500), {0})}));
    if (i % 5 == 4) world.KillOwner(milliseconds(300));
    world.Run(milliseconds(400));
  }
  world.Run(seconds(30));
  for (uint32_t i = 0; i < 20; ++i) CHECK(world.Phase(JobId(i)) == graph_phase::kCompleted);
  CheckNothingViolated();
}

// An owner dies while one instance is cut off. Jobs that wait have nothing to do with that
// instance, and a user whose booking waits for its leases to run out waits five seconds for
// nothing.
TEST_CASE_METHOD(job_scheduler_fixture,
                 "job scheduler, owner dies beside a cut instance, other work goes on") {
  AddInstances(3);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(24, 1000, seconds(60))}));
  world.Run(seconds(1));
  world.Submit(Job(2, {Tasks(2, 1000, milliseconds(300))}));
  world.Run(seconds(1));
  REQUIRE(world.Running(JobId(2)) == 0);  // the floor is full
  world.Cut("instance-0", true);
  world.KillOwner(milliseconds(800));
  world.Run(milliseconds(900));
  world.AddInstance("instance-3", kSmallInstance);
  world.Run(milliseconds(1500));
  CHECK(world.Phase(JobId(2)) == graph_phase::kCompleted);
  CheckNothingViolated();
}

// Owners that could not record their starts leave the next one in the dark: a task that seems to
// wait may run on the instance that is cut off, and must not start elsewhere before its lease ends.
TEST_CASE_METHOD(job_scheduler_fixture,
                 "job scheduler, starts without records, next owner waits for cut instances") {
  world.SetUnrecordedStarts();
  AddInstances(2);
  world.Run(seconds(1));
  world.Submit(Job(1, {Tasks(12, 1000, seconds(20))}));
  world.Run(seconds(1));
  world.Cut("instance-0", true);
  world.KillOwner(milliseconds(800));
  world.Run(milliseconds(1200));
  world.AddInstance("instance-2", kSmallInstance);
  world.Run(seconds(40));
  CHECK(world.Phase(JobId(1)) == graph_phase::kCompleted);
  CheckNothingViolated();
}

class planned_start_fixture {
 protected:
  planned_start_fixture() {
    report.id = "instance";
    report.service = "service";
    report.capacity = kSmallInstance;
    owner.OnRegistry({report}, now);
    owner.OnListing({{"instance", "", 0}, {}, 0, {}}, {5000, 0, {}, {}}, now, now);
    owner.OnFleetStored(owner.Fleet());
    owner.OnJob(Job(1, {Tasks(1, 1000, milliseconds(200))}), "", false, wall_time{}, now);
  }

  const monotonic_time now{seconds(100)};
  job_scheduler owner{scheduler_options{}, 1, monotonic_time{}};
  instance_report report;
};

// Guards against lasting tasks that stay down while urgent work takes every start that the owner's
// link carries.
TEST_CASE("job scheduler, few starts at a time, lasting task that is down comes back first") {
  const monotonic_time now{seconds(100)};
  scheduler_options options;
  options.starts_in_flight = 1;
  job_scheduler owner(options, 1, monotonic_time{});
  instance_report report;
  report.id = "instance";
  report.service = "service";
  report.capacity = kSmallInstance;
  const list_order list{{"instance", "", 0}, {}, 0, {}};
  owner.OnRegistry({report}, now);
  owner.OnListing(list, {5000, 0, {}, {}}, now, now);
  owner.OnFleetStored(owner.Fleet());
  const auto next_start = [&](monotonic_time when) {
    auto starts = owner.Decide(wall_time{}, when).starts;
    owner.OnStored(owner.TakeUnstored(10));
    for (start_order& start : owner.TakeStarts(when)) starts.push_back(std::move(start));
    REQUIRE(starts.size() == 1);
    owner.OnStartAnswer(starts.front(), {order_result::kDone, 5000}, when);
    return starts.front().key;
  };

  step_spec lasting = Tasks(1, 1000, milliseconds(300));
  lasting.long_running = true;
  graph_job standing = Job(9, {lasting});
  standing.terms.priority = 2;
  owner.OnJob(standing, "", false, wall_time{}, now);
  const task_key served = next_start(now);
  REQUIRE(served.job == JobId(9));
  const monotonic_time later = now + seconds(1);
  for (uint32_t i = 1; i <= 3; ++i) {
    owner.OnJob(Job(i, {Tasks(4, 500, milliseconds(200))}), "", false, wall_time{}, later);
  }
  owner.OnListing(list, {6000, 0, {}, {{1, served, 1, run_end::kFailed, ""}}}, later, later);
  CHECK(next_start(later).job == JobId(9));
  CHECK(next_start(later).job != JobId(9));
}

// A start that leaves before its record is stored is unknown to the next owner, which starts the
// task a second time.
TEST_CASE_METHOD(planned_start_fixture, "job scheduler, start not recorded yet, is not sent") {
  CHECK(owner.Decide(wall_time{}, now).starts.empty());
  CHECK(owner.StartsPlanned());
  const auto writes = owner.TakeUnstored(10);
  REQUIRE(writes.size() == 1);
  owner.OnStored(writes);
  CHECK(owner.TakeStarts(now).size() == 1);
}

// The instance says that it leaves while the record of a start for it is on its way to the store.
// Sent all the same, the work would be lost with the instance seconds later.
TEST_CASE_METHOD(planned_start_fixture,
                 "job scheduler, instance drains meanwhile, sends no start") {
  owner.Decide(wall_time{}, now);
  report.draining = true;
  owner.OnRegistry({report}, now);
  owner.OnStored(owner.TakeUnstored(10));
  CHECK(owner.TakeStarts(now).empty());
  CHECK(owner.RunCount() == 0);
}

// The caller cancels while the record of a start is on its way to the store.
TEST_CASE_METHOD(planned_start_fixture, "job scheduler, job cancelled meanwhile, sends no start") {
  owner.Decide(wall_time{}, now);
  const auto writes = owner.TakeUnstored(10);
  owner.OnCancel(JobId(1), now);
  owner.OnStored(writes);
  CHECK(owner.Decide(wall_time{}, now).stops.empty());
  CHECK(owner.TakeStarts(now).empty());
  CHECK(owner.RunCount() == 0);
}

// More ends wait at the instance than one listing holds. A task whose end is on the next page seems
// to be nowhere; started again, a salary would be charged twice.
TEST_CASE_METHOD(planned_start_fixture,
                 "job scheduler, ends on several pages, starts nothing before the last") {
  owner.Decide(wall_time{}, now);
  const auto writes = owner.TakeUnstored(10);
  job_scheduler next(scheduler_options{}, 2, now);
  next.SetRecordsComplete();
  next.OnInherited({report}, now);
  next.OnRegistry({report}, now);
  next.OnFleetStored({report});
  next.OnJob(Job(1, {Tasks(1, 1000, milliseconds(200))}), writes.front().text, true, wall_time{},
             now);
  instance_listing page{5000, 0, {}, {}};
  for (uint64_t i = 1; i <= 500; ++i) {
    page.ended.push_back({i, {JobId(99), 0, 0, 0}, 1, run_end::kDone, ""});
  }
  next.OnListing({{"instance", "", 0}, {}, 0, {}}, page, now, now);
  next.Decide(wall_time{}, now);
  CHECK_FALSE(next.StartsPlanned());
  const task_key key{JobId(1), 0, 0, 0};
  next.OnListing({{"instance", "", 0}, {}, 500, {}},
                 {5000, 0, {}, {{501, key, 1, run_end::kDone, ""}}}, now, now);
  CHECK(next.Find(JobId(1))->phase == graph_phase::kCompleted);
}

// A new owner finds a whole floor's work waiting. If all of it is sent at once, the answers come
// later than the calls' timeouts: what runs is stopped as unknown and sent again, and nothing ever
// ends.
TEST_CASE("job scheduler, whole floor waiting, keeps starts in flight bounded") {
  const monotonic_time now{seconds(100)};
  const scheduler_options options;
  job_scheduler owner(options, 1, monotonic_time{});
  std::vector<instance_report> reports;
  for (int i = 0; i < 350; ++i) {
    instance_report report;
    report.id = absl::StrCat("instance-", i);
    report.service = "service";
    report.capacity = kSmallInstance;
    reports.push_back(report);
  }
  owner.OnRegistry(reports, now);
  for (const instance_report& report : reports) {
    owner.OnListing({{report.id, "", 0}, {}, 0, {}}, {5000, 0, {}, {}}, now, now);
  }
  owner.OnFleetStored(owner.Fleet());
  for (uint32_t i = 0; i < 40; ++i) {
    owner.OnJob(Job(i, {Tasks(50, 1000, seconds(1))}), "", true, wall_time{}, now);
  }
  size_t sent = 0;
  std::deque<start_order> in_flight;
  for (int round = 0; round < 400 && sent < 2000; ++round) {
    for (start_order& order : owner.Decide(wall_time{}, now).starts) in_flight.push_back(order);
    owner.OnStored(owner.TakeUnstored(100));
    for (start_order& order : owner.TakeStarts(now)) in_flight.push_back(order);
    REQUIRE(in_flight.size() <= options.starts_in_flight);
    for (int answered = 0; answered < 40 && !in_flight.empty(); ++answered, ++sent) {
      owner.OnStartAnswer(in_flight.front(), {order_result::kDone, 5000}, now);
      in_flight.pop_front();
    }
  }
  CHECK(sent == 2000);
}

// One course of random work under random faults.
class random_course {
 public:
  static constexpr uint32_t kJobs = 30;
  static constexpr uint32_t kInstances = 6;

  random_course(uint64_t seed, bool recorded)
      : random_(seed * 977), world_(seed, Faults()), cancelled_(kJobs), poisoned_(kJobs) {
    for (uint32_t i = 0; i < kInstances; ++i) {
      world_.AddInstance(Instance(i), kSmallInstance, absl::StrCat("r", i / 2));
    }
    world_.SetWorkspaceMaximum("workspace", {30000, 0, 0, 0});
    if (!recorded) world_.SetUnrecordedStarts();
  }

  void Run() {
    world_.Run(seconds(1));
    for (uint32_t i = 0; i < kJobs; ++i) {
      SubmitOne(i);
      BringTrouble();
      world_.Run(milliseconds(Pick(50, 700)));
    }
    world_.CutStore(false);
    for (uint32_t i = 0; i < kInstances; ++i) world_.Cut(Instance(i), false);
    world_.Run(seconds(120));
  }

  void Check() {
    for (const std::string& what : world_.Violations()) UNSCOPED_INFO(what);
    CHECK(world_.Violations().empty());
    for (uint32_t i = 0; i < kJobs; ++i) {
      if (cancelled_[i]) continue;
      const graph_phase wanted = poisoned_[i] ? graph_phase::kFailed : graph_phase::kCompleted;
      if (world_.Phase(JobId(i)) == wanted) continue;
      for (const std::string& note : world_.NotesOn(JobId(i))) UNSCOPED_INFO(note);
      UNSCOPED_INFO("job " << i << " is " << std::string(ToText(world_.Phase(JobId(i)))));
      CHECK(world_.Phase(JobId(i)) == wanted);
    }
  }

 private:
  uint32_t Pick(uint32_t low, uint32_t high) {
    return std::uniform_int_distribution<uint32_t>(low, high)(random_);
  }
  static std::string Instance(uint32_t number) { return absl::StrCat("instance-", number); }

  scheduling_faults Faults() {
    scheduling_faults faults;
    faults.lost_answer = Pick(0, 4) * 0.01;
    faults.late_order = Pick(0, 4) * 0.01;
    faults.lost_commit = Pick(0, 10) * 0.01;
    return faults;
  }

  void SubmitOne(uint32_t number) {
    std::vector<step_spec> steps = {
        Tasks(Pick(1, 6), Pick(500, 3000), milliseconds(Pick(200, 2500)))};
    if (Pick(0, 1) == 1) {
      steps.push_back(Tasks(Pick(1, 4), Pick(500, 3000), milliseconds(Pick(200, 1500)), {0}));
    }
    if (Pick(0, 5) == 0) steps[0].gang = true;
    poisoned_[number] = Pick(0, 9) == 0;
    if (poisoned_[number]) world_.SetFailing(JobId(number), 100);
    world_.Submit(Job(number, steps));
    if (Pick(0, 9) != 0) return;
    cancelled_[number] = true;
    world_.Run(milliseconds(Pick(0, 800)));
    world_.Cancel(JobId(number));
  }

  void BringTrouble() {
    const std::string instance = Instance(Pick(0, kInstances - 1));
    switch (Pick(0, 11)) {
      case 0:
        return world_.Crash(instance, true);
      case 1:
        return world_.Cut(instance, true);
      case 2:
        return world_.Cut(instance, false);
      case 3:
        return world_.KillOwner(milliseconds(Pick(50, 3000)));
      case 4:
        return world_.CutStore(true);
      default:
        return world_.CutStore(false);
    }
  }

  std::mt19937_64 random_;
  scheduling_world world_;
  std::vector<bool> cancelled_;
  std::vector<bool> poisoned_;
};

// Lost answers, orders carried out seconds late, instances that crash and come back under their id,
// instances that are cut off, owners that die, changes whose answers are lost: whatever comes, a
// user must not find a room booked twice, or a booking that never runs.
TEST_CASE("job scheduler, random faults, keeps every promise", "[property]") {
  constexpr uint64_t kSeeds = 300;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    random_course course(seed, true);
    course.Run();
    course.Check();
  }
}

// The same while the store is down for all, where owners go on without records.
TEST_CASE("job scheduler, random faults and no records, keeps every promise", "[property]") {
  constexpr uint64_t kSeeds = 300;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    random_course course(seed, false);
    course.Run();
    course.Check();
  }
}

}  // namespace
}  // namespace catkinford
