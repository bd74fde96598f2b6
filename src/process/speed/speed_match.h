// Which work goes to fast and which to slow instances.
//
// Load: a fleet of unlike machines that is not full. Work that a slow instance would make late
// takes a fast one; work that can wait, and work whose speed nobody notices, leaves the fast ones
// free.
#ifndef CATKINFORD_PROCESS_SPEED_SPEED_MATCH_H_
#define CATKINFORD_PROCESS_SPEED_SPEED_MATCH_H_

#include <chrono>

#include "process/speed/instance_speed.h"

namespace catkinford {

// How a step bears slow instances.
struct speed_need {
  enum class kind : uint8_t {
    kNone,      // all instances are alike
    kDeadline,  // its job is late after `most`
    kSlow       // its job gains nothing from a fast instance
  };
  kind what = kind::kNone;
  // The largest slowness with which the job can still be in time.
  double most = 1;
};

// `left`: until the job's objective. `chain`: the longest chain of work left, and `run`: a task of
// this step, both at the usual speed.
speed_need DeadlineNeed(std::chrono::milliseconds left, std::chrono::milliseconds chain,
                        std::chrono::milliseconds run);
// True if an instance of this slowness suits the step.
bool Suits(const speed_need& need, double slowness);
// Added to the score of an instance, which is between 0 and 1 otherwise. Higher is better.
double SpeedScore(const speed_need& need, double slowness);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SPEED_SPEED_MATCH_H_
