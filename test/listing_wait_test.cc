#include "process/scheduling/listing_wait.h"

#include <catch2/catch.hpp>

namespace catkinford {
namespace {

TEST_CASE("listing wait, all answered, is long") {
  listing_wait wait;
  for (int i = 0; i < 1000; ++i) wait.OnAnswered();
  CHECK(wait.Wait() == std::chrono::seconds{1});
}

// Some calls in a hundred are held up for seconds. Each costs the callers of quick work at that
// instance as long as the listing would have waited.
TEST_CASE("listing wait, some in a hundred lost, is short, and long again afterwards") {
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
