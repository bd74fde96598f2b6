#include "process/config_change.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace catkinford {
namespace {

using nlohmann::json;

constexpr int kConflictStatus = 409;
constexpr int kUnknownStatus = 504;  // the store did not answer the entry
constexpr int kMaxConflictAttempts = 8;
constexpr size_t kDiffContext = 2;

void PrintFault(command_context& context, const contract_error& error) {
  const std::string fault(ToText(error.fault));
  if (context.options.json) {
    const json answer = {
        {"error", "contract"}, {"fault", fault}, {"path", error.path}, {"value", error.value}};
    context.out << answer.dump(-1, ' ', true, json::error_handler_t::replace) << "\n";
  }
  context.err << "catkinford: " << fault;
  if (!error.path.empty()) context.err << " at " << error.path;
  if (!error.value.empty()) context.err << ": " << error.value;
  context.err << "\n";
}

std::string JoinNames(const json& answer, const char* field) {
  std::string text;
  const auto found = answer.find(field);
  if (found == answer.end() || !found->is_array()) return text;
  for (const json& name : *found) {
    if (!name.is_string()) continue;
    if (!text.empty()) text += ", ";
    text += name.get<std::string>();
  }
  return text;
}

// Shows both versions: the base and result of this change, and the change of the other operator.
exit_code ShowConflict(command_context& context, const entry_answer& answer,
                       const fetched_config& base, const std::string& wanted) {
  const std::string theirs = TextField(answer.body, "text");
  const uint64_t version = NumberField(answer.body, "version");
  if (context.options.json) {
    const json both = {{"error", "conflict"}, {"expected", base.version},
                       {"version", version},  {"expected_text", base.text},
                       {"text", theirs},      {"wanted", wanted}};
    context.out << both.dump(-1, ' ', true, json::error_handler_t::replace) << "\n";
  } else {
    context.out << "conflict: made from version " << base.version << ", but version " << version
                << " is current. Nothing was changed.\n--- their change\n";
    PrintDiff(context, base.text, theirs);
    context.out << "--- your change\n";
    PrintDiff(context, base.text, wanted);
  }
  context.err << "catkinford: conflict with version " << version << "\n";
  return exit_code::kConflict;
}

exit_code CodeOf(edit_fault fault) {
  if (fault == edit_fault::kNameTaken) return exit_code::kUsage;
  return fault == edit_fault::kLastOperatorKey ? exit_code::kRefused : exit_code::kNotFound;
}

entry_answer Put(command_context& context, uint64_t expect, const std::string& text) {
  json body = {{"expect", expect}, {"text", text}};
  if (context.options.dry_run) body["dry_run"] = true;
  return CallEntry(context, "PUT", "/v1/config",
                   body.dump(-1, ' ', false, json::error_handler_t::replace));
}

// Whether an entry's document equals the wanted one. Compared in parsed form: the entries add a
// signature comment to the text they store.
bool IsWanted(const entry_answer& answer, const std::string& wanted) {
  const std::variant<configuration, contract_error> parsed =
      ParseConfiguration(TextField(answer.body, "text"));
  const auto* config = std::get_if<configuration>(&parsed);
  return config != nullptr && ToText(*config) == wanted;
}

// For a change whose answer was lost: it was made if the current configuration equals the wanted
// one.
int VerifyChange(command_context& context, const std::string& wanted) {
  const entry_answer now = CallEntry(context, "GET", "/v1/config", "");
  if (now.IsGood() && IsWanted(now, wanted)) return static_cast<int>(ShowChange(context, now));
  context.err << "catkinford: the answer was lost; check with `catkinford contract get`\n";
  return static_cast<int>(exit_code::kUnknown);
}

}  // namespace

// Prints where a change is in effect; "not yet everywhere" has an exit code of its own.
exit_code ShowChange(command_context& context, const entry_answer& answer) {
  const std::string pending = JoinNames(answer.body, "pending");
  if (context.options.json) {
    context.out << answer.result.body << "\n";
  } else {
    context.out << (context.options.dry_run ? "would be made from version " : "version ")
                << NumberField(answer.body, "version") << "\n";
    const std::string warnings = JoinNames(answer.body, "warnings");
    if (!warnings.empty()) context.out << "warnings: " << warnings << "\n";
    if (!context.options.dry_run) {
      context.out << "in force: " << JoinNames(answer.body, "in_force") << "\n";
      if (!pending.empty()) context.out << "not yet confirmed: " << pending << "\n";
    }
  }
  return pending.empty() || context.options.dry_run ? exit_code::kDone : exit_code::kNotYetInForce;
}

