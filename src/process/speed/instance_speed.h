// Learned slowness of instances: how long a task runs on one instance, relative to the others.
//
// Load: a fleet of unlike machines. If a third of them takes twice as long, most late urgent jobs
// have their longest task there, although faster instances have room.
//
// Each finished step is one comparison: its tasks are alike, so that the differences between their
// run times come from their instances. What is kept of an instance is the mean and the variance of
// the logarithm of its slowness. Before an instance has runs of its own, it is expected to be like
// the others of its kind. The variance grows with time, so that one that changes is seen within a
// few runs.
#ifndef CATKINFORD_PROCESS_SPEED_INSTANCE_SPEED_H_
#define CATKINFORD_PROCESS_SPEED_INSTANCE_SPEED_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "request/job_request.h"

namespace catkinford {

enum class speed_class : uint8_t { kFast, kUsual, kSlow };
std::string_view ToText(speed_class speed);

// Run time of one task of a step, on the instance with this ordinal.
struct task_run_time {
  uint32_t instance = 0;
  std::chrono::milliseconds took{0};
};

// What is known of one instance.
struct speed_estimate {
  double slowness = 1;   // expected factor on a run time, without the dead band
  double deviation = 0;  // standard deviation of its logarithm
  uint32_t observations = 0;
  monotonic_time updated{};  // the latest observation; not set: none
};

class instance_speeds {
 public:
  instance_speeds();

  // Adds an instance, or changes the kind of a known one, whose own runs still count. `ordinal`:
  // small, unique among all instances ever seen. `kind`: instances of the same kind are expected to
  // be equally fast.
  void Add(uint32_t ordinal, const std::string& kind);
  void Remove(uint32_t ordinal);
  // The instance restarted: its new life may be faster or slower.
  void OnRestart(uint32_t ordinal);

  // The run times of the tasks of one step, all undisturbed. `expected`: of such a task at the
  // usual speed, which serves to judge a step with a single run; 0 if nothing is known of it.
  void OnStep(const std::vector<task_run_time>& runs, std::chrono::milliseconds expected,
              monotonic_time now);

  // Expected factor on a run time; 1 for an instance that differs little from the usual speed or of
  // which too little is known.
  double Slowness(uint32_t ordinal) const;
  speed_class Class(uint32_t ordinal) const;
  speed_estimate Estimate(uint32_t ordinal) const;
  std::string Kind(uint32_t ordinal) const;
  // True if some instance is not of the usual class. On an even fleet nothing needs to weigh speed.
  bool Uneven() const { return uneven_ > 0; }

  // The instances whose class changed since the last call.
  std::vector<uint32_t> TakeClassChanges();

 private:
  struct belief {
    double mean = 0;  // of the logarithm of the slowness
    double variance = 0;
  };
  struct state {
    std::string kind;
    // From the instance's own runs: sum of their weights, and of weight times logarithm.
    double weight = 0;
    double sum = 0;
    uint32_t observations = 0;
    monotonic_time updated{};
    belief now;  // with what its kind says, as of the latest step
    speed_class speed = speed_class::kUsual;

    double OwnMean() const { return weight > 0 ? sum / weight : 0; }
  };
  // Sums over the instances of a kind that have runs, each weighted by how well it is known.
  struct kind_state {
    double weight = 0;
    double sum = 0;
    double squares = 0;  // less the share of the squares that comes from the spread of runs
    std::vector<uint32_t> members;
  };

  state* Find(uint32_t ordinal);
  const state* Find(uint32_t ordinal) const;
  // What is expected of an instance of the kind without runs.
  static belief PriorOf(const kind_state& kind);
  static void Count(kind_state& kind, const state& of, int sign);
  void Observe(state& of, double log_slowness, double variance, monotonic_time now);
  // Updates the beliefs on all instances of the kind, and their classes.
  void Refresh(const std::string& kind);
  void Classify(uint32_t ordinal, state& of);

  std::vector<std::optional<state>> states_;  // by ordinal
  absl::flat_hash_map<std::string, kind_state> kinds_;
  std::vector<uint32_t> class_changes_;
  size_t uneven_ = 0;    // instances that are not of the usual class
  double run_variance_;  // learned: of the logarithm of the run times of tasks that are alike
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SPEED_INSTANCE_SPEED_H_
