// Dense indices of teams. An index is never reused, so a late report about a team that was removed
// from the contract is not attributed to another team.
#ifndef CATKINFORD_PROCESS_TEAM_NAMES_H_
#define CATKINFORD_PROCESS_TEAM_NAMES_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "request/job_request.h"

namespace catkinford {

class team_names {
 public:
  team_index IndexOf(const std::string& name) {
    const auto [found, added] = index_.try_emplace(name, static_cast<team_index>(names_.size()));
    if (added) names_.push_back(name);
    return found->second;
  }
  const std::string& NameOf(team_index team) const { return names_[team]; }
  team_index Size() const { return static_cast<team_index>(names_.size()); }

 private:
  absl::flat_hash_map<std::string, team_index> index_;
  std::vector<std::string> names_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_TEAM_NAMES_H_
