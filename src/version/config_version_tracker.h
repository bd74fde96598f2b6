// The newest configuration that this process has seen, who has confirmed which version, and
// whether keys may still be trusted. Pure: news and the present time come in.
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

// An entry as far as versions are concerned. Entries that left are not in the lists.
struct version_member {
  std::string name;
  std::string failure_domain;
};

// Where a version is in force: in a domain whose entries have all confirmed it.
struct propagation_report {
  std::vector<std::string> in_effect;  // sorted
  std::vector<std::string> pending;    // sorted
};

// A document that was offered and not taken.
struct rejected_version {
  uint64_t version = 0;
  contract_error error;
};

// From one version to a later one.
struct version_delta {
  uint64_t base = 0;
  uint64_t version = 0;
  text_delta change;
};

class config_version_tracker {
 public:
  // `key_grace`: how long keys are trusted after the last confirmation.
  explicit config_version_tracker(std::chrono::milliseconds key_grace);

  // True when `version` is newer and readable; then it is in force here. A version that cannot be
  // read is kept as Refused(), and the old one stays in force.
  bool Offer(uint64_t version, std::string text, monotonic_time now);
  // A store read, or peers of all other failure domains, have said that `version` is the newest.
  void Confirm(uint64_t version, monotonic_time now);
  // What makes the version in force here out of `base`; absent until there was a version before.
  const std::optional<version_delta>& LastDelta() const { return last_delta_; }
  // The text of the version that `step` makes, if what is in force here is its base.
  std::optional<std::string> TextAfter(const version_delta& delta) const;

  uint64_t Version() const { return version_; }
  const std::string& Text() const { return text_; }
  std::shared_ptr<const configuration> Config() const { return config_; }
  std::shared_ptr<const key_ring> Ring() const { return ring_; }
  const std::optional<rejected_version>& Refused() const { return refused_; }

  // What a peer says is in force there. The latest word counts, also a lower one: a process that
  // was replaced under the same name starts with nothing.
  void OnPeerVersion(std::string_view peer, uint64_t version);
  void ForgetPeer(std::string_view peer);
  // The highest version that any peer has; over Version(): ask that peer for it.
  std::optional<std::string> NewerPeer() const;
  // Over `members`, this process not among them, and its own failure domain.
  propagation_report Propagation(uint64_t version, std::string_view own_domain,
                                 const std::vector<version_member>& members) const;

  // Whether every one of `other_domains` has a member in `reachable` with exactly our version. Only
  // all of them together tell that nothing newer was accepted: two domains that are cut off from
  // the rest would otherwise confirm each other for ever, and a withdrawn key go on working there.
  bool ConfirmedByAll(const std::vector<std::string>& other_domains,
                      const std::vector<version_member>& reachable) const;

  // Cut off from everything for longer than the grace: a key may have been withdrawn meanwhile.
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

// One watch a failure domain: the live entry with the lowest name holds it. `live` without `own`.
bool IsWatcher(std::string_view own, const std::vector<std::string>& live);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_CONFIG_VERSION_TRACKER_H_
