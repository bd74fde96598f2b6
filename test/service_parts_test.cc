#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>

#include "parts_simulation.h"
#include "process/job_status.h"
#include "process/service_split.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kReplicas = 7;
constexpr int kHistories = 3000;
constexpr int kHealingSteps = 400;

void Run(parts_simulation& simulation, int steps) {
  for (int i = 0; i < steps; ++i) simulation.Step(milliseconds{50});
}

bool EachRunsOnce(const parts_simulation& simulation, uint32_t replicas) {
  const auto running = simulation.Running();
  return running.size() == replicas && std::all_of(running.begin(), running.end(),
                                                   [](const auto& one) { return one.second == 1; });
}

// Three domains, each with one shard that has free capacity for `capacity` replicas.
class split_fixture {
 protected:
  split_fixture() : routes_(Options()) {}

  static router_options Options() {
    router_options options;
    options.failure_domain = "sapporo-ch";
    options.failure_domains = {"sapporo-ch", "otaru", "asahikawa"};
    return options;
  }

  void Report(const std::string& domain, uint32_t capacity, uint32_t largest = 16000) {
    shard_report report;
    report.shard = ShardName(domain, 0);
    report.epoch = 1;
    report.endpoints = 4;
    report.summary.open_endpoints = 4;
    report.summary.free = {capacity * 1000, capacity * 1000, 0, capacity};
    report.summary.largest_capacity = {largest, 32768, 0, 8};
    routes_.OnReport(domain + "-0", report, now_);
  }

  // Number of replicas by shard.
  std::map<std::string, uint32_t> Split(uint32_t replicas) const {
    place_message service;
    service.kind = workload_kind::kService;
    service.each = {1000, 1000, 0, 1};
    service.tasks = replicas;
    std::map<std::string, uint32_t> taken;
    uint32_t next = 0;
    for (const job_part& part : SplitService(service, "sapporo-ch/0", routes_, now_)) {
      CHECK(part.first == next);
      next += part.tasks;
      taken[part.shard] += part.tasks;
    }
    return taken;
  }

  monotonic_time now_ = monotonic_time{} + std::chrono::hours{1};
  router routes_;
};

}  // namespace

TEST_CASE_METHOD(split_fixture, "service split, capacity in all domains, is even", "[parts]") {
  for (const char* domain : {"sapporo-ch", "otaru", "asahikawa"}) Report(domain, 100);
  CHECK(Split(6) ==
        std::map<std::string, uint32_t>{{"asahikawa/0", 2}, {"otaru/0", 2}, {"sapporo-ch/0", 2}});
  CHECK(Split(2).size() == 2);
}

// One domain is cut off, another nearly full, and a third has no endpoint that is large enough. The
// service must still be placed where it fits.
TEST_CASE_METHOD(split_fixture, "service split, domain without capacity or report, is left out",
                 "[parts]") {
  Report("sapporo-ch", 100);
  SECTION("no other domain has reported: all of it stays at home") { CHECK(Split(6).empty()); }
  SECTION("one domain is nearly full") {
    Report("otaru", 1);
    CHECK(Split(6) == std::map<std::string, uint32_t>{{"otaru/0", 1}, {"sapporo-ch/0", 5}});
  }
  SECTION("one domain has only endpoints that are too small") {
    Report("otaru", 100, 500);
    CHECK(Split(6).empty());
  }
  SECTION("an owner that is listing its endpoints counts as having capacity") {
    Report("otaru", 100);
    shard_report listing;
    listing.shard = "otaru/0";
    listing.epoch = 2;
    listing.endpoints = 4;
    routes_.OnReport("otaru-1", listing, now_);
    CHECK(Split(4).at("otaru/0") == 2);
  }
}

TEST_CASE("spread service, placed, runs in every domain and is accepted when all have recorded it",
          "[parts]") {
  parts_simulation simulation(1);
  simulation.Start(kReplicas);
  CHECK(!simulation.WasReported(outcome_kind::kAccepted));
  Run(simulation, 10);
  CHECK(simulation.WasReported(outcome_kind::kAccepted));
  CHECK(EachRunsOnce(simulation, kReplicas));
  CHECK(simulation.RunningAt(0).size() == 3);
  CHECK(simulation.RunningAt(2).size() == 2);
  simulation.Cancel();
  Run(simulation, 10);
  CHECK(simulation.Running().empty());
  CHECK(simulation.WasReported(outcome_kind::kFailed));
}

