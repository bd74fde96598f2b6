// Generated work for the policy bench: floors, teams and arrivals of the two tenants.
#ifndef CATKINFORD_BENCH_WORKLOAD_H_
#define CATKINFORD_BENCH_WORKLOAD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/decision_core.h"

namespace catkinford {

// A job and what the scheduler does not know of it.
struct generated_job {
  job_request request;                               // `submitted` and `deadline` count from zero
  std::vector<std::chrono::milliseconds> run_times;  // of each task; services run on
};

struct generated_team {
  double weight = 1;
  uint32_t running_limit = 1000000;
};

struct workload {
  std::string name;
  std::vector<endpoint_shape> endpoints;
  std::vector<generated_team> teams;
  std::vector<generated_job> jobs;  // by arrival
  std::chrono::milliseconds length{0};
};

// A day's mix in a minute or two: "kitamura" (bookings, mostly interactive), "altynsay"
// (reconciliation and audits, mostly batch), "both" (one cell with the work of both). `scale` times
// the workers of today, and work for them.
workload MixedWorkload(std::string_view mix, uint64_t seed, uint32_t scale = 1);

// Batch work of mixed sizes, all there at the start: for packing.
workload PackingWorkload(uint64_t seed);

// Teams of weights 1 to 4, each with more work than its share: for closeness to share.
workload ShareWorkload(uint64_t seed);

// Interactive work with deadlines at `load` times what the floor can do.
workload OverloadWorkload(double load, uint64_t seed);

// Three times what a small floor can do for 10 s, then half of it for 50 s.
workload StormWorkload(uint64_t seed);

// A small floor full of batch work that runs for a minute, and urgent callers.
workload UrgentWorkload(uint64_t seed);

// Six teams of equal shares that together ask for 0.7 of a small floor; or the same with team 0
// asking for three times the floor.
workload GreedyWorkload(bool greedy, uint64_t seed);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_WORKLOAD_H_
