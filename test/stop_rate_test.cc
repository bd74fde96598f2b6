// How fast the runs of cancelled jobs are stopped at an instance that holds many of them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kJob = 1;
constexpr milliseconds kAnswerTime{5};
constexpr milliseconds kRoundTime{20};
constexpr seconds kCancelLimit{3};  // from the page: no run is left later, but for its stop

// One instance that answers each command after 5 ms and ends a run when its stop arrives.
class crowded_instance_fixture {
 protected:
  crowded_instance_fixture() {
    instance_report report = SmallInstance("instance");
    report.capacity = {1000000, 1000000, 0, 0};
    owner.SetUnrecordedStarts(true);
    owner.OnRegistry({report}, now);
    Round();
    owner.OnFleetStored(owner.Fleet());
  }

  void StartTasks(uint32_t count) {
    step_spec step = Tasks(count, 10, seconds(600));
    step.need.memory_mb = 10;
    owner.OnJob(Job(kJob, {step}), "", false, wall_time{}, now);
    for (int i = 0; i < 10000 && at_work.size() < count; ++i) Run(kAnswerTime);
    REQUIRE(at_work.size() == count);
  }
  // Each answer may release the next command, as in the process.
  void Run(milliseconds duration) {
    for (const monotonic_time end = now + duration; now < end;) {
      now += milliseconds(1);
      AnswerDue();
      if (now >= next_round) Round();
    }
  }
  void Round() {
    next_round = now + kRoundTime;
    scheduler_commands commands = owner.Decide(wall_time{}, now);
    Send(std::move(commands.starts), std::move(commands.stops));
    for (const list_command& request : commands.listings) {
      std::erase_if(ended, [&](const ended_row& row) { return row.number <= request.ends_seen; });
      owner.OnListing(request, Listing(), now, now);
    }
    owner.OnStored(owner.TakeUnstored(10));
  }
  void Send(std::vector<start_command> starts, std::vector<stop_command> stops) {
    for (start_command& each : starts) {
      at_work[each.key] = each.run;
      starts_sent.emplace_back(now + kAnswerTime, std::move(each));
    }
    for (stop_command& each : stops) stops_sent.emplace_back(now + kAnswerTime, std::move(each));
    most_stops = std::max(most_stops, stops_sent.size());
  }
  void AnswerDue() {
    const bool answered = (!starts_sent.empty() && starts_sent.front().first <= now) ||
                          (!stops_sent.empty() && stops_sent.front().first <= now);
    while (!starts_sent.empty() && starts_sent.front().first <= now) {
      owner.OnStartAnswer(starts_sent.front().second, {command_result::kDone, Clock()}, now);
      starts_sent.pop_front();
    }
    while (!stops_sent.empty() && stops_sent.front().first <= now) {
      const stop_command stop = std::move(stops_sent.front().second);
      stops_sent.pop_front();
      if (at_work.erase(stop.key) > 0) {
        ended.push_back({++last_end, stop.key, stop.run, run_end::kStopped, ""});
      }
      owner.OnStopAnswer(stop, {command_result::kDone, Clock()}, now);
    }
    if (answered) Send(owner.TakeStarts(now), owner.TakeStops(now));
  }
  instance_listing Listing() const {
    instance_listing listing;
    listing.clock_ms = Clock();
    listing.incarnation = 1;
    listing.ended = {ended.begin(),
                     ended.begin() + std::min<std::ptrdiff_t>(std::ssize(ended), 500)};
    const auto percent = static_cast<uint32_t>(Clock() / 1000 % 100);
    for (const auto& [key, run] : at_work) listing.running.push_back({key, run, "", percent, 0});
    return listing;
  }
  int64_t Clock() const {
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
  }

  monotonic_time now{seconds(100)};
  monotonic_time next_round{};
  job_scheduler owner{scheduler_options{}, 1, monotonic_time{}};
  std::map<task_key, uint32_t> at_work;  // with the number of its run
  std::deque<std::pair<monotonic_time, start_command>> starts_sent;
  std::deque<std::pair<monotonic_time, stop_command>> stops_sent;
  std::vector<ended_row> ended;
  uint64_t last_end = 0;
  size_t most_stops = 0;
};

// Guards against tasks that work on after their job was cancelled, as their stops wait for each
// other.
TEST_CASE_METHOD(
    crowded_instance_fixture,
    "stop rate, job of thousands of tasks at one instance is cancelled, all end in time") {
  StartTasks(5000);
  owner.OnCancel(JobId(kJob), now);
  Run(kCancelLimit);
  CHECK(at_work.empty());
}

// Guards against further connections to an instance for few stops.
TEST_CASE_METHOD(crowded_instance_fixture,
                 "stop rate, job of few tasks is cancelled, two stops are in flight at most") {
  StartTasks(60);
  owner.OnCancel(JobId(kJob), now);
  Run(kCancelLimit);
  CHECK(at_work.empty());
  CHECK(most_stops == 2);
}

}  // namespace
}  // namespace catkinford
