// The operators' document: contracts, teams, keys. One version of it is in effect at a time.
#ifndef CATKINFORD_VERSION_CONTRACT_H_
#define CATKINFORD_VERSION_CONTRACT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

struct key_record {
  std::string name;  // chosen by the operator, shown in lists
  std::string salt;  // 16 hexadecimal digits, unique over all keys: also finds the record
  std::string hash;  // hexadecimal SHA-256 of salt and secret; the secret is not stored
  bool withdrawn = false;
  bool is_operator = false;  // may change the configuration
};

struct team_contract {
  std::string name;                         // unique over all workspaces
  double share = 1.0;                       // per cent of the capacity when the fleet is full
  resources limit;                          // upper limit across the fleet; slots are not limited
  uint32_t running_limit = 0;               // running tasks across the fleet
  uint32_t queue_limit = 1000;              // waiting tasks in one shard
  std::vector<workload_kind> kinds;         // kinds it may submit
  std::vector<workload_kind> urgent_kinds;  // subset of `kinds` that is urgent
  std::vector<key_record> keys;
};

struct workspace_contract {
  std::string name;
  std::vector<team_contract> teams;
};

struct configuration {
  std::vector<workspace_contract> workspaces;
  std::vector<key_record> operator_keys;
  // Drained by an operator: they get no new tasks and are emptied; sorted. They are in
  // this document because every entry has to know it before it starts tasks, and it outlives all
  // entries.
  std::vector<std::string> drained_endpoints;
};

enum class contract_fault : uint8_t {
  kNotJson,
  kUnknownField,
  kMissingField,
  kWrongType,
  kOutOfRange,
  kDuplicateName,
  kUnknownKind,
  kSharesOverWhole,
};

struct contract_error {
  contract_fault fault = contract_fault::kNotJson;
  std::string path;   // "workspaces[1].teams[0].share"
  std::string value;  // the value found there
};

// 1 to 64 of a-z, 0-9, '-', '_' and '.': valid names of workspaces, teams and keys.
bool IsContractName(std::string_view name);

// Strict: JSON with comments; an unknown or repeated name, a wrong type or a value out of range is
// an error, and so are shares of over 100 per cent together. docs/CONTRACTS.md is the schema.
std::variant<configuration, contract_error> ParseConfiguration(std::string_view text);
// The canonical text, as it is stored.
std::string ToText(const configuration& config);
std::string_view ToText(contract_fault fault);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_CONTRACT_H_
