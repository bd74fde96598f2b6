#include "process/scheduling/job_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <vector>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const monotonic_time kStart{seconds(100)};

job_timing Timing(milliseconds allowed, milliseconds remaining) {
  return {kStart, kStart + allowed, remaining};
}

TEST_CASE("job order, enough time left, is in time and the nearest objective goes first") {
  const job_order_key near = OrderKeyOf(Timing(seconds(3), seconds(1)), kStart);
  const job_order_key far = OrderKeyOf(Timing(seconds(9), seconds(1)), kStart);
  CHECK(near.rank == job_rank::kInTime);
  CHECK(near < far);
}

// Guards against a late job that makes the next one late as well: its objective has passed, or will
// pass before its work is done.
TEST_CASE("job order, objective can't be met, goes behind those that can") {
  const job_order_key late = OrderKeyOf(Timing(seconds(3), seconds(4)), kStart);
  const job_order_key other = OrderKeyOf(Timing(seconds(60), seconds(1)), kStart);
  CHECK(late.rank == job_rank::kLate);
  CHECK(other < late);
}

TEST_CASE("job order, too late to be of use, goes last") {
  const job_order_key place = OrderKeyOf(Timing(seconds(3), seconds(1)), kStart + seconds(9));
  CHECK(place.rank == job_rank::kTooLate);
}

// Guards against a permanent backlog under a load that just matches the capacity: ordered by
// objectives alone, every job waits for as long as the backlog is deep.
TEST_CASE("job order, backlog at full capacity, most later jobs are in time") {
  constexpr int kJobs = 400;
  constexpr milliseconds kRun{100};  // one at a time; one arrives in each such interval
  std::vector<job_timing> waiting;
  const auto arrive = [&](monotonic_time now) {
    waiting.push_back({now, now + milliseconds{500}, kRun});
  };
  for (int i = 0; i < 10; ++i) arrive(kStart);
  int in_time = 0;
  monotonic_time now = kStart;
  for (int i = 0; i < kJobs; ++i, now += kRun) {
    arrive(now);
    const auto next = std::min_element(waiting.begin(), waiting.end(),
                                       [&](const job_timing& a, const job_timing& b) {
                                         return OrderKeyOf(a, now) < OrderKeyOf(b, now);
                                       });
    if (now + kRun <= next->objective) ++in_time;
    waiting.erase(next);
  }
  CHECK(in_time > kJobs * 9 / 10);
}

}  // namespace
}  // namespace catkinford
