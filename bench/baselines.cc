#include "bench/baselines.h"

#include "process/free_index.h"

namespace catkinford {
namespace {

constexpr int kDraws = 8;

}  // namespace

bool first_fit::Choose(const std::vector<baseline_endpoint>& floor, const resources& need,
                       endpoint_index& chosen) {
  for (endpoint_index e = 0; e < floor.size(); ++e) {
    if (!Fits(need, floor[e].Free())) continue;
    chosen = e;
    return true;
  }
  return false;
}

bool random_of_two::Choose(const std::vector<baseline_endpoint>& floor, const resources& need,
                           endpoint_index& chosen) {
  const auto load = [&](endpoint_index e) {
    return DominantShare(floor[e].used, floor[e].capacity);
  };
  const auto size = static_cast<uint32_t>(floor.size());
  for (int draw = 0; draw < kDraws; ++draw) {
    const endpoint_index a = random.Below(size);
    const endpoint_index b = random.Below(size);
    chosen = load(a) <= load(b) ? a : b;
    if (Fits(need, floor[chosen].Free())) return true;
    chosen = chosen == a ? b : a;
    if (Fits(need, floor[chosen].Free())) return true;
  }
  return false;
}

}  // namespace catkinford
