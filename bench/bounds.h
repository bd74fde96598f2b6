// Regression bounds: figures that are ratios to a baseline of the same run, held to
// bench/bounds.json.
#ifndef CATKINFORD_BENCH_BOUNDS_H_
#define CATKINFORD_BENCH_BOUNDS_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace catkinford {

using figure_map = std::map<std::string, double>;

// A figure that passed its bound, or that a bound names and no run gave.
struct broken_bound {
  std::string figure;
  double value = 0;
  double bound = 0;
  bool missing = false;
  bool is_least = false;  // the bound is a least value
};

// `bounds` is the list of bounds.json: [{"figure": NAME, "most": X}] or with "least".
std::vector<broken_bound> BrokenBounds(const nlohmann::json& bounds, const figure_map& figures);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_BOUNDS_H_
