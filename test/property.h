// Properties by rapidcheck with a fixed seed, so that every run tries the same cases.
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
  int size = 200;  // of the largest case
};

// True when the property held for all cases; prints the smallest case that breaks it.
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
