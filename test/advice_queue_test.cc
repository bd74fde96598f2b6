// Policy queries that wait in the owner before an entry sends them. The policy takes half a second
// for each, so after a burst, or on a site that has lost most of its entries, they wait for
// seconds.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"
#include "process/site/advice_dispatcher.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kInstances = 8;  // each with capacity for one task
constexpr uint32_t kWideJob = 1;
constexpr uint32_t kLongJob = 2;
constexpr seconds kTicketLife{2};

std::string InstanceId(size_t number) { return absl::StrCat("instance-", number); }

// A long job keeps the service full. The policy has allowed the wide job all instances, but its
// tickets expired while the instances were busy.
class full_service_fixture {
 protected:
  full_service_fixture() {
    queue_config queue;
    queue.name = "queue";
    queue.jobs.service = "service";
    queue.jobs.max_attempts = 2;
    queue.jobs.needs_advice = true;
    queue.advice = advice_timing{milliseconds{400}, std::chrono::microseconds{5700}, kTicketLife};
    owner_.SetVersion(std::make_shared<const site_configuration>(
        1, std::vector<queue_config>{queue},
        std::vector<workspace_config>{{"workspace", {}, 1, {}}}, std::vector<service_config>{},
        caller_limits{}));
    owner_.SetUnrecordedStarts(true);
    std::vector<instance_report> reports;
    for (size_t i = 0; i < kInstances; ++i) {
      instance_report report;
      report.id = InstanceId(i);
      report.service = "service";
      report.capacity = kSmallInstance;
      reports.push_back(report);
    }
    owner_.OnRegistry(reports, now_);
    Decide();
    owner_.OnFleetStored(owner_.Fleet());
    Submit(kLongJob, Tasks(kInstances, kSmallInstance.cpu_milli, seconds(60)));
    Decide();
    Answer(TakeQuery(kLongJob));
    Decide();
    REQUIRE(RunsOf(kLongJob) == kInstances);
  }

  // Returns the wide job's next query, which names those instances that are free or soon will be.
  advice_query WaitingQuery(step_spec wide) {
    Submit(kWideJob, std::move(wide));
    EndLongTasks(1);
    Decide();
    Answer(TakeQuery(kWideJob));
    Run(kTicketLife + seconds(1));
    if (!HasQuery(kWideJob)) EndLongTasks(1);
    Decide();
    return TakeQuery(kWideJob);
  }

  void Submit(uint32_t number, step_spec step) {
    graph_job job = Job(number, {std::move(step)});
    job.terms.needs_advice = true;
    owner_.OnJob(std::move(job), "", false, wall_time{}, now_);
  }

  // One round, with instances that answer at once.
  void Decide() {
    scheduler_commands commands = owner_.Decide(wall_time{}, now_);
    for (const start_command& start : commands.starts) {
      owner_.OnStartAnswer(start, {command_result::kDone, Clock()}, now_);
      at_work_.push_back(start);
    }
    for (const list_command& listing : commands.listings) Answer(listing);
    for (advice_query& query : commands.advice) queries_.push_back(std::move(query));
  }
  void Run(milliseconds duration) {
    const monotonic_time end = now_ + duration;
    while (now_ < end) {
      now_ += milliseconds(100);
      Decide();
    }
  }

  void Answer(const list_command& request) {
    instance_listing listing;
    listing.clock_ms = Clock();
    for (const start_command& start : at_work_) {
      if (start.to.instance != request.to.instance) continue;
      const auto percent = static_cast<uint32_t>(Clock() / 100 % 100);
      listing.running.push_back({start.key, start.run, "", percent, 0});
    }
    const auto ended = ended_.find(request.to.instance);
    if (ended != ended_.end()) listing.ended = ended->second;
    owner_.OnListing(request, listing, now_, now_);
  }
  void Answer(const advice_query& query) {
    advice_answer answer;
    answer.answered = true;
    answer.valid = kTicketLife;
    for (const std::string& id : query.instances) answer.allowed.emplace_back(id, "ticket");
    owner_.OnAdvice(query, answer, now_);
  }
  bool HasQuery(uint32_t job) const {
    return std::any_of(queries_.begin(), queries_.end(),
                       [&](const advice_query& query) { return query.job == JobId(job); });
  }
  advice_query TakeQuery(uint32_t job) {
    REQUIRE(HasQuery(job));
    const auto found =
        std::find_if(queries_.begin(), queries_.end(),
                     [&](const advice_query& query) { return query.job == JobId(job); });
    advice_query out = std::move(*found);
    queries_.erase(found);
    return out;
  }

