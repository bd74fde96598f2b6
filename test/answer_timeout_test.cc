#include "process/scheduling/answer_timeout.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("answer time-out, quick answers, is a small part of the call's time-out") {
  answer_timeout answers;
  for (int i = 0; i < 100; ++i) answers.OnAnswer(milliseconds{8});
  CHECK(answers.Timeout() <= milliseconds{200});
}

// Guards against a restart loop: an owner short of processor time reads answers late, and with a
// short time-out it would stop and restart everything that it has just started.
TEST_CASE("answer time-out, answers read late, grows") {
  answer_timeout answers;
  for (int i = 0; i < 40; ++i) answers.OnAnswer(milliseconds{i % 2 == 0 ? 300 : 600});
  CHECK(answers.Timeout() > milliseconds{600});
}

class two_instances_fixture {
 protected:
  two_instances_fixture() {
    std::vector<instance_report> reports;
    for (const char* id : {"a", "b"}) {
      instance_report report;
      report.id = id;
      report.address = id;
      report.service = "service";
      report.capacity = kSmallInstance;
      reports.push_back(report);
    }
    owner.OnRegistry(reports, now);
    for (const instance_report& report : reports) {
      owner.OnListing({{report.id, "", 0}, {}, 0, {}}, {5000, 0, {}, {}}, now, now);
    }
    owner.OnFleetStored(owner.Fleet());
  }

  std::vector<start_command> StartsAt(monotonic_time when) {
    scheduler_commands commands = owner.Decide(wall_time{}, when);
    stops = commands.stops;
    listings = commands.listings;
    owner.OnStored(owner.TakeUnstored(10));
    std::vector<start_command> starts = std::move(commands.starts);
    for (start_command& request : owner.TakeStarts(when)) starts.push_back(std::move(request));
    return starts;
  }

  const monotonic_time now{seconds(100)};
  job_scheduler owner{scheduler_options{}, 1, monotonic_time{}};
  std::vector<stop_command> stops;
  std::vector<list_command> listings;
};

// Guards against tasks that wait for the call's time-out, longer than the work takes, when a start
// gets no answer: until it is proved that the task does not run there it can't start elsewhere, and
// further starts sent there are stuck as well.
TEST_CASE_METHOD(two_instances_fixture,
                 "scheduler, start unanswered, stops it early and sends nothing more there") {
  owner.OnJob(Job(1, {Tasks(1, 8000, milliseconds(300))}), "", false, wall_time{}, now);
  const auto first = StartsAt(now);
  REQUIRE(first.size() == 1);
  const monotonic_time later = now + milliseconds{200};
  owner.OnJob(Job(2, {Tasks(2, 1000, milliseconds(300))}), "", false, wall_time{}, later);
  owner.OnJob(Job(3, {Tasks(9, 1000, milliseconds(300))}), "", false, wall_time{}, later);
  const auto second = StartsAt(later);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].to.instance == first[0].to.instance);
  for (const start_command& request : second) CHECK(request.to.instance != first[0].to.instance);

  // The stop is answered and a listing shows that the run never began: it starts again at once.
  const monotonic_time answered = later + milliseconds{5};
  owner.OnStopAnswer(stops[0], {command_result::kDone, 5300}, answered);
  owner.Decide(wall_time{}, answered);
  const monotonic_time listed = answered + milliseconds{5};
  owner.OnListing({{first[0].to.instance, "", 0}, {}, 0, {}}, {5310, 0, {}, {}}, listed, listed);
  bool again = false;
  for (const start_command& request : StartsAt(listed + milliseconds{5})) {
    again = again || (request.key.job == JobId(1) && request.run > first[0].run);
  }
  CHECK(again);
}

