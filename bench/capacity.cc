#include "bench/capacity.h"

#include <cmath>

namespace catkinford {

capacity_figure WorkOut(const capacity_line& line, const slope_report& report) {
  capacity_figure figure;
  double variance = 0;
  for (const capacity_term& term : line.terms) {
    const slope* found = report.Find(term.slope);
    if (found == nullptr) {
      figure.complete = false;
      continue;
    }
    if (term.part == term_part::kFixed) {
      figure.amount += term.Times() * found->fixed;
      continue;
    }
    figure.amount += term.Times() * found->each;
    variance += std::pow(term.Times() * found->spread, 2);
    figure.extrapolated |= term.is_state && term.count > found->Largest();
  }
  figure.spread = std::sqrt(variance);
  return figure;
}

capacity_figure WorkOut(const capacity_sum& sum, const slope_report& report) {
  capacity_figure all;
  double variance = 0;
  for (const capacity_line& line : sum.lines) {
    const capacity_figure one = WorkOut(line, report);
    all.amount += one.amount;
    variance += std::pow(one.spread, 2);
    all.extrapolated |= one.extrapolated;
    all.complete &= one.complete;
  }
  all.spread = std::sqrt(variance);
  return all;
}

}  // namespace catkinford
