// Load: rejected callers that return; see return_schedule.h.
#include "process/admission/return_schedule.h"

#include <algorithm>

namespace catkinford {
namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kShortest{1};
constexpr size_t kMaxRows = 256;

}  // namespace

return_schedule::return_schedule(milliseconds max_retry_after)
    : longest_(std::max(kShortest, std::chrono::floor<seconds>(max_retry_after))) {}

return_schedule::promise return_schedule::Reject(const std::string& id, const std::string& queue,
                                                 const std::string& workspace, double rate,
                                                 milliseconds excess, monotonic_time now) {
  DropExpired(now);
  if (rows_.size() >= kMaxRows) {
    absl::erase_if(rows_, [&](const auto& item) { return item.second.next < now; });
  }
  if (rows_.size() >= kMaxRows) return {longest_, false};
  row& places = rows_[{queue, workspace}];
  const monotonic_time at = std::max(places.next, now + kShortest);
  const seconds after = std::chrono::ceil<seconds>(at - now);
  if (rate > 0 && after <= longest_ && places_.size() < kMaxPlaces) {
    const duration<double> interval(std::min(1 / rate, duration<double>(longest_).count() + 1));
    places.next = at + duration_cast<monotonic_time::duration>(interval);
    places_[id] = now + after;
    order_.emplace_back(now + after + kLate, id);
    return {after, true};
  }
  // Without a place the caller returns when the wait is short enough at the earliest.
  const seconds first = std::clamp(std::chrono::ceil<seconds>(excess), kShortest, longest_);
  const auto choices = static_cast<uint64_t>((longest_ - first).count()) + 1;
  return {first + seconds(static_cast<int64_t>(places.unplaced++ % choices)), false};
}

bool return_schedule::OnTime(const std::string& id, monotonic_time now) const {
  const auto found = places_.find(id);
  return found != places_.end() && now >= found->second - kEarly && now <= found->second + kLate;
}

void return_schedule::DropExpired(monotonic_time now) {
  // Ends of validity are not in order, but no two of them differ by more than the longest
  // Retry-After, which bounds how long an entry stays behind another one.
  while (!order_.empty() && (order_.front().first < now || order_.size() > kMaxPlaces)) {
    const auto found = places_.find(order_.front().second);
    // A caller that was rejected again has a later place.
    if (found != places_.end() && found->second + kLate <= order_.front().first) {
      places_.erase(found);
    }
    order_.pop_front();
  }
}

}  // namespace catkinford
