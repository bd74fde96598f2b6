// Whether an owner before the last one may still send commands.
//
// The fault it guards against: an owner is cut off together with its domain, and another entry
// claims the site before its lease has ended. The new owner dies moments later and is superseded in
// turn. The third knows that the second is dead and waits for no other, but the first continues in
// its domain until its lease ends and extends the work there: tasks of its instances run twice.
// Therefore an owner's record states whether it claimed early, and an owner that supersedes it too
// soon after that waits for both.
#ifndef CATKINFORD_PROCESS_SITE_OWNER_HISTORY_H_
#define CATKINFORD_PROCESS_SITE_OWNER_HISTORY_H_

#include <chrono>

#include "process/site/site_records.h"

namespace catkinford {

class owner_history {
 public:
  // The store names this owner.
  void OnOwner(const owner_record& owner, monotonic_time now) {
    if (owner.epoch == epoch_) return;
    epoch_ = owner.epoch;
    claimed_early_ = owner.early;
    first_seen_ = now;
  }

  // Whether an owner before the last one seen may still act. `lease`: length of an owner's lease.
  bool EarlierOwnerMayAct(std::chrono::milliseconds lease, monotonic_time now) const {
    return claimed_early_ && now < first_seen_ + lease;
  }

 private:
  uint64_t epoch_ = 0;
  bool claimed_early_ = false;
  monotonic_time first_seen_{};  // by this entry
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OWNER_HISTORY_H_
