#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>

#include "parts_world.h"
#include "process/job_status.h"
#include "process/service_split.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kReplicas = 7;
constexpr int kHistories = 3000;
constexpr int kHealingSteps = 400;

void Run(parts_world& world, int steps) {
  for (int i = 0; i < steps; ++i) world.Step(milliseconds{50});
}

bool EachRunsOnce(const parts_world& world, uint32_t replicas) {
  const auto running = world.Running();
  return running.size() == replicas && std::all_of(running.begin(), running.end(),
                                                   [](const auto& one) { return one.second == 1; });
}

// Three domains, each with one shard of which `room` replicas' worth is free.
class split_fixture {
 protected:
  split_fixture() : routes_(Options()) {}

  static router_options Options() {
    router_options options;
    options.failure_domain = "sapporo-ch";
    options.failure_domains = {"sapporo-ch", "otaru", "asahikawa"};
    return options;
  }

  void Report(const std::string& domain, uint32_t room, uint32_t largest = 16000) {
    shard_report report;
    report.shard = ShardName(domain, 0);
    report.epoch = 1;
    report.endpoints = 4;
    report.summary.open_endpoints = 4;
    report.summary.free = {room * 1000, room * 1000, 0, room};
    report.summary.largest_capacity = {largest, 32768, 0, 8};
    routes_.OnReport(domain + "-0", report, now_);
  }

