// Failure ratio of one endpoint, and its way out of the shard and back.
//
// By its failures and not by its speed: an endpoint that fails at once whatever it starts always
// looks free, and would draw all work to itself.
#ifndef CATKINFORD_PROCESS_ENDPOINT_HEALTH_H_
#define CATKINFORD_PROCESS_ENDPOINT_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "request/job_request.h"

namespace catkinford {

enum class health_state : uint8_t {
  kGood,
  kEjected,   // gets nothing until a time
  kProbation  // gets one task at a time until some have gone well
};

// Recent good and bad runs, the past fading with each new one.
struct failure_ratio {
  double good = 0;
  double bad = 0;

  void Add(bool fault, double keep) {
    good = good * keep + (fault ? 0 : 1);
    bad = bad * keep + (fault ? 1 : 0);
  }
  double Ratio() const { return good + bad > 0 ? bad / (good + bad) : 0; }
};

class endpoint_health {
 public:
  // Notes the end of a run or of a start. True when the endpoint should be ejected, judged against
  // the ratio of its peers.
  bool Note(bool fault, const failure_ratio& peers);

  // Takes it out; the time grows with each ejection that follows a failed probation.
  void Eject(monotonic_time now);
  void BeginProbation();

  health_state State() const { return state_; }
  monotonic_time EjectedUntil() const { return until_; }

 private:
  failure_ratio recent_;
  health_state state_ = health_state::kGood;
  uint32_t ejections_ = 0;  // without a passed probation in between
  uint32_t passed_ = 0;     // good runs in this probation
  monotonic_time until_{};
};

// At most this many endpoints of a shard of `endpoints` are ejected at once: when more than that
// fail, the fault lies elsewhere, and ejecting would only take the room away.
uint32_t EjectionLimit(uint32_t endpoints);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ENDPOINT_HEALTH_H_
