// Whether starts wait until their records are stored.
//
// They do as long as the store is quick: it costs a start about 10 ms and lets the next owner know
// where each task may be at work. With a store that takes 300 ms an answer, each step of a quick
// job would lose as much. Then the owner declares, in the store, that its records run behind;
// starts leave at once, and a next owner that finds the declaration waits for the instances that it
// cannot list. The declaration is withdrawn when the store is quick again and nothing is missing in
// the records.
#ifndef CATKINFORD_PROCESS_SITE_RECORD_MODE_H_
#define CATKINFORD_PROCESS_SITE_RECORD_MODE_H_

#include <chrono>
#include <cstdint>

#include "process/site/event_loop.h"

namespace catkinford {

class record_mode {
 public:
  // A change was stored after this time.
  void OnChangeStored(std::chrono::milliseconds took, monotonic_time now);
  // A change has waited for this long.
  void OnChangePending(std::chrono::milliseconds waited);
  // An earlier owner's declaration was found.
  void OnInherited();
  // This owner does not know all that earlier ones may have started: until it does, the next one
  // must be told the same.
  void OnUnconfirmedStarts();
  void OnAsyncDeclared();
  void OnAsyncWithdrawn();

  // The next change should hold the declaration.
  bool ShouldDeclareAsync() const { return phase_ == phase::kSlow; }
  // The next change may withdraw it, if all records are stored and all that earlier owners may have
  // started is known.
  bool ShouldWithdrawAsync(bool all_known) const {
    return phase_ == phase::kRecovering && all_known;
  }
  bool StartsAwaitRecords() const { return phase_ != phase::kAsync; }

 private:
  enum class phase : uint8_t {
    kWriteAhead,  // records first
    kSlow,        // records first, and the store is slow
    kAsync,       // declared: starts leave at once
    kRecovering,  // records first again; the declaration still stands
  };
  phase phase_ = phase::kWriteAhead;
  bool unconfirmed_starts_ = false;
  monotonic_time fast_since_ = monotonic_time::max();
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_RECORD_MODE_H_
