// Limits the share of its link that an entry spends on sending configuration texts to other
// entries. Many may ask at once; without a limit the replies fill the link, none arrives in time,
// and the entry's own traffic is delayed.
#ifndef CATKINFORD_PROCESS_SITE_TEXT_RATE_LIMITER_H_
#define CATKINFORD_PROCESS_SITE_TEXT_RATE_LIMITER_H_

#include <chrono>
#include <cstddef>

#include "connection/traffic_counter.h"
#include "request/job_request.h"

namespace catkinford {

class text_rate_limiter {
 public:
  explicit text_rate_limiter(double link_mbps)
      : bytes_per_second_(kShare * link_mbps * kBytesPerMegabit) {}

  // Returns true if `bytes` may be sent now, and then counts them as sent.
  bool Take(size_t bytes, monotonic_time now) {
    if (now < free_at_) return false;
    const std::chrono::duration<double> transfer_time(static_cast<double>(bytes) /
                                                      bytes_per_second_);
    free_at_ = now + std::chrono::duration_cast<monotonic_time::duration>(transfer_time);
    return true;
  }

 private:
  static constexpr double kShare = 0.25;  // of the link

  double bytes_per_second_;
  monotonic_time free_at_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_TEXT_RATE_LIMITER_H_
