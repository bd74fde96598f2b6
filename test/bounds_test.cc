#include "bench/bounds.h"

#include <catch2/catch.hpp>

namespace catkinford {

// A bound that can never fail would let a regression land unseen.
TEST_CASE("bounds, figures over, under and missing, names each that does not hold", "[bounds]") {
  const nlohmann::json bounds = {{{"figure", "a"}, {"most", 2.0}},
                                 {{"figure", "b"}, {"least", 0.5}},
                                 {{"figure", "c"}, {"most", 1.0}},
                                 {{"figure", "d"}, {"most", 1.0}}};
  const std::vector<broken_bound> broken =
      BrokenBounds(bounds, {{"a", 2.1}, {"b", 0.4}, {"c", 1.0}});
  REQUIRE(broken.size() == 3);
  CHECK(broken[0].figure == "a");
  CHECK(broken[1].figure == "b");
  CHECK(broken[2].missing);
}

}  // namespace catkinford
