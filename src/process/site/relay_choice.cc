#include "process/site/relay_choice.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/hash/hash.h"

namespace catkinford {
namespace {

constexpr std::chrono::milliseconds kAvoidTime{3000};
// Share of the owner's strength. The calls of a whole failure domain would drown a weaker entry.
constexpr double kMinStrength = 0.5;
// Each further relay costs the owner as many messages as the first one.
constexpr size_t kInstancesPerRelay = 300;

}  // namespace

void relay_choice::SetEntries(const std::map<std::string, site_entry>& entries,
                              const site_entry& self) {
  for (auto& [name, each] : domains_) each.entries.clear();
  for (const auto& [name, entry] : entries) {
    if (name == self.name || entry.strength < kMinStrength * self.strength) continue;
    domains_[entry.failure_domain].entries.push_back(entry);
  }
  for (auto& [name, each] : domains_) {
    std::stable_sort(
        each.entries.begin(), each.entries.end(),
        [](const site_entry& a, const site_entry& b) { return a.strength > b.strength; });
  }
  std::erase_if(avoided_until_, [&](const auto& item) { return !entries.contains(item.first); });
}

void relay_choice::SetInstances(const std::vector<instance_report>& instances) {
  for (auto& [name, each] : domains_) each.instances = 0;
  domain_of_address_.clear();
  for (const instance_report& report : instances) {
    domain& in = domains_[report.failure_domain];
    ++in.instances;
    domain_of_address_[report.address] = &in;
  }
}

bool relay_choice::Avoided(const site_entry& entry, monotonic_time now) const {
  const auto found = avoided_until_.find(entry.name);
  return found != avoided_until_.end() && now < found->second;
}

const site_entry* relay_choice::RelayFor(std::string_view address, monotonic_time now) const {
  const auto found = domain_of_address_.find(absl::string_view(address.data(), address.size()));
  if (found == domain_of_address_.end()) return nullptr;
  const domain& in = *found->second;
  // Instances share the first relays that are usable; the others are spare.
  const size_t relays = 1 + in.instances / kInstancesPerRelay;
  const size_t wanted = absl::HashOf(address) % relays;
  const site_entry* last_usable = nullptr;
  size_t usable = 0;
  for (const site_entry& entry : in.entries) {
    if (Avoided(entry, now)) continue;
    last_usable = &entry;
    if (usable++ == wanted) break;
  }
  return last_usable;
}

void relay_choice::OnFailure(const std::string& entry, monotonic_time now) {
  avoided_until_[entry] = now + kAvoidTime;
}

}  // namespace catkinford
