#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/config_change.h"
#include "version/key_ring.h"

namespace catkinford {
namespace {

using nlohmann::json;

// The arguments "TEAM NAME", or "NAME" with --operator.
struct key_name {
  std::string team;  // empty for an operator's key
  std::string name;
};

std::optional<key_name> ParseKeyName(command_context& context, const command_arguments& arguments) {
  const size_t expected = context.options.is_operator ? 1 : 2;
  if (arguments.size() == expected) {
    return expected == 1 ? key_name{"", arguments[0]} : key_name{arguments[0], arguments[1]};
  }
  context.err << "catkinford: use TEAM NAME, or --operator and NAME\n";
  return std::nullopt;
}

void PrintKeys(command_context& context, const std::string& workspace, const std::string& team,
               const std::vector<key_record>& keys, json& list) {
  for (const key_record& key : keys) {
    if (context.options.json) {
      list.push_back({{"workspace", workspace},
                      {"team", team},
                      {"name", key.name},
                      {"salt", key.salt},
                      {"operator", key.is_operator},
                      {"withdrawn", key.withdrawn}});
      continue;
    }
    context.out << (key.is_operator ? std::string("operator") : absl::StrCat(workspace, "/", team))
                << " " << key.name << " salt " << key.salt << (key.withdrawn ? " withdrawn" : "")
                << "\n";
  }
}

}  // namespace

int RunKeyMake(command_context& context, const command_arguments& arguments) {
  if (!IsContractName(arguments[0])) {
    context.err << "catkinford: a name has 1 to 64 characters of a-z, 0-9, '-', '_' and '.'\n";
    return static_cast<int>(exit_code::kUsage);
  }
  const new_key key = MakeKey(arguments[0], context.options.is_operator);
  const json record = {
      {"name", key.record.name}, {"salt", key.record.salt}, {"hash", key.record.hash}};
  if (context.options.json) {
    context.out << json{{"secret", key.secret}, {"record", record}}.dump() << "\n";
  } else {
    context.out << "secret " << key.secret << "\nrecord " << record.dump() << "\n";
  }
  return static_cast<int>(exit_code::kDone);
}

int RunKeyGrant(command_context& context, const command_arguments& arguments) {
  const std::optional<key_name> target = ParseKeyName(context, arguments);
  if (!target) return static_cast<int>(exit_code::kUsage);
  if (!IsContractName(target->name)) {
    context.err << "catkinford: a name has 1 to 64 characters of a-z, 0-9, '-', '_' and '.'\n";
    return static_cast<int>(exit_code::kUsage);
  }
  const new_key key = MakeKey(target->name, context.options.is_operator);
  const int code = ChangeConfig(context, on_conflict::kRetry, [&](configuration& config) {
    return AddKey(config, target->team, key.record);
  });
  // After a lost answer the key may be valid, so its holder needs the secret.
  const bool may_be_granted = code == static_cast<int>(exit_code::kDone) ||
                              code == static_cast<int>(exit_code::kNotYetInForce) ||
                              code == static_cast<int>(exit_code::kUnknown);
  if (!may_be_granted || context.options.dry_run) return code;
  if (context.options.json) {
    context.out << json{{"secret", key.secret}}.dump() << "\n";
  } else {
    context.out << "secret (shown once): " << key.secret << "\n";
  }
  return code;
}

int RunKeyWithdraw(command_context& context, const command_arguments& arguments) {
  const std::optional<key_name> target = ParseKeyName(context, arguments);
  if (!target) return static_cast<int>(exit_code::kUsage);
  return ChangeConfig(context, on_conflict::kRetry, [&](configuration& config) {
    return WithdrawKey(config, target->team, target->name);
  });
}

int RunKeyList(command_context& context, const command_arguments& /*words*/) {
  const std::variant<fetched_config, exit_code> fetched = FetchConfig(context);
  if (const auto* code = std::get_if<exit_code>(&fetched)) return static_cast<int>(*code);
  const configuration& config = std::get<fetched_config>(fetched).config;
  json list = json::array();
  PrintKeys(context, "", "", config.operator_keys, list);
  for (const workspace_contract& workspace : config.workspaces) {
    for (const team_contract& team : workspace.teams) {
      PrintKeys(context, workspace.name, team.name, team.keys, list);
    }
  }
  if (context.options.json) context.out << json{{"keys", list}}.dump() << "\n";
  return static_cast<int>(exit_code::kDone);
}

}  // namespace catkinford
