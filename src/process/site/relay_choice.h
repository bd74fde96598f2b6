// Chooses which entries make a busy owner's calls to the instances of each failure domain: the
// strongest of that domain.
#ifndef CATKINFORD_PROCESS_SITE_RELAY_CHOICE_H_
#define CATKINFORD_PROCESS_SITE_RELAY_CHOICE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "process/scheduling/fleet_state.h"
#include "process/site/site_records.h"

namespace catkinford {

class relay_choice {
 public:
  // `self`: the owner, which is no relay.
  void SetEntries(const std::map<std::string, site_entry>& entries, const site_entry& self);
  void SetInstances(const std::vector<instance_report>& instances);

  // The entry to call the instance at `address` ("ip:port"); null: call it directly, since it is
  // unknown or no entry of its domain is usable.
  const site_entry* RelayFor(std::string_view address, monotonic_time now) const;
  // The relay did not answer: it is avoided for a while.
  void OnFailure(const std::string& entry, monotonic_time now);

 private:
  struct domain {
    std::vector<site_entry> entries;  // those that are strong enough, strongest first
    size_t instances = 0;
  };

  bool Avoided(const site_entry& entry, monotonic_time now) const;

  std::map<std::string, domain> domains_;
  absl::flat_hash_map<std::string, domain*> domain_of_address_;
  std::map<std::string, monotonic_time> avoided_until_;  // by entry
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_RELAY_CHOICE_H_
