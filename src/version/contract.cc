#include "version/contract.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "version/json_reader.h"

namespace catkinford {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr double kMaxTotalShare = 100.0;  // per cent
constexpr double kShareTolerance = 1e-6;  // per cent; sums such as 3 x 33.333333
constexpr double kMinShare = 0.001;       // per cent
constexpr size_t kSaltDigits = 16;
constexpr size_t kHashDigits = 64;
constexpr uint32_t kMaxLimitAmount = 4000000000;  // of a limit
constexpr uint32_t kMaxQueueLimit = 1000000;      // waiting tasks of a team in one shard
constexpr uint32_t kDefaultQueueLimit = 1000;

constexpr size_t kMaxEndpointNameLength = 128;

constexpr std::array<std::string_view, 8> kFaultNames = {
    "not_json",     "unknown_field",  "missing_field", "wrong_type",
    "out_of_range", "duplicate_name", "unknown_kind",  "shares_over_whole"};

// Names that must be unique within one scope.
using name_set = absl::flat_hash_set<std::string>;

bool IsEndpointName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxEndpointNameLength &&
         std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

// Reads one document.
class configuration_reader {
 public:
  configuration Read(const json& document);
  const first_contract_error& Faults() const { return faults_; }

 private:
  void ReadWorkspace(const json& value, const std::string& path, workspace_contract& workspace);
  void ReadTeam(const json& value, const std::string& path, team_contract& team);
  void ReadLimit(const json& value, const std::string& path, team_contract& team);
  void ReadKeys(const json* values, const std::string& path, bool is_operator,
                std::vector<key_record>& keys);
  std::vector<workload_kind> ReadKinds(const json* values, const std::string& path);
  void ReadDrained(const json* values, const std::string& path, std::vector<std::string>& names);
  void CheckUrgentKinds(const team_contract& team, const std::string& path);
  void CheckUnique(name_set& names, const std::string& name, const std::string& path);

