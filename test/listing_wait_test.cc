#include "process/scheduling/listing_wait.h"

#include <catch2/catch.hpp>

namespace catkinford {
namespace {

TEST_CASE("listing wait, all answered, is long") {
  listing_wait wait;
  for (int i = 0; i < 1000; ++i) wait.OnAnswered();
  CHECK(wait.Wait() == std::chrono::seconds{1});
}

// Guards against long waits when a few calls in a hundred are delayed for seconds: each delays
// quick work at that instance for as long as the listing would have waited.
TEST_CASE("listing wait, a few per cent lost, is short, and long again afterwards") {
  listing_wait wait;
  for (int i = 0; i < 400; ++i) {
    wait.OnAnswered();
    if (i % 25 == 0) wait.OnLost();
  }
  CHECK(wait.Wait() < std::chrono::seconds{1});
  for (int i = 0; i < 2000; ++i) wait.OnAnswered();
  CHECK(wait.Wait() == std::chrono::seconds{1});
}

}  // namespace
}  // namespace catkinford
