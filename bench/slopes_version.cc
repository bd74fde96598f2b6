// Slopes of what lives as long as one configuration version: contract, keys, grant ledger.
#include <string>
#include <variant>

#include "absl/strings/str_cat.h"
#include "bench/slope.h"
#include "version/contract.h"
#include "version/grant_ledger.h"
#include "version/key_ring.h"

namespace catkinford {
namespace {

constexpr uint32_t kTargetTeams = 170;
constexpr uint32_t kTeamsPerWorkspace = 10;
constexpr uint32_t kKeysPerTeam = 4;
constexpr resources kTeamLimit{400000, 800000, 16, 0};

std::string Numbered(const char* prefix, uint32_t number) { return absl::StrCat(prefix, number); }

key_record MakeRecord(uint32_t number) {
  key_record record;
  record.name = Numbered("key-", number);
  record.salt = absl::StrCat(absl::Hex(number, absl::kZeroPad16));
  record.hash = std::string(64, 'a');
  return record;
}

team_contract MakeTeam(uint32_t number, uint32_t keys) {
  team_contract team;
  team.name = Numbered("team-", number);
  team.share = 0.5;
  team.limit = kTeamLimit;
  team.running_limit = 4000;
  team.kinds = {workload_kind::kInteractive, workload_kind::kService, workload_kind::kBatch,
                workload_kind::kGang};
  team.urgent_kinds = {workload_kind::kInteractive};
  for (uint32_t i = 0; i < keys; ++i) team.keys.push_back(MakeRecord(number * keys + i));
  return team;
}

configuration MakeConfiguration(uint32_t teams, uint32_t keys_per_team) {
  configuration config;
  for (uint32_t i = 0; i < teams; ++i) {
    if (i % kTeamsPerWorkspace == 0) {
      config.workspaces.push_back({Numbered("workspace-", i / kTeamsPerWorkspace), {}});
    }
    config.workspaces.back().teams.push_back(MakeTeam(i, keys_per_team));
  }
  return config;
}

configuration WithTeams(double teams) {
  return MakeConfiguration(static_cast<uint32_t>(teams), kKeysPerTeam);
}

configuration WithKeys(double keys) {
  return MakeConfiguration(kTargetTeams, static_cast<uint32_t>(keys) / kTargetTeams);
}

double ConfigTextBytesOfTeams(double teams) {
  return static_cast<double>(ToText(WithTeams(teams)).size());
}

double ConfigTextBytesOfKeys(double keys) {
  return static_cast<double>(ToText(WithKeys(keys)).size());
}

double ConfigCpu(double keys) {
  const std::string text = ToText(WithKeys(keys));
  return CpuOf([&] {
    const auto parsed = ParseConfiguration(text);
    const key_ring ring(std::get<configuration>(parsed));
  });
}

double ConfigMemory(double keys) {
  return HeapOf([&] { return WithKeys(keys); });
}

double KeyRingMemory(double keys) {
  const configuration config = WithKeys(keys);
  return HeapOf([&] { return key_ring(config); });
}

double KeyCheckCpu(double calls) {
  configuration config = WithTeams(kTargetTeams);
  const new_key key = MakeKey("bench", false);
  config.workspaces[0].teams[0].keys.push_back(key.record);
  const key_ring ring(config);
  return CpuOf([&] {
    for (int i = 0; i < static_cast<int>(calls); ++i) {
      if (!ring.Find(key.secret)) return;
    }
  });
}

// One entry for each of 170 teams in each of `entries` / 170 shards.
ledger_value MakeLedger(double entries) {
  ledger_value ledger;
  const auto shards = static_cast<uint32_t>(entries) / kTargetTeams;
  for (uint32_t team = 0; team < kTargetTeams; ++team) {
    for (uint32_t shard = 0; shard < shards; ++shard) {
      grant_entry entry;
      entry.team = absl::StrCat("team-", absl::Dec(team, absl::kZeroPad3));
      entry.shard = absl::StrCat("domain-0/", absl::Dec(shard, absl::kZeroPad3));
      entry.grant = {{kTeamLimit.cpu_milli / shards, kTeamLimit.memory_mb / shards, 1, 0}, 40};
      ledger.entries.push_back(entry);
    }
  }
  return ledger;
}

double LedgerBytes(double entries) {
  return static_cast<double>(ToText(MakeLedger(entries)).size());
}

// One shard reads the value, plans for every team and prints the next value.
double LedgerCpu(double entries) {
  const configuration config = MakeConfiguration(kTargetTeams, kKeysPerTeam);
  const std::string text = ToText(MakeLedger(entries));
  std::vector<grant_demand> demands;
  for (uint32_t team = 0; team < kTargetTeams; ++team) {
    const std::string name = absl::StrCat("team-", absl::Dec(team, absl::kZeroPad3));
    demands.push_back({name, {{1000, 1000, 0, 1}, 1}, {{100000, 1000, 0, 9}, 9}});
  }
  return CpuOf([&] {
    const auto ledger = ParseLedger(text);
    const auto change = PlanGrants(*ledger, config, "domain-0/000", demands);
    const std::string next = ToText(change.next);
  });
}

// The plan alone, of one shard for every team, when nothing changes.
double PlanCpu(double entries) {
  const configuration config = MakeConfiguration(kTargetTeams, kKeysPerTeam);
  const ledger_value ledger = MakeLedger(entries);
  std::vector<grant_demand> demands;
  for (const grant_entry& entry : GrantsOf(ledger, "domain-0/000")) {
    demands.push_back({entry.team, entry.grant, entry.grant});
  }
  return CpuOf([&] { PlanGrants(ledger, config, "domain-0/000", demands); });
}

}  // namespace

std::vector<slope_question> VersionSlopes() {
  const std::vector<double> teams = {10, 40, 80, 170};
  const std::vector<double> keys = {170, 680, 1700, 6800};
  const std::vector<double> entries = {170, 850, 1530, 4590, 9180};
  return {
      {"config.text_per_team", "bytes", "team with 4 keys", teams, ConfigTextBytesOfTeams,
       "ToText(configuration): the value in the store"},
      {"config.text_per_key", "bytes", "key", keys, ConfigTextBytesOfKeys,
       "ToText(configuration), 170 teams: the value in the store"},
      {"config.take_over_cpu", "us", "key", keys, ConfigCpu,
       "ParseConfiguration and key_ring for one new version, 170 teams"},
      {"config.memory", "bytes", "key", keys, ConfigMemory, "configuration in memory, 170 teams"},
      {"key_ring.memory", "bytes", "key", keys, KeyRingMemory, "key_ring in memory"},
      {"key_ring.check_cpu",
       "us",
       "call",
       {2000, 5000, 10000, 20000},
       KeyCheckCpu,
       "key_ring::Find of a good key, 681 keys"},
      {"ledger.text", "bytes", "team in a shard", entries, LedgerBytes,
       "ToText(ledger_value): the value in the store"},
      {"ledger.plan_alone_cpu", "us", "team in a shard", entries, PlanCpu,
       "PlanGrants for 170 teams, nothing to change"},
      {"ledger.plan_cpu", "us", "team in a shard", entries, LedgerCpu,
       "ParseLedger, PlanGrants for 170 teams, ToText"},
  };
}

}  // namespace catkinford
