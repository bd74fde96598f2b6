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

#include <array>
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

// What lasts beyond one owner; see learned/learned_record.h.
struct kind_speed {
  std::string kind;
  double mean = 0;    // of the logarithm of the slowness
  double spread = 0;  // variance among its instances
  double weight = 0;  // of what is known: inverse of a variance
};
struct own_speed {
  uint32_t ordinal = 0;
  double mean = 0;
  double weight = 0;
};
struct learned_speeds {
  std::vector<kind_speed> kinds;
  std::vector<own_speed> instances;  // those of which their kinds say too little
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
  bool Uneven() const { return Count(speed_class::kFast) + Count(speed_class::kSlow) > 0; }

  // Instances of the class.
  size_t Count(speed_class speed) const { return by_class_[static_cast<size_t>(speed)]; }

  // Updates what kinds say of their instances, and lets old observations fade. Called in each round
  // of decisions; a kind is updated at most every 50 ms, or more rarely if it has many instances.
  void Refresh(monotonic_time now);

  learned_speeds Save() const;
  // Counts like a few runs of each instance. What is already known of a kind or an instance stays.
  void Load(const learned_speeds& learned, monotonic_time now);

  // The instances whose class changed since the last call.
  std::vector<uint32_t> TakeClassChanges();

 private:
  struct belief {
    double mean = 0;  // of the logarithm of the slowness
    double variance = 0;
  };
  // Weighted sums over instances.
  struct evidence {
    double weight = 0;
    double sum = 0;
    double squares = 0;  // less the share of the squares that comes from the spread of runs

    evidence Without(const evidence& other) const;
  };
  struct state {
    std::string kind;
    // From the instance's own runs, as of `updated`: sum of weights, and of weight times logarithm.
    double weight = 0;
    double sum = 0;
    uint32_t observations = 0;
    bool loaded = false;  // known from an earlier owner alone, which was confident of it
    monotonic_time updated{};
    // Outliers in succession on one side: their number, negative if fast, and their sum.
    int surprises = 0;
    double surprise_sum = 0;
    belief prior;  // what the other instances of its kind say
    belief now;    // with its own runs
    speed_class speed = speed_class::kUsual;
  };
  struct kind_state {
    std::vector<uint32_t> members;
    evidence known;   // from the members that have runs, as of `refreshed`
    evidence loaded;  // from an earlier owner, as of `loaded_at`
    monotonic_time loaded_at{};
    monotonic_time refreshed{};
    bool changed = false;  // a member had runs since
  };

  state* Find(uint32_t ordinal);
  const state* Find(uint32_t ordinal) const;
  static belief PriorOf(const evidence& known);
  static evidence EvidenceOf(const state& of, monotonic_time now);
  void Observe(uint32_t ordinal, double log_slowness, double variance, size_t runs,
               monotonic_time now);
  void Refresh(kind_state& kind, monotonic_time now);
  // Derives the belief on the instance from its prior and its own runs, and its class from that.
  void Update(uint32_t ordinal, state& of, monotonic_time now);
  void Classify(uint32_t ordinal, state& of);
  void SetClass(uint32_t ordinal, state& of, speed_class speed);

  std::vector<std::optional<state>> states_;  // by ordinal
  std::vector<double> factors_;               // by ordinal: what Slowness() returns
  absl::flat_hash_map<std::string, kind_state> kinds_;
  std::vector<uint32_t> class_changes_;
  std::array<size_t, 3> by_class_{};
  double run_variance_;  // learned: of the logarithm of the run times of tasks that are alike
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SPEED_INSTANCE_SPEED_H_
