// The commands of the command line, one function each. Each takes the arguments after its name,
// prints its result and returns the exit code.
#ifndef CATKINFORD_PROCESS_COMMANDS_H_
#define CATKINFORD_PROCESS_COMMANDS_H_

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"
#include "process/command_line.h"
#include "process/entry_client.h"

namespace catkinford {

using command_arguments = std::vector<std::string>;

// Options, clients and output streams shared by all commands.
struct command_context {
  const command_options& options;
  entry_client& entries;
  std::ostream& out;
  std::ostream& err;
};

// An answer of an entry with its parsed body.
struct entry_answer {
  http_result result;
  nlohmann::json body;  // discarded value if not JSON

  bool IsGood() const { return result.status == transfer_status::kDone && result.code < 300; }
};

entry_answer CallEntry(command_context& context, const std::string& method, const std::string& path,
                       const std::string& body);
// Prints why a call failed and returns the exit code.
exit_code PrintFailure(command_context& context, const entry_answer& answer);
// The file's text; absent after printing an error if it cannot be read. "-" is standard input.
std::optional<std::string> ReadFile(command_context& context, const std::string& name);
// A field of an answer; empty or 0 if it is missing or of another type.
std::string TextField(const nlohmann::json& object, std::string_view field);
uint64_t NumberField(const nlohmann::json& object, std::string_view field);

// Jobs (job_commands.cc).
int RunSubmit(command_context& context, const command_arguments& arguments);
int RunStatus(command_context& context, const command_arguments& arguments);
int RunCancel(command_context& context, const command_arguments& arguments);
int RunWait(command_context& context, const command_arguments& arguments);

// Contracts (contract_commands.cc).
int RunContractCheck(command_context& context, const command_arguments& arguments);
int RunContractApply(command_context& context, const command_arguments& arguments);
int RunContractRestore(command_context& context, const command_arguments& arguments);
int RunContractRemove(command_context& context, const command_arguments& arguments);
int RunContractGet(command_context& context, const command_arguments& arguments);
int RunContractDiff(command_context& context, const command_arguments& arguments);
int RunContractHistory(command_context& context, const command_arguments& arguments);

// Keys (key_commands.cc).
int RunKeyMake(command_context& context, const command_arguments& arguments);
int RunKeyGrant(command_context& context, const command_arguments& arguments);
int RunKeyWithdraw(command_context& context, const command_arguments& arguments);
int RunKeyList(command_context& context, const command_arguments& arguments);

// The fleet (operator_commands.cc).
int RunEndpointDrain(command_context& context, const command_arguments& arguments);
int RunEndpointUndrain(command_context& context, const command_arguments& arguments);
int RunDomainEvacuate(command_context& context, const command_arguments& arguments);
int RunMembers(command_context& context, const command_arguments& arguments);
int RunTimeline(command_context& context, const command_arguments& arguments);
int RunExplain(command_context& context, const command_arguments& arguments);
int RunCheckConfig(command_context& context, const command_arguments& arguments);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_COMMANDS_H_
