#include <catch2/catch.hpp>
#include <set>

#include "test/decision_fixture.h"

namespace catkinford {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE_METHOD(decision_fixture, "interactive work, empty floor, spreads over racks",
                 "[decisions]") {
  AddEndpoints(32);
  std::set<endpoint_index> racks;
  for (uint64_t n = 0; n < 4; ++n) {
    const auto starts = Run(Job(n, workload_kind::kInteractive, 1000));
    REQUIRE(starts.size() == 1);
    racks.insert(starts[0].endpoint / kEndpointsInRack);
  }
  CHECK(racks.size() == 4);
}

TEST_CASE_METHOD(decision_fixture, "service, as many racks as replicas, shares no rack",
                 "[decisions]") {
  AddEndpoints(24);
  const auto starts = Run(Job(1, workload_kind::kService, 4000, 3));
  std::set<uint32_t> racks;
  for (const command& start : starts) racks.insert(start.endpoint / kEndpointsInRack);
  CHECK(starts.size() == 3);
  CHECK(racks.size() == 3);
}

TEST_CASE_METHOD(decision_fixture, "batch work, one endpoint in use, fills it first",
                 "[decisions]") {
  AddEndpoints(8);
  const auto first = Run(Job(1, workload_kind::kBatch, 4000));
  const auto second = Run(Job(2, workload_kind::kBatch, 4000));
  REQUIRE(first.size() == 1);
  REQUIRE(second.size() == 1);
  CHECK(first[0].endpoint == second[0].endpoint);
}

TEST_CASE_METHOD(decision_fixture, "gang, not enough capacity for all tasks, starts nothing",
                 "[decisions]") {
  AddEndpoints(2);
  Run(Job(1, workload_kind::kBatch, 16000));
  CHECK(Run(Job(2, workload_kind::kGang, 16000, 2)).empty());
}

// Guards against gang deadlock: two gangs as large as the fleet arrive together while small jobs
// fill every gap; if each could hold half of the endpoints, neither would ever start.
TEST_CASE_METHOD(decision_fixture, "two gangs, each as large as the fleet, both run in turn",
                 "[decisions]") {
  AddEndpoints(4);
  const auto small = Run(Job(1, workload_kind::kBatch, 8000, 4));
  core_.Submit(Job(2, workload_kind::kGang, 16000, 4), now_);
  core_.Submit(Job(3, workload_kind::kGang, 16000, 4), now_);
  std::set<uint64_t> ran;
  for (int round = 0; round < 40 && ran.size() < 2; ++round) {
    for (const command& c : DecideFor(seconds{5})) {
      if (c.kind == command_kind::kStop) {
        core_.Finished(c.task, task_end::kCheckpointed, seconds{1}, now_);
      }
      if (c.kind != command_kind::kStart) continue;
      core_.Started(c.task, now_);
      if (c.task.job.lo == 1) continue;
      ran.insert(c.task.job.lo);
      core_.Finished(c.task, task_end::kDone, seconds{1}, now_);
    }
  }
  CHECK(ran.size() == 2);
}

// Guards against starvation of large jobs: long-running small tasks fill every gap, and each one
// that ends is followed by another.
TEST_CASE_METHOD(decision_fixture,
                 "large job, small jobs in every gap, starts after a bounded wait", "[decisions]") {
  AddEndpoints(2);
  AddTeam(1, 1.0);
  uint64_t next = 100;
  for (int i = 0; i < 4; ++i) Run(Job(next++, workload_kind::kBatch, 8000));
  core_.Submit(Job(1, workload_kind::kBatch, 16000, 1, 1), now_);
  bool started = false;
  for (int second = 0; second < 60 && !started; ++second) {
    core_.Submit(Job(next++, workload_kind::kBatch, 8000), now_);
    for (const command& c : DecideFor(seconds{1})) {
      started = started || (c.kind == command_kind::kStart && c.task.job.lo == 1);
      if (c.kind == command_kind::kStart) core_.Started(c.task, now_);
      if (c.kind == command_kind::kStop) {
        core_.Finished(c.task, task_end::kCheckpointed, seconds{1}, now_);
      }
    }
  }
  CHECK(started);
}

// A backfilled job runs longer than estimated; the job with the reservation must not wait for it.
TEST_CASE_METHOD(decision_fixture, "backfill, runs longer than declared, is preempted in time",
                 "[decisions]") {
  AddEndpoints(1);
  const auto first = Run(Job(1, workload_kind::kBatch, 8000));
  core_.Submit(Job(2, workload_kind::kGang, 8000, 2), now_);
  DecideFor(seconds{6});
  job_request small = Job(3, workload_kind::kBatch, 8000);
  small.declared_run_time = seconds{1};
  REQUIRE(Run(small).size() == 1);
  core_.Finished(first[0].task, task_end::kDone, seconds{6}, now_);
  CHECK(Only(Decide(), command_kind::kStart).empty());
  const auto stops = DecideFor(seconds{20});
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].task.job.lo == 3);
  core_.Finished(stops[0].task, task_end::kCheckpointed, seconds{30}, now_);
  const auto starts = Only(Decide(), command_kind::kStart);
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].task.job.lo == 2);
}

