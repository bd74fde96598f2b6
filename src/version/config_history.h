// The list of past versions of the configuration, stored beside their texts: which are kept,
// who made them, and which texts are still to be deleted. No I/O.
#ifndef CATKINFORD_VERSION_CONFIG_HISTORY_H_
#define CATKINFORD_VERSION_CONFIG_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinford {

struct past_version {
  uint64_t version = 0;
  uint64_t text_revision = 0;  // revision of the key that holds its text; deleting it needs this
  uint64_t bytes = 0;          // of its text
  std::chrono::milliseconds changed_at{0};  // since 1970
  std::string by;                           // name of the operator's key
  std::string summary;                      // short description of the change
};

// Limits of the history; the oldest versions are dropped first.
struct history_limits {
  size_t versions = 200;
  uint64_t bytes = 16U << 20;
};

class config_history {
 public:
  bool Has(uint64_t version) const;
  // Whether a later version is listed.
  bool IsSuperseded(uint64_t version) const;
  // Requires neither Has() nor IsSuperseded().
  void Add(past_version past, const history_limits& bounds);
  // The text of a dropped version has been deleted.
  void RemoveDropped(uint64_t version);

  const std::vector<past_version>& Versions() const { return versions_; }  // oldest first
  // No longer listed; their texts may still be in the store.
  const std::vector<past_version>& Dropped() const { return dropped_; }

  static std::optional<config_history> Parse(std::string_view text);
  std::string ToText() const;

 private:
  std::vector<past_version> versions_;
  std::vector<past_version> dropped_;
};

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_CONFIG_HISTORY_H_
