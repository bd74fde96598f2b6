#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "version/contract_edit.h"

namespace catkinford {
namespace {

// One amount of a limit and its name in the contract.
struct named_amount {
  std::string_view name;
  uint64_t value;
};

std::vector<named_amount> AmountsOf(const resources& amount, uint32_t running) {
  return {{"cpu_milli", amount.cpu_milli},
          {"memory_mb", amount.memory_mb},
          {"accelerators", amount.accelerators},
          {"running", running}};
}

const team_contract* FindTeam(const configuration& config, const std::string& name) {
  for (const workspace_contract& workspace : config.workspaces) {
    for (const team_contract& team : workspace.teams) {
      if (team.name == name) return &team;
    }
  }
  return nullptr;
}

bool HasActiveKey(const std::vector<key_record>& keys) {
  return std::any_of(keys.begin(), keys.end(),
                     [](const key_record& key) { return !key.withdrawn; });
}

// Which amounts of `next` are below those of `before`, as text; empty if none.
std::string DescribeLowered(const std::vector<named_amount>& before,
                            const std::vector<named_amount>& next) {
  std::string text;
  for (size_t i = 0; i < next.size(); ++i) {
    if (next[i].value >= before[i].value) continue;
    absl::StrAppend(&text, text.empty() ? "" : ", ", std::string(next[i].name), " ",
                    before[i].value, " to ", next[i].value);
  }
  return text;
}

void AddTeamWarnings(const configuration& current, const team_contract& team,
                     std::vector<contract_warning>& warnings) {
  if (!HasActiveKey(team.keys)) {
    warnings.push_back({contract_warning_kind::kTeamWithoutKeys, team.name, ""});
  }
  if (team.kinds.empty()) warnings.push_back({contract_warning_kind::kNoKinds, team.name, ""});
  if (team.running_limit == 0 || team.limit.cpu_milli == 0 || team.limit.memory_mb == 0) {
    warnings.push_back({contract_warning_kind::kNothingMayRun, team.name, ""});
  }
  const team_contract* before = FindTeam(current, team.name);
  if (before == nullptr) return;
  std::string lowered = DescribeLowered(AmountsOf(before->limit, before->running_limit),
                                        AmountsOf(team.limit, team.running_limit));
  if (lowered.empty()) return;
  warnings.push_back({contract_warning_kind::kLimitLowered, team.name, std::move(lowered)});
}

void AddServiceWarnings(const configuration& next, const std::vector<service_usage>& services,
                        std::vector<contract_warning>& warnings) {
  for (const service_usage& usage : services) {
    const team_contract* team = FindTeam(next, usage.team);
    if (team == nullptr) continue;
    std::string lowered = DescribeLowered(AmountsOf(usage.amount, usage.running),
                                          AmountsOf(team->limit, team->running_limit));
    if (lowered.empty()) continue;
    warnings.push_back({contract_warning_kind::kLimitBelowRunning, team->name, std::move(lowered)});
  }
}

}  // namespace

std::string ToText(const contract_warning& warning) {
  switch (warning.kind) {
    case contract_warning_kind::kNoOperatorKey:
      return "no active operator key: nobody could change the configuration";
    case contract_warning_kind::kTeamWithoutKeys:
      return absl::StrCat("team ", warning.team, " has no active key");
    case contract_warning_kind::kNothingMayRun:
      return absl::StrCat("team ", warning.team, " has a limit of zero: nothing may run");
    case contract_warning_kind::kNoKinds:
      return absl::StrCat("team ", warning.team, " may submit no kind of work");
    case contract_warning_kind::kTeamRemoved:
      return absl::StrCat("team ", warning.team,
                          " is removed: its keys stop, what it has running drains");
    case contract_warning_kind::kLimitLowered:
      return absl::StrCat("team ", warning.team, " is lowered: ", warning.detail,
                          "; what runs above it drains first");
    case contract_warning_kind::kLimitBelowRunning:
      return absl::StrCat("team ", warning.team,
                          " has services running above its limit: ", warning.detail);
  }
  return {};
}

std::vector<contract_warning> WarningsOf(const configuration& current, const configuration& next,
                                         const std::vector<service_usage>& services) {
  std::vector<contract_warning> warnings;
  if (!HasActiveKey(next.operator_keys)) {
    warnings.push_back({contract_warning_kind::kNoOperatorKey, "", ""});
  }
  for (const workspace_contract& workspace : next.workspaces) {
    for (const team_contract& team : workspace.teams) AddTeamWarnings(current, team, warnings);
  }
  for (const workspace_contract& workspace : current.workspaces) {
    for (const team_contract& team : workspace.teams) {
      if (FindTeam(next, team.name) != nullptr) continue;
      warnings.push_back({contract_warning_kind::kTeamRemoved, team.name, ""});
    }
  }
  AddServiceWarnings(next, services, warnings);
  return warnings;
}

}  // namespace catkinford
