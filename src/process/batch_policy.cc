#include "process/batch_policy.h"

#include <utility>

namespace catkinford {
namespace {

constexpr uint32_t kProbes = 32;  // candidates probed

}  // namespace

size_t ScarcestAmount(const resources& need, const resources& free) {
  size_t scarcest = 0;
  double highest = -1;
  for (size_t amount = 0; amount < kAmounts; ++amount) {
    const uint32_t wanted = AmountOf(need, amount);
    if (wanted == 0) continue;
    const double part = wanted / (static_cast<double>(AmountOf(free, amount)) + 1);
    if (part <= highest) continue;
    highest = part;
    scarcest = amount;
  }
  return scarcest;
}

bool batch_policy::Choose(const shard_capacity& endpoints, const job_record& job, uint32_t count,
                          std::vector<endpoint_index>& out) const {
  if (count != 1) return false;
  const resources& need = job.request.each;
  const size_t scarcest = ScarcestAmount(need, endpoints.Open().TotalFree());
  best_candidate<std::pair<bool, uint32_t>> best;
  endpoints.Open().VisitTightest(need, scarcest, kProbes, [&](endpoint_index endpoint) {
    best.Offer(endpoint, {endpoint == job.avoid, AmountOf(endpoints[endpoint].Free(), scarcest)});
    return true;
  });
  if (best.endpoint == kNoEndpoint) best.endpoint = endpoints.Open().FindAny(need);
  if (best.endpoint == kNoEndpoint) return false;
  out.push_back(best.endpoint);
  return true;
}

}  // namespace catkinford
