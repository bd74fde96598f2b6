// Tracks whether the platform's store answers this entry: compares how long the oldest pending call
// has been waiting with the recent latency of replies.
//
// A store that stops answering holds every call until its timeout. Submissions sent meanwhile may
// or may not be carried out, so their callers can be told neither success nor failure. Judging by
// pending calls detects this within a few hundred milliseconds; later submissions are rejected at
// once, and correctly so: they were never sent.
#ifndef CATKINFORD_PROCESS_SITE_STORE_HEALTH_H_
#define CATKINFORD_PROCESS_SITE_STORE_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "process/site/event_loop.h"

namespace catkinford {

enum class store_state : uint8_t {
  kUp,
  kSuspect,  // a call takes longer than usual: delay further calls briefly
  kDown
};

class store_health {
 public:
  // A call is sent. Returns its number, to be passed to Answered(). Not for calls that wait at the
  // store on purpose (watches).
  uint64_t Sent(monotonic_time now);
  // `success`: the store carried out the call or gave the reason why it can't. False: the store was
  // unavailable or did not reply.
  void Answered(uint64_t call, bool success, monotonic_time now);

  store_state State(monotonic_time now) const;
  // When the call was sent that has been without success longest, if it waits for longer than usual
  // or has failed.
  std::optional<monotonic_time> TroubleSince(monotonic_time now) const;
  // Retry-After for callers that are rejected now. Grows with the duration of the outage, which is
  // expected to last about as long again: callers have few retries, and with a fixed second they
  // would use all of them in an outage of four seconds.
  std::chrono::seconds RetryAfter(monotonic_time now) const;
  // Smoothed latency of recent successful calls.
  std::chrono::milliseconds Latency() const;

 private:
  std::map<uint64_t, monotonic_time> pending_;  // by call number: when it was sent
  uint64_t last_call_ = 0;
  uint64_t last_success_ = 0;  // the newest call that succeeded
  monotonic_time last_success_at_ =
      monotonic_time::max();             // time of the last successful reply; max(): none
  uint32_t consecutive_failures_ = 0;    // failed calls since the last success
  monotonic_time first_failure_sent_{};  // the first of them
  std::chrono::duration<double, std::milli> latency_{0};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_STORE_HEALTH_H_
