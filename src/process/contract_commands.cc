#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
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

// The versions that are kept, oldest first; nothing after a failure that has been explained.
std::variant<json, exit_code> FetchHistory(command_context& context) {
  entry_answer answer = Ask(context, "GET", "/v1/config/history", "");
  if (!answer.IsGood() || !answer.body.contains("versions")) return Explain(context, answer);
  return std::move(answer.body["versions"]);
}

std::optional<std::string> TextOfVersion(command_context& context, const json& versions,
                                         const std::string& wanted) {
  uint64_t number = 0;
  const bool is_number = absl::SimpleAtoi(wanted, &number);
  for (const json& version : versions) {
    if (is_number && NumberField(version, "version") == number) return TextField(version, "text");
  }
  context.err << "catkinford: version " << wanted << " is not kept\n";
  return std::nullopt;
}

int DiffVersions(command_context& context, const std::string& before, const std::string& after) {
  const std::variant<json, exit_code> history = FetchHistory(context);
  if (const auto* code = std::get_if<exit_code>(&history)) return static_cast<int>(*code);
  const json& versions = std::get<json>(history);
  const std::optional<std::string> old_text = TextOfVersion(context, versions, before);
  const std::optional<std::string> new_text = TextOfVersion(context, versions, after);
  if (!old_text || !new_text) return static_cast<int>(exit_code::kNotFound);
  PrintDiff(context, *old_text, *new_text);
  return static_cast<int>(exit_code::kDone);
}

}  // namespace

int RunContractCheck(command_context& context, const command_words& words) {
  const std::variant<configuration, exit_code> read = ReadContracts(context, words[0]);
  if (const auto* code = std::get_if<exit_code>(&read)) return static_cast<int>(*code);
  const auto& config = std::get<configuration>(read);
  size_t teams = 0;
  for (const workspace_contract& workspace : config.workspaces) teams += workspace.teams.size();
  if (context.options.json) {
    context.out << json{{"workspaces", config.workspaces.size()}, {"teams", teams}}.dump() << "\n";
  } else {
    context.out << "good: " << config.workspaces.size() << " workspaces, " << teams << " teams\n";
  }
  return static_cast<int>(exit_code::kDone);
}

int RunContractApply(command_context& context, const command_words& words) {
  const std::variant<configuration, exit_code> read = ReadContracts(context, words[0]);
  if (const auto* code = std::get_if<exit_code>(&read)) return static_cast<int>(*code);
  const auto& file = std::get<configuration>(read);
  return ChangeConfig(context, on_conflict::kShowBoth, [&file](configuration& config) {
    config = MergeContracts(config, file);
    return edit_fault::kNone;
  });
}

int RunContractRemove(command_context& context, const command_words& words) {
  return ChangeConfig(context, on_conflict::kShowBoth, [&words](configuration& config) {
    return RemoveWorkspace(config, words[0]);
  });
}

int RunContractGet(command_context& context, const command_words& words) {
  if (!words.empty()) {
    const std::variant<json, exit_code> history = FetchHistory(context);
    if (const auto* code = std::get_if<exit_code>(&history)) return static_cast<int>(*code);
    const std::optional<std::string> text =
        TextOfVersion(context, std::get<json>(history), words[0]);
    if (!text) return static_cast<int>(exit_code::kNotFound);
    context.out << *text << "\n";
    return static_cast<int>(exit_code::kDone);
  }
  const entry_answer answer = Ask(context, "GET", "/v1/config", "");
  if (!answer.IsGood()) return static_cast<int>(Explain(context, answer));
  if (context.options.json) {
    context.out << answer.result.body << "\n";
  } else {
    context.out << "// version " << NumberField(answer.body, "version") << "\n"
                << TextField(answer.body, "text") << "\n";
  }
  return static_cast<int>(exit_code::kDone);
}

int RunContractDiff(command_context& context, const command_words& words) {
  if (words.size() == 2) return DiffVersions(context, words[0], words[1]);
  const std::variant<configuration, exit_code> read = ReadContracts(context, words[0]);
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

int RunContractHistory(command_context& context, const command_words& /*words*/) {
  const std::variant<json, exit_code> history = FetchHistory(context);
  if (const auto* code = std::get_if<exit_code>(&history)) return static_cast<int>(*code);
  const json& versions = std::get<json>(history);
  if (context.options.json) {
    context.out << json{{"versions", versions}}.dump() << "\n";
    return static_cast<int>(exit_code::kDone);
  }
  for (const json& version : versions) {
    const auto at = static_cast<int64_t>(NumberField(version, "at_ms"));
    context.out << NumberField(version, "version") << " "
                << absl::FormatTime("%Y-%m-%d %H:%M:%S", absl::FromUnixMillis(at),
                                    absl::UTCTimeZone())
                << " UTC by " << TextField(version, "by") << "\n";
  }
  return static_cast<int>(exit_code::kDone);
}

}  // namespace catkinford
