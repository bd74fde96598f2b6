#include "process/virtual_queue.h"

#include <catch2/catch.hpp>
#include <vector>

#include "test/decision_fixture.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class virtual_queue_fixture {
 protected:
  monotonic_time Join(uint64_t caller, milliseconds wait) {
    return queue_.Join({1, caller}, now_ + wait, milliseconds{10}, now_);
  }

  monotonic_time now_{std::chrono::hours{1}};
  virtual_queue queue_;
};

// Callers of one team against a single endpoint, as in an overload.
class overload_fixture : public decision_fixture {
 protected:
  overload_fixture() { AddEndpoints(1); }

  // 4 ms in which one caller comes; eight slots of 100 ms each let one start in 12.5 ms.
  admission Next() {
    now_ += milliseconds{4};
    if (++steps_ % 3 == 0 && running_.size() == 8) {
      core_.Finished(running_.front(), task_end::kDone, milliseconds{100}, now_);
      running_.erase(running_.begin());
    }
    admission answer = Call(next_++);
    for (const command& c : Decide()) {
      if (c.kind == command_kind::kStart) running_.push_back(c.task);
    }
    return answer;
  }
  admission Call(uint64_t number) {
    job_request caller = Job(number, workload_kind::kInteractive, 1000);
    caller.deadline = now_ + seconds{2};
    return core_.Submit(caller, now_);
  }

  uint64_t next_ = 0;
  uint64_t steps_ = 0;
  std::vector<task_id> running_;
};

}  // namespace

TEST_CASE_METHOD(virtual_queue_fixture,
                 "virtual queue, several refused at once, spaces their times", "[decisions]") {
  CHECK(Join(1, milliseconds{50}) == now_ + milliseconds{50});
  CHECK(Join(2, milliseconds{50}) == now_ + milliseconds{60});
  CHECK(Join(3, milliseconds{50}) == now_ + milliseconds{70});
}

TEST_CASE_METHOD(virtual_queue_fixture, "virtual queue, caller back too early, tells the same time",
                 "[decisions]") {
  const monotonic_time due = Join(1, seconds{1});
  Join(2, seconds{1});
  now_ += milliseconds{100};
  CHECK_FALSE(queue_.Redeem({1, 1}, now_));
  CHECK(Join(1, seconds{1}) == due);
}

TEST_CASE_METHOD(virtual_queue_fixture, "virtual queue, caller back in time, gives its place once",
                 "[decisions]") {
  now_ = Join(1, milliseconds{50});
  CHECK(queue_.Redeem({1, 1}, now_));
  CHECK_FALSE(queue_.Redeem({1, 1}, now_));
}

// A caller that never comes back must not be remembered for ever: the memory of an entry would grow
// with each storm.
TEST_CASE_METHOD(virtual_queue_fixture, "virtual queue, callers who stay away, forgets them",
                 "[decisions]") {
  for (uint64_t caller = 0; caller < 100; ++caller) Join(caller, milliseconds{50});
  now_ += seconds{60};
  Join(1000, milliseconds{50});
  CHECK(queue_.Size() == 1);
}

TEST_CASE_METHOD(virtual_queue_fixture, "virtual queue, full, tells all the rest to come back late",
                 "[decisions]") {
  for (uint64_t caller = 0; caller < 10000; ++caller) {
    CHECK(Join(caller, milliseconds{50}) <= now_ + seconds{30});
  }
  CHECK(queue_.Size() < 3000);
}

// Three times as many callers as the floor serves. Told only how long the queue takes, all who are
// refused come back together and most are refused again; a user sees the same request turned away
// ten times and later ones served.
TEST_CASE_METHOD(overload_fixture, "caller refused in an overload, back when told, is taken in",
                 "[decisions]") {
  uint32_t refused = 0;
  admission answer;
  while (refused < 1500) {
    answer = Next();
    refused += answer.queued ? 0 : 1;
  }
  REQUIRE(answer.reason == rejection_reason::kShed);
  const uint64_t caller = next_ - 1;
  const monotonic_time due = now_ + answer.retry_after;
  while (now_ < due) Next();
  CHECK(Call(caller).queued);
}

// The same overload goes on for long. A queue of half the deadline serves nobody more, and every
// buyer at the door would wait a second for a confirmation that takes a tenth of it.
TEST_CASE_METHOD(overload_fixture,
                 "overload that lasts, no caller of it back, keeps the queue short",
                 "[decisions]") {
  for (int i = 0; i < 5000; ++i) Next();
  CHECK(core_.Usage(0).queued_tasks < 20);
  CHECK(core_.Usage(0).queued_tasks > 0);
}

}  // namespace catkinford