  void EndLongTasks(size_t most) {
    for (size_t i = at_work_.size(); i-- > 0 && most > 0;) {
      const start_command start = at_work_[i];
      if (start.key.job != JobId(kLongJob)) continue;
      at_work_.erase(at_work_.begin() + static_cast<std::ptrdiff_t>(i));
      ended_[start.to.instance].push_back({1, start.key, start.run, run_end::kDone, ""});
      --most;
    }
    Run(milliseconds(300));  // longer than the pause between listings
  }
  size_t RunsOf(uint32_t job) const {
    return static_cast<size_t>(
        std::count_if(at_work_.begin(), at_work_.end(),
                      [&](const start_command& start) { return start.key.job == JobId(job); }));
  }
  int64_t Clock() const {
    return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
  }

  monotonic_time now_{seconds(100)};
  job_scheduler owner_{scheduler_options{}, 1, monotonic_time{}};
  std::vector<start_command> at_work_;
  std::map<std::string, std::vector<ended_row>> ended_;
  std::vector<advice_query> queries_;
};

// A query names few instances, as the others are full, and waits for seconds. If it were sent as it
// is, the job would wait as long again for the other instances, though all of them are idle.
TEST_CASE_METHOD(full_service_fixture,
                 "advice query, capacity freed while it waits, lets all tasks start") {
  advice_query query = WaitingQuery(Tasks(kInstances, kSmallInstance.cpu_milli, seconds(1)));
  REQUIRE(query.instances.size() < kInstances - 1);
  EndLongTasks(kInstances);
  Run(seconds(8));
  REQUIRE(owner_.RefreshQuery(query, now_));
  Answer(query);
  Decide();
  CHECK(RunsOf(kWideJob) == kInstances);
}

// A gang starts only with tickets for all members: a query that names fewer instances is wasted.
TEST_CASE_METHOD(full_service_fixture,
                 "advice query, gang, capacity freed while it waits, lets all members start") {
  step_spec gang = Tasks(kInstances, kSmallInstance.cpu_milli, seconds(1));
  gang.gang = true;
  // The other runs are expected to go on, so that the gang has nothing reserved that is free soon.
  Run(seconds(20));
  advice_query query = WaitingQuery(gang);
  REQUIRE(query.instances.size() < kInstances);
  EndLongTasks(kInstances);
  Run(seconds(8));
  REQUIRE(owner_.RefreshQuery(query, now_));
  Answer(query);
  Decide();
  CHECK(RunsOf(kWideJob) == kInstances);
}

// Queries for work that is gone would delay all queries behind them by half a second each.
TEST_CASE_METHOD(full_service_fixture, "advice query, job cancelled while it waits, is not sent") {
  advice_query query = WaitingQuery(Tasks(kInstances, kSmallInstance.cpu_milli, seconds(1)));
  owner_.OnCancel(JobId(kWideJob), now_);
  CHECK_FALSE(owner_.RefreshQuery(query, now_));
}

class advice_dispatcher_fixture {
 protected:
  void Add(bool urgent) {
    advice_query query;
    query.urgent = urgent;
    dispatcher_.Add(query, now_);
  }

  monotonic_time now_{seconds(100)};
  advice_dispatcher dispatcher_;
};

// A third of the entries is kept for urgent queries. Where none come, slow queries that have waited
// for seconds would go on waiting beside entries that stand idle.
TEST_CASE_METHOD(advice_dispatcher_fixture,
                 "advice dispatcher, slow queries overdue and none urgent, uses all entries") {
  dispatcher_.SetEntries({"a", "b", "c"});
  for (int i = 0; i < 5; ++i) Add(false);
  CHECK(dispatcher_.Next(now_));
  CHECK(dispatcher_.Next(now_));
  CHECK_FALSE(dispatcher_.Next(now_));
  now_ += seconds(5);
  CHECK(dispatcher_.Next(now_));
}

// The last entry of a site gets urgent queries without pause. Jobs that need slow ones would not
// start for as long as that lasts.
TEST_CASE_METHOD(advice_dispatcher_fixture,
                 "advice dispatcher, urgent queries without pause, sends slow ones too") {
  dispatcher_.SetEntries({"a"});
  Add(false);
  int slow = 0;
  for (int i = 0; i < 500; ++i) {
    Add(true);
    Add(true);
    const auto next = dispatcher_.Next(now_);
    REQUIRE(next);
    if (!next->query.urgent) ++slow;
    now_ += milliseconds(20);
    dispatcher_.OnAnswered("a");
  }
  CHECK(slow == 1);
}

}  // namespace
}  // namespace catkinford
