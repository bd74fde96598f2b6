#include "process/site/advice_timeout.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

class advice_timeout_fixture {
 protected:
  void Answer(milliseconds beyond) { timeout.OnEnd(urgent, urgent.expected + beyond); }
  milliseconds Beyond() const { return timeout.Of(urgent) - urgent.expected; }

  advice_query urgent = [] {
    advice_query query;
    query.expected = milliseconds(40);
    query.urgent = true;
    return query;
  }();
  advice_timeout timeout;
};

TEST_CASE_METHOD(advice_timeout_fixture, "advice timeout, quick answers, is short") {
  for (int i = 0; i < 50; ++i) Answer(milliseconds(5 + i % 7));
  CHECK(Beyond() == milliseconds(150));
}

// Guards against queries that are given up and repeated on a narrow link, where the answers take
// longer than 150 ms beyond the policy's time.
TEST_CASE_METHOD(advice_timeout_fixture,
                 "advice timeout, answers slow for some time, covers them") {
  for (int i = 0; i < 30; ++i) Answer(milliseconds(250 + i % 5 * 20));
  CHECK(Beyond() > milliseconds(330));
  CHECK(Beyond() < milliseconds(900));
  for (int i = 0; i < 100; ++i) Answer(milliseconds(5));
  CHECK(Beyond() == milliseconds(150));
}

// Guards against a limit that stays too short since no answer ever comes in time to raise it.
TEST_CASE_METHOD(advice_timeout_fixture, "advice timeout, no answers in time, grows to its limit") {
  for (int i = 0; i < 100 && Beyond() < milliseconds(900); ++i) Answer(Beyond());
  CHECK(Beyond() >= milliseconds(600));
  CHECK(Beyond() <= milliseconds(900));
}

TEST_CASE_METHOD(advice_timeout_fixture,
                 "advice timeout, query that is not urgent, is the longest") {
  advice_query slow = urgent;
  slow.urgent = false;
  CHECK(timeout.Of(slow) == slow.expected + milliseconds(900));
}

}  // namespace
}  // namespace catkinford
