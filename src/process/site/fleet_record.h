// The stored list of instances that may run work: decides when it is written and with what content.
//
// With hundreds of instances, some stop answering and return all the time. Writing the long list at
// each such change costs the owner more CPU and bandwidth than everything else; replies are then
// read late, more instances appear silent, and the list is written again. An instance must be
// listed before it gets work, but may stay listed for a while after it leaves: the only cost is
// that the next owner waits for its leases.
#ifndef CATKINFORD_PROCESS_SITE_FLEET_RECORD_H_
#define CATKINFORD_PROCESS_SITE_FLEET_RECORD_H_

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "process/scheduling/fleet_state.h"

namespace catkinford {

class fleet_record {
 public:
  // `in_use`: the instances that may run work now. Returns the list to write, or nothing if no
  // write is due.
  std::optional<std::vector<instance_report>> Update(
      const std::vector<const instance_report*>& in_use, monotonic_time now) {
    for (const instance_report* report : in_use) {
      const auto [at, added] = listed_.try_emplace(report->id);
      at->second.in_use = now;
      if (!added && SameRecord(at->second.report, *report)) {
        outdated_ = outdated_ || at->second.report.restarted != report->restarted;
        at->second.report.restarted = report->restarted;
        continue;
      }
      changed_ = true;
      at->second.report = *report;
    }
    const auto expired = [now](const auto& item) { return now - item.second.in_use > kRetention; };
    const bool outdated = outdated_ || std::any_of(listed_.begin(), listed_.end(), expired);
    const bool due =
        changed_ ? now >= last_write_ + kMinWriteInterval : now >= last_write_ + kRetention;
    if (!due || (!changed_ && !outdated)) return std::nullopt;
    absl::erase_if(listed_, expired);
    last_write_ = now;
    changed_ = false;
    outdated_ = false;
    std::vector<instance_report> out;
    out.reserve(listed_.size());
    for (const auto& [id, item] : listed_) out.push_back(item.report);
    std::sort(out.begin(), out.end(),
              [](const instance_report& a, const instance_report& b) { return a.id < b.id; });
    return out;
  }

 private:
  struct listed_instance {
    instance_report report;
    monotonic_time in_use{};  // when it was last passed to Update()
  };
  // A restart that matters no more makes the next owner wait, but needs no write at once.
  static bool SameRecord(const instance_report& a, const instance_report& b) {
    return a.incarnation == b.incarnation && a.address == b.address && a.capacity == b.capacity &&
           (a.restarted || !b.restarted);
  }

  static constexpr std::chrono::milliseconds kMinWriteInterval{300};
  static constexpr std::chrono::milliseconds kRetention{3000};

  absl::flat_hash_map<std::string, listed_instance> listed_;
  monotonic_time last_write_{};
  bool changed_ = false;   // since the last write
  bool outdated_ = false;  // the stored list names restarts that matter no more
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_FLEET_RECORD_H_
