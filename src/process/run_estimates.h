// Learned run times for each team and kind. Declared times are often far off; what is learned here
// orders work and allows backfill, and never lets an endpoint take more than it can hold.
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

  // The usual run time; zero when nothing is known and nothing was declared.
  std::chrono::milliseconds Typical(team_index team, workload_kind kind,
                                    std::chrono::milliseconds declared) const;
  // A time that most runs stay below: the usual one and a standard deviation of its logarithm.
  std::chrono::milliseconds UpperEstimate(team_index team, workload_kind kind,
                                          std::chrono::milliseconds declared) const;

 private:
  // Mean and spread of a logarithm, the recent past weighing most.
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
