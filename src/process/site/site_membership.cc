#include "process/site/site_membership.h"

#include "absl/strings/numbers.h"

namespace catkinford {
namespace {

// Between the claims of two entries: a claim and its answer take a few milliseconds.
constexpr std::chrono::milliseconds kBetweenClaims{60};
constexpr size_t kMostSteps = 8;  // however many entries live, one of the first claims

}  // namespace

void site_view::Take(const store_item& item) {
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

std::chrono::milliseconds ClaimDelay(const site_view& view, const std::string& self) {
  // Each epoch begins with another entry, so that a site does not always fall to the same one.
  const size_t count = std::max<size_t>(1, view.entries.size());
  size_t place = 0;
  for (const auto& [name, entry] : view.entries) {
    if (name == self) break;
    ++place;
  }
  const size_t turn = (place + count - view.epoch % count) % count;
  return kBetweenClaims * std::min(turn, kMostSteps);
}

}  // namespace catkinford