// A domain is cut off when a service is placed. Its caller must be answered before the domain is
// back, with the shards that have not confirmed; their replicas start once the domain is back.
TEST_CASE("spread service, domain cut off, is accepted with its name and completed later",
          "[parts]") {
  parts_simulation simulation(2);
  simulation.CutOff(2, true);
  simulation.Start(kReplicas);
  Run(simulation, 60);
  REQUIRE(simulation.WasReported(outcome_kind::kAccepted));
  CHECK(simulation.Outcomes().front().detail.find("asahikawa/0") != std::string::npos);
  CHECK(simulation.Running().size() == 5);
  simulation.CutOff(2, false);
  Run(simulation, 200);
  CHECK(EachRunsOnce(simulation, kReplicas));
}

// The queue of another shard is full. Replicas that it rejects must be queued at the home instead
// of being counted as placed and never run.
TEST_CASE("spread service, part rejected, runs at its home", "[parts]") {
  parts_simulation simulation(3);
  simulation.SetQueueLimit(1, 1);
  simulation.Start(kReplicas);
  Run(simulation, 20);
  CHECK(simulation.WasReported(outcome_kind::kAccepted));
  CHECK(EachRunsOnce(simulation, kReplicas));
  CHECK(simulation.RunningAt(1).empty());
  CHECK(simulation.RunningAt(0).size() == 5);
  simulation.ReplaceOwner(0);
  Run(simulation, 20);
  CHECK(EachRunsOnce(simulation, kReplicas));
}

// A service is cancelled while one domain is cut off. Its caller must not be told that it is over
// while replicas still run there.
TEST_CASE(
    "spread service, cancelled with a domain cut off, is over only when that domain has confirmed",
    "[parts]") {
  parts_simulation simulation(4);
  simulation.Start(kReplicas);
  Run(simulation, 20);
  simulation.CutOff(1, true);
  simulation.Cancel();
  Run(simulation, 60);
  CHECK(simulation.RunningAt(1).size() == 2);
  CHECK(!simulation.WasReported(outcome_kind::kFailed));
  simulation.CutOff(1, false);
  Run(simulation, 200);
  CHECK(simulation.Running().empty());
  CHECK(simulation.WasReported(outcome_kind::kFailed));
}

// Messages are lost, duplicated and delayed, owners are lost, records fail, the caller repeats its
// request and may cancel. No replica may run in two domains, and all must run once the faults are
// over.
TEST_CASE("spread service, any history of faults, never runs a replica twice and ends complete",
          "[parts]") {
  for (uint64_t seed = 1; seed <= kHistories; ++seed) {
    INFO("seed " << seed);
    parts_simulation simulation(seed);
    const bool with_losses = seed % 3 == 0;
    if (!with_losses && simulation.Below(3) == 0)
      simulation.SetQueueLimit(1 + static_cast<size_t>(simulation.Below(2)), 1);
    simulation.SetOdds({simulation.Below(40), simulation.Below(40), simulation.Below(60),
                        simulation.Below(30), simulation.Below(90)});
    simulation.Start(kReplicas);
    bool cancelled = false;
    for (int i = 0; i < 60; ++i) {
      const int fault = simulation.Below(40);
      if (fault < 3) simulation.ReplaceOwner(static_cast<size_t>(fault));
      if (fault == 3 && !simulation.WasReportedOver()) simulation.Start(kReplicas);
      if (fault == 6 && with_losses)
        simulation.LoseAndEvacuate(static_cast<size_t>(simulation.Below(3)));
      if (fault == 4)
        simulation.CutOff(static_cast<size_t>(simulation.Below(3)), simulation.Below(2) == 0);
      if (fault == 5 && seed % 4 == 0) {
        simulation.Cancel();
        cancelled = true;
      }
      simulation.Step(milliseconds{50 + simulation.Below(300)});
    }
    simulation.SetOdds({});
    for (size_t site = 0; site < kSites; ++site) simulation.CutOff(site, false);
    if (with_losses) simulation.ReplaceOwner(static_cast<size_t>(simulation.Below(3)));
    // What its caller was told is over must stay over, whichever entry owns the shards by then.
    const bool over = simulation.WasReportedOver();
    if (!cancelled && !over) simulation.Start(kReplicas);
    if (cancelled && !over) simulation.Cancel();
    Run(simulation, kHealingSteps);
    const bool refused = simulation.Outcomes().back().kind == outcome_kind::kRefused;
    REQUIRE_FALSE(simulation.RanTwice());
    if (cancelled || over || refused) {
      REQUIRE(simulation.Running().empty());
    } else {
      REQUIRE(EachRunsOnce(simulation, kReplicas));
    }
  }
}

