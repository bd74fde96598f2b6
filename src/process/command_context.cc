#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>

#include "process/commands.h"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;

// `error` is the error code in the answer.
exit_code CodeOfStatus(int status, const std::string& error) {
  switch (status) {
    case 401:
    case 403:
      return exit_code::kUnauthorized;
    case 404:
      return exit_code::kNotFound;
    case 409:
      return exit_code::kConflict;
    case 400:
    case 405:
    case 413:
      return exit_code::kUsage;
    case 422:
      return error == "contract" ? exit_code::kContract : exit_code::kUsage;
    case 504:
      return exit_code::kUnknown;
    default:
      return exit_code::kRefused;
  }
}

}  // namespace

std::string TextField(const json& object, std::string_view field) {
  if (!object.is_object()) return {};
  const auto found = object.find(std::string(field));
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

uint64_t NumberField(const json& object, std::string_view field) {
  if (!object.is_object()) return 0;
  const auto found = object.find(std::string(field));
  return found != object.end() && found->is_number_unsigned() ? found->get<uint64_t>() : 0;
}

entry_answer CallEntry(command_context& context, const std::string& method, const std::string& path,
                       const std::string& body) {
  entry_answer answer;
  answer.result = context.entries.Call(method, path, body);
  answer.body = ParseJson(answer.result.body);
  return answer;
}

exit_code PrintFailure(command_context& context, const entry_answer& answer) {
  if (context.entries.Entries().empty()) {
    context.err
        << "catkinford: no entry given; use --entry http://HOST:PORT or set CATKINFORD_ENTRY\n";
    return exit_code::kUsage;
  }
  if (answer.result.status != transfer_status::kDone) {
    const bool sent = answer.result.status == transfer_status::kMaybeSent;
    const char* error = sent ? "no_answer" : "unreachable";
    if (context.options.json) context.out << json{{"error", error}}.dump() << "\n";
    context.err << "catkinford: "
                << (sent ? "no answer in time; the call may have been executed\n"
                         : "no entry is reachable\n");
    return sent ? exit_code::kUnknown : exit_code::kUnreachable;
  }
  if (context.options.json) context.out << answer.result.body << "\n";
  const std::string error = TextField(answer.body, "error");
  context.err << "catkinford: " << answer.result.code << " "
              << (error.empty() ? answer.result.body : error);
  for (const char* field : {"fault", "path", "value", "detail", "reason"}) {
    const std::string text = TextField(answer.body, field);
    if (!text.empty()) context.err << " " << field << "=" << text;
  }
  context.err << "\n";
  return CodeOfStatus(answer.result.code, error);
}

std::optional<std::string> ReadFile(command_context& context, const std::string& name) {
  if (name == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>());
  }
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    context.err << "catkinford: cannot read " << name << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace catkinford
