#include "process/gang_policy.h"

#include <algorithm>

#include "process/batch_policy.h"

namespace catkinford {
namespace {

constexpr uint32_t kProbes = 256;  // candidates probed before the full search

// Assigns as many of the missing tasks to the endpoint as fit. False when none is missing any more.
bool Fill(const shard_capacity& endpoints, const resources& each, endpoint_index endpoint,
          uint32_t& missing, std::vector<endpoint_index>& out) {
  const uint32_t here = std::min(missing, CountFitting(each, endpoints[endpoint].Free()));
  out.insert(out.end(), here, endpoint);
  missing -= here;
  return missing > 0;
}

}  // namespace

bool gang_policy::Choose(const shard_capacity& endpoints, const job_record& job, uint32_t count,
                         std::vector<endpoint_index>& out) const {
  const resources& each = job.request.each;
  const free_index& open = endpoints.Open();
  if (count == 0 || CountFitting(each, open.TotalFree()) < count) return false;
  const size_t first = out.size();
  uint32_t missing = count;
  const auto fill = [&](endpoint_index endpoint) {
    return endpoint == job.avoid || Fill(endpoints, each, endpoint, missing, out);
  };
  open.VisitTightest(each, ScarcestAmount(each, open.TotalFree()), kProbes, fill);
  if (missing == 0) return true;
  // Not enough among the tightest candidates: try all endpoints in index order, which misses none.
  out.resize(first);
  missing = count;
  open.VisitAll(
      each, [&](endpoint_index endpoint) { return Fill(endpoints, each, endpoint, missing, out); });
  if (missing > 0) out.resize(first);
  return missing == 0;
}

}  // namespace catkinford
