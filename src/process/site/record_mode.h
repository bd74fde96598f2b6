// Decides whether starts wait until their records are stored.
//
// They wait while the store is fast: this costs a start about 10 ms and lets the next owner know
// where each task may be running. If the store takes 300 ms per reply, each step of a short job
// would lose as much. The owner then declares in the store that its records are asynchronous, and
// sends starts at once; a next owner that finds the declaration waits for the instances whose runs
// it cannot list. The declaration is withdrawn when the store is fast again and the records are
// complete.
#ifndef CATKINFORD_PROCESS_SITE_RECORD_MODE_H_
#define CATKINFORD_PROCESS_SITE_RECORD_MODE_H_

#include <chrono>
#include <cstdint>

#include "process/site/event_loop.h"

namespace catkinford {

class record_mode {
 public:
  // A change was stored; `took`: the time from sending it to the reply.
  void OnChangeStored(std::chrono::milliseconds took, monotonic_time now);
  // A change has been waiting for the store's reply for this long.
  void OnChangePending(std::chrono::milliseconds waited);
  // The declaration of an earlier owner was found in the store.
  void OnInherited();
  // Earlier owners may have started runs that this owner does not know of. Until it knows them all,
  // it must declare asynchronous records, so that the next owner learns the same.
  void OnUnconfirmedStarts();
  void OnAsyncDeclared();
  // From now on the store may no longer hold the declaration, whether its answer arrives or not.
  void OnWithdrawalSent() { withdrawal_sent_ = true; }
  void OnAsyncWithdrawn();

  // The next change should contain the declaration.
  bool ShouldDeclareAsync() const { return phase_ == phase::kSlow; }
  // The next change may withdraw the declaration. `all_known`: all records are stored, and all runs
  // that earlier owners may have started are known.
  bool ShouldWithdrawAsync(bool all_known) const {
    return phase_ == phase::kRecovering && all_known;
  }
  bool StartsAwaitRecords() const { return phase_ != phase::kAsync; }

 private:
  enum class phase : uint8_t {
    kWriteAhead,  // starts wait for their records
    kSlow,        // starts wait, and the store is slow: not yet declared
    kAsync,       // declared: starts are sent at once
    kRecovering,  // starts wait again; the declaration is not withdrawn yet
  };
  phase phase_ = phase::kWriteAhead;
  bool unconfirmed_starts_ = false;
  bool withdrawal_sent_ = false;
  monotonic_time fast_since_ = monotonic_time::max();
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_RECORD_MODE_H_