// Guards against a stopped start that waits for the waiting listing, which returns only at an end,
// up to a second later.
TEST_CASE_METHOD(
    two_instances_fixture,
    "scheduler, stopped start beside a waiting listing, sends a second listing at once") {
  owner.OnJob(Job(1, {Tasks(1, 8000, milliseconds(300))}), "", false, wall_time{}, now);
  const auto first = StartsAt(now);
  REQUIRE(first.size() == 1);
  const monotonic_time later = now + milliseconds{200};
  StartsAt(later);
  REQUIRE(stops.size() == 1);
  owner.OnStopAnswer(stops[0], {command_result::kDone, 5300}, later + milliseconds{5});
  StartsAt(later + milliseconds{6});
  bool checks = false;
  for (const list_command& request : listings)
    checks = checks || (request.check && request.wait.count() == 0);
  CHECK(checks);
}

// Guards against ends that are received only after the call's time-out, when the answer to a
// waiting listing is lost or delayed for seconds: the next step of a quick job would wait that
// long.
TEST_CASE_METHOD(two_instances_fixture,
                 "scheduler, waiting listing overdue, lists again and renews no lease") {
  owner.OnJob(Job(1, {Tasks(1, 8000, milliseconds(300))}), "", false, wall_time{}, now);
  const auto first = StartsAt(now);
  REQUIRE(first.size() == 1);
  REQUIRE(listings.size() == 1);
  owner.OnStartAnswer(first[0], {command_result::kDone, 5010}, now);
  const list_command waiting = listings[0];
  REQUIRE(waiting.wait.count() > 0);
  REQUIRE(waiting.lease_until_ms);
  const monotonic_time overdue = now + waiting.wait + milliseconds{300};
  StartsAt(overdue);
  REQUIRE(listings.size() == 1);
  CHECK(listings[0].to.instance == waiting.to.instance);
  CHECK(listings[0].wait.count() == 0);
  CHECK_FALSE(listings[0].lease_until_ms);

  // The time-out of the first listing comes later and has no effect.
  owner.OnListing(listings[0], {6500, 0, {}, {{1, first[0].key, 1, run_end::kDone, ""}}}, overdue,
                  overdue);
  owner.OnNoListing(waiting, command_result::kUnknown, overdue + milliseconds{500});
  CHECK(owner.Find(JobId(1))->phase == graph_phase::kCompleted);
  owner.OnJob(Job(2, {Tasks(16, 1000, milliseconds(300))}), "", false, wall_time{}, overdue);
  size_t there = 0;
  for (const start_command& request : StartsAt(overdue + milliseconds{501})) {
    there += request.to.instance == waiting.to.instance ? 1 : 0;
  }
  CHECK(there > 0);
}

// Guards against waiting four seconds and more for the leases of an instance that has ended,
// although an instance of another service answers at its address.
TEST_CASE_METHOD(two_instances_fixture,
                 "scheduler, address taken over by another instance, runs its tasks elsewhere") {
  owner.OnJob(Job(1, {Tasks(1, 8000, seconds(5))}), "", false, wall_time{}, now);
  const auto first = StartsAt(now);
  REQUIRE(first.size() == 1);
  owner.OnStartAnswer(first[0], {command_result::kDone, 5010}, now);
  const monotonic_time later = now + milliseconds{500};
  instance_report newcomer;
  newcomer.id = "newcomer";
  newcomer.service = "other";
  newcomer.address = first[0].to.instance;  // the fixture's instances have their ids as addresses
  newcomer.incarnation = 2;
  newcomer.capacity = kSmallInstance;
  std::vector<instance_report> reports = owner.Fleet();
  reports.push_back(newcomer);
  owner.OnRegistry(reports, later);
  StartsAt(later);
  CHECK(owner.RunCount() == 1);  // a registration alone proves nothing
  owner.OnListing({{"newcomer", "", 0}, {}, 0, {}}, {10, 2, {}, {}}, later, later);
  const auto second = StartsAt(later + milliseconds{1});
  REQUIRE(second.size() == 1);
  CHECK(second[0].key == first[0].key);
  CHECK(second[0].to.instance != first[0].to.instance);
}

}  // namespace
}  // namespace catkinford
