// Random draws that are the same on every machine: the standard distributions are not.
#ifndef CATKINFORD_BENCH_RANDOM_SOURCE_H_
#define CATKINFORD_BENCH_RANDOM_SOURCE_H_

#include <cmath>
#include <cstdint>
#include <numbers>
#include <random>

namespace catkinford {

class random_source {
 public:
  explicit random_source(uint64_t seed) : engine_(seed) {}

  // From 0 to `bound` - 1.
  uint32_t Below(uint32_t bound) { return static_cast<uint32_t>(engine_() % bound); }
  // From 0 up to 1.
  double Part() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  // Exponential with the given mean.
  double Exponential(double mean) { return -mean * std::log(1.0 - Part()); }
  // Log-normal: heavy-tailed, as run times are.
  double LogNormal(double median, double sigma) {
    const double u = 1.0 - Part();
    const double normal = std::sqrt(-2.0 * std::log(u)) * std::cos(2.0 * std::numbers::pi * Part());
    return median * std::exp(sigma * normal);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_RANDOM_SOURCE_H_
