#include "process/timeline.h"

#include <algorithm>
#include <utility>

namespace catkinford {

timeline::timeline(size_t capacity) : ring_(std::max<size_t>(capacity, 1)) {}

void timeline::Record(event_code code, monotonic_time now, const request_id& id, uint64_t epoch,
                      std::string subject, std::string detail) {
  const std::lock_guard lock(mutex_);
  timeline_event& event = ring_[next_ % ring_.size()];
  event.seq = next_;
  event.at = now;
  event.code = code;
  event.id = id;
  event.epoch = epoch;
  event.subject = std::move(subject);
  event.detail = std::move(detail);
  ++next_;
}

std::vector<timeline_event> timeline::Since(uint64_t since, size_t limit) const {
  const std::lock_guard lock(mutex_);
  const uint64_t oldest = next_ > ring_.size() ? next_ - ring_.size() : 1;
  std::vector<timeline_event> out;
  for (uint64_t seq = std::max(since, oldest); seq < next_ && out.size() < limit; ++seq) {
    out.push_back(ring_[seq % ring_.size()]);
  }
  return out;
}

}  // namespace catkinford
