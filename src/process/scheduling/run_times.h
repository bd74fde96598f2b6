// Learned run times: what callers declare is far off, but off in a way that lasts.
//
// For each queue a line is fitted through the logarithms of declared and real run times, with
// recent runs counting most. Where declarations say nothing the line is flat, and every task is
// expected to take what tasks of its queue take; where they are good it follows them.
//
// The load it answers: declared times are wrong by a factor of three either way. Taken at their
// word, half of the copies that they suggest lose, sound runs count as stalled, and jobs are served
// in an order that has little to do with which of them are short of time.
#ifndef CATKINFORD_PROCESS_SCHEDULING_RUN_TIMES_H_
#define CATKINFORD_PROCESS_SCHEDULING_RUN_TIMES_H_

#include <chrono>
#include <string>

#include "absl/container/flat_hash_map.h"

namespace catkinford {

class run_times {
 public:
  // A task of the queue ran undisturbed from its beginning to its end. `weight`: 1 for a step,
  // shared among its tasks, which are alike.
  void OnRun(const std::string& queue, std::chrono::milliseconds declared,
             std::chrono::milliseconds took, double weight);
  // How long such a task will take on a sound instance; the declared time while nothing is known.
  std::chrono::milliseconds Expected(const std::string& queue,
                                     std::chrono::milliseconds declared) const;

 private:
  // Weighted sums over the logarithms of declared (x) and real (y) times.
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
