// Changes to the operators' document, and the warnings and summaries of a change.
#ifndef CATKINFORD_VERSION_CONTRACT_EDIT_H_
#define CATKINFORD_VERSION_CONTRACT_EDIT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "version/contract.h"

namespace catkinford {

enum class edit_fault : uint8_t {
  kNone,
  kNoSuchWorkspace,
  kNoSuchTeam,
  kNoSuchKey,
  kNameTaken,        // a key of this name exists
  kLastOperatorKey,  // without it nobody could change the configuration
};
std::string_view ToText(edit_fault fault);

// `current` with its workspaces replaced by those of the same name in `file`; others stay. Drained
// endpoints stay drained. No key is lost, and a withdrawn key stays withdrawn: otherwise an
// operator who applies a file that was read before a withdrawal would reactivate the key unnoticed.
configuration MergeContracts(const configuration& current, const configuration& file);

// `current` with exactly the workspaces of `past`. Operators' keys stay; teams' keys are merged as
// above, and a key that is not active now is not active afterwards: whether it was withdrawn before
// its team was removed cannot be derived from the two documents.
configuration RestoreContracts(const configuration& current, const configuration& past);

edit_fault RemoveWorkspace(configuration& config, std::string_view workspace);

// `team` empty: an operator's key.
edit_fault AddKey(configuration& config, std::string_view team, const key_record& key);
edit_fault WithdrawKey(configuration& config, std::string_view team, std::string_view name);

// One short line for the list of versions that names the changes of `next`.
std::string SummarizeChanges(const configuration& current, const configuration& next);

// Return false if nothing changed.
bool DrainEndpoint(configuration& config, const std::string& endpoint);
bool UndrainEndpoint(configuration& config, const std::string& endpoint);

enum class contract_warning_kind : uint8_t {
  kNoOperatorKey,      // nobody could change the configuration
  kTeamWithoutKeys,    // cannot submit anything
  kNothingMayRun,      // a limit of zero
  kNoKinds,            // may submit no kind of work
  kTeamRemoved,        // its work drains, its keys stop working
  kLimitLowered,       // work above the limit drains
  kLimitBelowRunning,  // below what its services run now
};

struct contract_warning {
  contract_warning_kind kind;
  std::string team;
  std::string detail;  // of limits: name, old value, new value
};
std::string ToText(const contract_warning& warning);

// Resources of a team's services, which do not end by themselves.
struct service_usage {
  std::string team;
  resources amount;
  uint32_t running = 0;
};

// Warnings for an operator before `next` replaces `current`.
std::vector<contract_warning> WarningsOf(const configuration& current, const configuration& next,
                                         const std::vector<service_usage>& services);

// One line of a comparison: ' ' in both, '-' only in the old, '+' only in the new text.
struct diff_line {
  char mark = ' ';
  std::string text;
};

// Line by line, with up to `context` common lines around each change.
std::vector<diff_line> DiffLines(std::string_view before, std::string_view after, size_t context);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_CONTRACT_EDIT_H_
