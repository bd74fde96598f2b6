// Learned run times: the run times that callers declare are wrong, but in a consistent way.
//
// A regression line per queue is fitted through the logarithms of declared and actual run times,
// with recent runs weighted most. Where declarations carry no information the line is flat, and
// every task is expected to take the usual time of its queue; where they are accurate the line
// follows them.
//
// Declared times are wrong by a factor of three either way. If they were used as they are, half of
// the copies that they suggest would lose, sound runs would count as stalled, and jobs would be
// served in an order unrelated to which of them are short of time.
#ifndef CATKINFORD_PROCESS_SCHEDULING_RUN_TIMES_H_
#define CATKINFORD_PROCESS_SCHEDULING_RUN_TIMES_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace catkinford {

// Of one queue, as stored for a next owner: weighted sums over the logarithms of declared (x) and
// actual (y) run times.
struct queue_run_times {
  std::string queue;
  double w = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
};

// How far run times are from the expected ones.
struct run_time_spread {
  double deviation = 0;    // standard deviation of the logarithm of actual over expected time
  double long_share = 0;   // of the runs, those that took several times the expected time
  double long_factor = 1;  // by which these are longer
  // The spread is one of the tasks, whose length is not known, and not of the runs of a task.
  bool of_tasks = false;
};

class run_times {
 public:
  // What an expected run time was derived from: runs of other steps, whose tasks may be longer or
  // shorter, or runs of the same step, whose tasks are alike.
  enum class basis : uint8_t { kQueue, kStep };

  // A task of the queue ran undisturbed from beginning to end. `weight`: 1 per step, divided among
  // its tasks, which are alike.
  void OnRun(const std::string& queue, std::chrono::milliseconds declared,
             std::chrono::milliseconds took, double weight);
  // Expected run time of such a task on a sound instance; the declared time until a run of the
  // queue is known.
  std::chrono::milliseconds Expected(const std::string& queue,
                                     std::chrono::milliseconds declared) const;
  // Such a run took this time where `expected` was expected.
  void OnSpread(const std::string& queue, basis from, std::chrono::milliseconds expected,
                std::chrono::milliseconds took, double weight);
  // A run lost against its copy, which was made as the run was overdue. It counts as a long one:
  // otherwise copies would hide the long runs that they are made for.
  void OnBeaten(const std::string& queue, basis from, double weight);
  run_time_spread Spread(const std::string& queue, basis from) const;

  std::vector<queue_run_times> Save() const;
  // Counts like a few steps. A queue of which runs are known already is left as it is, and so is
  // one whose sums belong to no run times.
  void Load(const std::vector<queue_run_times>& queues);

 private:
  // Weighted sums over the logarithms of declared (x) and actual (y) run times.
  struct regression {
    double w = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;

    void Add(double log_declared, double log_took, double weight);
    void Decay(double factor);
  };
  static regression Prior();
  // Weighted sums; runs that took several times the expected time are not part of the deviation.
  struct spread_sums {
    double w = 0;
    double squares = 0;
    double long_w = 0;
    double long_logs = 0;
  };
  struct queue_spread {
    std::array<spread_sums, 2> of_basis;
  };
  static queue_spread SpreadPrior();
  static run_time_spread SpreadOf(const spread_sums& sums, basis from);
  spread_sums& SpreadSums(const std::string& queue, basis from);

  absl::flat_hash_map<std::string, queue_spread> spreads_;    // by queue
  absl::flat_hash_map<std::string, regression> regressions_;  // by queue
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_RUN_TIMES_H_
