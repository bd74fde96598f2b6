// Tells a store that does not answer this entry alone from one that answers nobody, by what the
// other entries say about it.
//
// A caller that this entry cannot serve is served at once by another one of the failure domain in
// the first case, and by none in the second. If the domain is cut off, the balancer sends callers
// to the others only after a while. Pure: takes the other entries' answers and the present time.
#ifndef CATKINFORD_PROCESS_SITE_OUTAGE_SCOPE_H_
#define CATKINFORD_PROCESS_SITE_OUTAGE_SCOPE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

enum class outage_scope : uint8_t {
  kUnknown,
  kThisEntry,   // entries of its failure domain reach the store
  kThisDomain,  // only entries of others do, or none of theirs answers
  kAllEntries
};

// Of one entry that was asked.
struct outage_answer {
  bool other_domain = false;                     // of another failure domain than the asking entry
  std::optional<monotonic_time> store_answered;  // when the store answered it last; none: silent
};

class outage_tracker {
 public:
  // True if other entries are to be asked now. `since`: the call to the store that has been without
  // an answer longest was sent then; none: the store answers.
  bool ShouldAsk(std::optional<monotonic_time> since, monotonic_time now);
  // The answers of all entries that were asked.
  void OnAnswers(const std::vector<outage_answer>& answers, monotonic_time now);

  outage_scope Scope(monotonic_time now) const;

 private:
  bool asking_ = false;
  monotonic_time asked_at_{};
  monotonic_time since_{};
  monotonic_time judged_at_{};
  outage_scope scope_ = outage_scope::kUnknown;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OUTAGE_SCOPE_H_
