// Runs that an earlier owner recorded: a task may have more of them than one and its copy, since a
// start that was not answered stays recorded until it can no longer arrive.
#include <algorithm>
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

// A second owner inherits a task with three recorded runs at three instances. Only the third run
// is at work.
class recorded_runs_fixture {
 protected:
  recorded_runs_fixture() {
    job_entry entry;
    entry.job = Job(1, {Tasks(1, 1000, seconds(60))});
    entry.phase = graph_phase::kRunning;
    entry.occurrences[0] = MakeOccurrence(entry.job, 0, now);
    for (uint32_t run = 1; run <= 3; ++run) {
      instance_report report;
      report.id = InstanceOf(run);
      report.service = "service";
      report.capacity = kSmallInstance;
      reports.push_back(report);
      entry.occurrences[0]->steps[0].tasks[0].open_runs.push_back({run, report.id, {}});
    }
    owner.SetRecordsComplete();
    owner.OnInherited(reports, now);
    owner.OnRegistry(reports, now);
    owner.OnFleetStored(reports);
    owner.OnJob(entry.job, ProgressToText(entry), true, wall_time{}, now);
  }

  static std::string InstanceOf(uint32_t run) { return "instance-" + std::to_string(run); }

  void List(uint32_t number, std::vector<running_row> running, std::vector<ended_row> ended = {}) {
    owner.OnListing({{InstanceOf(number), "", 0}, {}, 0, {}},
                    {5000, 0, std::move(running), std::move(ended)}, now, now);
  }
  void ListThirdRunning() { List(3, {{key, 3, "", 10, 0}}); }

  bool StopsThird() {
    const auto stops = owner.Decide(wall_time{}, now).stops;
    return std::any_of(stops.begin(), stops.end(), [](const stop_command& stop) {
      return stop.run == 3 && stop.to.instance == InstanceOf(3);
    });
  }

  const task_key key{JobId(1), 0, 0, 0};
  const monotonic_time now{seconds(100)};
  std::vector<instance_report> reports;
  job_scheduler owner{scheduler_options{}, 2, now};
};

// Guards against a task of a cancelled job that runs on until its instance leaves: the stop went to
// two of its recorded runs, and the third was at work.
TEST_CASE_METHOD(recorded_runs_fixture,
                 "job scheduler, third recorded run at work, job cancelled, stops it") {
  ListThirdRunning();
  owner.OnCancel(JobId(1), now);
  CHECK(StopsThird());
}

TEST_CASE_METHOD(recorded_runs_fixture,
                 "job scheduler, job cancelled, third recorded run then listed, stops it") {
  owner.OnCancel(JobId(1), now);
  ListThirdRunning();
  CHECK(StopsThird());
}

// Guards against a run that goes on after its job has completed.
TEST_CASE_METHOD(recorded_runs_fixture,
                 "job scheduler, first recorded run done, third one at work, stops it") {
  ListThirdRunning();
  List(1, {}, {{1, key, 1, run_end::kDone, ""}});
  REQUIRE(owner.Find(JobId(1))->phase == graph_phase::kCompleted);
  CHECK(StopsThird());
}

// Guards against two runs of a task at the same time, and against stopping the only one at work.
TEST_CASE_METHOD(recorded_runs_fixture,
                 "job scheduler, third recorded run at work, others absent, keeps it alone") {
  List(1, {});
  List(2, {});
  ListThirdRunning();
  const scheduler_commands commands = owner.Decide(wall_time{}, now);
  CHECK(commands.starts.empty());
  CHECK(commands.stops.empty());
  CHECK_FALSE(owner.StartsPlanned());
  CHECK(owner.RunCount() == 1);
}

}  // namespace
}  // namespace catkinford
