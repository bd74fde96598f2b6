// Several decision cores, each with a floor of its own, that hear of each other's use late: do the
// teams get their shares of the whole? In virtual time, at the core's interface; no model of a
// cluster: starts take no time and nothing fails.
#ifndef CATKINFORD_BENCH_CELL_H_
#define CATKINFORD_BENCH_CELL_H_

#include <chrono>
#include <cstdint>
#include <vector>

namespace catkinford {

struct cell_options {
  uint32_t shards = 3;
  uint32_t endpoints = 6;                   // of each shard
  std::chrono::milliseconds news{1000};     // from one report of use to the next
  std::chrono::milliseconds lag{20};        // until it is heard
  std::chrono::milliseconds length{30000};  // of each phase
  uint32_t outstanding = 48;                // requests of each team for each shard
  bool uneven = false;  // every other team's work goes to a third of the shards only
  uint64_t seed = 1;
};

// The largest distance from share over all teams, in percentage points.
struct cell_phase {
  double worst_after_10s = 0;   // of the parts from the tenth second on, as one
  double settled_s = 0;         // from then on no window of 5 s is further off than 2 points
  std::vector<double> windows;  // of 5 s each
};

// All teams present; the largest away; the largest back.
std::vector<cell_phase> RunCell(const cell_options& options);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_CELL_H_
