// Whether an owner gives up the site because the store answers others and not it.
//
// Its lease ends only up to 0.8 s later at the store, and no progress is stored until then. While
// the store answers no entry, or none of the failure domain, another owner is not surely better
// off: then only the end of the lease decides.
//
// A path to the store that fails now and then would move the site each time, and each takeover
// interrupts the decisions. Therefore there is at most one such resignation in 10 s;
// after a further loss the lease decides, as it would without this.
#ifndef CATKINFORD_PROCESS_SITE_CUT_OFF_RESIGNATION_H_
#define CATKINFORD_PROCESS_SITE_CUT_OFF_RESIGNATION_H_

#include <chrono>
#include <optional>

#include "process/site/outage_scope.h"
#include "request/job_request.h"

namespace catkinford {

class cut_off_resignation {
 public:
  // `scope`: of the trouble, as the other entries report it. `store_answered`: when the store
  // answered this owner last. True at most once in kMinInterval.
  bool ShouldResign(outage_scope scope, monotonic_time store_answered, monotonic_time now) {
    if (scope != outage_scope::kThisEntry || now - store_answered < kMinSilence) return false;
    if (resigned_at_ && now < *resigned_at_ + kMinInterval) return false;
    resigned_at_ = now;
    return true;
  }

 private:
  // The lease is renewed every 375 ms: one lost reply is no reason.
  static constexpr std::chrono::milliseconds kMinSilence{700};
  static constexpr std::chrono::seconds kMinInterval{10};

  std::optional<monotonic_time> resigned_at_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_CUT_OFF_RESIGNATION_H_
