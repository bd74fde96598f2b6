// Services: replicas spread over failure domains, racks and endpoints.
#ifndef CATKINFORD_PROCESS_SERVICE_POLICY_H_
#define CATKINFORD_PROCESS_SERVICE_POLICY_H_

#include <cstdint>
#include <vector>

#include "process/placement_policy.h"

namespace catkinford {

struct service_policy {
  bool Choose(const shard_capacity& endpoints, const job_record& job, uint32_t count,
              std::vector<endpoint_index>& out) const;
};

static_assert(placement_policy<service_policy>);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SERVICE_POLICY_H_
