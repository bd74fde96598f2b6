#include "version/evacuated_domains.h"

#include <algorithm>
#include <utility>

namespace catkinford {

bool evacuated_domains::Replace(std::set<std::string> names, uint64_t revision) {
  if (revision <= revision_) return false;
  revision_ = revision;
  if (names == names_) return false;
  names_ = std::move(names);
  return true;
}

bool evacuated_domains::Apply(const std::string& name, bool evacuated, uint64_t revision) {
  if (revision <= revision_) return false;
  revision_ = revision;
  if (evacuated) return names_.insert(name).second;
  return names_.erase(name) > 0;
}

void evacuated_domains::Advance(uint64_t revision) { revision_ = std::max(revision_, revision); }

}  // namespace catkinford