TEST_CASE_METHOD(decision_fixture, "gang, one start fails, stops the rest and is started again",
                 "[decisions]") {
  AddEndpoints(4);
  const auto starts = Run(Job(1, workload_kind::kGang, 16000, 3));
  REQUIRE(starts.size() == 3);
  core_.Finished(starts[0].task, task_end::kLost, milliseconds{10}, now_);
  const auto stops = Decide();
  REQUIRE(Only(stops, command_kind::kStop).size() == 2);
  CHECK(Only(stops, command_kind::kStart).empty());
  for (const command& stop : stops) {
    core_.Finished(stop.task, task_end::kCheckpointed, milliseconds{20}, now_);
  }
  const auto again = Only(Decide(), command_kind::kStart);
  REQUIRE(again.size() == 3);
  CHECK(again[0].task.attempt == 2);
}

TEST_CASE_METHOD(decision_fixture, "team, at its grant, starts no more until a task ends",
                 "[decisions]") {
  AddEndpoints(4);
  AddTeam(1, 1.0, 2);
  const auto starts = Run(Job(1, workload_kind::kBatch, 1000, 3, 1));
  REQUIRE(starts.size() == 2);
  CHECK_FALSE(core_.WaitsFor({1, 1}).empty());
  core_.Finished(starts[0].task, task_end::kDone, milliseconds{5}, now_);
  CHECK(Decide().size() == 1);
}

// After a change of owner an unlisted endpoint may run tasks of the former owner; ignoring them
// would let a team exceed its limit by its full limit.
TEST_CASE_METHOD(decision_fixture, "endpoint, not fenced yet, counts against the team's grant",
                 "[decisions]") {
  AddTeam(1, 1.0, 8);
  AddEndpoints(1, endpoint_state::kUnfenced);
  AddEndpoints(2);
  CHECK(Run(Job(1, workload_kind::kBatch, 1000, 4, 1)).empty());
  core_.Adopt({{{9, 9}, 0, 1}, 1, workload_kind::kBatch, {1000, 1024, 0, 1}, 0}, now_);
  core_.SetEndpointState(0, endpoint_state::kOpen, now_);
  CHECK(Decide().size() == 4);
  CHECK(core_.Usage(1).running_tasks == 5);
}

TEST_CASE_METHOD(decision_fixture, "job, larger than every endpoint, is rejected with the largest",
                 "[decisions]") {
  AddEndpoints(2);
  const admission answer = core_.Submit(Job(1, workload_kind::kBatch, 17000), now_);
  CHECK(answer.reason == rejection_reason::kNeverFits);
  CHECK(answer.detail.find("16000") != std::string::npos);
}

