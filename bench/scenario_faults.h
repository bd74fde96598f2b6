// The faults that scenarios bring about, by name.
#ifndef CATKINFORD_BENCH_SCENARIO_FAULTS_H_
#define CATKINFORD_BENCH_SCENARIO_FAULTS_H_

#include <span>
#include <string>
#include <string_view>

#include "bench/scenario_run.h"

namespace catkinford {

struct scenario_info {
  std::string_view name;
  std::string_view help;
  // Before the start: what the fleet and the load need for it; may be null.
  void (*prepare)(scenario_options& options);
  // The fault itself, from its beginning to its end.
  void (*run)(scenario_run& run);
};

// All scenarios, without `two_faults`, which takes a seeded pair of them.
std::span<const scenario_info> AllScenarios();
// Those of which two_faults takes two.
std::span<const std::string_view> PairedScenarios();
const scenario_info* FindScenario(std::string_view name);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_SCENARIO_FAULTS_H_
