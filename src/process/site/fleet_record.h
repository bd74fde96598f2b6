// The stored list of instances that may run work: when it is written, and what it says.
//
// The load it answers: hundreds of instances of which some fall silent and come back all the time.
// The list is long, and written at each of these changes it takes more of the owner's processor and
// link than all else; answers are then read late, more instances seem silent, and the list is
// written again. An instance must be in it before it gets work, but may stay for a while after it
// left: a next owner waits for its leases then, no more.
#ifndef CATKINFORD_PROCESS_SITE_FLEET_RECORD_H_
#define CATKINFORD_PROCESS_SITE_FLEET_RECORD_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/scheduling/fleet_state.h"

namespace catkinford {

class fleet_record {
 public:
  // `in_use`: the instances that may run work now. What to write, if it is time to write anything.
  std::optional<std::vector<instance_report>> Update(std::vector<instance_report> in_use,
                                                     monotonic_time now) {
    for (instance_report& report : in_use) {
      const auto [at, added] = listed_.try_emplace(report.id);
      changed_ = changed_ || added || !SameRecord(at->second.report, report);
      at->second = {std::move(report), now};
    }
    const auto expired = [now](const auto& item) { return now - item.second.in_use > kRetention; };
    const bool any_expired = std::any_of(listed_.begin(), listed_.end(), expired);
    const bool due =
        changed_ ? now >= last_write_ + kMinWriteInterval : now >= last_write_ + kRetention;
    if (!due || (!changed_ && !any_expired)) return std::nullopt;
    std::erase_if(listed_, expired);
    last_write_ = now;
    changed_ = false;
    std::vector<instance_report> out;
    out.reserve(listed_.size());
    for (const auto& [id, item] : listed_) out.push_back(item.report);
    return out;
  }

 private:
  struct listed_instance {
    instance_report report;
    monotonic_time in_use{};  // last
  };
  static bool SameRecord(const instance_report& a, const instance_report& b) {
    return a.incarnation == b.incarnation && a.address == b.address && a.capacity == b.capacity;
  }

  static constexpr std::chrono::milliseconds kMinWriteInterval{300};
  static constexpr std::chrono::milliseconds kRetention{3000};

  std::map<std::string, listed_instance> listed_;
  monotonic_time last_write_{};
  bool changed_ = false;  // since it was last written
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_FLEET_RECORD_H_
