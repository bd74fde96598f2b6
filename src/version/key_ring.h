// Maps a caller's key to its team, for one version of the configuration.
#ifndef CATKINFORD_VERSION_KEY_RING_H_
#define CATKINFORD_VERSION_KEY_RING_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "version/contract.h"

namespace catkinford {

struct key_holder {
  std::string workspace;
  std::string team;  // empty for an operator's key
  bool is_operator = false;
  std::string key_name;  // for the record of changes
};

// A new secret from the system's random source, "ck_" and 43 characters, with its record.
//
// The secret's first 64 bits are the record's salt. They are public and look up the record; only
// the caller knows the other 192 bits.
struct new_key {
  std::string secret;  // shown once
  key_record record;
};
new_key MakeKey(std::string_view name, bool is_operator);

// Immutable; built once per version; Find() is thread-safe.
class key_ring {
 public:
  explicit key_ring(const configuration& config);

  // The holder of an active key. One look-up and one hash, regardless of the number of keys:
  // a flood of wrong keys must not cost more than valid ones. Compares in constant time.
  std::optional<key_holder> Find(std::string_view secret) const;
  // Number of active keys.
  size_t Size() const;

 private:
  struct impl;
  std::shared_ptr<const impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_KEY_RING_H_
