// What an owner has learned of run times and speeds, stored for the next one.
//
// Failure: a site changes its owner several times a day. Without the record, each new owner places
// urgent work on slow instances until it has seen enough runs of its own.
//
// The record only moves preferences: what is loaded counts like a few runs and is replaced by the
// new owner's own observations.
#ifndef CATKINFORD_PROCESS_LEARNED_LEARNED_RECORD_H_
#define CATKINFORD_PROCESS_LEARNED_LEARNED_RECORD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/scheduling/run_times.h"
#include "process/speed/instance_speed.h"
#include "request/step_graph.h"

namespace catkinford {

// Of one instance, by id: ordinals differ from owner to owner.
struct learned_instance {
  std::string id;
  double mean = 0;  // of the logarithm of its slowness
  double weight = 0;
};

struct learned_record {
  uint64_t epoch = 0;  // of the owner that wrote it
  wall_time written{};
  std::vector<queue_run_times> queues;
  std::vector<kind_speed> kinds;
  std::vector<learned_instance> instances;

  bool Empty() const { return queues.empty() && kinds.empty() && instances.empty(); }
};

inline constexpr size_t kMaxLearnedBytes = 16384;
// Older knowledge is not loaded: instances and workloads have changed by then.
inline constexpr std::chrono::minutes kMaxLearnedAge{10};

// At most kMaxLearnedBytes. What does not fit is left out, the least informative first.
std::string LearnedToText(const learned_record& record);
// Nothing for text that is malformed, too long or of another version, and for a record that is
// older than kMaxLearnedAge or was written that far in the future.
std::optional<learned_record> LearnedFromText(std::string_view text, wall_time now);

// Decides when the record is written: at most every 5 s, and only if it has changed noticeably or
// would soon be too old.
class learned_writer {
 public:
  // True if the caller should make a record now and call Differs().
  bool Due(monotonic_time now) const { return now >= next_check_; }
  // True if `record` is to be written.
  bool Differs(const learned_record& record, monotonic_time now);
  void OnWritten(learned_record record, monotonic_time now);

 private:
  static constexpr std::chrono::seconds kInterval{5};
  static constexpr std::chrono::minutes kRenewAfter{4};

  learned_record written_;
  monotonic_time written_at_{};
  monotonic_time next_check_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_LEARNED_LEARNED_RECORD_H_
