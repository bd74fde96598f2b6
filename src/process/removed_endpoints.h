// Detects drained endpoints that were removed permanently: absent from the platform's list for so
// long that a list which lags or is incomplete is no reason to give them work again. Pure.
#ifndef CATKINFORD_PROCESS_REMOVED_ENDPOINTS_H_
#define CATKINFORD_PROCESS_REMOVED_ENDPOINTS_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

class removed_endpoints {
 public:
  // Returns those of `drained` that have been absent from every list for at least `wait`.
  std::vector<std::string> Update(const std::vector<std::string>& drained,
                                  const std::set<std::string>& listed,
                                  std::chrono::milliseconds wait, monotonic_time now);

 private:
  std::map<std::string, monotonic_time> missing_since_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_REMOVED_ENDPOINTS_H_