  // Replicas by shard.
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

TEST_CASE_METHOD(split_fixture, "service split, room in all domains, is even", "[parts]") {
  for (const char* domain : {"sapporo-ch", "otaru", "asahikawa"}) Report(domain, 100);
  CHECK(Split(6) ==
        std::map<std::string, uint32_t>{{"asahikawa/0", 2}, {"otaru/0", 2}, {"sapporo-ch/0", 2}});
  CHECK(Split(2).size() == 2);
}

// A domain is cut off, another one nearly full, in the third no endpoint is large enough. A service
// must still be taken, by whoever can hold it.
TEST_CASE_METHOD(split_fixture, "service split, domain without room or word, leaves it out",
                 "[parts]") {
  Report("sapporo-ch", 100);
  SECTION("nobody else is heard of: all of it stays at home") { CHECK(Split(6).empty()); }
  SECTION("one domain is nearly full") {
    Report("otaru", 1);
    CHECK(Split(6) == std::map<std::string, uint32_t>{{"otaru/0", 1}, {"sapporo-ch/0", 5}});
  }
  SECTION("one domain has only endpoints that are too small") {
    Report("otaru", 100, 500);
    CHECK(Split(6).empty());
  }
  SECTION("an owner that is listing its endpoints counts as having room") {
    Report("otaru", 100);
    shard_report listing;
    listing.shard = "otaru/0";
    listing.epoch = 2;
    listing.endpoints = 4;
    routes_.OnReport("otaru-1", listing, now_);
    CHECK(Split(4).at("otaru/0") == 2);
  }
}

TEST_CASE(
    "spread service, asked for, runs in every domain and is accepted when all have recorded it",
    "[parts]") {
  parts_world world(1);
  world.Ask(kReplicas);
  CHECK(!world.Told(outcome_kind::kAccepted));
  Run(world, 10);
  CHECK(world.Told(outcome_kind::kAccepted));
  CHECK(EachRunsOnce(world, kReplicas));
  CHECK(world.RunningAt(0).size() == 3);
  CHECK(world.RunningAt(2).size() == 2);
  world.Cancel();
  Run(world, 10);
  CHECK(world.Running().empty());
  CHECK(world.Told(outcome_kind::kFailed));
}

// A domain is cut off just as a service comes. Its caller must not wait for the end of the cut, and
// must be told which replicas nobody has confirmed; they come once the domain is back.
TEST_CASE("spread service, domain cut off, is accepted with its name and whole later", "[parts]") {
  parts_world world(2);
  world.CutOff(2, true);
  world.Ask(kReplicas);
  Run(world, 60);
  REQUIRE(world.Told(outcome_kind::kAccepted));
  CHECK(world.Outcomes().front().detail.find("asahikawa/0") != std::string::npos);
  CHECK(world.Running().size() == 5);
  world.CutOff(2, false);
  Run(world, 200);
  CHECK(EachRunsOnce(world, kReplicas));
}

// The other shards have no room in their queues. The service is accepted all the same and its
// replicas wait at home, instead of being counted as placed and never run.
TEST_CASE("spread service, part turned away, runs at its home", "[parts]") {
  parts_world world(3);
  world.SetQueueLimit(1, 1);
  world.Ask(kReplicas);
  Run(world, 20);
  CHECK(world.Told(outcome_kind::kAccepted));
  CHECK(EachRunsOnce(world, kReplicas));
  CHECK(world.RunningAt(1).empty());
  CHECK(world.RunningAt(0).size() == 5);
  world.ReplaceOwner(0);
  Run(world, 20);
  CHECK(EachRunsOnce(world, kReplicas));
}

// A caller cancels a service while one domain is cut off. It must not hear that all is over while
// replicas run on there.
TEST_CASE("spread service, cancelled with a domain cut off, is over only when that has heard",
          "[parts]") {
  parts_world world(4);
  world.Ask(kReplicas);
  Run(world, 20);
  world.CutOff(1, true);
  world.Cancel();
  Run(world, 60);
  CHECK(world.RunningAt(1).size() == 2);
  CHECK(!world.Told(outcome_kind::kFailed));
  world.CutOff(1, false);
  Run(world, 200);
  CHECK(world.Running().empty());
  CHECK(world.Told(outcome_kind::kFailed));
}

// Messages are lost, doubled and late, owners die, records fail, the caller asks again and perhaps
// cancels. A user would notice a replica that runs in two domains, or none at all after all is
// well.
TEST_CASE("spread service, any history of faults, never runs a replica twice and ends whole",
          "[parts]") {
  for (uint64_t seed = 1; seed <= kHistories; ++seed) {
    INFO("seed " << seed);
    parts_world world(seed);
    const bool with_losses = seed % 3 == 0;
    if (!with_losses && world.Below(3) == 0)
      world.SetQueueLimit(1 + static_cast<size_t>(world.Below(2)), 1);
    world.SetOdds(
        {world.Below(40), world.Below(40), world.Below(60), world.Below(30), world.Below(90)});
    world.Ask(kReplicas);
    bool cancelled = false;
    for (int i = 0; i < 60; ++i) {
      const int fault = world.Below(40);
      if (fault < 3) world.ReplaceOwner(static_cast<size_t>(fault));
      if (fault == 3 && !world.ToldOver()) world.Ask(kReplicas);
      if (fault == 6 && with_losses) world.LoseAndEvacuate(static_cast<size_t>(world.Below(3)));
      if (fault == 4) world.CutOff(static_cast<size_t>(world.Below(3)), world.Below(2) == 0);
      if (fault == 5 && seed % 4 == 0) {
        world.Cancel();
        cancelled = true;
      }
      world.Step(milliseconds{50 + world.Below(300)});
    }
    world.SetOdds({});
    for (size_t site = 0; site < kSites; ++site) world.CutOff(site, false);
    if (with_losses) world.ReplaceOwner(static_cast<size_t>(world.Below(3)));
    // What its caller was told is over stays over, whoever owns the shards by then.
    const bool over = world.ToldOver();
    if (!cancelled && !over) world.Ask(kReplicas);
    if (cancelled && !over) world.Cancel();
    Run(world, kHealingSteps);
    const bool refused = world.Outcomes().back().kind == outcome_kind::kRefused;
    REQUIRE_FALSE(world.RanTwice());
    if (cancelled || over || refused) {
      REQUIRE(world.Running().empty());
    } else {
      REQUIRE(EachRunsOnce(world, kReplicas));
    }
  }
}

// A shard changes hands while a part is placed there. The old owner turned the part away, and its
// word is late; the new owner has taken the part since. Believed, that word would have the home run
// the same replicas once more.
TEST_CASE("part keeper, refusal of an earlier sending, does not count", "[parts]") {
  part_keeper keeper(milliseconds{500});
  const request_id id{1, 1};
  monotonic_time now = monotonic_time{} + std::chrono::hours{1};
  keeper.Open(id, {"otaru/0"}, 100, now);
  std::vector<part_call> calls;
  keeper.Tick(now, calls);
  keeper.Tick(now + milliseconds{500}, calls);
  REQUIRE(calls.size() == 2);
  part_answer_message refusal;
  refusal.id = id;
  refusal.shard = "otaru/0";
  refusal.result = RejectedOutcome(id, rejection_reason::kNotDurable, {}, "");
  refusal.send = calls[0].send;
  CHECK(keeper.OnAnswer(refusal) == part_news::kNone);
  refusal.send = calls[1].send;
  CHECK(keeper.OnAnswer(refusal) == part_news::kRefused);
}

// A service is cancelled while the placement of one part is still on its way. Coming after the
// cancel, it would start replicas of a job that its caller was told is over.
TEST_CASE("spread service, part cancelled before it came, never starts", "[parts]") {
  parts_world world(5);
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
  world.At(1).Cancel("0@1", {part.id, part.shard, part.home, 6}, world.Now());
  Run(world, 20);
  world.At(1).Place("0@1", part, world.Now());
  Run(world, 20);
  CHECK(world.Running().empty());
}

// A domain is lost for good and an operator says so. Its replicas must run elsewhere, those of the
// service whose home it was as well; and when it comes back after all, nothing runs there again.
TEST_CASE("spread service, domain evacuated, runs elsewhere and stays there", "[parts]") {
  const auto lost = GENERATE(size_t{0}, size_t{1});
  parts_world world(6);
  world.Ask(kReplicas);
  Run(world, 20);
  world.LoseAndEvacuate(lost);
  Run(world, 40);
  CHECK(EachRunsOnce(world, kReplicas));
  CHECK(world.RunningAt(lost).empty());
  world.ReplaceOwner(lost);
  Run(world, 40);
  CHECK(EachRunsOnce(world, kReplicas));
  CHECK(world.RunningAt(lost).empty());
  world.Cancel();
  Run(world, 40);
  CHECK(world.Running().empty());
}

// A domain with batch work is lost. What had ended must not run again elsewhere, what may run again
// goes on in another domain, and of what may not, the caller is told that nobody knows.
TEST_CASE("evacuated shard, batch jobs, moves what is left and gives up what may run once",
          "[parts]") {
  team_names teams;
  shard_options options;
  options.name = "otaru/0";
  options.epoch = 3;
  options.is_evacuated = true;
  shard lost(options, teams);
  const monotonic_time now = monotonic_time{} + std::chrono::hours{1};
  restored_job again;
  again.spec.id = {1, 1};
  again.spec.team = "booking";
  again.spec.kind = workload_kind::kBatch;
  again.spec.each = {100, 100, 0, 1};
  again.spec.tasks = 4;
  again.done = {1};
  restored_job once = again;
  once.spec.id = {2, 2};
  once.spec.repeatable = false;
  lost.Restore({again, once}, now);
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

// Homes split by the free room in heartbeats, and find the parts of an evacuated domain by the word
// of an entry of another one. Left out of the message, all replicas would stand in one domain, and
// those of the evacuated one nowhere.
TEST_CASE("heartbeat, report of free room and of a shard elsewhere, arrives whole", "[parts]") {
  entry_word word;
  word.name = "otaru-0";
  word.incarnation = 1;
  word.beat = 1;
  shard_report own;
  own.shard = "otaru/0";
  own.epoch = 4;
  own.summary.free = {1000, 2000, 1, 3};
  shard_report evacuated;
  evacuated.shard = "asahikawa/0";
  evacuated.epoch = 9;
  word.shards = {own, evacuated};
  const auto read =
      DecodeBatch(EncodeBatch("otaru-0", {heartbeat_message{"otaru", false, {word}}}));
  REQUIRE(read.size() == 1);
  const auto& beat = std::get<heartbeat_message>(read.front().body);
  REQUIRE(beat.words.size() == 1);
  REQUIRE(beat.words.front().shards.size() == 2);
  CHECK(beat.words.front().shards[0].shard == "otaru/0");
  CHECK(beat.words.front().shards[0].summary.free == own.summary.free);
  CHECK(beat.words.front().shards[1].shard == "asahikawa/0");
}

TEST_CASE("job status, parts in several shards, is whole with all of them", "[parts]") {
  job_status status;
  status.Ask({"otaru/0", "sapporo-ch/0", "asahikawa/0"});
  status_answer home;
  home.shard = "sapporo-ch/0";
  home.known = true;
  home.progress.running = 2;
  home.parts = {{"otaru/0", 0, 2}, {"sapporo-ch/0", 2, 2}};
  status.Hear(home);
  CHECK(!status.IsWhole());
  CHECK(status.Response({1, 1}).body.find("\"heard\":false") != std::string::npos);
  status_answer part = home;
  part.shard = "otaru/0";
  part.home = "sapporo-ch/0";
  status.Hear(part);
  CHECK(status.IsWhole());
  CHECK(status.Response({1, 1}).body.find("\"running\":4") != std::string::npos);
}

}  // namespace catkinford
