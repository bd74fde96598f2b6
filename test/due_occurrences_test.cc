// Repeated jobs of which many occurrences are due at once.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "advised_floor.h"
#include "process/scheduling/job_scheduler.h"
#include "process/scheduling/occurrence_window.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint32_t kRepeated = 1;
constexpr uint32_t kOther = 2;

// All occurrences are due at the tests' wall time.
graph_job PastJob(uint32_t number, uint32_t repeats, std::vector<step_spec> steps) {
  graph_job job = Job(number, std::move(steps));
  job.repeats = repeats;
  job.interval = minutes(1);
  job.first_run = wall_time{} - minutes(repeats);
  return job;
}

std::vector<step_spec> TwoSteps() {
  return {Tasks(24, 1000, milliseconds(300)), Tasks(24, 1000, milliseconds(300), {0})};
}

class past_job_fixture {
 protected:
  past_job_fixture() { floor.AddInstances(8, {16000, 65536, 0, 0}); }

  void Submit(graph_job job) { floor.SubmitJob(std::move(job), milliseconds(300)); }
  // Tasks whose state the owner keeps for the job.
  size_t TasksKept(uint32_t number) const {
    size_t out = 0;
    for (const auto& [k, occurrence] : floor.owner.Find(JobId(number))->occurrences) {
      for (const step_progress& step : occurrence->steps) out += step.tasks.size();
    }
    return out;
  }
  graph_phase Phase(uint32_t number) const { return floor.owner.Find(JobId(number))->phase; }

  advised_floor floor;
};

// Guards against a process that exceeds its memory by the tasks of occurrences that wait.
TEST_CASE_METHOD(past_job_fixture,
                 "due occurrences, a hundred thousand at once, few of their tasks are kept") {
  Submit(PastJob(kRepeated, kMaxOccurrences, TwoSteps()));
  CHECK(TasksKept(kRepeated) <= occurrence_window::kMaxIdleTasksPerJob);
  for (int i = 0; i < 10; ++i) {
    floor.Run(seconds(1));
    CHECK(TasksKept(kRepeated) <= occurrence_window::kMaxIdleTasksPerJob + floor.owner.RunCount());
  }
}

// The same after a takeover: the next owner reads the same record.
TEST_CASE_METHOD(
    past_job_fixture,
    "due occurrences, a hundred thousand and a takeover, few of their tasks are kept") {
  Submit(PastJob(kRepeated, kMaxOccurrences, TwoSteps()));
  floor.Run(seconds(2));
  const std::string progress = ProgressToText(*floor.owner.Find(JobId(kRepeated)));
  CHECK(progress.size() < 100000);
  job_scheduler next{scheduler_options{}, 2, floor.now};
  next.OnJob(PastJob(kRepeated, kMaxOccurrences, TwoSteps()), progress, true, wall_time{},
             floor.now);
  const job_entry* entry = next.Find(JobId(kRepeated));
  CHECK(entry->waiting_tasks + entry->done_tasks <= occurrence_window::kMaxIdleTasksPerJob + 48);
  CHECK(entry->done_below == floor.owner.Find(JobId(kRepeated))->done_below);
}

// The same for many such jobs.
TEST_CASE_METHOD(past_job_fixture,
                 "due occurrences, a thousand jobs with a hundred thousand, few tasks are kept") {
  for (uint32_t i = 0; i < 1000; ++i) Submit(PastJob(100 + i, kMaxOccurrences, TwoSteps()));
  size_t kept = 0;
  for (uint32_t i = 0; i < 1000; ++i) kept += TasksKept(100 + i);
  // One occurrence of each job, beside the shares of the first ones.
  CHECK(kept <= size_t{1000} * 48 + 8 * occurrence_window::kMaxIdleTasks);
}

// Guards against occurrences that are dropped, or wait for good, beyond the window.
TEST_CASE_METHOD(past_job_fixture, "due occurrences, more than the window, all are done") {
  Submit(PastJob(kRepeated, 200, TwoSteps()));
  REQUIRE(TasksKept(kRepeated) < size_t{200} * 48);
  floor.Run(seconds(60));
  CHECK(Phase(kRepeated) == graph_phase::kCompleted);
  CHECK(floor.Starts() == size_t{200} * 48);
}

// The same where no occurrence ever ends.
TEST_CASE_METHOD(past_job_fixture, "due occurrences, of service tasks, all are started") {
  step_spec first = Tasks(2, 1, milliseconds(300));
  step_spec service = Tasks(1, 1, seconds(1), {0});
  first.need.memory_mb = service.need.memory_mb = 1;
  service.long_running = true;
  graph_job job = PastJob(kRepeated, 5000, {first, service});
  floor.SubmitJob(std::move(job), [](const task_key& key) {
    return key.step == 0 ? milliseconds(300) : milliseconds(3600000);
  });
  floor.Run(seconds(20));
  CHECK(floor.RunsOf(kRepeated) == 5000);
}

// Guards against other jobs that wait behind the occurrences of one.
TEST_CASE_METHOD(past_job_fixture, "due occurrences, a hundred thousand, other job starts soon") {
  graph_job job = PastJob(kRepeated, kMaxOccurrences, TwoSteps());
  job.queue = "patient";
  Submit(std::move(job));
  floor.Run(seconds(5));
  floor.SubmitUrgent(kOther, Tasks(4, 1000, milliseconds(300)), milliseconds(300));
  floor.Run(seconds(2));
  CHECK(floor.Started(kOther));
}

class finished_occurrences_fixture {
 protected:
  finished_occurrences_fixture() {
    entry.job = PastJob(kRepeated, kMaxOccurrences, {Tasks(1, 1000, seconds(1))});
    AddOccurrence(entry, 0, now);
  }
  void Finish(uint32_t number) {
    AddOccurrence(entry, number, now);
    FinishOccurrence(entry, number);
  }

  monotonic_time now{};
  job_entry entry;
};

// Guards against records beyond the store's limit where one occurrence lasts and others end.
TEST_CASE_METHOD(finished_occurrences_fixture,
                 "finished occurrences, tens of thousands beside one that lasts, record is small") {
  for (uint32_t i = 1; i < 50000; ++i) {
    if (i != 7) Finish(i);
  }
  const std::string text = ProgressToText(entry);
  CHECK(text.size() < 200);
  job_entry again;
  again.job = entry.job;
  REQUIRE(ApplyProgress(again, text, now));
  CHECK(again.finished == entry.finished);
  CHECK_FALSE(IsFinished(again, 0));
  CHECK_FALSE(IsFinished(again, 7));
  CHECK(IsFinished(again, 8));
}

TEST_CASE_METHOD(finished_occurrences_fixture,
                 "finished occurrences, range beyond the job's last one, is cut off") {
  job_entry again;
  again.job = entry.job;
  REQUIRE(ApplyProgress(
      again, R"({"phase":"running","below":0,"spans":[99998,4294967295,4294967295,2]})", now));
  CHECK(again.finished == std::vector<uint32_t>{99998, 99999});
}

}  // namespace
}  // namespace catkinford
