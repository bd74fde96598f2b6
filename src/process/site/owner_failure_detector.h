// Whether the owner of the site is dead, as one watching entry sees it: by short questions to its
// process, asked a few times a second.
//
// The owner's lease at the store ends 1.5 s after its death, and each quick job in flight is late
// by then. A killed process refuses connections at once; one that lost power answers nothing. A
// false suspicion costs a needless takeover but breaks no promise: instances refuse the older
// epoch, and the older owner's changes are refused by the store.
//
// A busy owner is silent too: on a narrow link its answers wait behind its work. One that said so,
// or whose changes go on arriving at the store, is left to its lease.
#ifndef CATKINFORD_PROCESS_SITE_OWNER_FAILURE_DETECTOR_H_
#define CATKINFORD_PROCESS_SITE_OWNER_FAILURE_DETECTOR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "process/site/event_loop.h"

namespace catkinford {

enum class liveness : uint8_t {
  kAlive,
  kBusy,          // alive, and has more to do than it bears
  kOtherProcess,  // a later process at the same address
  kRefused,       // nothing listens there
  kSilent         // no answer in time
};

class owner_failure_detector {
 public:
  // Another owner is watched from now on.
  void Watch(uint64_t epoch, monotonic_time now);
  void OnAnswer(liveness answer, monotonic_time now);
  // The revision of the owner's last change at the store, 0 for none, read because its process was
  // silent.
  void OnCommit(uint64_t revision, monotonic_time now);
  bool Suspected(monotonic_time now) const;
  // Nothing says that the process is gone: it may be out of reach, or busy.
  bool OnlyTimeouts() const;
  // Until the next question. Short after a refusal: the second one decides.
  std::chrono::milliseconds QueryInterval() const;

 private:
  uint64_t epoch_ = 0;
  monotonic_time last_answer_{};
  uint32_t refusals_ = 0;  // in a row
  uint32_t timeouts_ = 0;  // in a row
  bool replaced_ = false;
  bool busy_ = false;                             // as it last said
  std::optional<uint64_t> last_commit_revision_;  // the owner's last one that was read
  monotonic_time last_commit_seen_{};             // it was first read then
};

// What other entries answer when they are asked to look for themselves: one that reaches the owner
// suffices to drop the suspicion, and nobody's answer means that the asker may be the one cut off.
bool SuspicionConfirmed(const std::vector<liveness>& answers);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OWNER_FAILURE_DETECTOR_H_