TEST_CASE_METHOD(decision_fixture, "job, larger than what is listed so far, waits for the rest",
                 "[decisions]") {
  AddEndpoints(1);
  AddEndpoints(1, endpoint_state::kUnfenced);
  CHECK(core_.Submit(Job(1, workload_kind::kBatch, 17000), now_).queued);
  CHECK(Decide().empty());
  core_.SetEndpointState(1, endpoint_state::kOpen, now_);
  const auto out = Decide();
  REQUIRE(out.size() == 1);
  CHECK(out[0].reason == rejection_reason::kNeverFits);
}

// An endpoint fails while running a task that is not repeatable. Placed again it could repeat its
// side effects; the caller must get an unknown outcome.
TEST_CASE_METHOD(decision_fixture, "not repeatable job, run lost, ends unknown and starts no more",
                 "[decisions]") {
  AddEndpoints(2);
  job_request job = Job(1, workload_kind::kInteractive, 1000);
  job.repeatable = false;
  const auto starts = Run(job);
  REQUIRE(starts.size() == 1);
  core_.SetEndpointState(starts[0].endpoint, endpoint_state::kGone, now_);
  const auto out = DecideFor(seconds{60});
  REQUIRE(out.size() == 1);
  CHECK(out[0].kind == command_kind::kEnded);
  CHECK(out[0].end == job_end::kUnknown);
}

TEST_CASE_METHOD(decision_fixture, "not repeatable job, start rejected, is placed elsewhere",
                 "[decisions]") {
  AddEndpoints(2);
  job_request job = Job(1, workload_kind::kInteractive, 1000);
  job.repeatable = false;
  core_.Submit(job, now_);
  const auto first = Decide();
  REQUIRE(first.size() == 1);
  core_.StartFailed(first[0].task, true, now_);
  const auto second = Decide();
  REQUIRE(second.size() == 1);
  CHECK(second[0].endpoint != first[0].endpoint);
  CHECK(second[0].task.attempt == 2);
}

TEST_CASE_METHOD(decision_fixture, "task, endpoint lost, starts elsewhere with a new attempt",
                 "[decisions]") {
  AddEndpoints(2);
  const auto starts = Run(Job(1, workload_kind::kBatch, 1000));
  core_.SetEndpointState(starts[0].endpoint, endpoint_state::kGone, now_);
  const auto again = Decide();
  REQUIRE(again.size() == 1);
  CHECK(again[0].task.attempt == 2);
  // A late report about the first run changes nothing.
  core_.Finished(starts[0].task, task_end::kDone, milliseconds{5}, now_);
  CHECK(core_.Usage(0).running_tasks == 1);
}

TEST_CASE_METHOD(decision_fixture, "cancel, waiting and running tasks, rejects one and stops one",
                 "[decisions]") {
  AddEndpoints(1);
  const auto starts = Run(Job(1, workload_kind::kBatch, 16000));
  core_.Submit(Job(2, workload_kind::kBatch, 16000), now_);
  Decide();
  CHECK(core_.Cancel({1, 1}, now_));
  CHECK(core_.Cancel({1, 2}, now_));
  CHECK_FALSE(core_.Cancel({1, 3}, now_));
  const auto out = Decide();
  REQUIRE(out.size() == 2);
  CHECK(out[0].kind == command_kind::kStop);
  CHECK(out[1].reason == rejection_reason::kCancelled);
  core_.Finished(starts[0].task, task_end::kStopped, milliseconds{5}, now_);
  const auto ended = Decide();
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].end == job_end::kCancelled);
}

TEST_CASE_METHOD(decision_fixture, "deadline, passed in the queue, is rejected as not run",
                 "[decisions]") {
  AddEndpoints(1);
  Run(Job(1, workload_kind::kBatch, 16000));
  job_request late = Job(2, workload_kind::kInteractive, 1000);
  late.deadline = now_ + milliseconds{300};
  core_.Submit(late, now_);
  const auto out = DecideFor(milliseconds{400});
  REQUIRE(out.size() == 1);
  CHECK(out[0].kind == command_kind::kRefuse);
  CHECK(out[0].reason == rejection_reason::kDeadline);
  CHECK(out[0].retry_after > milliseconds{0});
}

