#include "process/site/start_router.h"

#include <algorithm>
#include <chrono>

#include "absl/hash/hash.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A forwarder answers within 100 ms; one that does not may be cut off or dead.
constexpr milliseconds kAnswerTimeout{150};
constexpr milliseconds kAvoidTime{3000};

}  // namespace

bool start_router::Usable(const std::string& forwarder, monotonic_time now) const {
  const auto avoided = avoided_until_.find(forwarder);
  if (avoided != avoided_until_.end() && now < avoided->second) return false;
  return std::none_of(unanswered_.begin(), unanswered_.end(), [&](const auto& item) {
    return item.second.forwarder == forwarder && now - item.second.sent > kAnswerTimeout;
  });
}

std::optional<std::string> start_router::ForwarderFor(const std::string& job,
                                                      const std::string& accepted_by,
                                                      uint32_t group, bool busy,
                                                      monotonic_time now) const {
  if (!busy || entries_.empty()) return std::nullopt;
  const bool registered =
      std::find(entries_.begin(), entries_.end(), accepted_by) != entries_.end();
  if (group == 0 && registered && Usable(accepted_by, now)) return accepted_by;
  // The same entry for all tasks of the group, so that it reads the payload once.
  const std::string& other = entries_[absl::HashOf(job, group) % entries_.size()];
  if (!Usable(other, now)) return std::nullopt;
  return other;
}

uint64_t start_router::Sent(const std::string& forwarder, monotonic_time now) {
  unanswered_.emplace_hint(unanswered_.end(), ++last_message_, sent_message{forwarder, now});
  return last_message_;
}

void start_router::OnAnswer(uint64_t message, bool accepted, monotonic_time now) {
  const auto found = unanswered_.find(message);
  if (found == unanswered_.end()) return;
  if (!accepted) avoided_until_[found->second.forwarder] = now + kAvoidTime;
  unanswered_.erase(found);
}

void start_router::OnResultMissing(const std::string& forwarder, monotonic_time now) {
  avoided_until_[forwarder] = now + kAvoidTime;
}

}  // namespace catkinford
