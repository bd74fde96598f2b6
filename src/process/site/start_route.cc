#include "process/site/start_route.h"

#include <algorithm>
#include <chrono>

#include "absl/hash/hash.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A carrier answers within 100 ms; one that does not may be cut off or gone.
constexpr milliseconds kOverdue{150};
constexpr milliseconds kAvoided{3000};

}  // namespace

bool start_route::Usable(const std::string& carrier, monotonic_time now) const {
  const auto avoided = avoided_until_.find(carrier);
  if (avoided != avoided_until_.end() && now < avoided->second) return false;
  return std::none_of(waiting_.begin(), waiting_.end(), [&](const auto& item) {
    return item.second.carrier == carrier && now - item.second.sent > kOverdue;
  });
}

std::optional<std::string> start_route::CarrierFor(const std::string& job,
                                                   const std::string& accepted_by, uint32_t group,
                                                   bool busy, monotonic_time now) const {
  if (!busy || entries_.empty()) return std::nullopt;
  const bool lives = std::find(entries_.begin(), entries_.end(), accepted_by) != entries_.end();
  if (group == 0 && lives && Usable(accepted_by, now)) return accepted_by;
  // The same one for all tasks of the group: it reads the payload once.
  const std::string& other = entries_[absl::HashOf(job, group) % entries_.size()];
  if (!Usable(other, now)) return std::nullopt;
  return other;
}

uint64_t start_route::Sent(const std::string& carrier, monotonic_time now) {
  waiting_.emplace_hint(waiting_.end(), ++last_message_, sent_message{carrier, now});
  return last_message_;
}

void start_route::Answered(uint64_t message, bool taken, monotonic_time now) {
  const auto found = waiting_.find(message);
  if (found == waiting_.end()) return;
  if (!taken) avoided_until_[found->second.carrier] = now + kAvoided;
  waiting_.erase(found);
}

void start_route::Unheard(const std::string& carrier, monotonic_time now) {
  avoided_until_[carrier] = now + kAvoided;
}

}  // namespace catkinford
