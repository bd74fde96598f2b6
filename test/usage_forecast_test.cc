#include "process/usage_forecast.h"

#include <catch2/catch.hpp>

#include "bench/cell.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

class usage_forecast_fixture {
 protected:
  // Seventeen other shards of the same size.
  double Observe(uint32_t elsewhere, uint32_t own) {
    now_ += milliseconds{1000};
    forecast_.Observe({elsewhere, 0, 0, 0}, {own, 0, 0, 0}, kOthers, milliseconds{500}, now_);
    return Elsewhere(own);
  }
  double Elsewhere(uint32_t own) const { return forecast_.Elsewhere(0, own, kOthers); }

  static constexpr usage_forecast::relative_sizes kOthers{17, 17, 17, 17};
  usage_forecast forecast_;
  monotonic_time now_{std::chrono::hours{1}};
};

}  // namespace

TEST_CASE_METHOD(usage_forecast_fixture, "usage forecast, no report, expects nothing elsewhere",
                 "[shares]") {
  CHECK(Elsewhere(1000) == 0);
}

TEST_CASE_METHOD(usage_forecast_fixture, "usage forecast, first report, is taken in full",
                 "[shares]") {
  CHECK(Observe(9000, 1000) == Approx(9000));
}

// A team returns. Every shard sees its deficit and gives it what becomes free; if the others were
// assumed unchanged until the next report, all together would give it far too much.
TEST_CASE_METHOD(usage_forecast_fixture, "usage forecast, own use grows, expects others to follow",
                 "[shares]") {
  Observe(0, 0);
  CHECK(Elsewhere(1000) > 5000);
  CHECK(Elsewhere(1000) <= 17000);
  CHECK(Elsewhere(0) == 0);
}

// Others may not follow: their part of the team's jobs may have ended. The reports must win in the
// end, or the team would be judged by a wrong forecast indefinitely.
TEST_CASE_METHOD(usage_forecast_fixture,
                 "usage forecast, others do not follow, converges to the reports", "[shares]") {
  Observe(2000, 0);
  double seen = 0;
  for (int i = 0; i < 60; ++i) seen = Observe(2000, 1000);
  CHECK(seen == Approx(2000).margin(10));
}

// The largest team leaves a cell of 18 shards and returns. With reports averaged over all shards it
// got nothing for ten seconds while others ran on; with the latest report alone shares oscillate.
TEST_CASE("cell, largest team returns to many shards, gets its share within seconds", "[shares]") {
  cell_options options;
  options.shards = 18;
  const std::vector<cell_phase> phases = RunCell(options);
  REQUIRE(phases.size() == 3);
  for (const cell_phase& phase : phases) {
    CHECK(phase.settled_s <= 10);
    CHECK(phase.worst_after_10s < 2);
  }
}

}  // namespace catkinford