// A shard changes its owner while a part is placed there. The old owner rejected the part and its
// answer is late; the new owner has accepted the part. If the late rejection counted, the home
// would run the same replicas again.
TEST_CASE("part tracker, rejection of an earlier sending, does not count", "[parts]") {
  part_tracker tracker(milliseconds{500});
  const request_id id{1, 1};
  monotonic_time now = monotonic_time{} + std::chrono::hours{1};
  tracker.Open(id, {"otaru/0"}, 100, now);
  std::vector<part_call> calls;
  tracker.Tick(now, calls);
  tracker.Tick(now + milliseconds{500}, calls);
  REQUIRE(calls.size() == 2);
  part_answer_message refusal;
  refusal.id = id;
  refusal.shard = "otaru/0";
  refusal.result = RejectedOutcome(id, rejection_reason::kNotDurable, {}, "");
  refusal.send = calls[0].send;
  CHECK(tracker.OnAnswer(refusal) == part_event::kNone);
  refusal.send = calls[1].send;
  CHECK(tracker.OnAnswer(refusal) == part_event::kRefused);
}

// A service is cancelled while the placement of one part is in flight. If it took effect after the
// cancel, it would start replicas of a job that its caller was told is over.
TEST_CASE("spread service, part cancelled before it came, never starts", "[parts]") {
  parts_simulation simulation(5);
  place_message part;
  part.id = {9, 9};
  part.shard = "otaru/0";
  part.home = "sapporo-ch/0";
  part.team = "booking";
  part.kind = workload_kind::kService;
  part.each = {100, 100, 0, 1};
  part.tasks = 2;
  part.parts = {{"otaru/0", 0, 2}};
  part.fresh = true;
  simulation.At(1).Cancel("0@1", {part.id, part.shard, part.home, 6}, simulation.Now());
  Run(simulation, 20);
  simulation.At(1).Place("0@1", part, simulation.Now());
  Run(simulation, 20);
  CHECK(simulation.Running().empty());
}

// A domain is lost and evacuated. Its replicas must run elsewhere, also those of a service whose
// home it was, and must not start there again when the domain comes back.
TEST_CASE("spread service, domain evacuated, runs elsewhere and stays there", "[parts]") {
  const auto lost = GENERATE(size_t{0}, size_t{1});
  parts_simulation simulation(6);
  simulation.Start(kReplicas);
  Run(simulation, 20);
  simulation.LoseAndEvacuate(lost);
  Run(simulation, 40);
  CHECK(EachRunsOnce(simulation, kReplicas));
  CHECK(simulation.RunningAt(lost).empty());
  simulation.ReplaceOwner(lost);
  Run(simulation, 40);
  CHECK(EachRunsOnce(simulation, kReplicas));
  CHECK(simulation.RunningAt(lost).empty());
  simulation.Cancel();
  Run(simulation, 40);
  CHECK(simulation.Running().empty());
}

