// Decides at an entry whether a submission is accepted, by what the owner told last.
//
// Load: a workspace sends many times its share while no capacity is free; its jobs beyond the share
// would end when nobody waits for them. Without sound figures everything is accepted. No I/O, no
// clock; the cost of a decision is a look-up.
#ifndef CATKINFORD_PROCESS_ADMISSION_ENTRY_ADMISSION_H_
#define CATKINFORD_PROCESS_ADMISSION_ENTRY_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "process/admission/admission_figures.h"
#include "request/step_graph.h"

namespace catkinford {

struct submission {
  std::string id;
  std::string queue;
  std::string workspace;
  // The job may start this much later and still be of use.
  std::chrono::milliseconds useful{0};
  resources largest;       // need of one task, in each amount
  bool time_bound = true;  // false: it has no time by which its result is of no use
};
submission SubmissionOf(const graph_job& job);

struct admission_verdict {
  bool accept = true;
  std::chrono::milliseconds wait{0};  // forecast; the rest is set with it
  std::chrono::milliseconds age{0};   // of the figures
  uint64_t epoch = 0;
  uint64_t number = 0;
  double rate = 0;  // jobs per second that this entry may accept
};

class entry_admission {
 public:
  // Figures count for `valid` after their arrival. `entry`: the name of this entry.
  entry_admission(std::string entry, std::chrono::milliseconds valid);

  void OnFigures(admission_figures figures, monotonic_time now);
  // `known_epoch`: of the owner that this entry knows. `returns`: this entry promised the caller a
  // place at about this time.
  admission_verdict Judge(const submission& job, uint64_t known_epoch, bool returns,
                          monotonic_time now);

 private:
  static constexpr std::chrono::milliseconds kKeepUnused{10000};
  using pair_key = std::pair<std::string, std::string>;  // queue, workspace
  struct bucket {
    double tokens = 0;
    monotonic_time updated{};
  };
  struct row_state {
    admission_row row;
    bool current = false;  // in the latest figures
    bucket allowed;
  };

  double FirstToken(const pair_key& key) const;
  static void Refill(row_state& state, monotonic_time now);

  const std::string entry_;
  const std::chrono::milliseconds valid_;
  uint64_t epoch_ = 0;
  uint64_t number_ = 0;
  monotonic_time received_{};
  bool known_ = false;
  absl::flat_hash_map<pair_key, row_state> rows_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ADMISSION_ENTRY_ADMISSION_H_
