#include "process/refusal_memory.h"

namespace catkinford {

void refusal_memory::Add(const request_id& id, uint64_t ask, const outcome& refused,
                         monotonic_time now) {
  if (ask == 0) return;
  const one_ask key{id, ask};
  if (!refusals_.try_emplace(key, refusal{refused.reason, refused.retry_after}).second) return;
  order_.emplace_back(now, key);
  if (order_.size() > capacity_) ForgetOldest();
}

std::optional<outcome> refusal_memory::Find(const request_id& id, uint64_t ask) const {
  const auto found = refusals_.find({id, ask});
  if (ask == 0 || found == refusals_.end()) return std::nullopt;
  return RejectedOutcome(id, found->second.reason, found->second.retry_after, "refused before");
}

void refusal_memory::Expire(monotonic_time now) {
  while (!order_.empty() && now - order_.front().first >= window_) ForgetOldest();
}

void refusal_memory::ForgetOldest() {
  refusals_.erase(order_.front().second);
  order_.pop_front();
}

}  // namespace catkinford
