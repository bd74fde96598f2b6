// Changes to the operators' document, and what is to be said of a change before it is made.
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
  kLastOperatorKey,  // without it nobody could change anything any more
};
std::string_view ToText(edit_fault fault);

// `current` with the workspaces of `file` in the place of those of the same name; others stay.
// Endpoints that are drained stay so. Keys are never lost by it, and a withdrawn key stays
// withdrawn: an operator who applies a file that was read before a withdrawal would otherwise put
// the key back into force, unnoticed.
configuration MergeContracts(const configuration& current, const configuration& file);

// `current` with exactly the workspaces of `past`. Operators' keys stay; teams' keys are merged as
// above, and one that does not work now does not work after it: whether it was withdrawn before its
// team was removed cannot be told from the two alone.
configuration RestoreContracts(const configuration& current, const configuration& past);

edit_fault RemoveWorkspace(configuration& config, std::string_view workspace);

// `team` empty: an operator's key.
edit_fault AddKey(configuration& config, std::string_view team, const key_record& key);
edit_fault WithdrawKey(configuration& config, std::string_view team, std::string_view name);

// What `next` changes, in one short line for the list of versions.
std::string SummarizeChanges(const configuration& current, const configuration& next);

// False where it was so already.
bool DrainEndpoint(configuration& config, const std::string& endpoint);
bool UndrainEndpoint(configuration& config, const std::string& endpoint);

enum class contract_warning_kind : uint8_t {
  kNoOperatorKey,      // nobody could change it any more
  kTeamWithoutKeys,    // cannot submit anything
  kNothingMayRun,      // a limit of zero
  kNoKinds,            // may submit nothing
  kTeamRemoved,        // its work drains, its keys stop
  kLimitLowered,       // what runs above it drains
  kLimitBelowRunning,  // below what its services have running now
};

struct contract_warning {
  contract_warning_kind kind;
  std::string team;
  std::string detail;  // of limits: which, from what, to what
};
std::string ToText(const contract_warning& warning);

// What a team has running that does not end by itself.
struct service_usage {
  std::string team;
  resources amount;
  uint32_t running = 0;
};

// What an operator should know before `next` takes the place of `current`.
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
