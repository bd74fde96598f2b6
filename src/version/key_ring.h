// Which team a caller's key belongs to, under one version of the configuration.
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
  std::string key_name;  // for records of who changed what
};

// A new secret from the system's random source, "ck_" and 43 characters, with its record.
//
// The secret's first 64 bits are the record's salt. They are public, and they find the record; the
// other 192 bits are known to nobody but the caller.
struct new_key {
  std::string secret;  // shown once
  key_record record;
};
new_key MakeKey(std::string_view name, bool is_operator);

// Immutable; built once for each version; any thread may call Find().
class key_ring {
 public:
  explicit key_ring(const configuration& config);

  // The holder of a key that is in force. One look-up and one hash, however many keys there are:
  // a flood of wrong keys must not cost more than the right ones. Compares in constant time.
  std::optional<key_holder> Find(std::string_view secret) const;
  // Keys that are in force.
  size_t Size() const;

 private:
  struct impl;
  std::shared_ptr<const impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_KEY_RING_H_
