#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "process/config_change.h"

namespace catkinford {
namespace {

using nlohmann::json;

std::variant<configuration, exit_code> ReadContracts(command_context& context,
                                                     const std::string& name) {
  const std::optional<std::string> text = ReadFile(context, name);
  if (!text) return exit_code::kUsage;
  return CheckDocument(context, *text);
}

// The stored versions, oldest first; after a failure the exit code, with the error already printed.
std::variant<json, exit_code> FetchHistory(command_context& context) {
  entry_answer answer = CallEntry(context, "GET", "/v1/config/history", "");
  if (!answer.IsGood() || !answer.body.contains("versions")) return PrintFailure(context, answer);
  return std::move(answer.body["versions"]);
}

std::optional<uint64_t> VersionNumber(const std::string& argument) {
  uint64_t number = 0;
  if (!absl::SimpleAtoi(argument, &number) || number == 0) return std::nullopt;
  return number;
}

bool IsVersion(command_context& context, const std::string& argument) {
  if (VersionNumber(argument)) return true;
  context.err << "catkinford: " << argument << " is not a version number\n";
  return false;
}

// A stored version, or the current one, in canonical form.
std::variant<fetched_config, exit_code> FetchVersion(command_context& context,
                                                     const std::string& argument) {
  if (!IsVersion(context, argument)) return exit_code::kUsage;
  return FetchConfig(context, absl::StrCat("?version=", argument));
}

int DiffVersions(command_context& context, const std::string& before, const std::string& after) {
  if (!IsVersion(context, after)) return static_cast<int>(exit_code::kUsage);
  const auto old_version = FetchVersion(context, before);
  if (const auto* code = std::get_if<exit_code>(&old_version)) return static_cast<int>(*code);
  const auto new_version = FetchVersion(context, after);
  if (const auto* code = std::get_if<exit_code>(&new_version)) return static_cast<int>(*code);
  PrintDiff(context, std::get<fetched_config>(old_version).text,
            std::get<fetched_config>(new_version).text);
  return static_cast<int>(exit_code::kDone);
}

// Prints the warnings that the file alone justifies: it does not contain the granted keys.
void PrintFileWarnings(command_context& context, const configuration& config) {
  for (const contract_warning& warning : WarningsOf({}, config, {})) {
    const bool concerns_keys = warning.kind == contract_warning_kind::kNoOperatorKey ||
                               warning.kind == contract_warning_kind::kTeamWithoutKeys;
    if (!concerns_keys) context.err << "warning: " << ToText(warning) << "\n";
  }
}

int DiffWithCurrent(command_context& context, const std::string& before) {
  const auto old_version = FetchVersion(context, before);
  if (const auto* code = std::get_if<exit_code>(&old_version)) return static_cast<int>(*code);
  const auto current_version = FetchConfig(context);
  if (const auto* code = std::get_if<exit_code>(&current_version)) return static_cast<int>(*code);
  PrintDiff(context, std::get<fetched_config>(old_version).text,
            std::get<fetched_config>(current_version).text);
  return static_cast<int>(exit_code::kDone);
}

}  // namespace

int RunContractCheck(command_context& context, const command_arguments& arguments) {
  const std::variant<configuration, exit_code> read = ReadContracts(context, arguments[0]);
  if (const auto* code = std::get_if<exit_code>(&read)) return static_cast<int>(*code);
  const auto& config = std::get<configuration>(read);
  size_t teams = 0;
  for (const workspace_contract& workspace : config.workspaces) teams += workspace.teams.size();
  if (context.options.json) {
    context.out << json{{"workspaces", config.workspaces.size()}, {"teams", teams}}.dump() << "\n";
  } else {
    context.out << "valid: " << config.workspaces.size() << " workspaces, " << teams << " teams\n";
  }
  PrintFileWarnings(context, config);
  return static_cast<int>(exit_code::kDone);
}

int RunContractApply(command_context& context, const command_arguments& arguments) {
  const std::variant<configuration, exit_code> read = ReadContracts(context, arguments[0]);
  if (const auto* code = std::get_if<exit_code>(&read)) return static_cast<int>(*code);
  const auto& file = std::get<configuration>(read);
  return ChangeConfig(context, on_conflict::kShowConflict, [&file](configuration& config) {
    config = MergeContracts(config, file);
    return edit_fault::kNone;
  });
}

int RunContractRestore(command_context& context, const command_arguments& arguments) {
  const auto read = FetchVersion(context, arguments[0]);
  if (const auto* code = std::get_if<exit_code>(&read)) return static_cast<int>(*code);
  const configuration& past = std::get<fetched_config>(read).config;
  return ChangeConfig(context, on_conflict::kShowConflict, [&past](configuration& config) {
    config = RestoreContracts(config, past);
    return edit_fault::kNone;
  });
}

int RunContractRemove(command_context& context, const command_arguments& arguments) {
  return ChangeConfig(context, on_conflict::kShowConflict, [&arguments](configuration& config) {
    return RemoveWorkspace(config, arguments[0]);
  });
}

int RunContractGet(command_context& context, const command_arguments& arguments) {
  if (!arguments.empty() && !IsVersion(context, arguments[0]))
    return static_cast<int>(exit_code::kUsage);
  const std::string query = arguments.empty() ? "" : absl::StrCat("?version=", arguments[0]);
  const entry_answer answer = CallEntry(context, "GET", absl::StrCat("/v1/config", query), "");
  if (!answer.IsGood()) return static_cast<int>(PrintFailure(context, answer));
  if (context.options.json) {
    context.out << answer.result.body << "\n";
  } else {
    context.out << "// version " << NumberField(answer.body, "version") << "\n"
                << TextField(answer.body, "text") << "\n";
  }
  return static_cast<int>(exit_code::kDone);
}

int RunContractDiff(command_context& context, const command_arguments& arguments) {
  if (arguments.size() == 2) return DiffVersions(context, arguments[0], arguments[1]);
  if (VersionNumber(arguments[0])) return DiffWithCurrent(context, arguments[0]);
  const std::variant<configuration, exit_code> read = ReadContracts(context, arguments[0]);
  if (const auto* code = std::get_if<exit_code>(&read)) return static_cast<int>(*code);
  const std::variant<fetched_config, exit_code> fetched = FetchConfig(context);
  if (const auto* code = std::get_if<exit_code>(&fetched)) return static_cast<int>(*code);
  const auto& current = std::get<fetched_config>(fetched);
  const configuration next = MergeContracts(current.config, std::get<configuration>(read));
  PrintDiff(context, current.text, ToText(next));
  for (const contract_warning& warning : WarningsOf(current.config, next, {})) {
    context.err << "warning: " << ToText(warning) << "\n";
  }
  return static_cast<int>(exit_code::kDone);
}

int RunContractHistory(command_context& context, const command_arguments& /*words*/) {
  const std::variant<json, exit_code> history = FetchHistory(context);
  if (const auto* code = std::get_if<exit_code>(&history)) return static_cast<int>(*code);
  const json& versions = std::get<json>(history);
  if (context.options.json) {
    context.out << json{{"versions", versions}}.dump() << "\n";
    return static_cast<int>(exit_code::kDone);
  }
  for (const json& version : versions) {
    const auto at = static_cast<int64_t>(NumberField(version, "at_ms"));
    const std::string by = TextField(version, "by");
    const std::string what = TextField(version, "what");
    context.out << NumberField(version, "version") << " "
                << absl::FormatTime("%Y-%m-%d %H:%M:%S", absl::FromUnixMillis(at),
                                    absl::UTCTimeZone())
                << " UTC by " << (by.empty() ? "-" : by) << (what.empty() ? "" : ": ") << what
                << "\n";
  }
  return static_cast<int>(exit_code::kDone);
}

}  // namespace catkinford
