// A contract with keys for benches and scenarios.
#ifndef CATKINFORD_BENCH_CONTRACT_MAKER_H_
#define CATKINFORD_BENCH_CONTRACT_MAKER_H_

#include <map>
#include <string>
#include <vector>

#include "version/contract.h"

namespace catkinford {

struct team_access {
  std::string team;
  std::string key_name;
  std::string secret;
};

struct made_contract {
  configuration config;
  std::vector<team_access> teams;
  std::string operator_secret;
};

// `teams` teams in two workspaces with equal shares, each allowed everything and limited to
// `limit` and `running`.
made_contract MakeContract(size_t teams, const resources& limit, uint32_t running);

// The team of that name, for a change of its terms or keys.
team_contract* FindTeam(configuration& config, const std::string& name);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_CONTRACT_MAKER_H_
