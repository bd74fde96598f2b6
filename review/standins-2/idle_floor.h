// The last part of the rule LOST: for three seconds a job has nothing running while its turn has
// come, there is capacity for a task of it twice over, its tenant has under half of `maximum`, and
// under half of the service's capacity is in use.
#ifndef CATKINFORD_REVIEW_STANDINS_2_IDLE_FLOOR_H_
#define CATKINFORD_REVIEW_STANDINS_2_IDLE_FLOOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "site.h"

namespace review {

// A job as its consumer sent it; all its tasks need the same, and no tenant has a `maximum`.
struct sent_job {
  std::string queue;
  std::string id;
  std::string key;
  int64_t cpu = 0;
  int64_t memory_mb = 0;
  std::string kind;  // of the worker, by `constraints`; empty: any
};

// Looks at the workers for three seconds and returns the ids of the jobs of which the rule is
// broken. `all`: every job that was sent; `asked`: those that are judged and are not completed.
std::vector<std::string> NeglectedJobs(site& of, const std::map<std::string, sent_job>& all,
                                       const std::vector<sent_job>& asked);

}  // namespace review

#endif  // CATKINFORD_REVIEW_STANDINS_2_IDLE_FLOOR_H_
