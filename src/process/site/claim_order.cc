#include "process/site/claim_order.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Between the claims of two entries: a claim and its answer take a few milliseconds.
constexpr milliseconds kClaimInterval{60};
// Delay of weaker entries: all strong ones have claimed by then.
constexpr milliseconds kWeakEntryDelay{600};
// A link above this is not the bottleneck: commands and listings of 350 instances took up to
// 20 Mbit/s.
constexpr double kWideLinkMbps = 100;
constexpr double kMinLinkShare = 0.05;
constexpr size_t kOwnerWatchers = 2;  // of the owner: one of them may be dead or cut off too
constexpr size_t kMaxClaimSteps = 8;  // limits the delay of the first claim on a large site
constexpr size_t kFirstClaimers = 8;

// Calls `take(name, delay)` for each entry, in the order of the names.
template <typename Take>
void ForEachClaim(const site_view& view, Take take) {
  // Each epoch starts with a different entry of the same strength, so that the site does not always
  // go to the same one.
  struct equals {
    size_t count = 0;
    size_t passed = 0;
  };
  std::map<double, equals> by_strength;
  for (const auto& [name, entry] : view.entries) ++by_strength[entry.strength].count;
  for (const auto& [name, entry] : view.entries) {
    equals& group = by_strength[entry.strength];
    const size_t turn = (group.passed++ + group.count - view.epoch % group.count) % group.count;
    const bool weak = entry.strength < by_strength.rbegin()->first;
    take(name, kClaimInterval * std::min(turn, kMaxClaimSteps) +
                   (weak ? kWeakEntryDelay : milliseconds{0}));
  }
}

// How many of the other entries, the owner left out, claim before this one.
size_t EntriesAhead(const site_view& view, const std::string& self) {
  const milliseconds mine = ClaimDelay(view, self);
  size_t ahead = 0;
  ForEachClaim(view, [&](const std::string& name, milliseconds theirs) {
    if (name == self || (view.owner && name == view.owner->entry.name)) return;
    if (theirs < mine || (theirs == mine && name < self)) ++ahead;
  });
  return ahead;
}

}  // namespace

double Strength(double cpu_share, double link_mbps) {
  return cpu_share * std::clamp(link_mbps / kWideLinkMbps, kMinLinkShare, 1.0);
}

bool MuchStrongerExists(const site_view& view, const site_entry& self) {
  return std::any_of(view.entries.begin(), view.entries.end(), [&](const auto& item) {
    return item.second.strength >= kMuchStronger * self.strength;
  });
}

milliseconds ClaimDelay(const site_view& view, const std::string& self) {
  milliseconds out = kClaimInterval;
  ForEachClaim(view, [&](const std::string& name, milliseconds delay) {
    if (name == self) out = delay;
  });
  return out;
}

bool WatchesOwner(const site_view& view, const std::string& self) {
  if (!view.owner || view.owner->entry.name == self || !view.entries.contains(self)) return false;
  return EntriesAhead(view, self) < kOwnerWatchers;
}

bool ClaimsAmongFirst(const site_view& view, const std::string& self) {
  if (!view.entries.contains(self)) return true;
  if (view.owner && view.owner->entry.name == self) return true;
  return EntriesAhead(view, self) < kFirstClaimers;
}

}  // namespace catkinford
