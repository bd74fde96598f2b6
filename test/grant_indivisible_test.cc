#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "version/grant_ledger.h"

namespace catkinford {
namespace {

// A team limited to ten running tasks, with a waiting gang of four in each of three shards.
class grant_indivisible_fixture {
 public:
  grant_indivisible_fixture() {
    config_.workspaces.resize(1);
    team_contract team;
    team.name = "audit";
    team.limit = {100000, 100000, 0, 0};
    team.running_limit = 10;
    config_.workspaces[0].teams.push_back(team);
  }

 protected:
  static grant_demand Demand(uint32_t gangs) {
    grant_demand demand;
    demand.team = "audit";
    demand.wanted.running = gangs * 4;
    if (gangs > 0) demand.indivisible.running = 4;
    return demand;
  }

  // Lets each shard plan in turn, several times.
  void PlanInTurn(const std::vector<uint32_t>& gangs) {
    for (int round = 0; round < 6; ++round) {
      for (size_t i = 0; i < gangs.size(); ++i) {
        ledger_ = PlanGrants(ledger_, config_, ShardOf(i), {Demand(gangs[i])}).next;
      }
    }
  }

  static std::string ShardOf(size_t number) { return "shard-" + std::to_string(number); }

  uint32_t GrantOf(size_t number) const {
    for (const grant_entry& entry : ledger_.entries) {
      if (entry.shard == ShardOf(number)) return entry.grant.running;
    }
    return 0;
  }

  configuration config_;
  ledger_value ledger_;
};

}  // namespace

// A limit is lowered so far that an equal part of it is smaller than a gang. With equal parts every
// shard holds three of ten, no gang of four ever starts, and the team waits forever beside its own
// unused limit (seen in a simulation with seed 1).
TEST_CASE_METHOD(grant_indivisible_fixture,
                 "grants, gang larger than an equal part, goes to one shard", "[grants]") {
  PlanInTurn({1, 1, 1});
  CHECK(GrantOf(0) == 4);
  CHECK(GrantOf(0) + GrantOf(1) + GrantOf(2) <= 10);
  PlanInTurn({0, 1, 1});
  CHECK(GrantOf(1) >= 4);
  PlanInTurn({0, 0, 1});
  CHECK(GrantOf(2) >= 4);
}

// Guards against shards that answer each other's plans forever, which costs a store write each
// time.
TEST_CASE_METHOD(grant_indivisible_fixture,
                 "grants, every shard wants more than its part, converge", "[grants]") {
  const std::vector<std::vector<uint32_t>> cases = {{1, 1, 1}, {5, 5, 5}, {0, 9, 9}, {9, 0, 1}};
  for (const std::vector<uint32_t>& gangs : cases) {
    PlanInTurn(gangs);
    for (size_t i = 0; i < gangs.size(); ++i) {
      CHECK_FALSE(PlanGrants(ledger_, config_, ShardOf(i), {Demand(gangs[i])}).changed);
    }
  }
}

TEST_CASE_METHOD(grant_indivisible_fixture,
                 "grants, ledger with an indivisible demand, reads back as written", "[grants]") {
  PlanInTurn({1, 1, 1});
  const auto read = ParseLedger(ToText(ledger_));
  REQUIRE(read);
  CHECK(read->entries == ledger_.entries);
}

}  // namespace catkinford
