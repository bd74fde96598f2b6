// A store that is slow while many jobs run: each change holds the records of a few jobs, and those
// of all others wait for the next one.
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

class slow_store_fixture {
 protected:
  static constexpr uint32_t kJobs = 60;
  static constexpr size_t kPerChange = 27;

  slow_store_fixture() {
    owner.SetUnrecordedStarts(true);
    instance_report report;
    report.id = "instance";
    report.service = "service";
    report.capacity = {1000000, 1000000, 0, 0};
    report.incarnation = 1;
    owner.OnRegistry({report}, now);
    List({});
    owner.OnFleetStored(owner.Fleet());
    for (uint32_t i = 1; i <= kJobs; ++i) {
      owner.OnJob(Job(i, {Tasks(2, 1000, seconds(1))}), "", false, wall_time{}, now);
    }
    starts = owner.Decide(wall_time{}, now).starts;
    REQUIRE(starts.size() == size_t{2} * kJobs);
    for (const start_command& start : starts) {
      owner.OnStartAnswer(start, {command_result::kDone, 5000}, now);
    }
    owner.OnStored(owner.TakeUnstored(kJobs));
    now += milliseconds(100);
  }

  void List(std::vector<ended_row> ended) {
    clock += 100;
    owner.OnListing({{"instance", "", 1}, {}, 0, {}}, {clock, 1, {}, std::move(ended)}, now, now);
  }
  // The end `done` of one task of the job.
  ended_row Done(uint32_t job, uint32_t index) {
    ended_row row;
    row.number = ++last_end;
    row.key = {JobId(job), 0, 0, index};
    row.run = 1;
    row.how = run_end::kDone;
    return row;
  }
  static bool Holds(const std::vector<job_progress_write>& writes, uint32_t job) {
    return std::any_of(writes.begin(), writes.end(),
                       [job](const job_progress_write& write) { return write.job == JobId(job); });
  }

  static scheduler_options Options() {
    scheduler_options options;
    options.starts_at_instance = 2 * kJobs;
    return options;
  }

  monotonic_time now{seconds(100)};
  job_scheduler owner{Options(), 1, monotonic_time{}};
  std::vector<start_command> starts;
  int64_t clock = 5000;
  uint64_t last_end = 0;
};

// Guards against callers of completed jobs that wait for several changes of a slow store, behind
// the progress of jobs that go on.
TEST_CASE_METHOD(slow_store_fixture,
                 "slow store, job ends behind many that go on, is stored first") {
  std::vector<ended_row> ended;
  for (uint32_t i = 1; i < kJobs; ++i) ended.push_back(Done(i, 0));
  ended.push_back(Done(kJobs, 0));
  ended.push_back(Done(kJobs, 1));
  List(ended);
  REQUIRE(owner.Find(JobId(kJobs))->phase == graph_phase::kCompleted);
  const auto first = owner.TakeUnstored(kPerChange);
  CHECK(Holds(first, kJobs));
  owner.OnNotStored(first);
  const auto repeated = owner.TakeUnstored(kPerChange);
  CHECK(Holds(repeated, kJobs));
  owner.OnStored(repeated);
  CHECK(owner.Find(JobId(kJobs))->VisiblePhase() == graph_phase::kCompleted);
}

// Guards against progress that is never stored.
TEST_CASE_METHOD(slow_store_fixture, "slow store, jobs that go on, are stored in the end") {
  std::vector<ended_row> ended;
  for (uint32_t i = 1; i <= kJobs; ++i) ended.push_back(Done(i, 0));
  List(ended);
  size_t stored = 0;
  for (int change = 0; change < 3; ++change) {
    const auto writes = owner.TakeUnstored(kPerChange);
    stored += writes.size();
    owner.OnStored(writes);
  }
  CHECK(stored == kJobs);
}

}  // namespace
}  // namespace catkinford
