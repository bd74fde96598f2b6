#include "version/evacuated_domains.h"

#include <algorithm>
#include <utility>

namespace catkinford {

bool evacuated_domains::SetEvacuated(const std::string& name, bool evacuated) {
  return evacuated ? names_.insert(name).second : names_.erase(name) > 0;
}

bool evacuated_domains::Replace(std::set<std::string> names, uint64_t revision) {
  if (revision <= revision_) return false;
  const std::set<std::string> before = std::exchange(names_, std::move(names));
  Advance(revision);
  for (const auto& [name, latest] : changes_) {
    if (latest.revision > revision) SetEvacuated(name, latest.evacuated);
  }
  return names_ != before;
}

bool evacuated_domains::Apply(const std::string& name, bool evacuated, uint64_t revision) {
  if (revision < revision_) return false;
  change& latest = changes_[name];
  if (revision < latest.revision) return false;
  latest = {revision, evacuated};
  return SetEvacuated(name, evacuated);
}

void evacuated_domains::Advance(uint64_t revision) {
  if (revision <= revision_) return;
  revision_ = revision;
  std::erase_if(changes_, [&](const auto& item) { return item.second.revision < revision; });
}

}  // namespace catkinford