// A domain with batch work is lost. Finished tasks must not run again elsewhere, repeatable ones
// continue in another domain, and non-repeatable ones are answered as unknown.
TEST_CASE("evacuated shard, batch jobs, moves unfinished tasks and gives up what may run only once",
          "[parts]") {
  team_names teams;
  shard_options options;
  options.name = "otaru/0";
  options.epoch = 3;
  options.is_evacuated = true;
  shard lost(options, teams);
  const monotonic_time now = monotonic_time{} + std::chrono::hours{1};
  restored_job retryable;
  retryable.spec.id = {1, 1};
  retryable.spec.team = "booking";
  retryable.spec.kind = workload_kind::kBatch;
  retryable.spec.each = {100, 100, 0, 1};
  retryable.spec.tasks = 4;
  retryable.done = {1};
  restored_job not_repeatable = retryable;
  not_repeatable.spec.id = {2, 2};
  not_repeatable.spec.repeatable = false;
  lost.Restore({retryable, not_repeatable}, now);
  const task_split to_sapporo = [](const place_message&, uint32_t tasks) {
    return std::vector<job_part>{{"sapporo-ch/0", 0, tasks}};
  };
  lost.Evacuate(to_sapporo, now);
  CHECK(lost.Evacuated().moved == 1);
  CHECK(lost.Evacuated().unknown == 1);
  const std::vector<job_part> parts = {
      {"sapporo-ch/0", 0, 1}, {"otaru/0", 1, 1}, {"sapporo-ch/0", 2, 2}};
  CHECK(lost.SpecOf({1, 1})->parts == parts);
  lost.OnRecorded({1, 1}, true, now);
  std::vector<shard_action> actions;
  lost.Act(now, actions);
  part_answer_message ended;
  ended.id = {1, 1};
  ended.shard = "sapporo-ch/0";
  ended.failed = {2};
  ended.result = FailedOutcome({1, 1}, "disk full");
  for (const shard_action& action : actions) {
    if (const auto* part = std::get_if<part_action>(&action)) ended.send = part->call.send;
  }
  REQUIRE(ended.send != 0);
  lost.OnPartAnswer(ended, now);
  for (const uint64_t number : {1, 2}) {
    lost.Status("entry", {{number, number}, "otaru/0", number}, now);
  }
  actions.clear();
  lost.Act(now, actions);
  std::map<uint64_t, status_answer> answers;
  for (const shard_action& action : actions) {
    const auto* status = std::get_if<status_action>(&action);
    if (status != nullptr) answers[status->answer.query] = status->answer;
  }
  CHECK(answers[1].progress.done == 3);
  CHECK(answers[1].progress.failed == 1);
  CHECK(answers[1].ended->detail == "disk full");
  CHECK(answers[2].ended->kind == outcome_kind::kUnknown);
}

// Homes split services by the free capacity in heartbeats and find the parts of an evacuated domain
// by the report of an entry in another domain. Without these fields all replicas would be placed in
// one domain, and those of the evacuated one not found.
TEST_CASE("heartbeat, report of free capacity and of another domain's shard, arrives complete",
          "[parts]") {
  entry_status status;
  status.name = "otaru-0";
  status.incarnation = 1;
  status.heartbeat = 1;
  shard_report own;
  own.shard = "otaru/0";
  own.epoch = 4;
  own.summary.free = {1000, 2000, 1, 3};
  shard_report evacuated;
  evacuated.shard = "asahikawa/0";
  evacuated.epoch = 9;
  status.shards = {own, evacuated};
  const auto read =
      DecodeBatch(EncodeBatch("otaru-0", {heartbeat_message{"otaru", false, {status}}}));
  REQUIRE(read.size() == 1);
  const auto& heartbeat = std::get<heartbeat_message>(read.front().body);
  REQUIRE(heartbeat.entries.size() == 1);
  REQUIRE(heartbeat.entries.front().shards.size() == 2);
  CHECK(heartbeat.entries.front().shards[0].shard == "otaru/0");
  CHECK(heartbeat.entries.front().shards[0].summary.free == own.summary.free);
  CHECK(heartbeat.entries.front().shards[1].shard == "asahikawa/0");
}

TEST_CASE("job status, parts in several shards, is complete with all of them", "[parts]") {
  job_status status;
  status.Start({"otaru/0", "sapporo-ch/0", "asahikawa/0"});
  status_answer home;
  home.shard = "sapporo-ch/0";
  home.known = true;
  home.progress.running = 2;
  home.parts = {{"otaru/0", 0, 2}, {"sapporo-ch/0", 2, 2}};
  status.OnAnswer(home);
  CHECK(!status.IsComplete());
  CHECK(status.Response({1, 1}).body.find("\"heard\":false") != std::string::npos);
  status_answer part = home;
  part.shard = "otaru/0";
  part.home = "sapporo-ch/0";
  status.OnAnswer(part);
  CHECK(status.IsComplete());
  CHECK(status.Response({1, 1}).body.find("\"running\":4") != std::string::npos);
}

}  // namespace catkinford
