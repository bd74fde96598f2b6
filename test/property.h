// Runs rapidcheck properties with a fixed seed, so that every run tests the same cases.
#ifndef CATKINFORD_TEST_PROPERTY_H_
#define CATKINFORD_TEST_PROPERTY_H_

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>
#include <utility>
#include <variant>

namespace catkinford {

struct property_run {
  uint64_t seed = 1;
  int cases = 200;
  int size = 200;  // rapidcheck size of the largest case
};

// True if the property holds for all cases; else prints the smallest failing case.
template <typename Property>
bool Holds(const property_run& run, Property&& property) {
  rc::detail::TestParams params;
  params.seed = run.seed;
  params.maxSuccess = run.cases;
  params.maxSize = run.size;
  const rc::detail::TestResult result = rc::detail::checkTestable(
      std::forward<Property>(property), rc::detail::TestMetadata{}, params);
  const bool held = result.template is<rc::detail::SuccessResult>();
  if (!held) {
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
  }
  return held;
}

}  // namespace catkinford

#endif  // CATKINFORD_TEST_PROPERTY_H_
