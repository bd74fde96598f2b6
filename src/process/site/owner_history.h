// Whether an owner before the last one may still give orders.
//
// What goes wrong: an owner is cut off together with its domain, and another entry claims the site
// before its lease has ended. The new owner dies moments later and is followed in turn. The third
// knows that the second is dead and waits for nobody else, but the first goes on in its domain
// until its lease ends, and extends what runs there: tasks of its instances run twice. So an owner
// tells in its word whether it claimed early, and who follows it too soon after that waits for
// both.
#ifndef CATKINFORD_PROCESS_SITE_OWNER_HISTORY_H_
#define CATKINFORD_PROCESS_SITE_OWNER_HISTORY_H_

#include <chrono>

#include "process/site/site_records.h"

namespace catkinford {

class owner_history {
 public:
  // The store names this owner.
  void OnSeen(const owner_record& owner, monotonic_time now) {
    if (owner.epoch == epoch_) return;
    epoch_ = owner.epoch;
    early_ = owner.early;
    since_ = now;
  }

  // Of the owners before the last one that was seen. `lease`: of an owner.
  bool EarlierMayAct(std::chrono::milliseconds lease, monotonic_time now) const {
    return early_ && now < since_ + lease;
  }

 private:
  uint64_t epoch_ = 0;
  bool early_ = false;
  monotonic_time since_{};  // this entry knows of it
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OWNER_HISTORY_H_
