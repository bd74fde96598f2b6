// Detects whether the owner of the site is dead, as seen by one watching entry, by short liveness
// checks of its process a few times a second.
//
// The owner's lease at the store ends 1.5 s after its death, and every short job in flight is late
// by then. A killed process rejects connections at once; one that lost power does not answer. A
// false suspicion costs a needless takeover but does not break safety: instances reject the older
// epoch, and the store rejects the older owner's changes.
//
// A busy owner is silent too: on a narrow link its answers wait behind its work. An owner that
// reported to be busy, or whose changes still arrive at the store, keeps the site until its lease
// ends.
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
  kBusy,          // alive and overloaded
  kOtherProcess,  // a later process at the same address
  kRefused,       // connection refused
  kSilent         // no answer in time
};

class owner_failure_detector {
 public:
  // Starts watching the owner of this epoch, unless it is watched already.
  void Watch(uint64_t epoch, monotonic_time now);
  void OnAnswer(liveness answer, monotonic_time now);
  // The revision of the owner's last change at the store, 0 for none; it is read when the owner's
  // process was silent.
  void OnCommit(uint64_t revision, monotonic_time now);
  bool Suspected(monotonic_time now) const;
  // No evidence that the process has ended: it may be unreachable or busy.
  bool OnlyTimeouts() const;
  // Time until the next liveness check. Short after a refused connection, since a second one
  // decides.
  std::chrono::milliseconds QueryInterval() const;

 private:
  uint64_t epoch_ = 0;
  monotonic_time last_answer_{};
  uint32_t refusals_ = 0;  // consecutive
  uint32_t timeouts_ = 0;  // consecutive
  bool replaced_ = false;
  bool busy_ = false;                             // as of its last answer
  std::optional<uint64_t> last_commit_revision_;  // last one read
  monotonic_time last_commit_seen_{};             // when that revision was first read
};

// Whether other entries' liveness checks confirm the suspicion: one that reaches the owner refutes
// it, and no answer at all means that the asking entry may be the one cut off.
bool SuspicionConfirmed(const std::vector<liveness>& answers);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OWNER_FAILURE_DETECTOR_H_
