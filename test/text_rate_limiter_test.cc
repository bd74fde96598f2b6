#include "process/site/text_rate_limiter.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a saturated link when many entries ask the same one for the configuration's text.
TEST_CASE("text rate limiter, asked by many, sends one text and keeps the link free") {
  monotonic_time now{seconds(1000)};
  constexpr size_t kText = 1'000'000;
  text_rate_limiter narrow(10);
  CHECK(narrow.Take(kText, now));
  CHECK_FALSE(narrow.Take(kText, now));
  CHECK_FALSE(narrow.Take(kText, now + seconds(3)));
  CHECK(narrow.Take(kText, now + seconds(4)));
  text_rate_limiter wide(1000);
  CHECK(wide.Take(kText, now));
  CHECK(wide.Take(kText, now + milliseconds{50}));
}

}  // namespace catkinford
