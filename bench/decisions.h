// How long the decision core takes, by kind of work, on a floor of a given size and load.
#ifndef CATKINFORD_BENCH_DECISIONS_H_
#define CATKINFORD_BENCH_DECISIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinford {

struct decision_bench_options {
  uint32_t endpoints = 467;
  uint32_t running = 13000;
  uint32_t teams = 170;
  uint32_t steps = 20000;  // measured decisions for each phase
  uint64_t seed = 1;
};

struct decision_figure {
  std::string phase;  // "interactive", "service", "batch", "gang", "full_floor", "cancel_wave",
                      // "retry_storm"
  uint64_t decisions = 0;
  std::chrono::nanoseconds p50{0};
  std::chrono::nanoseconds p99{0};
  std::chrono::nanoseconds p999{0};
  double per_second = 0;
};

struct decision_bench_result {
  std::vector<decision_figure> figures;
  uint64_t signature = 0;  // over all decisions: the same on every machine

  const decision_figure* Find(const std::string& phase) const;
  std::chrono::nanoseconds WorstP99() const;
};

decision_bench_result RunDecisionBench(const decision_bench_options& options);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_DECISIONS_H_
