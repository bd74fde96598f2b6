#include "process/removed_endpoints.h"

#include <utility>

namespace catkinford {

std::vector<std::string> removed_endpoints::Update(const std::vector<std::string>& drained,
                                                   const std::set<std::string>& listed,
                                                   std::chrono::milliseconds wait,
                                                   monotonic_time now) {
  std::map<std::string, monotonic_time> missing;
  std::vector<std::string> removed;
  // An empty list is a fault of the platform, not the removal of all endpoints.
  if (listed.empty()) {
    missing_since_.clear();
    return removed;
  }
  for (const std::string& name : drained) {
    if (listed.contains(name)) continue;
    const auto known = missing_since_.find(name);
    const monotonic_time since = known == missing_since_.end() ? now : known->second;
    missing.emplace(name, since);
    if (now - since >= wait) removed.push_back(name);
  }
  missing_since_ = std::move(missing);
  return removed;
}

}  // namespace catkinford
