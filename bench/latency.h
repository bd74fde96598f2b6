// Percentiles of measured times.
#ifndef CATKINFORD_BENCH_LATENCY_H_
#define CATKINFORD_BENCH_LATENCY_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <vector>

namespace catkinford {

// Keeps every sample: runs are bounded, and percentiles are then exact.
template <typename duration>
class latency_samples {
 public:
  void Add(duration sample) { samples_.push_back(sample); }
  void AddAll(const latency_samples& others) {
    samples_.insert(samples_.end(), others.samples_.begin(), others.samples_.end());
  }
  size_t Count() const { return samples_.size(); }

  // The sample that `part` of all do not pass; zero without samples.
  duration Percentile(double part) const {
    if (samples_.empty()) return duration{0};
    const auto rank =
        static_cast<size_t>(std::lround(part * static_cast<double>(samples_.size() - 1)));
    std::vector<duration> sorted = samples_;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                     sorted.end());
    return sorted[rank];
  }

  duration Sum() const {
    duration sum{0};
    for (const duration sample : samples_) sum += sample;
    return sum;
  }

 private:
  std::vector<duration> samples_;
};

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_LATENCY_H_
