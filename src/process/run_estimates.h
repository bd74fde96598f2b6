// Run time estimates by team and kind of job, from past runs. Declared times are often far off. The
// estimates only order jobs and enable backfill; they never let an endpoint exceed its capacity.
#ifndef CATKINFORD_PROCESS_RUN_ESTIMATES_H_
#define CATKINFORD_PROCESS_RUN_ESTIMATES_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

#include "process/decision_core.h"

namespace catkinford {

class run_estimates {
 public:
  void AddSample(team_index team, workload_kind kind, std::chrono::milliseconds declared,
                 std::chrono::milliseconds ran);

  // The typical run time; zero when there is neither history nor a declared time.
  std::chrono::milliseconds Typical(team_index team, workload_kind kind,
                                    std::chrono::milliseconds declared) const;
  // An upper estimate that most runs stay below: the typical time plus one standard deviation, both
  // taken on the logarithm.
  std::chrono::milliseconds UpperEstimate(team_index team, workload_kind kind,
                                          std::chrono::milliseconds declared) const;

 private:
  // Exponentially weighted mean and deviation of a logarithm.
  struct log_mean {
    double mean = 0;
    double square = 0;
    uint32_t count = 0;
    void Add(double value);
    double Deviation() const;
  };
  struct record {
    log_mean run;    // of the run time in milliseconds
    log_mean ratio;  // of the run time to the declared one
  };
  const record* Find(team_index team, workload_kind kind) const;

  std::vector<std::array<record, 4>> teams_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_RUN_ESTIMATES_H_
