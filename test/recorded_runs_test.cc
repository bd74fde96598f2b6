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

TEST_CASE_METHOD(recorded_runs_fixture,
                 "job scheduler, two recorded runs at work, stops the one listed last") {
  ListThirdRunning();
  List(1, {{key, 1, "", 10, 0}});
  const auto stops = owner.Decide(wall_time{}, now).stops;
  REQUIRE(stops.size() == 1);
  CHECK(stops.front().run == 1);
}

// A gang of two whose first member has a recorded run of an earlier attempt, 1, beside that of the
// present one, 2.
class gang_attempts_fixture {
 protected:
  gang_attempts_fixture() {
    step_spec step = Tasks(2, 1000, seconds(60));
    step.gang = true;
    job_entry entry;
    entry.job = Job(1, {step});
    entry.phase = graph_phase::kRunning;
    entry.occurrences[0] = MakeOccurrence(entry.job, 0, now);
    auto& tasks = entry.occurrences[0]->steps[0].tasks;
    tasks[0].open_runs = {{1, "earlier", {}}, {2, "member-0", {}}};
    tasks[1].open_runs = {{2, "member-1", {}}};
    std::vector<instance_report> reports;
    for (const char* id : {"earlier", "member-0", "member-1"}) {
      instance_report report;
      report.id = id;
      report.service = "service";
      report.capacity = kSmallInstance;
      reports.push_back(report);
    }
    owner.SetRecordsComplete();
    owner.OnInherited(reports, now);
    owner.OnRegistry(reports, now);
    owner.OnFleetStored(reports);
    owner.OnJob(entry.job, ProgressToText(entry), true, wall_time{}, now);
  }

  void List(const std::string& instance, std::vector<running_row> running,
            std::vector<ended_row> ended = {}) {
    clock += 10;
    owner.OnListing({{instance, "", 0}, {}, 0, {}},
                    {clock, 0, std::move(running), std::move(ended)}, now, now);
  }
  void ListRun(const std::string& instance, uint32_t index, uint32_t run) {
    running_row row;
    row.key = {JobId(1), 0, 0, index};
    row.run = run;
    row.percent = 10;
    List(instance, {row});
  }
  void ListPresentAttempt() {
    ListRun("member-0", 0, 2);
    ListRun("member-1", 1, 2);
  }
  std::vector<std::string> StoppedAt() {
    std::vector<std::string> out;
    for (const stop_command& stop : owner.Decide(wall_time{}, now).stops) {
      out.push_back(stop.to.instance);
    }
    return out;
  }

  int64_t clock = 5000;
  const task_key first_member{JobId(1), 0, 0, 0};
  monotonic_time now{seconds(100)};
  job_scheduler owner{scheduler_options{}, 2, now};
};

// Guards against a gang at work that is stopped as the run of an earlier attempt is not found.
TEST_CASE_METHOD(gang_attempts_fixture, "gang, run of earlier attempt absent, goes on") {
  ListPresentAttempt();
  List("earlier", {});
  CHECK(StoppedAt().empty());
}

TEST_CASE_METHOD(gang_attempts_fixture,
                 "gang, run of earlier attempt found first, stops it alone") {
  ListRun("earlier", 0, 1);
  ListPresentAttempt();
  CHECK(StoppedAt() == std::vector<std::string>{"earlier"});
}

TEST_CASE_METHOD(gang_attempts_fixture, "gang, run of earlier attempt ends, goes on") {
  ListPresentAttempt();
  ListRun("earlier", 0, 1);
  CHECK(StoppedAt() == std::vector<std::string>{"earlier"});
  List("earlier", {}, {{1, first_member, 1, run_end::kStopped, ""}});
  CHECK(StoppedAt().empty());
}

TEST_CASE_METHOD(gang_attempts_fixture, "gang, lapsed end of earlier attempt listed, goes on") {
  ListPresentAttempt();
  List("earlier", {}, {{1, first_member, 1, run_end::kLapsed, ""}});
  CHECK(StoppedAt().empty());
}

// Guards against a task that waits for instances which have nothing to do with it: the record of a
// start that can no longer arrive is kept for the next owner.
TEST_CASE("job scheduler, unanswered start can no longer arrive, drops its record") {
  monotonic_time now{seconds(100)};
  job_scheduler owner(scheduler_options{}, 1, monotonic_time{});
  std::vector<instance_report> reports(2);
  for (size_t i = 0; i < reports.size(); ++i) {
    reports[i].id = "instance-" + std::to_string(i);
    reports[i].service = "service";
    reports[i].capacity = kSmallInstance;
  }
  owner.OnRegistry(reports, now);
  for (const instance_report& report : reports) {
    owner.OnListing({{report.id, "", 0}, {}, 0, {}}, {5000, 0, {}, {}}, now, now);
  }
  owner.OnFleetStored(reports);
  owner.OnJob(Job(1, {Tasks(1, 1000, seconds(60))}), "", false, wall_time{}, now);
  owner.Decide(wall_time{}, now);
  owner.OnStored(owner.TakeUnstored(10));
  const start_command start = owner.TakeStarts(now).at(0);
  now += seconds(1);
  owner.OnStartAnswer(start, {command_result::kUnknown, {}}, now);
  const auto stops = owner.Decide(wall_time{}, now).stops;
  REQUIRE(stops.size() == 1);
  owner.OnStopAnswer(stops.front(), {command_result::kDone, 5010}, now);
  now += milliseconds(10);
  owner.OnListing({{start.to.instance, "", 0}, {}, 0, {}}, {5020, 0, {}, {}}, now, now);
  const auto last_record = [&] {
    owner.Decide(wall_time{}, now);
    const auto writes = owner.TakeUnstored(10);
    owner.OnStored(writes);
    return writes.empty() ? std::string() : writes.back().text;
  };
  const std::string run = "[0,1,\"" + start.to.instance + "\"]";
  CHECK(last_record().find(run) != std::string::npos);
  now += kMaxCommandDelay;
  const std::string later = last_record();
  REQUIRE_FALSE(later.empty());
  CHECK(later.find(run) == std::string::npos);
}

// Guards against sound runs that are stopped for want of progress because their owner was late to
// list their instances.
TEST_CASE("job scheduler, no listing for seconds, stops no run for want of progress") {
  monotonic_time now{seconds(100)};
  job_scheduler owner(scheduler_options{}, 1, monotonic_time{});
  instance_report report;
  report.id = "instance";
  report.service = "service";
  report.capacity = kSmallInstance;
  owner.OnRegistry({report}, now);
  const list_command list{{"instance", "", 0}, {}, 0, {}};
  owner.OnListing(list, {5000, 0, {}, {}}, now, now);
  owner.OnFleetStored({report});
  owner.OnJob(Job(1, {Tasks(1, 1000, milliseconds(300))}), "", false, wall_time{}, now);
  owner.Decide(wall_time{}, now);
  owner.OnStored(owner.TakeUnstored(10));
  const start_command start = owner.TakeStarts(now).at(0);
  owner.OnStartAnswer(start, {command_result::kDone, 5000}, now);
  owner.OnListing(list, {5010, 0, {{start.key, 1, "", 10, 0}}, {}}, now, now);
  now += seconds(3);
  CHECK(owner.Decide(wall_time{}, now).stops.empty());
  owner.OnListing(list, {8010, 0, {{start.key, 1, "", 10, 0}}, {}}, now, now);
  CHECK(owner.Decide(wall_time{}, now).stops.size() == 1);
}

}  // namespace
}  // namespace catkinford
