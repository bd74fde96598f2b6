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
constexpr int kHistories = 1500;
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
    if (world.Below(3) == 0) world.SetQueueLimit(1 + static_cast<size_t>(world.Below(2)), 1);
    world.SetOdds(
        {world.Below(40), world.Below(40), world.Below(60), world.Below(30), world.Below(90)});
    world.Ask(kReplicas);
    bool cancelled = false;
    for (int i = 0; i < 60; ++i) {
      const int fault = world.Below(40);
      if (fault < 3) world.ReplaceOwner(static_cast<size_t>(fault));
      if (fault == 3 && !world.ToldOver()) world.Ask(kReplicas);
      if (fault == 4) world.CutOff(static_cast<size_t>(world.Below(3)), world.Below(2) == 0);
      if (fault == 5 && seed % 4 == 0) {
        world.Cancel();
        cancelled = true;
      }
      world.Step(milliseconds{50 + world.Below(300)});
    }
    world.SetOdds({});
    for (size_t site = 0; site < kSites; ++site) world.CutOff(site, false);
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
  refusal.result = RefusedOutcome(id, refusal_reason::kNotDurable, {}, "");
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
