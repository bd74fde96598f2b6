// Whether answers are late because this process is, and not their instances.
//
// The load it answers: a burst for which the owner is too slow. It reads answers late, from all
// instances alike; taken for silence, that ends in stops, new starts and new listings, which are
// more work still. A failure domain that is cut off is a part of the instances, so when clearly
// more of them than that are late at once, patience is longer for all.
#ifndef CATKINFORD_PROCESS_SCHEDULING_OWN_DELAY_H_
#define CATKINFORD_PROCESS_SCHEDULING_OWN_DELAY_H_

#include <cstddef>

namespace catkinford {

// Times the usual patience. `overdue` of `waiting` answers are late by more than that; `largest` of
// them are awaited from one failure domain.
inline double DelayFactor(size_t waiting, size_t largest, size_t overdue) {
  constexpr double kMargin = 0.08;  // single instances are out of reach at any time
  constexpr double kLonger = 3;
  const double one_domain = static_cast<double>(largest) + kMargin * static_cast<double>(waiting);
  return static_cast<double>(overdue) > one_domain ? kLonger : 1;
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_OWN_DELAY_H_
