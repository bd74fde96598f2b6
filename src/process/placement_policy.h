// Interface of a placement policy. Each kind of job has its own policy, in its own pair of files.
#ifndef CATKINFORD_PROCESS_PLACEMENT_POLICY_H_
#define CATKINFORD_PROCESS_PLACEMENT_POLICY_H_

#include <concepts>
#include <cstdint>
#include <vector>

#include "process/job_table.h"
#include "process/shard_capacity.h"

namespace catkinford {

// Choose() appends one endpoint for each of `count` waiting tasks of the job and returns true, or
// appends nothing and returns false when they do not all fit now. It has no other effect.
template <typename policy>
concept placement_policy =
    requires(const policy& p, const shard_capacity& endpoints, const job_record& job,
             uint32_t count, std::vector<endpoint_index>& out) {
      { p.Choose(endpoints, job, count, out) } -> std::same_as<bool>;
    };

// Keeps the candidate with the lowest score; the first one on a tie.
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
