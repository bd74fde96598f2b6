#include "bench/slope.h"

#include <catch2/catch.hpp>
#include <vector>

#include "bench/capacity.h"

namespace catkinford {
namespace {

class slope_fixture {
 protected:
  static slope Line(const std::vector<slope_point>& points) {
    slope line;
    line.name = "a.b";
    line.unit = "bytes";
    line.points = points;
    Fit(line);
    return line;
  }
};

}  // namespace

TEST_CASE_METHOD(slope_fixture, "slope, points on a line, has no spread", "[slope]") {
  const slope line = Line({{10, 130}, {20, 230}, {40, 430}, {80, 830}});
  CHECK(line.each == Approx(10));
  CHECK(line.fixed == Approx(30));
  CHECK(line.spread == Approx(0).margin(1e-9));
  CHECK(line.Largest() == 80);
}

TEST_CASE_METHOD(slope_fixture, "slope, points off the line, has the standard error as its spread",
                 "[slope]") {
  const slope line = Line({{0, 1}, {1, 0}, {2, 3}, {3, 2}});
  CHECK(line.each == Approx(0.6));
  CHECK(line.spread == Approx(0.5657).epsilon(0.001));
}

TEST_CASE_METHOD(slope_fixture, "slopes, written and read back, are the same", "[slope]") {
  slope_report report;
  report.commit = "abc";
  report.slopes.push_back(Line({{10, 130}, {20, 230}, {40, 431}}));
  const auto read = ParseSlopes(ToJson(report));
  REQUIRE(read.has_value());
  const slope* line = read->Find("a.b");
  REQUIRE(line != nullptr);
  CHECK(read->commit == "abc");
  CHECK(line->each == report.slopes[0].each);
  CHECK(line->points.size() == 3);
  CHECK(read->Find("c") == nullptr);
}

TEST_CASE_METHOD(slope_fixture, "capacity line, size over the largest run, is extrapolated",
                 "[slope]") {
  slope_report report;
  report.slopes.push_back(Line({{10, 130}, {20, 230}, {40, 430}}));
  capacity_line line{
      "state", "", {{"a.b", 41, term_part::kEach, true, 2}, {"a.b", 3, term_part::kFixed}}};
  const capacity_figure figure = WorkOut(line, report);
  CHECK(figure.amount == Approx(2 * 41 * 10 + 3 * 30));
  CHECK(figure.extrapolated);
  CHECK(figure.complete);
  line.terms = {{"a.b", 40, term_part::kEach, true}, {"not.there", 1}};
  CHECK_FALSE(WorkOut(line, report).extrapolated);
  CHECK_FALSE(WorkOut(line, report).complete);
}

}  // namespace catkinford
