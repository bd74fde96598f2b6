// The figures of a scenario: what the fault cost, read from the same records as the verdict.
#ifndef CATKINFORD_BENCH_SCENARIO_FIGURES_H_
#define CATKINFORD_BENCH_SCENARIO_FIGURES_H_

#include <nlohmann/json.hpp>
#include <string>

#include "bench/history.h"

namespace catkinford {

// When things happened in a scenario.
struct scenario_times {
  monotonic_time begun;        // of the load
  monotonic_time fault_begin;  // of the fault
  monotonic_time fault_end;
  std::string domain;     // whose owner the fault strikes; empty: no single one
  monotonic_time struck;  // when it did
};

// Goodput (completed and accepted a second) and times over the run time, before and during the
// fault; times of the requests that ran in other domains than the stricken one; from the strike to
// the next placement there under a new epoch; until a version showed everywhere; the last use of a
// withdrawn key.
nlohmann::json FiguresOf(const history& seen, const scenario_times& times);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_SCENARIO_FIGURES_H_
