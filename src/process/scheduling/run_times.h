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

#include <chrono>
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

class run_times {
 public:
  // A task of the queue ran undisturbed from beginning to end. `weight`: 1 per step, divided among
  // its tasks, which are alike.
  void OnRun(const std::string& queue, std::chrono::milliseconds declared,
             std::chrono::milliseconds took, double weight);
  // Expected run time of such a task on a sound instance; the declared time until a run of the
  // queue is known.
  std::chrono::milliseconds Expected(const std::string& queue,
                                     std::chrono::milliseconds declared) const;

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

  absl::flat_hash_map<std::string, regression> regressions_;  // by queue
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_RUN_TIMES_H_