TEST_CASE_METHOD(decision_fixture, "urgent job, no free capacity, starts after one preemption",
                 "[decisions]") {
  AddEndpoints(4);
  REQUIRE(Run(Job(1, workload_kind::kBatch, 8000, 8)).size() == 8);
  job_request urgent = Job(2, workload_kind::kInteractive, 2000);
  urgent.urgent = true;
  core_.Submit(urgent, now_);
  const auto stops = Decide();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].why == stop_reason::kPreempted);
  CHECK(stops[0].checkpoint);
  core_.Finished(stops[0].task, task_end::kCheckpointed, milliseconds{900}, now_);
  const auto starts = Only(Decide(), command_kind::kStart);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job.lo == 2);
}

// A worker that fails every task immediately always looks free and would attract all work, so
// nearly every request would fail.
TEST_CASE_METHOD(decision_fixture, "endpoint, fails every task, is ejected and tried again",
                 "[decisions]") {
  AddEndpoints(10);
  uint32_t to_bad = 0;
  const auto run_all = [&](uint64_t first, uint64_t last) {
    for (uint64_t n = first; n < last; ++n) {
      core_.Submit(Job(n, workload_kind::kInteractive, 1000), now_);
      for (const command& c : Only(Decide(), command_kind::kStart)) {
        const bool bad = c.endpoint == 3;
        to_bad += bad ? 1 : 0;
        core_.Started(c.task, now_);
        core_.Finished(c.task, bad ? task_end::kFailed : task_end::kDone, milliseconds{1}, now_);
      }
    }
  };
  run_all(0, 500);
  CHECK(to_bad > 0);
  CHECK(to_bad < 10);
  DecideFor(seconds{11});
  const uint32_t before = to_bad;
  run_all(500, 1000);
  CHECK(to_bad == before + 1);
}

// After a change of owner some tasks of a job have ended, some run and some wait. A finished task
// that is started again would run twice.
TEST_CASE_METHOD(decision_fixture, "resumed job, one task ended and one running, starts the third",
                 "[decisions]") {
  AddEndpoints(2);
  const job_request job = Job(1, workload_kind::kBatch, 1000, 3);
  core_.Resume(job, {2}, now_);
  core_.Adopt({{job.id, 1, 7}, 0, workload_kind::kBatch, job.each, 0}, now_);
  const auto starts = Only(Decide(), command_kind::kStart);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.index == 2);
  core_.Finished({job.id, 1, 7}, task_end::kDone, milliseconds{5}, now_);
  core_.Finished(starts[0].task, task_end::kDone, milliseconds{5}, now_);
  const auto ended = Decide();
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].tasks_done == 3);
}

// As above, but Adopt() comes first: the job was only counted until its record was read.
TEST_CASE_METHOD(decision_fixture, "adopted task, its job resumed later, is counted once",
                 "[decisions]") {
  AddEndpoints(2);
  const job_request job = Job(1, workload_kind::kBatch, 1000, 2);
  core_.Adopt({{job.id, 1, 7}, 0, workload_kind::kBatch, job.each, 0}, now_);
  core_.Resume(job, {0}, now_);
  CHECK(Only(Decide(), command_kind::kStart).size() == 1);
  CHECK(core_.Usage(0).running_tasks == 2);
}

TEST_CASE_METHOD(decision_fixture, "queue, full, rejects with a retry time", "[decisions]") {
  AddEndpoints(1);
  AddTeam(1, 1.0, 100, 2);
  CHECK(core_.Submit(Job(1, workload_kind::kBatch, 1000, 2, 1), now_).queued);
  const admission full = core_.Submit(Job(2, workload_kind::kBatch, 1000, 1, 1), now_);
  CHECK(full.reason == rejection_reason::kQueueFull);
  CHECK(full.retry_after > milliseconds{0});
}

