#include "process/scheduling/job_stages.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class job_stages_fixture {
 protected:
  static monotonic_time At(int ms) { return monotonic_time{seconds(100)} + milliseconds(ms); }

  task_times times{At(0), At(10), At(30), At(60), At(100), At(150), At(350), milliseconds(200)};
  job_stage_times stages;
};

TEST_CASE_METHOD(job_stages_fixture, "job stages, all times known, each stage has its own time") {
  stages.Add(job_stage::kKnown, milliseconds(5));
  times.lost_runs = 2;
  times.failed_runs = 1;
  stages.AddStep(times);
  CHECK(stages.ToFields() ==
        "known_ms=5 advice_ms=10 place_ms=20 retry_ms=30 record_ms=40 start_ms=50 run_ms=200 "
        "estimate_ms=200 lost_runs=2 failed_runs=1");
  CHECK(stages.Ended() == At(350));
}

TEST_CASE_METHOD(job_stages_fixture, "job stages, two steps, sums their stages") {
  stages.AddStep(times);
  stages.AddStep(times);
  CHECK(stages.Of(job_stage::kPlace) == milliseconds(40));
  CHECK(stages.Of(job_stage::kRun) == milliseconds(400));
}

TEST_CASE_METHOD(job_stages_fixture, "job stages, policy queried ahead, has no time for advice") {
  times.allowed = At(-40);
  stages.AddStep(times);
  CHECK(stages.Of(job_stage::kAdvice) == milliseconds(0));
  CHECK(stages.Of(job_stage::kPlace) == milliseconds(30));
}

TEST_CASE_METHOD(job_stages_fixture, "job stages, start never confirmed, counts as running") {
  times.confirmed = {};
  stages.AddStep(times);
  CHECK(stages.Of(job_stage::kStart) == milliseconds(0));
  CHECK(stages.Of(job_stage::kRun) == milliseconds(250));
}

// Guards against a sum of stages that exceeds the job's duration.
TEST_CASE_METHOD(job_stages_fixture, "job stages, confirmed after the end, add up to the end") {
  times.confirmed = At(900);
  stages.AddStep(times);
  CHECK(stages.Of(job_stage::kStart) == milliseconds(250));
  CHECK(stages.Of(job_stage::kRun) == milliseconds(0));
}

// A job of one task at one instance, on a clock that each action advances.
class completed_job_fixture {
 protected:
  completed_job_fixture() {
    instance_report report;
    report.id = "instance";
    report.service = "service";
    report.capacity = kSmallInstance;
    owner.OnRegistry({report}, now);
    owner.OnListing(list, {5000, 0, {}, {}}, now, now);
    owner.OnFleetStored({report});
  }

  void Pass(int ms) { now += milliseconds(ms); }
  std::vector<completed_job> Store() {
    const auto writes = owner.TakeUnstored(10);
    auto completed = owner.CompletedBy(writes, now);
    owner.OnStored(writes);
    return completed;
  }
  // Decides on the next start, which takes 10 ms to be recorded.
  void StartRun() {
    owner.Decide(wall_time{}, now);
    Pass(10);
    Store();
    starts = owner.TakeStarts(now);
    REQUIRE(starts.size() == 1);
  }
  void Answer(command_result result) { owner.OnStartAnswer(starts.front(), {result, 5000}, now); }
  void End(uint64_t number, run_end how) {
    owner.OnListing(
        list, {6000, 0, {}, {{number, starts.front().key, starts.front().run, how, ""}}}, now, now);
  }
  std::string LastEvent() {
    const auto events = owner.TakeEvents();
    return events.empty() ? std::string() : events.back().detail;
  }

  const list_command list{{"instance", "", 0}, {}, 0, {}};
  monotonic_time now{seconds(100)};
  std::vector<start_command> starts;
  job_scheduler owner{scheduler_options{}, 1, monotonic_time{}};
};

// Guards against a late job whose log does not tell where its time went.
TEST_CASE_METHOD(completed_job_fixture, "completed job, start rejected once, reports its stages") {
  owner.OnJob(Job(1, {Tasks(1, 1000, milliseconds(200))}), "", false, wall_time{milliseconds(7)},
              now);
  Pass(20);
  StartRun();
  Answer(command_result::kLate);
  Pass(30);
  StartRun();
  Pass(40);
  Answer(command_result::kDone);
  Pass(300);
  End(1, run_end::kDone);
  CHECK_THAT(LastEvent(),
             Catch::Contains("known_ms=7 advice_ms=0 place_ms=20 retry_ms=40 record_ms=10 "
                             "start_ms=40 run_ms=300 estimate_ms=200 lost_runs=1 failed_runs=0"));
}

TEST_CASE_METHOD(completed_job_fixture, "completed job, run failed before, counts it as failed") {
  owner.OnJob(Job(1, {Tasks(1, 1000, milliseconds(200))}), "", false, wall_time{}, now);
  StartRun();
  Answer(command_result::kDone);
  End(1, run_end::kFailed);
  StartRun();
  Answer(command_result::kDone);
  End(2, run_end::kDone);
  CHECK_THAT(LastEvent(), Catch::Contains("lost_runs=0 failed_runs=1"));
}

// Guards against a job that is counted again with each later write of its record.
TEST_CASE_METHOD(completed_job_fixture, "completed job, final phase stored, is counted once") {
  owner.OnJob(Job(1, {Tasks(1, 1000, milliseconds(200))}), "", false, wall_time{}, now);
  StartRun();
  Answer(command_result::kDone);
  End(1, run_end::kDone);
  const auto writes = owner.TakeUnstored(10);
  Pass(25);
  const auto completed = owner.CompletedBy(writes, now);
  REQUIRE(completed.size() == 1);
  CHECK(completed.front().stages.Of(job_stage::kFinal) == milliseconds(25));
  owner.OnStored(writes);
  CHECK(owner.CompletedBy(writes, now).empty());
}

}  // namespace
}  // namespace catkinford
