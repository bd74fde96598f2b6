// Random faults over whole sites of real processes. By hand, with seeds FROM to TO:
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

// Entries are killed, paused, stopped and cut off, instances vanish, answers get lost, all of it in
// series and overlapping: a buyer must not find a room booked twice, nor lose a slot that was
// confirmed, nor have one booked that was refused.
TEST_CASE("site soak, overlapping faults of first seed, keeps every promise") { RunSeed(1); }
TEST_CASE("site soak, overlapping faults of second seed, keeps every promise") { RunSeed(2); }

// Guards against "no such queue" by a version that is out of force.
TEST_CASE("site soak, queue added among faults, is never said to be missing") { RunSeed(8); }

TEST_CASE("site soak, seeds given by hand, keeps every promise", "[.soak]") {
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