void PrintDiff(command_context& context, const std::string& before, const std::string& after) {
  if (context.options.json) {
    json lines = json::array();
    for (const diff_line& line : DiffLines(before, after, kDiffContext)) {
      lines.push_back({{"mark", std::string(1, line.mark)}, {"text", line.text}});
    }
    context.out << json{{"lines", std::move(lines)}}.dump(-1, ' ', true,
                                                          json::error_handler_t::replace)
                << "\n";
    return;
  }
  for (const diff_line& line : DiffLines(before, after, kDiffContext)) {
    context.out << line.mark << line.text << "\n";
  }
}

std::variant<configuration, exit_code> CheckDocument(command_context& context,
                                                     const std::string& text) {
  std::variant<configuration, contract_error> parsed = ParseConfiguration(text);
  if (auto* config = std::get_if<configuration>(&parsed)) return std::move(*config);
  PrintFault(context, std::get<contract_error>(parsed));
  return exit_code::kContract;
}

std::variant<fetched_config, exit_code> FetchConfig(command_context& context,
                                                    const std::string& query) {
  const entry_answer answer = CallEntry(context, "GET", "/v1/config" + query, "");
  if (!answer.IsGood()) return PrintFailure(context, answer);
  fetched_config fetched;
  fetched.version = NumberField(answer.body, "version");
  fetched.text = TextField(answer.body, "text");
  if (fetched.text.empty()) return fetched;  // no configuration was ever written
  std::variant<configuration, exit_code> config = CheckDocument(context, fetched.text);
  if (const auto* code = std::get_if<exit_code>(&config)) return *code;
  fetched.config = std::move(std::get<configuration>(config));
  fetched.text = ToText(fetched.config);  // without the signature comment of the entries
  return fetched;
}

int ChangeConfig(command_context& context, on_conflict conflict,
                 const std::function<edit_fault(configuration&)>& edit) {
  for (int attempt = 1;; ++attempt) {
    std::variant<fetched_config, exit_code> read = FetchConfig(context);
    if (const auto* code = std::get_if<exit_code>(&read)) return static_cast<int>(*code);
    auto& base = std::get<fetched_config>(read);
    configuration next = base.config;
    const edit_fault fault = edit(next);
    if (fault != edit_fault::kNone) {
      context.err << "catkinford: " << ToText(fault) << "\n";
      return static_cast<int>(CodeOf(fault));
    }
    const std::string wanted = ToText(next);
    // The merged document can be invalid although each part is valid, for example when shares add
    // up to more than the total.
    const std::variant<configuration, exit_code> checked = CheckDocument(context, wanted);
    if (const auto* code = std::get_if<exit_code>(&checked)) return static_cast<int>(*code);
    if (context.options.dry_run && !context.options.json) PrintDiff(context, base.text, wanted);
    const entry_answer answer = Put(context, context.options.expect.value_or(base.version), wanted);
    if (answer.IsGood()) return static_cast<int>(ShowChange(context, answer));
    const bool may_be_applied =
        answer.result.status == transfer_status::kMaybeSent || answer.result.code == kUnknownStatus;
    if (may_be_applied) return VerifyChange(context, wanted);
    if (answer.result.status != transfer_status::kDone || answer.result.code != kConflictStatus) {
      return static_cast<int>(PrintFailure(context, answer));
    }
    // The first entry made the change and its answer was lost; the second finds it already made.
    if (IsWanted(answer, wanted)) {
      return static_cast<int>(ShowChange(context, answer));
    }
    if (conflict == on_conflict::kShowConflict || attempt == kMaxConflictAttempts) {
      return static_cast<int>(ShowConflict(context, answer, base, wanted));
    }
  }
}

}  // namespace catkinford