// All endpoints run batch tasks that ignore checkpoint requests. Without a time limit an urgent job
// would wait for hours until a batch task ends, past its deadline.
TEST_CASE_METHOD(decision_fixture,
                 "urgent job, checkpoint never written, starts after the time limit",
                 "[decisions]") {
  AddEndpoints(1);
  Run(Job(1, workload_kind::kBatch, 16000));
  job_request urgent = Job(2, workload_kind::kInteractive, 1000);
  urgent.urgent = true;
  core_.Submit(urgent, now_);
  const std::vector<command> asked = Only(Decide(), command_kind::kStop);
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].checkpoint);
  CHECK(Only(DecideFor(milliseconds{2900}), command_kind::kStop).empty());
  const std::vector<command> cut = Only(DecideFor(milliseconds{200}), command_kind::kStop);
  REQUIRE(cut.size() == 1);
  CHECK_FALSE(cut[0].checkpoint);
  core_.Finished(cut[0].task, task_end::kStopped, seconds{3}, now_);
  CHECK(Only(Decide(), command_kind::kStart)[0].task.job == urgent.id);
}

// The endpoint of the preempted task does not stop it at all. An urgent job that kept waiting for
// this endpoint would never start although preemption on others would free capacity.
TEST_CASE_METHOD(decision_fixture, "urgent job, task never stops, preempts another endpoint",
                 "[decisions]") {
  AddEndpoints(2);
  Run(Job(1, workload_kind::kBatch, 16000));
  Run(Job(2, workload_kind::kBatch, 16000));
  job_request urgent = Job(3, workload_kind::kInteractive, 1000);
  urgent.urgent = true;
  core_.Submit(urgent, now_);
  const std::vector<command> first = Only(Decide(), command_kind::kStop);
  REQUIRE(first.size() == 1);
  for (const command& c : Only(DecideFor(seconds{5}), command_kind::kStop)) {
    if (c.endpoint == first[0].endpoint) continue;
    core_.Finished(c.task, task_end::kCheckpointed, seconds{5}, now_);
  }
  const std::vector<command> starts = Only(Decide(), command_kind::kStart);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task.job == urgent.id);
  CHECK(starts[0].endpoint != first[0].endpoint);
}

// A job is cancelled while its task writes a checkpoint or ignores the request. If the task were
// not stopped again, it would run on indefinitely after the cancellation.
TEST_CASE_METHOD(decision_fixture, "job cancelled, task asked for a checkpoint, is stopped at once",
                 "[decisions]") {
  AddEndpoints(1);
  const std::vector<command> starts = Run(Job(1, workload_kind::kBatch, 1000));
  core_.SetEndpointState(0, endpoint_state::kLeaving, now_);
  CHECK(Only(Decide(), command_kind::kStop).size() == 1);
  core_.Cancel({1, 1}, now_);
  const std::vector<command> stops = Only(Decide(), command_kind::kStop);
  REQUIRE(stops.size() == 1);
  CHECK_FALSE(stops[0].checkpoint);
}

// Short batch jobs keep arriving while a long one of the same team waits. If each overtook it, the
// long one would never start.
TEST_CASE_METHOD(decision_fixture,
                 "long batch job, short ones keep coming, is overtaken a few times only",
                 "[decisions]") {
  AddEndpoints(1);
  std::vector<command> running = Run(Job(1, workload_kind::kBatch, 16000));
  job_request longer = Job(2, workload_kind::kBatch, 16000);
  longer.declared_run_time = seconds{1000};
  core_.Submit(longer, now_);
  uint32_t before = 0;
  bool started = false;
  for (uint64_t number = 3; number < 100 && !started; ++number) {
    job_request shorter = Job(number, workload_kind::kBatch, 16000);
    shorter.declared_run_time = seconds{1};
    core_.Submit(shorter, now_);
    core_.Finished(running[0].task, task_end::kDone, seconds{1}, now_);
    running = Only(Decide(), command_kind::kStart);
    REQUIRE(running.size() == 1);
    started = running[0].task.job == longer.id;
    before += started ? 0 : 1;
  }
  CHECK(started);
  CHECK(before > 0);
  CHECK(before <= 17);
}

