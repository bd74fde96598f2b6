// Whether the platform's store answers this entry, judged by its calls: how long the oldest one has
// been waiting, against how long answers took lately.
//
// A store that goes silent keeps every call until its timeout. Submissions sent meanwhile may be
// carried out or not, nobody can say, and their callers get neither a yes nor a no. Judged by the
// calls under way, silence is noticed within a few hundred milliseconds, and what comes after is
// refused at once, truthfully: it was never sent.
#ifndef CATKINFORD_PROCESS_SITE_STORE_HEALTH_H_
#define CATKINFORD_PROCESS_SITE_STORE_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "process/site/event_loop.h"

namespace catkinford {

enum class store_state : uint8_t {
  kUp,
  kSuspect,  // a call waits longer than usual: wait a moment before sending more
  kDown
};

class store_health {
 public:
  // A call leaves; its number is given back with the answer. Calls that wait at the store on
  // purpose (watches) are left out.
  uint64_t Sent(monotonic_time now);
  // `good`: the store did what it was asked or said why not; not: turned away, or no answer.
  void Answered(uint64_t call, bool success, monotonic_time now);

  store_state State(monotonic_time now) const;
  // When a caller that is refused now should come back. An outage that has lasted for a while will
  // last about as long again: callers have few tries, and spend them all in one outage of four
  // seconds if each is told to come back in one.
  std::chrono::seconds RetryAfter(monotonic_time now) const;
  // Of recent good answers, smoothed.
  std::chrono::milliseconds Latency() const;

 private:
  std::map<uint64_t, monotonic_time> pending_;  // when each call was sent
  uint64_t last_call_ = 0;
  uint64_t last_success_ = 0;                               // the newest call with a good answer
  monotonic_time last_success_at_ = monotonic_time::max();  // the last good answer
  uint32_t consecutive_failures_ = 0;                       // since the last good answer
  std::chrono::duration<double, std::milli> latency_{0};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_STORE_HEALTH_H_
