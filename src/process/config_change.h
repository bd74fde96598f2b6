// Reads and changes the configuration through an entry; each change names the version it is based
// on.
#ifndef CATKINFORD_PROCESS_CONFIG_CHANGE_H_
#define CATKINFORD_PROCESS_CONFIG_CHANGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "process/commands.h"
#include "version/contract.h"
#include "version/contract_edit.h"

namespace catkinford {

struct fetched_config {
  uint64_t version = 0;
  std::string text;
  configuration config;
};

// The current configuration as the entry knows it; `query` selects another version.
std::variant<fetched_config, exit_code> FetchConfig(command_context& context,
                                                    const std::string& query = {});

// Parses a document; prints the fault and returns the exit code if it is invalid.
std::variant<configuration, exit_code> CheckDocument(command_context& context,
                                                     const std::string& text);

// Whether a change may be retried on top of a concurrent change of another operator: true for
// changes that commute, such as granting a key.
enum class on_conflict : uint8_t { kShowConflict, kRetry };

// Applies `edit` to the current configuration and prints where the new version is in effect.
int ChangeConfig(command_context& context, on_conflict conflict,
                 const std::function<edit_fault(configuration&)>& edit);

// Prints where a change is in effect, from the answer of an entry.
exit_code ShowChange(command_context& context, const entry_answer& answer);

void PrintDiff(command_context& context, const std::string& before, const std::string& after);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_CONFIG_CHANGE_H_
