#include "process/rejection_history.h"

namespace catkinford {

void rejection_history::Add(const request_id& id, uint64_t ask, const outcome& refused,
                            monotonic_time now) {
  if (ask == 0) return;
  const ask_key key{id, ask};
  if (!rejections_.try_emplace(key, rejection{refused.reason, refused.retry_after}).second) return;
  order_.emplace_back(now, key);
  if (order_.size() > capacity_) RemoveOldest();
}

std::optional<outcome> rejection_history::Find(const request_id& id, uint64_t ask) const {
  const auto found = rejections_.find({id, ask});
  if (ask == 0 || found == rejections_.end()) return std::nullopt;
  return RejectedOutcome(id, found->second.reason, found->second.retry_after, "already rejected");
}

void rejection_history::Expire(monotonic_time now) {
  while (!order_.empty() && now - order_.front().first >= window_) RemoveOldest();
}

void rejection_history::RemoveOldest() {
  rejections_.erase(order_.front().second);
  order_.pop_front();
}

}  // namespace catkinford
