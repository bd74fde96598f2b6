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
#ifndef CATKINFORD_PROCESS_SITE_OWNER_SUSPICION_H_
#define CATKINFORD_PROCESS_SITE_OWNER_SUSPICION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "process/site/event_loop.h"

namespace catkinford {

enum class alive_answer : uint8_t {
  kAlive,
  kBusy,          // alive, and has more to do than it bears
  kOtherProcess,  // a later process at the same address
  kRefused,       // nothing listens there
  kSilent         // no answer in time
};

class owner_suspicion {
 public:
  // Another owner is watched from now on.
  void Watch(uint64_t epoch, monotonic_time now);
  void OnAnswer(alive_answer answer, monotonic_time now);
  // The revision of the owner's last change at the store, 0 for none, read because its process was
  // silent.
  void OnChange(uint64_t revision, monotonic_time now);
  bool Suspected(monotonic_time now) const;
  // Nothing says that the process is gone: it may be out of reach, or busy.
  bool OnlySilent() const;
  // Until the next question. Short after a refusal: the second one decides.
  std::chrono::milliseconds Pause() const;

 private:
  uint64_t epoch_ = 0;
  monotonic_time heard_{};
  uint32_t refused_ = 0;  // in a row
  uint32_t silent_ = 0;   // in a row
  bool replaced_ = false;
  bool busy_ = false;               // as it last said
  std::optional<uint64_t> change_;  // the owner's last one that was read
  monotonic_time change_since_{};   // it was first read then
};

// What other entries answer when they are asked to look for themselves: one that reaches the owner
// suffices to drop the suspicion, and nobody's answer means that the asker may be the one cut off.
bool SuspicionShared(const std::vector<alive_answer>& answers);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OWNER_SUSPICION_H_
