// `catkinford-bench grants`: how often the ledger is written, and how much lies unused, for each
// size of a step.
#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "nlohmann/json.hpp"
#include "version/grant_holder.h"

ABSL_FLAG(uint32_t, grant_teams, 6, "grants: how many teams");
ABSL_FLAG(uint32_t, grant_shards, 3, "grants: how many shards");

ABSL_FLAG(uint32_t, grant_slack, catkinford::grant_policy{}.slack_part,
          "grants: a grant runs ahead by at least this part of the demand");

namespace catkinford {
namespace {

constexpr std::array<uint32_t, 6> kSteps = {8, 16, 32, 64, 128, 256};
constexpr uint32_t kLimit = 3000;     // running tasks of a team
constexpr uint32_t kChanges = 20000;  // of demand, over all teams and shards
constexpr double kSpread = 0.04;      // of a demand, from one change to the next
constexpr double kMoveEvery = 0.002;  // changes that move a shard's demand to a new level
constexpr uint32_t kTaskCpu = 1000;
constexpr uint32_t kTaskMemory = 1024;

team_grant Tasks(uint32_t count) { return {{count * kTaskCpu, count * kTaskMemory, 0, 0}, count}; }

// The store: one value for each key, by revision.
struct stored_value {
  uint64_t revision = 0;
  std::string value;
};

struct sweep_figures {
  uint64_t writes = 0;
  uint64_t conflicts = 0;
  uint64_t bytes = 0;  // of values written
  double unmet = 0;    // part of the demand over what may be used, though the limit had room
  double idle = 0;     // part of the limit that is held and not wanted
};

// Demands of every team in every shard: they swing about a level, and the level moves now and then.
class demand_model {
 public:
  demand_model(uint64_t seed, size_t count, double mean)
      : random_(seed), levels_(count, mean), mean_(mean) {}

  uint32_t Next(size_t which) {
    if (std::uniform_real_distribution<>(0, 1)(random_) < kMoveEvery) {
      levels_[which] = std::uniform_real_distribution<>(0, mean_ * 2)(random_);
    }
    const double wanted =
        std::normal_distribution<>(levels_[which], levels_[which] * kSpread)(random_);
    return static_cast<uint32_t>(std::max(0.0, wanted));
  }
  size_t Pick() { return std::uniform_int_distribution<size_t>(0, levels_.size() - 1)(random_); }

 private:
  std::mt19937_64 random_;
  std::vector<double> levels_;
  double mean_;
};

class grant_sweep {
 public:
  grant_sweep(uint32_t steps, size_t teams, size_t shards, uint64_t seed)
      : teams_(teams),
        shards_(shards),
        wanted_(teams * shards, 0),
        demands_(seed, teams * shards, kLimit * 0.6 / static_cast<double>(shards)) {
    config_.workspaces.push_back({"w", {}});
    for (size_t i = 0; i < teams; ++i) {
      team_contract& team = config_.workspaces[0].teams.emplace_back();
      team.name = absl::StrCat("team-", i);
      team.limit = Tasks(kLimit).amount;
      team.running_limit = kLimit;
    }
    for (size_t i = 0; i < shards; ++i) {
      holders_.emplace_back(absl::StrCat("domain/", i), 1,
                            grant_policy{steps, absl::GetFlag(FLAGS_grant_slack), true});
    }
  }

  sweep_figures Run() {
    for (size_t i = 0; i < wanted_.size(); ++i) wanted_[i] = demands_.Next(i);
    for (size_t shard = 0; shard < shards_; ++shard) Settle(shard);
    figures_ = {};  // the first grants of all are not the steady state
    for (uint32_t change = 0; change < kChanges; ++change) {
      const size_t which = demands_.Pick();
      wanted_[which] = demands_.Next(which);
      Settle(which % shards_);
      Account(which);
    }
    figures_.unmet /= kChanges;
    figures_.idle /= kChanges;
    return figures_;
  }

 private:
  // Plans until nothing is to be written; a conflict brings the present value and is planned again.
  void Settle(size_t shard) {
    std::vector<grant_demand> demands;
    for (size_t team = 0; team < teams_; ++team) {
      const team_grant wanted = Tasks(wanted_[team * shards_ + shard]);
      demands.push_back({config_.workspaces[0].teams[team].name, wanted, wanted});
    }
    constexpr int kRounds = 4;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<grant_write> writes;
      holders_[shard].Plan(config_, demands, true, writes);
      if (writes.empty()) return;
      for (const grant_write& write : writes) holders_[shard].OnReply(write.key, Swap(write));
    }
  }

  store_reply Swap(const grant_write& write) {
    stored_value& stored = store_[write.key];
    ++figures_.writes;
    store_reply reply;
    if (write.expect != stored.revision) {
      ++figures_.conflicts;
      reply.status = store_status::kConflict;
      reply.items = {{write.key, stored.value, stored.revision}};
      return reply;
    }
    stored = {++revision_, write.value};
    figures_.bytes += write.value.size();
    reply.status = store_status::kDone;
    reply.revision = revision_;
    return reply;
  }

  void Account(size_t which) {
    const std::string& team = config_.workspaces[0].teams[which / shards_].name;
    uint32_t usable = 0;
    for (const grant_entry& entry : holders_[which % shards_].Usable(config_)) {
      if (entry.team == team) usable = entry.grant.running;
    }
    const uint32_t wanted = wanted_[which];
    if (wanted > usable) figures_.unmet += 1.0 - static_cast<double>(usable) / wanted;
    if (usable > wanted) figures_.idle += static_cast<double>(usable - wanted) / kLimit;
  }

  size_t teams_;
  size_t shards_;
  std::vector<uint32_t> wanted_;
  demand_model demands_;
  configuration config_;
  std::vector<grant_holder> holders_;
  std::map<std::string, stored_value> store_;
  uint64_t revision_ = 0;
  sweep_figures figures_;
};

}  // namespace

int GrantsMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const size_t teams = absl::GetFlag(FLAGS_grant_teams);
  const size_t shards = absl::GetFlag(FLAGS_grant_shards);
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  nlohmann::json report = nlohmann::json::array();
  std::printf("%zu teams, %zu shards, %u changes of demand\n", teams, shards, kChanges);
  std::puts("steps  writes/1000  conflicts/1000  bytes/write  unmet %  idle % of limit a shard");
  for (const uint32_t steps : kSteps) {
    const sweep_figures figures = grant_sweep(steps, teams, shards, seed).Run();
    const double thousands = kChanges / 1000.0;
    const uint64_t taken = std::max<uint64_t>(figures.writes - figures.conflicts, 1);
    std::printf("%5u  %11.1f  %14.1f  %11lu  %7.3f  %7.2f\n", steps,
                static_cast<double>(figures.writes) / thousands,
                static_cast<double>(figures.conflicts) / thousands, figures.bytes / taken,
                figures.unmet * 100, figures.idle * 100);
    report.push_back({{"steps", steps},
                      {"writes_per_1000", static_cast<double>(figures.writes) / thousands},
                      {"conflicts_per_1000", static_cast<double>(figures.conflicts) / thousands},
                      {"bytes_per_write", figures.bytes / taken},
                      {"unmet", figures.unmet},
                      {"idle", figures.idle}});
  }
  if (!absl::GetFlag(FLAGS_json).empty()) {
    const nlohmann::json all = {
        {"seed", seed}, {"teams", teams}, {"shards", shards}, {"sweep", report}};
    std::ofstream(absl::GetFlag(FLAGS_json)) << all.dump(1) << '\n';
  }
  return 0;
}

}  // namespace catkinford