  first_contract_error faults_;
  name_set workspace_names_;
  name_set team_names_;
  name_set salts_;
  double share_sum_ = 0;
};

void configuration_reader::CheckUnique(name_set& names, const std::string& name,
                                       const std::string& path) {
  if (!names.insert(name).second) faults_.Add(contract_fault::kDuplicateName, path, name);
}

void configuration_reader::ReadKeys(const json* values, const std::string& path, bool is_operator,
                                    std::vector<key_record>& keys) {
  if (values == nullptr) return;
  name_set names;
  for (size_t i = 0; i < values->size(); ++i) {
    const std::string key_path = absl::StrCat(path, "[", i, "]");
    json_object_reader reader((*values)[i], key_path, faults_);
    key_record key;
    key.name = reader.Name("name");
    key.salt = reader.Hex("salt", kSaltDigits);
    key.hash = reader.Hex("hash", kHashDigits);
    key.withdrawn = reader.Flag("withdrawn", false);
    key.is_operator = is_operator;
    reader.RejectUnknownFields();
    CheckUnique(names, key.name, reader.PathOf("name"));
    CheckUnique(salts_, key.salt, reader.PathOf("salt"));
    keys.push_back(std::move(key));
  }
}

std::vector<workload_kind> configuration_reader::ReadKinds(const json* values,
                                                           const std::string& path) {
  std::vector<workload_kind> kinds;
  if (values == nullptr) return kinds;
  for (size_t i = 0; i < values->size(); ++i) {
    const json& value = (*values)[i];
    const std::string kind_path = absl::StrCat(path, "[", i, "]");
    if (!value.is_string()) {
      faults_.Add(contract_fault::kWrongType, kind_path, Excerpt(value));
      continue;
    }
    const std::optional<workload_kind> kind =
        ParseWorkloadKind(value.get_ref<const std::string&>());
    if (!kind) {
      faults_.Add(contract_fault::kUnknownKind, kind_path, Excerpt(value));
      continue;
    }
    if (std::find(kinds.begin(), kinds.end(), *kind) != kinds.end()) {
      faults_.Add(contract_fault::kDuplicateName, kind_path, Excerpt(value));
    }
    kinds.push_back(*kind);
  }
  return kinds;
}

void configuration_reader::ReadLimit(const json& value, const std::string& path,
                                     team_contract& team) {
  json_object_reader reader(value, path, faults_);
  team.limit.cpu_milli = reader.Count("cpu_milli", kMaxLimitAmount, std::nullopt);
  team.limit.memory_mb = reader.Count("memory_mb", kMaxLimitAmount, std::nullopt);
  team.limit.accelerators = reader.Count("accelerators", kMaxLimitAmount, 0);
  team.running_limit = reader.Count("running", kMaxLimitAmount, std::nullopt);
  reader.RejectUnknownFields();
}

// Urgent work of a kind that the team may not submit is an operator's mistake. It is reported when
// the document is checked, not when the urgent work is rejected.
void configuration_reader::CheckUrgentKinds(const team_contract& team, const std::string& path) {
  for (size_t i = 0; i < team.urgent_kinds.size(); ++i) {
    const workload_kind kind = team.urgent_kinds[i];
    if (std::find(team.kinds.begin(), team.kinds.end(), kind) != team.kinds.end()) continue;
    faults_.Add(contract_fault::kUnknownKind, absl::StrCat(path, "[", i, "]"),
                std::string(ToText(kind)));
  }
}

void configuration_reader::ReadTeam(const json& value, const std::string& path,
                                    team_contract& team) {
  json_object_reader reader(value, path, faults_);
  team.name = reader.Name("name");
  CheckUnique(team_names_, team.name, reader.PathOf("name"));
  team.share = reader.Number("share", kMinShare, kMaxTotalShare);
  share_sum_ += team.share;
  if (share_sum_ > kMaxTotalShare + kShareTolerance) {
    faults_.Add(contract_fault::kSharesOverWhole, reader.PathOf("share"),
                absl::StrCat(share_sum_, " together"));
  }
  if (const json* limit = reader.Object("limit"); limit != nullptr) {
    ReadLimit(*limit, reader.PathOf("limit"), team);
  }
  team.queue_limit = reader.Count("queue_limit", kMaxQueueLimit, kDefaultQueueLimit);
  team.kinds = ReadKinds(reader.Array("kinds", true), reader.PathOf("kinds"));
  team.urgent_kinds = ReadKinds(reader.Array("urgent_kinds", false), reader.PathOf("urgent_kinds"));
  CheckUrgentKinds(team, reader.PathOf("urgent_kinds"));
  ReadKeys(reader.Array("keys", false), reader.PathOf("keys"), false, team.keys);
  reader.RejectUnknownFields();
}

void configuration_reader::ReadWorkspace(const json& value, const std::string& path,
                                         workspace_contract& workspace) {
  json_object_reader reader(value, path, faults_);
  workspace.name = reader.Name("name");
  CheckUnique(workspace_names_, workspace.name, reader.PathOf("name"));
  const json* teams = reader.Array("teams", true);
  for (size_t i = 0; teams != nullptr && i < teams->size(); ++i) {
    ReadTeam((*teams)[i], absl::StrCat(reader.PathOf("teams"), "[", i, "]"),
             workspace.teams.emplace_back());
  }
  reader.RejectUnknownFields();
}

// Endpoint names come from the platform, whose rules may differ from those of contract names.
void configuration_reader::ReadDrained(const json* values, const std::string& path,
                                       std::vector<std::string>& names) {
  if (values == nullptr) return;
  name_set seen;
  for (size_t i = 0; i < values->size(); ++i) {
    const json& value = (*values)[i];
    const std::string name_path = absl::StrCat(path, "[", i, "]");
    if (!value.is_string()) {
      faults_.Add(contract_fault::kWrongType, name_path, Excerpt(value));
      continue;
    }
    names.push_back(value.get<std::string>());
    if (!IsEndpointName(names.back())) {
      faults_.Add(contract_fault::kOutOfRange, name_path, Excerpt(value));
    }
    CheckUnique(seen, names.back(), name_path);
  }
  std::sort(names.begin(), names.end());
}

configuration configuration_reader::Read(const json& document) {
  configuration config;
  json_object_reader reader(document, "", faults_);
  ReadKeys(reader.Array("operator_keys", false), "operator_keys", true, config.operator_keys);
  const json* workspaces = reader.Array("workspaces", true);
  for (size_t i = 0; workspaces != nullptr && i < workspaces->size(); ++i) {
    ReadWorkspace((*workspaces)[i], absl::StrCat("workspaces[", i, "]"),
                  config.workspaces.emplace_back());
  }
  ReadDrained(reader.Array("drained_endpoints", false), "drained_endpoints",
              config.drained_endpoints);
  reader.RejectUnknownFields();
  return config;
}

ordered_json KeysToJson(const std::vector<key_record>& keys) {
  ordered_json list = ordered_json::array();
  for (const key_record& key : keys) {
    ordered_json item = {{"name", key.name}, {"salt", key.salt}, {"hash", key.hash}};
    if (key.withdrawn) item["withdrawn"] = true;
    list.push_back(std::move(item));
  }
  return list;
}

ordered_json KindsToJson(const std::vector<workload_kind>& kinds) {
  ordered_json list = ordered_json::array();
  for (const workload_kind kind : kinds) list.push_back(std::string(ToText(kind)));
  return list;
}

ordered_json TeamToJson(const team_contract& team) {
  return {{"name", team.name},
          {"share", team.share},
          {"limit",
           {{"cpu_milli", team.limit.cpu_milli},
            {"memory_mb", team.limit.memory_mb},
            {"accelerators", team.limit.accelerators},
            {"running", team.running_limit}}},
          {"queue_limit", team.queue_limit},
          {"kinds", KindsToJson(team.kinds)},
          {"urgent_kinds", KindsToJson(team.urgent_kinds)},
          {"keys", KeysToJson(team.keys)}};
}

}  // namespace

std::variant<configuration, contract_error> ParseConfiguration(std::string_view text) {
  const json document = json::parse(text, nullptr, false, true);
  if (document.is_discarded()) return contract_error{contract_fault::kNotJson, "", ""};
  if (std::optional<std::string> repeated = FindDuplicateName(text)) {
    return contract_error{contract_fault::kDuplicateName, *repeated, ""};
  }
  configuration_reader reader;
  configuration config = reader.Read(document);
  if (reader.Faults().First()) return *reader.Faults().First();
  return config;
}

std::string ToText(const configuration& config) {
  ordered_json workspaces = ordered_json::array();
  for (const workspace_contract& workspace : config.workspaces) {
    ordered_json teams = ordered_json::array();
    for (const team_contract& team : workspace.teams) teams.push_back(TeamToJson(team));
    workspaces.push_back({{"name", workspace.name}, {"teams", std::move(teams)}});
  }
  ordered_json document = {{"operator_keys", KeysToJson(config.operator_keys)},
                           {"workspaces", std::move(workspaces)}};
  if (!config.drained_endpoints.empty()) document["drained_endpoints"] = config.drained_endpoints;
  // One field per line, so that operators can compare versions line by line.
  return document.dump(1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string_view ToText(contract_fault fault) { return kFaultNames[static_cast<size_t>(fault)]; }

}  // namespace catkinford
