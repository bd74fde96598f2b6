// What a round of decisions looks at, counted, with more and more work waiting.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Instances that are full, and jobs of several workspaces that wait for them.
class full_site_fixture {
 protected:
  static constexpr uint32_t kInstances = 20;
  static constexpr uint32_t kWorkspaces = 10;

  void Begin() {
    queue_config queue;
    queue.name = "queue";
    queue.jobs = {"service", 0, 2, 2.0, milliseconds{500}, false};
    std::vector<workspace_config> workspaces;
    for (uint32_t i = 0; i < kWorkspaces; ++i) {
      workspaces.push_back({absl::StrCat("workspace-", i), {}, 1000, {}});
    }
    owner = std::make_unique<job_scheduler>(scheduler_options{}, 1, now);
    owner->SetVersion(
        std::make_shared<const site_configuration>(1, std::vector<queue_config>{queue}, workspaces,
                                                   std::vector<service_config>{}, caller_limits{}));
    std::vector<instance_report> reports;
    for (uint32_t i = 0; i < kInstances; ++i) {
      instance_report report;
      report.id = absl::StrCat("i-", i);
      report.service = "service";
      report.capacity = kSmallInstance;
      reports.push_back(report);
    }
    owner->OnRegistry(reports, now);
    for (const instance_report& report : reports) {
      owner->OnListing({{report.id, "", 0}, {}, 0, {}}, {5000, 0, {}, {}}, now, now);
    }
    owner->OnFleetStored(owner->Fleet());
    // Fills all instances.
    Submit(kInstances);
    Decide();
  }

  void Submit(uint32_t tasks) {
    graph_job job = Job(++jobs, {Tasks(tasks, kSmallInstance.cpu_milli, seconds(30))});
    job.workspace = absl::StrCat("workspace-", jobs % kWorkspaces);
    owner->OnJob(std::move(job), "", false, wall_time{}, now);
  }

  void Decide() {
    owner->Decide(wall_time{}, now);
    owner->OnStored(owner->TakeUnstored(1000));
    now += milliseconds{20};
  }

  // Steps that a usual round looks at while so many jobs wait.
  uint64_t StepsSeenWith(uint32_t waiting) {
    Begin();
    for (uint32_t i = 0; i < waiting; ++i) Submit(2);
    Decide();
    constexpr uint64_t kRounds = 20;
    const uint64_t before = owner->StepsSeen();
    for (uint64_t i = 0; i < kRounds; ++i) Decide();
    return (owner->StepsSeen() - before) / kRounds;
  }

  std::unique_ptr<job_scheduler> owner;
  uint32_t jobs = 0;
  monotonic_time now{seconds(100)};
};

// Guards against an owner whose decisions get dearer with its backlog, so that a slow second
// becomes a lost minute.
TEST_CASE_METHOD(full_site_fixture,
                 "decision round, ten times the backlog, looks at no more steps") {
  const uint64_t some = StepsSeenWith(300);
  const uint64_t many = StepsSeenWith(3000);
  CHECK(some > 0);
  CHECK(many <= some + some / 4);
}

// Guards against steps that never start, since a round looks at those before them only.
TEST_CASE_METHOD(full_site_fixture,
                 "decision round, long backlog that fits nowhere, a step behind it starts") {
  Begin();
  for (uint32_t i = 0; i < 1000; ++i) Submit(1);
  // Fits beside the tasks that fill the instances: it needs no processor.
  step_spec small = Tasks(1, 0, seconds(1));
  graph_job job = Job(++jobs, {small});
  job.workspace = "workspace-1";
  owner->OnJob(std::move(job), "", false, wall_time{}, now);
  bool started = false;
  for (int round = 0; round < 100 && !started; ++round) {
    Decide();
    const job_entry* entry = owner->Find(JobId(jobs));
    started = entry->occurrences.at(0)->steps[0].active > 0;
  }
  CHECK(started);
}

// Guards against starts that wait behind the records of ends, which nothing waits for.
TEST_CASE_METHOD(full_site_fixture,
                 "records, many ends are not stored yet, those of starts come first") {
  Begin();
  constexpr uint32_t kEnded = 30;
  const auto submit_small = [&] {
    owner->OnJob(Job(++jobs, {Tasks(1, 0, seconds(1))}), "", false, wall_time{}, now);
    return JobId(jobs);
  };
  const std::string ended = submit_small();
  Decide();
  for (uint32_t i = 0; i < kEnded; ++i) owner->OnCancel(submit_small(), now);
  const std::string started = submit_small();
  owner->Decide(wall_time{}, now);
  const auto writes = owner->TakeUnstored(1);
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].job == started);
  // Each job is taken once.
  owner->OnStored(writes);
  std::set<std::string> taken;
  for (const job_progress_write& write : owner->TakeUnstored(1000)) {
    CHECK(taken.insert(write.job).second);
  }
  CHECK(taken.size() == kEnded);
  CHECK_FALSE(taken.contains(ended));
}

// Guards against an owner that spends more time on the text of its log than on decisions.
TEST_CASE_METHOD(full_site_fixture,
                 "decision round, no room in the log, makes no text of details") {
  Begin();
  owner->TakeEvents();
  const auto details = [&] {
    const auto events = owner->TakeEvents();
    return std::count_if(events.begin(), events.end(), [](const scheduler_event& event) {
      return event.what == scheduler_event::kind::kTaskStart;
    });
  };
  step_spec small = Tasks(10, 0, seconds(1));
  const auto start_some = [&] {
    owner->OnJob(Job(++jobs, {small}), "", false, wall_time{}, now);
    Decide();
  };
  start_some();
  CHECK(details() == 10);
  CHECK(owner->TakeSkippedDetails() == 0);
  owner->SetDetailLimit(3);
  start_some();
  CHECK(details() == 3);
  CHECK(owner->TakeSkippedDetails() == 7);
}

}  // namespace
}  // namespace catkinford
