// The policies measured in virtual time, with baselines in the same run.
#ifndef CATKINFORD_BENCH_POLICY_H_
#define CATKINFORD_BENCH_POLICY_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace catkinford {

// Figures of one mix ("kitamura", "altynsay" or "both"), by scheduler ("core", "first_fit",
// "random_of_two").
nlohmann::json RunMix(std::string_view mix, uint64_t seed, uint32_t scale = 1);

// Figures of the focused workloads: packing, closeness to share, overload.
nlohmann::json RunFocused(uint64_t seed);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_POLICY_H_
