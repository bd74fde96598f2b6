// docs/CAPACITY.md, worked out from measured slopes: each figure is a sum of counts times slopes.
#ifndef CATKINFORD_BENCH_CAPACITY_H_
#define CATKINFORD_BENCH_CAPACITY_H_

#include <string>
#include <vector>

#include "bench/slope.h"
#include "bench/target_fleet.h"

namespace catkinford {

enum class term_part : uint8_t {
  kEach,   // count times the cost of one more
  kFixed,  // count times the cost at size zero
};

// One product of the sum.
struct capacity_term {
  std::string slope;
  double count = 0;
  term_part part = term_part::kEach;
  bool is_state = false;  // `count` is a size: over the largest that was run it is extrapolated
  double copies = 1;      // of that state

  double Times() const { return count * copies; }
};

struct capacity_line {
  std::string what;
  std::string mechanism;
  std::vector<capacity_term> terms;
};

enum class capacity_limit : uint8_t { kNone, kMemory, kCpu, kBytes };

// Lines that add up to one figure of one role.
struct capacity_sum {
  std::string title;
  capacity_limit limit = capacity_limit::kNone;
  std::vector<capacity_line> lines;
};

struct capacity_figure {
  double amount = 0;
  double spread = 0;
  bool extrapolated = false;
  bool complete = true;  // false: a slope is missing
};

capacity_figure WorkOut(const capacity_line& line, const slope_report& report);
capacity_figure WorkOut(const capacity_sum& sum, const slope_report& report);

// What one entry holds, spends and sends, at rest and at the peak.
std::vector<capacity_sum> EntrySums(const target_fleet& fleet, const settings& config);

// The marked section of docs/CAPACITY.md that is written from the slopes, and its text.
constexpr const char* kCapacitySection = "capacity";
std::string CapacityPage(const slope_report& report);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_CAPACITY_H_
