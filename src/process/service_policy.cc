#include "process/service_policy.h"

#include <algorithm>
#include <tuple>

namespace catkinford {
namespace {

constexpr uint32_t kProbes = 64;  // candidates probed before the full search

// Number of the job's replicas in the candidate's failure domain, in its rack and on the candidate
// itself.
struct neighbours {
  uint32_t in_domain = 0;
  uint32_t in_rack = 0;
  uint32_t on_endpoint = 0;
};

neighbours CountNeighbours(const shard_capacity& endpoints, const job_record& job,
                           endpoint_index endpoint) {
  const endpoint_record& candidate = endpoints[endpoint];
  neighbours n;
  for (const task_slot& task : job.tasks) {
    if (!task.Live()) continue;
    const endpoint_record& other = endpoints[task.endpoint];
    n.in_domain += other.failure_domain == candidate.failure_domain ? 1 : 0;
    n.in_rack += other.rack == candidate.rack ? 1 : 0;
    n.on_endpoint += task.endpoint == endpoint ? 1 : 0;
  }
  return n;
}

using spread_score = std::tuple<bool, uint32_t, uint32_t, uint32_t, double>;

}  // namespace

bool service_policy::Choose(const shard_capacity& endpoints, const job_record& job, uint32_t count,
                            std::vector<endpoint_index>& out) const {
  if (count != 1) return false;
  const resources& need = job.request.each;
  best_candidate<spread_score> best;
  const auto offer = [&](endpoint_index endpoint) {
    const endpoint_record& e = endpoints[endpoint];
    const neighbours n = CountNeighbours(endpoints, job, endpoint);
    best.Offer(endpoint, {endpoint == job.avoid, n.in_domain, n.in_rack, n.on_endpoint,
                          DominantShare(e.used, e.capacity)});
    return true;
  };
  endpoints.Open().VisitLeastLoaded(need, kProbes, job.request.id.lo, offer);
  // The least loaded endpoints may all be in racks that already have a replica, and the loss of one
  // rack would take several. Search all endpoints before accepting that.
  const bool shares_rack = best.endpoint == kNoEndpoint || std::get<2>(best.value) > 0;
  if (shares_rack) endpoints.Open().VisitAll(need, offer);
  if (best.endpoint == kNoEndpoint) return false;
  out.push_back(best.endpoint);
  return true;
}

}  // namespace catkinford
