// Whether answers are late because this process is, and not their instances.
//
// The load it answers: a burst for which the owner is too slow. It reads answers late, from all
// instances alike; taken for silence, that ends in stops, new starts and new listings, which are
// more work still. A failure domain that is cut off is a part of the instances, so when clearly
// more of them than that are late at once, patience is longer for all.
#ifndef CATKINFORD_PROCESS_SCHEDULING_TIMEOUT_FACTOR_H_
#define CATKINFORD_PROCESS_SCHEDULING_TIMEOUT_FACTOR_H_

#include <cstddef>

namespace catkinford {

// Times the usual patience. `overdue` of `waiting` answers are late by more than that; `largest` of
// them are awaited from one failure domain.
inline double TimeoutFactor(size_t waiting, size_t largest_domain, size_t overdue) {
  constexpr double kMargin = 0.08;  // single instances are out of reach at any time
  constexpr double kRaisedFactor = 3;
  const double threshold =
      static_cast<double>(largest_domain) + kMargin * static_cast<double>(waiting);
  return static_cast<double>(overdue) > threshold ? kRaisedFactor : 1;
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_TIMEOUT_FACTOR_H_