// A service that is not repeatable loses its endpoint. The lost run may still be running; placed
// again it could run in two places.
TEST_CASE_METHOD(decision_fixture, "service, not repeatable and lost, is not placed again",
                 "[decisions]") {
  AddEndpoints(2);
  job_request once = Job(1, workload_kind::kService, 1000);
  once.repeatable = false;
  const std::vector<command> starts = Run(once);
  REQUIRE(starts.size() == 1);
  core_.Finished(starts[0].task, task_end::kLost, seconds{1}, now_);
  const std::vector<command> after = DecideFor(seconds{10});
  CHECK(Only(after, command_kind::kStart).empty());
  const std::vector<command> ended = Only(after, command_kind::kEnded);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].end == job_end::kUnknown);
}

// One team sends interactive requests far beyond its share. If they filled every slot, each request
// of the other teams would wait for a task to end.
TEST_CASE_METHOD(decision_fixture, "team far above its share, requests of others, start at once",
                 "[decisions]") {
  AddEndpoints(4);
  for (team_index team = 1; team < 4; ++team) AddTeam(team, 1.0);
  uint64_t number = 0;
  for (uint32_t i = 0; i < 9; ++i) {
    Run(Job(number++, workload_kind::kInteractive, 1000, 1, 1 + i % 3));
  }
  for (uint32_t i = 0; i < 100; ++i) {
    Run(Job(number++, workload_kind::kInteractive, 1000, 1, 0));
  }
  CHECK(core_.Usage(0).running_tasks == 20);
  CHECK(Run(Job(number++, workload_kind::kInteractive, 1000, 1, 1)).size() == 1);
  CHECK(Run(Job(number++, workload_kind::kInteractive, 1000, 1, 2)).size() == 1);
}

// Far more interactive requests than the capacity. With a queue as long as their deadline each
// would start just before it, and every answer would be too late.
TEST_CASE_METHOD(decision_fixture, "requests, three times the capacity, are shed before they queue",
                 "[decisions]") {
  AddEndpoints(1);
  std::vector<task_id> running;
  uint32_t shed = 0;
  uint32_t late = 0;
  for (uint64_t n = 0; n < 3000; ++n) {
    // Eight slots of 100 ms each: one task ends per 12.5 ms, in which three requests arrive.
    now_ += milliseconds{4};
    if (n % 3 == 0 && running.size() == 8) {
      core_.Finished(running.front(), task_end::kDone, milliseconds{100}, now_);
      running.erase(running.begin());
    }
    job_request caller = Job(n, workload_kind::kInteractive, 1000);
    caller.deadline = now_ + seconds{2};
    const admission answer = core_.Submit(caller, now_);
    if (answer.reason == rejection_reason::kShed) {
      ++shed;
      CHECK(answer.retry_after > milliseconds{0});
    }
    for (const command& c : Decide()) {
      if (c.kind == command_kind::kStart) running.push_back(c.task);
      if (c.kind == command_kind::kRefuse) ++late;
    }
  }
  CHECK(shed > 1500);
  CHECK(late == 0);
}

TEST_CASE_METHOD(decision_fixture, "batch jobs, interactive tasks running, leave free capacity",
                 "[decisions]") {
  AddEndpoints(1);
  for (uint64_t n = 0; n < 5; ++n) Run(Job(n, workload_kind::kInteractive, 2000));
  // Two of eight slots are withheld (0.4 of five), one is left for batch jobs.
  CHECK(Run(Job(10, workload_kind::kBatch, 1000, 3)).size() == 1);
  CHECK(Run(Job(11, workload_kind::kInteractive, 2000)).size() == 1);
  CHECK(core_.Usage(0).running_tasks == 7);
}

TEST_CASE_METHOD(decision_fixture, "two teams, weights two to one, full capacity, run two to one",
                 "[decisions]") {
  AddEndpoints(6);
  AddTeam(1, 2.0);
  AddTeam(2, 1.0);
  core_.Submit(Job(1, workload_kind::kBatch, 2000, 100, 1), now_);
  core_.Submit(Job(2, workload_kind::kBatch, 2000, 100, 2), now_);
  Decide();
  CHECK(core_.Usage(1).running_tasks == 32);
  CHECK(core_.Usage(2).running_tasks == 16);
}

}  // namespace catkinford
