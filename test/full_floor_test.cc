// The scheduler on a full floor: who gets on, and who must not hold up others.
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"
#include "scheduling_world.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two services, each with a queue whose policy must be asked: "first" goes before "second".
class two_services_fixture {
 protected:
  two_services_fixture() {
    std::vector<queue_config> queues;
    for (const char* name : {"first", "second"}) {
      queue_config queue;
      queue.name = name;
      queue.jobs.service = name;
      queue.jobs.priority = queues.empty() ? 0 : 1;
      queue.jobs.max_attempts = 2;
      queue.jobs.needs_advice = true;
      queue.advice = advice_timing{milliseconds{100}, std::chrono::microseconds{1000}, seconds(2)};
      queues.push_back(queue);
    }
    std::vector<workspace_config> workspaces = {{"workspace", {}, 1, {}},
                                                {"limited", {}, 0, {1000, 0, 0, 0}}};
    owner.SetVersion(std::make_shared<const site_configuration>(
        1, queues, workspaces, std::vector<service_config>{}, caller_limits{}));
    std::vector<instance_report> reports;
    for (const char* service : {"first", "second"}) {
      for (int i = 0; i < 3; ++i) {
        instance_report report;
        report.id = absl::StrCat(service, "-", i);
        report.service = service;
        report.capacity = kSmallInstance;
        reports.push_back(report);
      }
    }
    owner.OnRegistry(reports, now);
    for (const instance_report& report : reports) {
      owner.OnListing({{report.id, "", 0}, {}, 0, {}}, {5000, 0, {}, {}}, now, now);
    }
    owner.OnFleetStored(owner.Fleet());
  }

  void Submit(uint32_t number, const std::string& queue, const std::string& workspace,
              uint32_t cpu_milli) {
    graph_job job = Job(number, {Tasks(1, cpu_milli, seconds(1))});
    job.queue = queue;
    job.terms.service = queue;
    job.terms.needs_advice = true;
    job.workspace = workspace;
    owner.OnJob(std::move(job), "", false, wall_time{}, now);
  }

  bool AsksFor(uint32_t number) {
    for (const advice_order& order : owner.Decide(wall_time{}, now).advice) {
      if (order.job == JobId(number)) return true;
    }
    return false;
  }

  const monotonic_time now{seconds(100)};
  job_scheduler owner{scheduler_options{}, 1, monotonic_time{}};
};

constexpr uint32_t kManyJobs = 500;

// A burst fills one service while the other's instances stand empty. A caller of the other service
// waits in the same line behind all of the burst, and is served only when the burst is over.
TEST_CASE_METHOD(two_services_fixture,
                 "scheduler, one service full of waiting jobs, asks for jobs of the other") {
  for (uint32_t i = 0; i < kManyJobs; ++i) Submit(i, "first", "workspace", 8000);
  Submit(kManyJobs, "second", "workspace", 1000);
  CHECK(AsksFor(kManyJobs));
}

// One workspace sends far more than it may have running. Its jobs can't start whatever is free, and
// those of the others behind them wait for nothing.
TEST_CASE_METHOD(two_services_fixture,
                 "scheduler, workspace at its limit, asks for jobs of others behind it") {
  for (uint32_t i = 0; i < kManyJobs; ++i) Submit(i, "first", "limited", 2000);
  Submit(kManyJobs, "first", "workspace", 1000);
  CHECK(AsksFor(kManyJobs));
}

// Many jobs come that no instance is large enough for. They wait in case a larger instance joins,
// and must hold up nobody meanwhile.
TEST_CASE_METHOD(two_services_fixture,
                 "scheduler, jobs too large for any instance, asks for jobs behind them") {
  for (uint32_t i = 0; i < kManyJobs; ++i) Submit(i, "first", "workspace", 64000);
  Submit(kManyJobs, "first", "workspace", 1000);
  CHECK(AsksFor(kManyJobs));
}

// An instance drains, leaves the registry and never answers again. If it is still stored as one
// that may run work, the next owner waits for its leases to run out before it starts anything that
// it inherited, and callers wait four seconds for an empty instance.
TEST_CASE_METHOD(two_services_fixture, "scheduler, instance left for good, is not in the fleet") {
  const size_t before = owner.Fleet().size();
  std::vector<instance_report> left;
  for (const instance_report& report : owner.Fleet()) {
    if (report.id != "first-0") left.push_back(report);
  }
  owner.OnRegistry(left, now);
  CHECK(owner.Fleet().size() == before - 1);
}

// An instance crashes on a full floor, and a task that lasts is down with it. Its job is older than
// any objective; ranked by that, it would come after everything else that waits, for ever.
TEST_CASE("scheduler, lasting task down on a full floor, comes back before other work") {
  scheduling_world world(5);
  world.AddInstance("instance", kSmallInstance);
  world.Run(seconds(1));
  step_spec lasting = Tasks(1, 4000, milliseconds(300));
  lasting.long_running = true;
  world.Submit(Job(1, {lasting}));
  world.Run(seconds(20));
  for (uint32_t i = 2; i < 40; ++i) world.Submit(Job(i, {Tasks(1, 8000, seconds(2))}));
  world.Run(seconds(1));
  REQUIRE(world.Running(JobId(1)) == 1);
  world.Crash("instance", true);
  world.Run(seconds(9));
  CHECK(world.Running(JobId(1)) == 1);
  CHECK(world.Violations().empty());
}

}  // namespace
}  // namespace catkinford
