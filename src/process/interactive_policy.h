// Interactive tasks: immediate start on the least loaded endpoint, spread over racks.
#ifndef CATKINFORD_PROCESS_INTERACTIVE_POLICY_H_
#define CATKINFORD_PROCESS_INTERACTIVE_POLICY_H_

#include <cstdint>
#include <vector>

#include "process/placement_policy.h"

namespace catkinford {

struct interactive_policy {
  bool Choose(const shard_capacity& endpoints, const job_record& job, uint32_t count,
              std::vector<endpoint_index>& out) const;
};

static_assert(placement_policy<interactive_policy>);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_INTERACTIVE_POLICY_H_
