#include "process/site/site_view.h"

#include <algorithm>
#include <vector>

#include "absl/strings/numbers.h"
#include "process/site/claim_order.h"

namespace catkinford {

void site_view::Apply(const store_item& item) {
  if (item.key == kOwnerKey) {
    if (item.revision < owner_changed) return;
    owner_changed = item.revision;
    owner = item.deleted ? std::nullopt : OwnerFromText(item.value);
    owner_revision = item.deleted ? 0 : item.revision;
    if (owner) epoch = std::max(epoch, owner->epoch);
    return;
  }
  if (item.key == kEpochKey) {
    if (item.revision < epoch_revision) return;
    uint64_t number = 0;
    if (!item.deleted && absl::SimpleAtoi(item.value, &number)) epoch = std::max(epoch, number);
    epoch_revision = item.deleted ? 0 : item.revision;
    return;
  }
  const std::string prefix = kEntryPrefix;
  if (!item.key.starts_with(prefix)) return;
  const std::string name = item.key.substr(prefix.size());
  const auto entry = item.deleted ? std::nullopt : EntryFromText(item.value);
  if (entry) {
    entries[name] = *entry;
  } else {
    entries.erase(name);
  }
}

void site_view::ApplyOwner(const store_item* item, uint64_t revision) {
  if (item != nullptr) return Apply(*item);
  Apply({kOwnerKey, "", revision, true});
}

std::optional<site_entry> PickPeer(const site_view& view, const std::string& self, bool strong,
                                   uint64_t random) {
  double strongest = 0;
  for (const auto& [name, entry] : view.entries) {
    if (name != self) strongest = std::max(strongest, entry.strength);
  }
  std::vector<const site_entry*> candidates;
  for (const auto& [name, entry] : view.entries) {
    const bool weak = entry.strength * kMuchStronger <= strongest;
    if (name != self && !(strong && weak)) candidates.push_back(&entry);
  }
  if (candidates.empty()) return std::nullopt;
  return *candidates[random % candidates.size()];
}

}  // namespace catkinford
