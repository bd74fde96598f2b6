// Payloads of the newest jobs that this entry accepted or forwarded starts of. An evicted payload
// is read from the store again.
#ifndef CATKINFORD_PROCESS_SITE_PAYLOAD_CACHE_H_
#define CATKINFORD_PROCESS_SITE_PAYLOAD_CACHE_H_

#include <cstddef>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"

namespace catkinford {

class payload_cache {
 public:
  // `limit`: total bytes of all payloads.
  explicit payload_cache(size_t limit) : limit_(limit) {}

  void Put(const std::string& job, const std::string& payload) {
    if (!payloads_.try_emplace(job, payload).second) return;
    insertion_order_.push_back(job);
    bytes_ += payload.size();
    while (bytes_ > limit_) {
      const auto oldest = payloads_.find(insertion_order_.front());
      bytes_ -= oldest->second.size();
      payloads_.erase(oldest);
      insertion_order_.pop_front();
    }
  }
  // Null if not cached. Valid until the next Put().
  const std::string* Find(const std::string& job) const {
    const auto found = payloads_.find(job);
    return found == payloads_.end() ? nullptr : &found->second;
  }

 private:
  size_t limit_;
  size_t bytes_ = 0;
  std::deque<std::string> insertion_order_;  // oldest first
  absl::flat_hash_map<std::string, std::string> payloads_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_PAYLOAD_CACHE_H_
