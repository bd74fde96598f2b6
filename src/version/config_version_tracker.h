// The newest configuration that this process has seen, who has confirmed which version, and
// whether keys may still be trusted. No I/O: updates and the current time are passed in.
#ifndef CATKINFORD_VERSION_CONFIG_VERSION_TRACKER_H_
#define CATKINFORD_VERSION_CONFIG_VERSION_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "request/job_request.h"
#include "version/contract.h"
#include "version/key_ring.h"
#include "version/text_delta.h"

namespace catkinford {

// An entry as far as versions are concerned. Entries that left are not listed.
struct version_member {
  std::string name;
  std::string failure_domain;
};

// Failure domains by whether all their entries have confirmed a version.
struct propagation_report {
  std::vector<std::string> in_effect;  // sorted
  std::vector<std::string> pending;    // sorted
};

// A version that could not be parsed.
struct rejected_version {
  uint64_t version = 0;
  contract_error error;
};

// Change from one version to a later one.
struct version_delta {
  uint64_t base = 0;
  uint64_t version = 0;
  text_delta change;
};

class config_version_tracker {
 public:
  // `key_grace`: how long keys are trusted after the last confirmation.
  explicit config_version_tracker(std::chrono::milliseconds key_grace);

  // Applies `version` and returns true if it is newer and can be parsed. A version that cannot be
  // parsed is kept as Refused(), and the old one stays in effect.
  bool Offer(uint64_t version, std::string text, monotonic_time now);
  // A store read, or peers of all other failure domains, have reported that `version` is the
  // newest.
  void Confirm(uint64_t version, monotonic_time now);
  // From the previous version to the current one; absent until there was a previous version.
  const std::optional<version_delta>& LastDelta() const { return last_delta_; }
  // The text that results from `delta`, if its base is the current version.
  std::optional<std::string> TextAfter(const version_delta& delta) const;

  uint64_t Version() const { return version_; }
  const std::string& Text() const { return text_; }
  std::shared_ptr<const configuration> Config() const { return config_; }
  std::shared_ptr<const key_ring> Ring() const { return ring_; }
  const std::optional<rejected_version>& Refused() const { return refused_; }

  // The version in effect at a peer. The latest report counts, even if it is lower: a process that
  // replaces another under the same name starts without a version.
  void OnPeerVersion(std::string_view peer, uint64_t version);
  void ForgetPeer(std::string_view peer);
  // The peer with the highest version, if that is above Version(): it can be fetched from there.
  std::optional<std::string> NewerPeer() const;
  // For `members`, which exclude this process, and its own failure domain.
  propagation_report Propagation(uint64_t version, std::string_view own_domain,
                                 const std::vector<version_member>& members) const;

  // Whether every one of `other_domains` has a member in `reachable` with exactly our version. Only
  // all of them together prove that nothing newer was accepted: otherwise two domains isolated from
  // the rest would confirm each other for ever, and a withdrawn key would keep working there.
  bool ConfirmedByAll(const std::vector<std::string>& other_domains,
                      const std::vector<version_member>& reachable) const;

  // False after more than the grace period without confirmation: a key may have been withdrawn.
  bool KeysTrusted(monotonic_time now) const;

 private:
  std::chrono::milliseconds key_grace_;
  uint64_t version_ = 0;
  std::string text_;
  std::shared_ptr<const configuration> config_;
  std::shared_ptr<const key_ring> ring_;
  std::optional<rejected_version> refused_;
  std::optional<version_delta> last_delta_;
  std::optional<monotonic_time> confirmed_;
  absl::flat_hash_map<std::string, uint64_t> peers_;
};

// One entry per failure domain watches the store: the live one with the lowest name. `live`
// excludes `own`.
bool IsWatcher(std::string_view own, const std::vector<std::string>& live);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_CONFIG_VERSION_TRACKER_H_
