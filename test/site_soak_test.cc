// Random faults on complete sites of real processes. To run it by hand with seeds FROM to TO:
//   CATKINFORD_SOAK_SEEDS=FROM:TO build/release/bin/catkinford-tests "[.soak]"
#include "site_soak.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace catkinford {
namespace {

constexpr std::chrono::seconds kFaultDuration{12};

void RunSeed(uint64_t seed) {
  INFO("seed " << seed);
  site_soak soak(seed, absl::StrCat("seed", seed));
  const std::vector<std::string> violations = soak.Run(kFaultDuration);
  for (const std::string& what : violations) UNSCOPED_INFO(what);
  CHECK(violations.empty());
  CHECK(soak.Accepted() > 0);
}

// Guards against jobs that run twice, are lost after they were accepted, or run after they were
// rejected, while entries are killed, paused, stopped and cut off, instances become unreachable and
// replies get lost, one after the other and overlapping. Guards against long-running tasks that
// stay down after losses of power because instances have no connection left (odd seeds: busy
// owner).
TEST_CASE("site soak, overlapping faults of first seed, keeps every guarantee") { RunSeed(1); }
TEST_CASE("site soak, overlapping faults of second seed, keeps every guarantee") { RunSeed(2); }

// Guards against "no such queue" by a version that is no longer in effect.
TEST_CASE("site soak, queue added during faults, is never reported as unknown") { RunSeed(8); }

TEST_CASE("site soak, seeds given by hand, keeps every guarantee", "[.soak]") {
  const char* range = std::getenv("CATKINFORD_SOAK_SEEDS");
  REQUIRE(range != nullptr);
  const std::vector<std::string> ends = absl::StrSplit(range, ':');
  REQUIRE(ends.size() == 2);
  uint64_t from = 0;
  uint64_t to = 0;
  REQUIRE(absl::SimpleAtoi(ends[0], &from));
  REQUIRE(absl::SimpleAtoi(ends[1], &to));
  for (uint64_t seed = from; seed <= to; ++seed) RunSeed(seed);
}

}  // namespace
}  // namespace catkinford
