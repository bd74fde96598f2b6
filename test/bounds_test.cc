#include "bench/bounds.h"

#include <catch2/catch.hpp>

namespace catkinford {

// A bound that can never fail would let a regression land unseen.
TEST_CASE("bounds, figures over, under and missing, names each that does not hold", "[bounds]") {
  const nlohmann::json bounds = {{{"figure", "a"}, {"most", 2.0}},
                                 {{"figure", "b"}, {"least", 0.5}},
                                 {{"figure", "c"}, {"most", 1.0}},
                                 {{"figure", "d"}, {"most", 1.0}}};
  const std::vector<passed_bound> passed =
      PassedBounds(bounds, {{"a", 2.1}, {"b", 0.4}, {"c", 1.0}});
  REQUIRE(passed.size() == 3);
  CHECK(passed[0].figure == "a");
  CHECK(passed[1].figure == "b");
  CHECK(passed[2].missing);
}

}  // namespace catkinford
