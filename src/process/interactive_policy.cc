#include "process/interactive_policy.h"

#include <tuple>

namespace catkinford {
namespace {

constexpr uint32_t kProbes = 16;   // candidates looked at
constexpr double kLoadSteps = 16;  // loads within one step count as the same

}  // namespace

bool interactive_policy::Choose(const shard_capacity& floor, const job_record& job, uint32_t count,
                                std::vector<endpoint_index>& out) const {
  if (count != 1) return false;
  const resources& need = job.request.each;
  best_candidate<std::tuple<bool, int, uint32_t>> best;
  floor.Open().VisitLeastLoaded(need, kProbes, job.request.id.lo, [&](endpoint_index endpoint) {
    const endpoint_record& e = floor[endpoint];
    const int load = static_cast<int>(DominantPart(e.used, e.capacity) * kLoadSteps);
    best.Offer(endpoint, {endpoint == job.avoid, load, floor.Interactive(e.rack)});
    return true;
  });
  if (best.endpoint == kNoEndpoint) best.endpoint = floor.Open().FindAny(need);
  if (best.endpoint == kNoEndpoint) return false;
  out.push_back(best.endpoint);
  return true;
}

}  // namespace catkinford
