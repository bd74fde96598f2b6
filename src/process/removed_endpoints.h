// Which drained endpoints are gone for good: off the platform's list for long enough that a list
// which lags or comes back short is no reason to give them work again. Pure.
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
  // Those of `drained` that have been missing in every list since at least `wait`.
  std::vector<std::string> Update(const std::vector<std::string>& drained,
                                  const std::set<std::string>& listed,
                                  std::chrono::milliseconds wait, monotonic_time now);

 private:
  std::map<std::string, monotonic_time> missing_since_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_REMOVED_ENDPOINTS_H_
