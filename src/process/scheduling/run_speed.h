// The share of full speed that a filler run was told to use, as far as its owner can know.
#ifndef CATKINFORD_PROCESS_SCHEDULING_RUN_SPEED_H_
#define CATKINFORD_PROCESS_SCHEDULING_RUN_SPEED_H_

#include <cstdint>

#include "process/scheduling/scheduler_messages.h"
#include "request/job_request.h"

namespace catkinford {

inline constexpr uint32_t kFullSpeed = 100;

class run_speed {
 public:
  // An earlier owner may have slowed the run down.
  void SetInherited();
  // In percent: the last one that the instance acknowledged; at first an assumed one if inherited.
  uint32_t Percent() const { return percent_; }
  // False: the run may have another speed than Percent().
  bool Certain() const { return certain_; }
  bool AtFull() const { return certain_ && percent_ == kFullSpeed; }

  bool MayChange(monotonic_time now) const { return !in_flight_ && now >= next_change_; }
  // `next_change`: no further command before.
  void OnSent(monotonic_time next_change);
  void OnAnswer(uint32_t percent, command_result result, monotonic_time now);

 private:
  uint32_t percent_ = kFullSpeed;
  bool certain_ = true;
  bool in_flight_ = false;
  monotonic_time next_change_{};
  // A command without an answer may be executed until then, after newer ones.
  monotonic_time late_until_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_RUN_SPEED_H_
