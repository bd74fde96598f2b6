// Reading and changing the configuration through an entry: always against the version that the
// change was made from.
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

// The configuration in force, as an entry knows it; `query` asks for another version.
std::variant<fetched_config, exit_code> FetchConfig(command_context& context,
                                                    const std::string& query = {});

// A document in words: its fault, or nothing where it is good.
std::variant<configuration, exit_code> CheckDocument(command_context& context,
                                                     const std::string& text);

// Whether a change may be made again on top of what another operator wrote in between: true for
// changes that commute, such as a key.
enum class on_conflict : uint8_t { kShowBoth, kTryAgain };

// Changes what is in force by `edit` and prints where the new version is in force.
int ChangeConfig(command_context& context, on_conflict conflict,
                 const std::function<edit_fault(configuration&)>& edit);

// Prints where a change is in force, as an entry answered it.
exit_code ShowChange(command_context& context, const entry_answer& answer);

void PrintDiff(command_context& context, const std::string& before, const std::string& after);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_CONFIG_CHANGE_H_
