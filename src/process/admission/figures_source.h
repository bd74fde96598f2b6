// Makes the owner's figures for the entries: which pairs of queue and workspace are beyond their
// share, and how many of their jobs each entry may still accept.
//
// Load: workspaces send more than their share while no capacity is free. The cost of an arrival is
// a look-up; forecasts are made once per update. No I/O, no clock.
#ifndef CATKINFORD_PROCESS_ADMISSION_FIGURES_SOURCE_H_
#define CATKINFORD_PROCESS_ADMISSION_FIGURES_SOURCE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "process/admission/admission_figures.h"
#include "process/admission/load_view.h"
#include "process/admission/wait_forecast.h"

namespace catkinford {

// A job that was accepted.
struct accepted_job {
  std::string id;
  std::string queue;
  std::string service;
  std::string workspace;
  std::string entry;       // that accepted it
  int priority = 0;        // of the queue
  double share = 1;        // of the workspace, in jobs per second
  bool beyond = false;     // beyond that share
  bool inherited = false;  // accepted under an earlier owner: says nothing about arrivals now
  std::chrono::milliseconds useful{0};  // it may start this much later and still be of use
  double work = 0;                      // processor-seconds, by the expected run times
  typical_step step;                    // its widest one
};

class figures_source {
 public:
  explicit figures_source(uint64_t epoch) { figures_.epoch = epoch; }

  void OnJob(const accepted_job& job, monotonic_time now);
  // `entries`: the number of entries that accept jobs.
  void Update(const load_view& load, size_t entries, monotonic_time now);
  // The figures for one entry: rates are its part.
  admission_figures For(const std::string& entry, monotonic_time now) const;
  // The forecast of a job beyond its share, by queue, as of the last update.
  const absl::btree_map<std::string, std::chrono::milliseconds>& Waits() const { return waits_; }
  // The job's first start: the forecast at its arrival and its wait, if it was beyond its share.
  struct outcome {
    std::chrono::milliseconds forecast{0};
    std::chrono::milliseconds actual{0};
  };
  std::optional<outcome> OnStart(const std::string& id, monotonic_time now);

 private:
  static constexpr size_t kMaxRows = 64;  // about 80 bytes each in a message
  static constexpr size_t kMaxForecasts = 512;
  // A pair stays listed for this long after its last job beyond the share.
  static constexpr std::chrono::milliseconds kHold{4000};
  static constexpr std::chrono::milliseconds kForget{20000};
  static constexpr std::chrono::milliseconds kPartSmoothing{4000};
  static constexpr std::chrono::milliseconds kForecastKept{120000};
  // Jobs per second that are accepted of each listed pair beyond its share. Without them an
  // accepted rate equal to the share would look as if the load were over.
  static constexpr double kLeastBeyond = 0.5;
  // Entries that get fewer callers than their part leave some of the rate unused, and what is
  // within the share must not be rejected for that.
  static constexpr double kShareMargin = 1.2;
  // Part of the rate that all entries get alike, so that an entry whose callers come back is not
  // left with none.
  static constexpr double kEvenPart = 0.2;
  static constexpr double kTypicalWeight = 0.05;  // of the latest job in a queue's typical values

  struct queue_state {
    std::string service;
    int priority = 0;
    double useful_s = 0;
    double work = 0;
    double cpu_milli = 0;
    double memory_mb = 0;
    double accelerators = 0;
    double tasks = 0;

    typical_step Step() const;
  };
  // Jobs counted with exponentially falling weights.
  struct recent_count {
    double count = 0;
    monotonic_time at{};

    double At(monotonic_time now) const;
  };
  struct pair_state {
    double share = 1;
    monotonic_time last_beyond{};
    absl::flat_hash_map<std::string, recent_count> of_entry;
  };
  using pair_key = std::pair<std::string, std::string>;  // queue, workspace
  struct made_forecast {
    std::chrono::milliseconds wait{0};
    monotonic_time at{};
  };

  void LearnQueue(const accepted_job& job);
  void DropForgotten(monotonic_time now);

  admission_figures figures_;  // with the rates of all entries together
  size_t entries_ = 1;
  absl::btree_map<std::string, queue_state> queues_;
  absl::btree_map<pair_key, pair_state> pairs_;     // with a job beyond the share of late
  std::map<std::string, wait_forecast> forecasts_;  // by service
  absl::btree_map<std::string, std::chrono::milliseconds> waits_;
  absl::flat_hash_map<std::string, made_forecast> made_;  // by job that has not started
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ADMISSION_FIGURES_SOURCE_H_
