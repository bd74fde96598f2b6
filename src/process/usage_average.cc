#include "process/usage_average.h"

#include <cmath>

namespace catkinford {

usage_average::usage_average(std::chrono::milliseconds time_constant)
    : time_constant_(time_constant) {}

resources usage_average::Update(uint32_t shard, const std::string& team, const resources& running,
                                monotonic_time now) {
  const std::array<double, 4> latest = {
      static_cast<double>(running.cpu_milli), static_cast<double>(running.memory_mb),
      static_cast<double>(running.accelerators), static_cast<double>(running.slots)};
  const auto [found, is_new] = averages_.try_emplace({shard, team}, average{latest, now});
  average& kept = found->second;
  const std::chrono::duration<double> passed = now - kept.at;
  const double weight = is_new ? 1.0 : 1.0 - std::exp(-passed / time_constant_);
  for (size_t i = 0; i < latest.size(); ++i) {
    kept.amounts[i] += (latest[i] - kept.amounts[i]) * weight;
  }
  kept.at = now;
  const auto rounded = [&kept](size_t i) {
    return static_cast<uint32_t>(std::lround(kept.amounts[i]));
  };
  return {rounded(0), rounded(1), rounded(2), rounded(3)};
}

}  // namespace catkinford
