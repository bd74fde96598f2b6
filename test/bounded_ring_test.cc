#include "connection/bounded_ring.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace catkinford {
namespace {

constexpr std::chrono::milliseconds kNoWait{0};

std::vector<int> TakeAll(bounded_ring<int>& ring) {
  std::vector<int> taken;
  ring.PopAll(taken, kNoWait);
  return taken;
}

}  // namespace

TEST_CASE("bounded ring, grown with its head in the middle, keeps order", "[bounded_ring]") {
  bounded_ring<int> ring(5000);
  for (int i = 0; i < 10; ++i) ring.TryPush(i);
  TakeAll(ring);
  std::vector<int> expected;
  for (int i = 0; i < 3000; ++i) {
    REQUIRE(ring.TryPush(i));
    expected.push_back(i);
  }
  CHECK(TakeAll(ring) == expected);
  REQUIRE(ring.TryPush(7));  // in the slots that remain after shrinking
  CHECK(TakeAll(ring) == std::vector<int>{7});
}

TEST_CASE("bounded ring, full at a capacity that is not a power of two, rejects",
          "[bounded_ring]") {
  bounded_ring<int> ring(33);
  for (int i = 0; i < 33; ++i) REQUIRE(ring.TryPush(i));
  int refused = 34;
  CHECK_FALSE(ring.TryPush(refused));
  CHECK(TakeAll(ring).size() == 33);
}

}  // namespace catkinford
