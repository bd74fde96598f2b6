#include "process/site/site_membership.h"

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"

namespace catkinford {
namespace {

// Between the claims of two entries: a claim and its answer take a few milliseconds.
constexpr std::chrono::milliseconds kClaimInterval{60};
// Delay of weaker entries: all strong ones have claimed by then.
constexpr std::chrono::milliseconds kWeakEntryDelay{600};
constexpr double kMuchStronger = 2;
// Commands and listings of 350 instances took up to 20 Mbit/s: a link above this is not the
// bottleneck.
constexpr double kWideLinkMbps = 100;
constexpr double kMinLinkShare = 0.05;
constexpr size_t kOwnerWatchers = 2;  // of the owner: one of them may be dead or cut off too
constexpr size_t kMaxClaimSteps = 8;  // limits the delay of the first claim on a large site

}  // namespace

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

double Strength(double cpu_share, double link_mbps) {
  return cpu_share * std::clamp(link_mbps / kWideLinkMbps, kMinLinkShare, 1.0);
}

bool MuchStrongerExists(const site_view& view, const site_entry& self) {
  return std::any_of(view.entries.begin(), view.entries.end(), [&](const auto& item) {
    return item.second.strength >= kMuchStronger * self.strength;
  });
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

bool WatchesOwner(const site_view& view, const std::string& self) {
  if (!view.owner || view.owner->entry.name == self || !view.entries.contains(self)) return false;
  const auto mine = ClaimDelay(view, self);
  size_t ahead = 0;
  for (const auto& [name, entry] : view.entries) {
    if (name == self || name == view.owner->entry.name) continue;
    const auto theirs = ClaimDelay(view, name);
    if (theirs < mine || (theirs == mine && name < self)) ++ahead;
  }
  return ahead < kOwnerWatchers;
}

std::chrono::milliseconds ClaimDelay(const site_view& view, const std::string& self) {
  const auto mine = view.entries.find(self);
  if (mine == view.entries.end()) return kClaimInterval;
  // Each epoch starts with a different entry of the same strength, so that the site does not always
  // go to the same one.
  std::vector<std::string> equals;
  bool weak = false;
  for (const auto& [name, entry] : view.entries) {
    if (entry.strength == mine->second.strength) equals.push_back(name);
    weak = weak || entry.strength > mine->second.strength;
  }
  const size_t count = equals.size();
  const auto position =
      static_cast<size_t>(std::find(equals.begin(), equals.end(), self) - equals.begin());
  const size_t turn = (position + count - view.epoch % count) % count;
  return kClaimInterval * std::min(turn, kMaxClaimSteps) +
         (weak ? kWeakEntryDelay : std::chrono::milliseconds{0});
}

}  // namespace catkinford
