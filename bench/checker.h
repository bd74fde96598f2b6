// Judges a history by the ten promises of docs/PROMISES.md.
#ifndef CATKINFORD_BENCH_CHECKER_H_
#define CATKINFORD_BENCH_CHECKER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "bench/history.h"

namespace catkinford {

enum class promise : uint8_t {
  kCapacity,       // no instance is given more than it can hold
  kOnePlace,       // no task runs in two places at once
  kOwnTeam,        // work only for the team of the key; a withdrawn key stops within seconds
  kLimit,          // no team has more running than its limit
  kWholeAnswer,    // every caller receives the whole answer to its own request
  kNotRun,         // told "not run", it did not run
  kAtMostOnce,     // a request that is not repeatable runs at most once
  kLeaving,        // a leaving endpoint receives no new work after a few seconds
  kGracefulStop,   // a graceful shutdown cuts off no request in flight
  kConfiguration,  // accepted: in force everywhere within seconds, never reverts
};
constexpr size_t kPromises = 10;

std::string_view ToText(promise which);

struct violation {
  promise broken = promise::kCapacity;
  std::string subject;  // endpoint, task, team, caller's mark or entry
  monotonic_time at;
  std::string detail;
};

struct verdict {
  std::array<uint64_t, kPromises> checked{};  // how many things each promise was held against
  std::vector<violation> violations;

  bool Held() const { return violations.empty(); }
  uint64_t Violations(promise which) const;
};

// "Within seconds" and "after a few seconds", in numbers.
struct checker_bounds {
  std::chrono::milliseconds withdrawal{5000};
  std::chrono::milliseconds leaving{3000};
  std::chrono::milliseconds in_force{5000};
};

verdict Check(const history& seen, const checker_bounds& bounds);

// {"capacity":{"checked":N,"broken":M}, ...}, and the first violations in words.
nlohmann::json ToJson(const verdict& result);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_CHECKER_H_
