#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "version/contract_edit.h"

namespace catkinford {
namespace {

constexpr size_t kMaxParts = 5;  // the line is sent with each version

template <typename Named>
const Named* FindNamed(const std::vector<Named>& list, const std::string& name) {
  const auto found = std::find_if(list.begin(), list.end(),
                                  [&name](const Named& each) { return each.name == name; });
  return found == list.end() ? nullptr : &*found;
}

void SummarizeKeys(const std::string& owner, const std::vector<key_record>& before,
                   const std::vector<key_record>& after, std::vector<std::string>& parts) {
  for (const key_record& key : after) {
    const key_record* known = FindNamed(before, key.name);
    const bool was_active = known != nullptr && !known->withdrawn;
    if (was_active == !key.withdrawn) continue;
    parts.push_back(
        absl::StrCat("key ", key.name, " of ", owner, key.withdrawn ? " withdrawn" : " granted"));
  }
  for (const key_record& key : before) {
    if (FindNamed(after, key.name) != nullptr) continue;
    parts.push_back(absl::StrCat("key ", key.name, " of ", owner, " removed"));
  }
}

void SummarizeTeam(const team_contract& before, const team_contract& after,
                   std::vector<std::string>& parts) {
  std::vector<std::string> fields;
  if (before.share != after.share) fields.emplace_back("share");
  const resources& old_limit = before.limit;
  const resources& new_limit = after.limit;
  if (old_limit.cpu_milli != new_limit.cpu_milli || old_limit.memory_mb != new_limit.memory_mb ||
      old_limit.accelerators != new_limit.accelerators ||
      before.running_limit != after.running_limit) {
    fields.emplace_back("limit");
  }
  if (before.queue_limit != after.queue_limit) fields.emplace_back("queue_limit");
  if (before.kinds != after.kinds) fields.emplace_back("kinds");
  if (before.urgent_kinds != after.urgent_kinds) fields.emplace_back("urgent_kinds");
  if (!fields.empty())
    parts.push_back(absl::StrCat(absl::StrJoin(fields, "+"), " of ", after.name));
  SummarizeKeys(after.name, before.keys, after.keys, parts);
}

void SummarizeWorkspace(const workspace_contract& before, const workspace_contract& after,
                        std::vector<std::string>& parts) {
  for (const team_contract& team : after.teams) {
    if (const team_contract* known = FindNamed(before.teams, team.name)) {
      SummarizeTeam(*known, team, parts);
    } else {
      parts.push_back(absl::StrCat("team ", team.name, " added"));
    }
  }
  for (const team_contract& team : before.teams) {
    if (FindNamed(after.teams, team.name) == nullptr) {
      parts.push_back(absl::StrCat("team ", team.name, " removed"));
    }
  }
}

void SummarizeDrains(const std::vector<std::string>& before, const std::vector<std::string>& after,
                     std::vector<std::string>& parts) {
  for (const std::string& name : after) {
    if (std::find(before.begin(), before.end(), name) == before.end()) {
      parts.push_back(absl::StrCat("endpoint ", name, " drained"));
    }
  }
  for (const std::string& name : before) {
    if (std::find(after.begin(), after.end(), name) == after.end()) {
      parts.push_back(absl::StrCat("endpoint ", name, " no longer drained"));
    }
  }
}

}  // namespace

std::string SummarizeChanges(const configuration& current, const configuration& next) {
  std::vector<std::string> parts;
  SummarizeKeys("operators", current.operator_keys, next.operator_keys, parts);
  for (const workspace_contract& workspace : next.workspaces) {
    if (const workspace_contract* known = FindNamed(current.workspaces, workspace.name)) {
      SummarizeWorkspace(*known, workspace, parts);
    } else {
      parts.push_back(absl::StrCat("workspace ", workspace.name, " added"));
    }
  }
  for (const workspace_contract& workspace : current.workspaces) {
    if (FindNamed(next.workspaces, workspace.name) == nullptr) {
      parts.push_back(absl::StrCat("workspace ", workspace.name, " removed"));
    }
  }
  SummarizeDrains(current.drained_endpoints, next.drained_endpoints, parts);
  const size_t more = parts.size() > kMaxParts ? parts.size() - kMaxParts : 0;
  parts.resize(parts.size() - more);
  const std::string text = absl::StrJoin(parts, ", ");
  return more == 0 ? text : absl::StrCat(text, " and ", more, " more");
}

}  // namespace catkinford
