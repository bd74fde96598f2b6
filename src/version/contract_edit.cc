#include "version/contract_edit.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

constexpr std::array<std::string_view, 6> kFaultNames = {
    "none", "no_such_workspace", "no_such_team", "no_such_key", "name_taken", "last_operator_key"};

template <typename Named>
Named* FindNamed(std::vector<Named>& list, std::string_view name) {
  const auto found = std::find_if(list.begin(), list.end(),
                                  [name](const Named& each) { return each.name == name; });
  return found == list.end() ? nullptr : &*found;
}

team_contract* FindTeam(configuration& config, std::string_view team) {
  for (workspace_contract& workspace : config.workspaces) {
    if (team_contract* found = FindNamed(workspace.teams, team)) return found;
  }
  return nullptr;
}

std::vector<key_record>* KeysOf(configuration& config, std::string_view team) {
  if (team.empty()) return &config.operator_keys;
  team_contract* found = FindTeam(config, team);
  return found == nullptr ? nullptr : &found->keys;
}

// All of `known`, then the new ones of `read`; a key withdrawn in either is withdrawn.
std::vector<key_record> MergeKeys(std::vector<key_record> known,
                                  const std::vector<key_record>& read) {
  for (const key_record& key : read) {
    const auto same = std::find_if(known.begin(), known.end(), [&key](const key_record& each) {
      return each.salt == key.salt;
    });
    if (same == known.end()) {
      known.push_back(key);
    } else {
      same->withdrawn = same->withdrawn || key.withdrawn;
    }
  }
  return known;
}

}  // namespace

std::string_view ToText(edit_fault fault) { return kFaultNames[static_cast<size_t>(fault)]; }

configuration MergeContracts(const configuration& current, const configuration& file) {
  configuration merged = current;
  merged.operator_keys = MergeKeys(current.operator_keys, file.operator_keys);
  for (workspace_contract workspace : file.workspaces) {
    for (team_contract& team : workspace.teams) {
      if (const team_contract* known = FindTeam(merged, team.name)) {
        team.keys = MergeKeys(known->keys, team.keys);
      }
    }
    if (workspace_contract* known = FindNamed(merged.workspaces, workspace.name)) {
      *known = std::move(workspace);
    } else {
      merged.workspaces.push_back(std::move(workspace));
    }
  }
  return merged;
}

configuration RestoreContracts(const configuration& current, const configuration& past) {
  configuration restored = current;
  restored.workspaces = past.workspaces;
  configuration known = current;
  for (workspace_contract& workspace : restored.workspaces) {
    for (team_contract& team : workspace.teams) {
      for (key_record& key : team.keys) key.withdrawn = true;
      const team_contract* present = FindTeam(known, team.name);
      if (present == nullptr) continue;
      std::vector<key_record> keys = present->keys;
      for (const key_record& key : team.keys) {
        if (FindNamed(keys, key.name) == nullptr) keys.push_back(key);
      }
      team.keys = std::move(keys);
    }
  }
  return restored;
}

edit_fault RemoveWorkspace(configuration& config, std::string_view workspace) {
  const auto removed =
      std::erase_if(config.workspaces,
                    [workspace](const workspace_contract& each) { return each.name == workspace; });
  return removed == 0 ? edit_fault::kNoSuchWorkspace : edit_fault::kNone;
}

edit_fault AddKey(configuration& config, std::string_view team, const key_record& key) {
  std::vector<key_record>* keys = KeysOf(config, team);
  if (keys == nullptr) return edit_fault::kNoSuchTeam;
  if (FindNamed(*keys, key.name) != nullptr) return edit_fault::kNameTaken;
  keys->push_back(key);
  keys->back().is_operator = team.empty();
  return edit_fault::kNone;
}

edit_fault WithdrawKey(configuration& config, std::string_view team, std::string_view name) {
  std::vector<key_record>* keys = KeysOf(config, team);
  if (keys == nullptr) return edit_fault::kNoSuchTeam;
  key_record* key = FindNamed(*keys, name);
  if (key == nullptr) return edit_fault::kNoSuchKey;
  const auto active = std::count_if(keys->begin(), keys->end(),
                                    [](const key_record& each) { return !each.withdrawn; });
  // Without an operator's key, one could be added only by editing the platform's store by hand.
  if (team.empty() && !key->withdrawn && active == 1) return edit_fault::kLastOperatorKey;
  key->withdrawn = true;
  return edit_fault::kNone;
}

bool DrainEndpoint(configuration& config, const std::string& endpoint) {
  std::vector<std::string>& names = config.drained_endpoints;
  const auto place = std::lower_bound(names.begin(), names.end(), endpoint);
  if (place != names.end() && *place == endpoint) return false;
  names.insert(place, endpoint);
  return true;
}

bool UndrainEndpoint(configuration& config, const std::string& endpoint) {
  return std::erase(config.drained_endpoints, endpoint) > 0;
}

}  // namespace catkinford
