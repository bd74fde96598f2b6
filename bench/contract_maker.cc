#include "bench/contract_maker.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "version/key_ring.h"

namespace catkinford {
namespace {

constexpr double kMaxTotalShare = 100.0;  // per cent
constexpr uint32_t kQueueLimit = 20000;   // waiting tasks of a team in a shard

}  // namespace

made_contract MakeContract(size_t teams, const resources& limit, uint32_t running) {
  made_contract made;
  made.config.workspaces = {{"kitamura", {}}, {"altynsay", {}}};
  for (size_t i = 0; i < teams; ++i) {
    new_key key = MakeKey("first", false);
    team_contract team;
    team.name = absl::StrCat("team-", i);
    team.share = kMaxTotalShare / static_cast<double>(teams);
    team.limit = limit;
    team.limit.slots = 0;
    team.running_limit = running;
    team.queue_limit = kQueueLimit;
    team.kinds = {workload_kind::kInteractive, workload_kind::kService, workload_kind::kBatch,
                  workload_kind::kGang};
    team.urgent_kinds = {workload_kind::kInteractive};
    team.keys = {key.record};
    made.teams.push_back({team.name, key.record.name, key.secret});
    made.config.workspaces[i % 2].teams.push_back(std::move(team));
  }
  new_key key = MakeKey("operator", true);
  made.config.operator_keys = {key.record};
  made.operator_secret = key.secret;
  return made;
}

team_contract* FindTeam(configuration& config, const std::string& name) {
  for (workspace_contract& workspace : config.workspaces) {
    for (team_contract& team : workspace.teams) {
      if (team.name == name) return &team;
    }
  }
  return nullptr;
}

}  // namespace catkinford
