// Batch jobs: best fit by the scarcest amount, so that large jobs still find capacity.
#ifndef CATKINFORD_PROCESS_BATCH_POLICY_H_
#define CATKINFORD_PROCESS_BATCH_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "process/placement_policy.h"

namespace catkinford {

// The index of the amount of which `need` takes the largest fraction of what is free.
size_t ScarcestAmount(const resources& need, const resources& free);

struct batch_policy {
  bool Choose(const shard_capacity& endpoints, const job_record& job, uint32_t count,
              std::vector<endpoint_index>& out) const;
};

static_assert(placement_policy<batch_policy>);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_BATCH_POLICY_H_
