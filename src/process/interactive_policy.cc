#include "process/interactive_policy.h"

#include <tuple>

namespace catkinford {
namespace {

constexpr uint32_t kProbes = 16;   // candidates probed
constexpr double kLoadSteps = 16;  // loads within one step count as equal

}  // namespace

bool interactive_policy::Choose(const shard_capacity& endpoints, const job_record& job,
                                uint32_t count, std::vector<endpoint_index>& out) const {
  if (count != 1) return false;
  const resources& need = job.request.each;
  best_candidate<std::tuple<bool, int, uint32_t>> best;
  endpoints.Open().VisitLeastLoaded(need, kProbes, job.request.id.lo, [&](endpoint_index endpoint) {
    const endpoint_record& e = endpoints[endpoint];
    const int load = static_cast<int>(DominantShare(e.used, e.capacity) * kLoadSteps);
    best.Offer(endpoint, {endpoint == job.avoid, load, endpoints.Interactive(e.rack)});
    return true;
  });
  if (best.endpoint == kNoEndpoint) best.endpoint = endpoints.Open().FindAny(need);
  if (best.endpoint == kNoEndpoint) return false;
  out.push_back(best.endpoint);
  return true;
}

}  // namespace catkinford
