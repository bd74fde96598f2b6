// Which team a caller's key belongs to, under one version of the configuration.
#ifndef CATKINFORD_VERSION_KEY_RING_H_
#define CATKINFORD_VERSION_KEY_RING_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "version/contract.h"

namespace catkinford {

struct key_holder {
  std::string workspace;
  std::string team;  // empty for an operator's key
  bool is_operator = false;
};

// A new secret from the system's random source, "ck_" and 43 characters, with its record.
struct new_key {
  std::string secret;  // shown once
  key_record record;
};
new_key MakeKey(std::string_view name, bool is_operator);

// Immutable; built once for each version.
class key_ring {
 public:
  explicit key_ring(const configuration& config);
  // The holder of a key that is in force; compares in constant time. Keys that proved good are
  // remembered by a digest, so that the hot path does not hash against every record.
  std::optional<key_holder> Find(std::string_view secret) const;

 private:
  struct impl;
  std::shared_ptr<const impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_KEY_RING_H_
