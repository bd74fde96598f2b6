// Distinguishes late answers that are caused by local delay from those caused by their instances.
//
// In a burst that is too large for the owner, it reads answers late from all instances alike. If
// that counted as silence, it would cause stops, new starts and new listings, which are yet more
// work. A failure domain that is cut off affects only its own instances, so if clearly more answers
// than that are late at once, the time-out is raised for all.
#ifndef CATKINFORD_PROCESS_SCHEDULING_TIMEOUT_FACTOR_H_
#define CATKINFORD_PROCESS_SCHEDULING_TIMEOUT_FACTOR_H_

#include <cstddef>

namespace catkinford {

// Factor for the usual time-out. `overdue` of `waiting` answers are late by more than the time-out;
// `largest_domain` of the awaited answers are from the largest failure domain.
inline double TimeoutFactor(size_t waiting, size_t largest_domain, size_t overdue) {
  constexpr double kMargin = 0.08;  // single instances may be unreachable at any time
  constexpr double kRaisedFactor = 3;
  const double threshold =
      static_cast<double>(largest_domain) + kMargin * static_cast<double>(waiting);
  return static_cast<double>(overdue) > threshold ? kRaisedFactor : 1;
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_TIMEOUT_FACTOR_H_
