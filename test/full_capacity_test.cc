// The scheduler at full capacity: which jobs proceed and which must not block others.
#include <algorithm>
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

// Two services, each with a queue that needs advice from its policy: "first" goes before "second".
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

  bool RequestsAdviceFor(uint32_t number) {
    for (const advice_query& order : owner.Decide(wall_time{}, now).advice) {
      if (order.job == JobId(number)) return true;
    }
    return false;
  }

  // Instances that are named in queries for the job.
  std::vector<std::string> NamedFor(uint32_t number, monotonic_time when) {
    std::vector<std::string> out;
    for (const advice_query& order : owner.Decide(wall_time{}, when).advice) {
      if (order.job != JobId(number)) continue;
      out.insert(out.end(), order.instances.begin(), order.instances.end());
    }
    std::sort(out.begin(), out.end());
    return out;
  }

  // The instances of the service "first", with these processors and memory.
  static std::vector<instance_report> FirstService(const std::vector<resources>& capacities) {
    std::vector<instance_report> out;
    for (const resources& capacity : capacities) {
      instance_report report;
      report.id = absl::StrCat("first-", out.size());
      report.service = "first";
      report.capacity = capacity;
      out.push_back(report);
    }
    return out;
  }

  const monotonic_time now{seconds(100)};
  job_scheduler owner{scheduler_options{}, 1, monotonic_time{}};
};

constexpr uint32_t kManyJobs = 500;

// A burst fills one service while the instances of the other are idle; jobs of the other service
// must not wait behind the burst.
TEST_CASE_METHOD(two_services_fixture,
                 "scheduler, one service full of waiting jobs, requests advice for the other") {
  for (uint32_t i = 0; i < kManyJobs; ++i) Submit(i, "first", "workspace", 8000);
  Submit(kManyJobs, "second", "workspace", 1000);
  CHECK(RequestsAdviceFor(kManyJobs));
}

// One workspace sends far more jobs than its limit. They cannot start whatever is free, and must
// not block jobs of other workspaces behind them.
TEST_CASE_METHOD(two_services_fixture,
                 "scheduler, workspace at its limit, requests advice for others behind it") {
  for (uint32_t i = 0; i < kManyJobs; ++i) Submit(i, "first", "limited", 2000);
  Submit(kManyJobs, "first", "workspace", 1000);
  CHECK(RequestsAdviceFor(kManyJobs));
}

// Many jobs are too large for any instance. They wait in case a larger instance joins, and must
// block no other job meanwhile.
TEST_CASE_METHOD(two_services_fixture,
                 "scheduler, jobs too large for any instance, requests advice for jobs behind") {
  for (uint32_t i = 0; i < kManyJobs; ++i) Submit(i, "first", "workspace", 64000);
  Submit(kManyJobs, "first", "workspace", 1000);
  CHECK(RequestsAdviceFor(kManyJobs));
}

// The instance with the most free processors lacks memory. If the search for free capacity ended
// there, the job would wait beside an instance that could run it.
TEST_CASE_METHOD(
    two_services_fixture,
    "scheduler, most processors free where memory is short, asks about all instances") {
  owner.OnRegistry(FirstService({{8000, 100, 0, 0}, {2000, 16384, 0, 0}, {500, 16384, 0, 0}}), now);
  Submit(1, "first", "workspace", 1000);
  CHECK(NamedFor(1, now) == std::vector<std::string>{"first-0", "first-1", "first-2"});
}

// No instance has both the processors and the memory: a ticket would expire unused.
TEST_CASE_METHOD(two_services_fixture,
                 "scheduler, no instance with enough of everything, asks about none") {
  owner.OnRegistry(FirstService({{8000, 100, 0, 0}, {900, 16384, 0, 0}, {500, 16384, 0, 0}}), now);
  Submit(1, "first", "workspace", 1000);
  CHECK(NamedFor(1, now).empty());
}

// An instance is forgotten while a step holds a verdict on it, and returns under its id. The old
// verdict must not be taken for one on the newcomer.
TEST_CASE_METHOD(two_services_fixture,
                 "scheduler, instance forgotten and back, is asked about again before a start") {
  Submit(1, "first", "workspace", 1000);
  const std::vector<advice_query> queries = owner.Decide(wall_time{}, now).advice;
  REQUIRE(queries.size() == 1);
  const std::vector<instance_report> all = FirstService(std::vector<resources>(3, kSmallInstance));
  owner.OnRegistry({all[1], all[2]}, now);
  advice_answer answer;
  answer.answered = true;
  answer.allowed = {{"first-0", "ticket"}};
  answer.valid = seconds(60);
  owner.OnAdvice(queries[0], answer, now);
  const monotonic_time later = now + seconds(20);
  owner.Decide(wall_time{}, later);
  owner.OnRegistry(all, later);
  owner.OnListing({{"first-0", "", 0}, {}, 0, {}}, {5000, 0, {}, {}}, later, later);
  owner.OnFleetStored(owner.Fleet());
  CHECK(NamedFor(1, later) == std::vector<std::string>{"first-0"});
  CHECK_FALSE(owner.StartsPlanned());
}

// An instance drains, leaves the registry and never answers again. If it stays stored as one that
// may run tasks, the next owner waits for its leases to expire before it starts inherited jobs, and
// callers wait four seconds for an idle instance.
TEST_CASE_METHOD(two_services_fixture,
                 "scheduler, instance left permanently, is not in the fleet") {
  const size_t before = owner.Fleet().size();
  std::vector<instance_report> left;
  for (const instance_report& report : owner.Fleet()) {
    if (report.id != "first-0") left.push_back(report);
  }
  owner.OnRegistry(left, now);
  CHECK(owner.Fleet().size() == before - 1);
}

// An instance crashes at full capacity and a long-running task is lost. Its job is older than any
// objective; ranked by that alone it would come after all other waiting jobs, indefinitely.
TEST_CASE("scheduler, long-running task lost at full capacity, restarts before other jobs") {
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
