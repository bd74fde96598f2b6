// What a placement policy must offer. One policy for each kind of work, a file pair each.
#ifndef CATKINFORD_PROCESS_PLACEMENT_POLICY_H_
#define CATKINFORD_PROCESS_PLACEMENT_POLICY_H_

#include <concepts>
#include <cstdint>
#include <vector>

#include "process/job_table.h"
#include "process/shard_capacity.h"

namespace catkinford {

// Choose() appends one endpoint for each of `count` waiting tasks of the job and returns true, or
// appends nothing and returns false when they do not all find room now. It changes nothing.
template <typename policy>
concept placement_policy =
    requires(const policy& p, const shard_capacity& floor, const job_record& job, uint32_t count,
             std::vector<endpoint_index>& out) {
      { p.Choose(floor, job, count, out) } -> std::same_as<bool>;
    };

// The better of two candidates by a score, the lowest winning; the first one on a tie.
template <typename score>
struct best_candidate {
  endpoint_index endpoint = kNoEndpoint;
  score value{};

  void Offer(endpoint_index candidate, const score& offered) {
    if (endpoint != kNoEndpoint && !(offered < value)) return;
    endpoint = candidate;
    value = offered;
  }
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_PLACEMENT_POLICY_H_
