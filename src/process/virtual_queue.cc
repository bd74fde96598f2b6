#include "process/virtual_queue.h"

#include <algorithm>

namespace catkinford {
namespace {

constexpr std::chrono::seconds kMaxDelay{30};  // from now to the last assigned time
constexpr std::chrono::milliseconds kEarlyTolerance{20};
// Retry-After has a resolution of whole seconds, and the retry takes a network trip.
constexpr std::chrono::seconds kLateTolerance{3};
constexpr size_t kMaxPlaces = 16384;

}  // namespace

void virtual_queue::Expire(monotonic_time now) {
  while (!order_.empty() && order_.front().first + kLateTolerance < now) {
    const auto [due, id] = order_.front();
    order_.pop_front();
    const auto found = due_.find(id);
    if (found != due_.end() && found->second == due) due_.erase(found);
  }
}

monotonic_time virtual_queue::Join(const request_id& id, monotonic_time earliest,
                                   std::chrono::nanoseconds gap, monotonic_time now) {
  Expire(now);
  const auto found = due_.find(id);
  if (found != due_.end() && found->second > now) return found->second;
  const monotonic_time due =
      std::max(earliest, last_ + std::chrono::duration_cast<monotonic_time::duration>(gap));
  if (due > now + kMaxDelay || order_.size() >= kMaxPlaces) return now + kMaxDelay;
  last_ = due;
  due_[id] = due;
  order_.emplace_back(due, id);
  return due;
}

bool virtual_queue::Redeem(const request_id& id, monotonic_time now) {
  Expire(now);
  const auto found = due_.find(id);
  if (found == due_.end() || now + kEarlyTolerance < found->second) return false;
  due_.erase(found);
  return true;
}

}  // namespace catkinford
