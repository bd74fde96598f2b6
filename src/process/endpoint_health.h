// Tracks the failure ratio of one endpoint and its ejection from and return to the shard.
//
// Judged by failures, not by speed: an endpoint that fails every task immediately always looks free
// and would attract all work.
#ifndef CATKINFORD_PROCESS_ENDPOINT_HEALTH_H_
#define CATKINFORD_PROCESS_ENDPOINT_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "request/job_request.h"

namespace catkinford {

enum class health_state : uint8_t {
  kGood,
  kEjected,   // receives no work until a given time
  kProbation  // receives one task at a time until some have succeeded
};

// Recent good and bad runs, decaying with each new one.
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
  // Records the result of a run or of a start. True when the endpoint should be ejected, compared
  // with the ratio of its peers.
  bool Note(bool fault, const failure_ratio& peers);

  // Ejects the endpoint; the time doubles with each ejection after a failed probation.
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

// Maximum number of ejected endpoints in a shard of `endpoints`: if more fail, the cause lies
// elsewhere, and ejecting them would only remove capacity.
uint32_t EjectionLimit(uint32_t endpoints);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ENDPOINT_HEALTH_H_
