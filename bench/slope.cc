#include "bench/slope.h"

#include <malloc.h>

#include <algorithm>
#include <boost/math/statistics/linear_regression.hpp>
#include <cmath>
#include <ctime>
#include <nlohmann/json.hpp>

namespace catkinford {
namespace {

using json = nlohmann::json;

double StandardError(const slope& line) {
  if (line.points.size() < 3) return 0;
  double mean = 0;
  for (const slope_point& point : line.points) mean += point.size;
  mean /= static_cast<double>(line.points.size());
  double residuals = 0;
  double sizes = 0;
  for (const slope_point& point : line.points) {
    residuals += std::pow(point.cost - line.fixed - line.each * point.size, 2);
    sizes += std::pow(point.size - mean, 2);
  }
  return std::sqrt(residuals / static_cast<double>(line.points.size() - 2) / sizes);
}

json ToJson(const slope& line) {
  json points = json::array();
  for (const slope_point& point : line.points) points.push_back({point.size, point.cost});
  return {{"name", line.name},   {"unit", line.unit},           {"per", line.per},
          {"what", line.what},   {"each", line.each},           {"spread", line.spread},
          {"fixed", line.fixed}, {"r_squared", line.r_squared}, {"largest", line.Largest()},
          {"points", points}};
}

slope ParseSlope(const json& item) {
  slope line;
  line.name = item.value("name", "");
  line.unit = item.value("unit", "");
  line.per = item.value("per", "");
  line.what = item.value("what", "");
  line.each = item.value("each", 0.0);
  line.spread = item.value("spread", 0.0);
  line.fixed = item.value("fixed", 0.0);
  line.r_squared = item.value("r_squared", 0.0);
  for (const json& point : item.value("points", json::array())) {
    line.points.push_back({point[0].get<double>(), point[1].get<double>()});
  }
  return line;
}

}  // namespace

double slope::Largest() const {
  double largest = 0;
  for (const slope_point& point : points) largest = std::max(largest, point.size);
  return largest;
}

const slope* slope_report::Find(std::string_view name) const {
  for (const slope& line : slopes) {
    if (line.name == name) return &line;
  }
  return nullptr;
}

void Fit(slope& line) {
  std::vector<double> sizes;
  std::vector<double> costs;
  for (const slope_point& point : line.points) {
    sizes.push_back(point.size);
    costs.push_back(point.cost);
  }
  const auto [fixed, each, r_squared] =
      boost::math::statistics::simple_ordinary_least_squares_with_R_squared(sizes, costs);
  line.fixed = fixed;
  line.each = each;
  line.r_squared = r_squared;
  line.spread = StandardError(line);
}

slope Measure(const slope_question& question, int repeats) {
  slope line;
  line.name = question.name;
  line.unit = question.unit;
  line.per = question.per;
  line.what = question.what;
  const int runs = std::min(repeats, question.most_repeats);
  for (const double size : question.sizes) {
    for (int i = 0; i < runs; ++i) line.points.push_back({size, question.measure(size)});
  }
  Fit(line);
  return line;
}

std::string ToJson(const slope_report& report) {
  json list = json::array();
  for (const slope& line : report.slopes) list.push_back(ToJson(line));
  return json{{"commit", report.commit}, {"slopes", list}}.dump(1);
}

std::optional<slope_report> ParseSlopes(std::string_view text) {
  const json root = json::parse(text, nullptr, false, true);
  if (!root.is_object() || !root.contains("slopes")) return std::nullopt;
  slope_report report;
  report.commit = root.value("commit", "");
  for (const json& item : root["slopes"]) report.slopes.push_back(ParseSlope(item));
  return report;
}

double ThreadCpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace catkinford
