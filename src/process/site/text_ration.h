// Bounds what an entry gives of its link for texts that other entries ask it for. Many may ask at
// once; without a bound their answers fill the link, none arrives in time, and what the entry
// itself waits for arrives late.
#ifndef CATKINFORD_PROCESS_SITE_TEXT_RATION_H_
#define CATKINFORD_PROCESS_SITE_TEXT_RATION_H_

#include <chrono>
#include <cstddef>

#include "connection/traffic_counter.h"
#include "request/job_request.h"

namespace catkinford {

class text_ration {
 public:
  explicit text_ration(double link_mbps)
      : bytes_per_second_(kShare * link_mbps * kBytesPerMegabit) {}

  // True when `bytes` may be sent now; they count as sent.
  bool Take(size_t bytes, monotonic_time now) {
    if (now < free_at_) return false;
    const std::chrono::duration<double> takes(static_cast<double>(bytes) / bytes_per_second_);
    free_at_ = now + std::chrono::duration_cast<monotonic_time::duration>(takes);
    return true;
  }

 private:
  static constexpr double kShare = 0.25;  // of the link

  double bytes_per_second_;
  monotonic_time free_at_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_TEXT_RATION_H_
