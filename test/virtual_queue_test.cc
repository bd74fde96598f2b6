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

// Callers of one team against a single endpoint, in overload.
class overload_fixture : public decision_fixture {
 protected:
  overload_fixture() { AddEndpoints(1); }

  // Advances 4 ms, in which one caller arrives; eight slots of 100 ms each allow one start per 12.5
  // ms.
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
                 "virtual queue, several rejected at once, spaces their times", "[decisions]") {
  CHECK(Join(1, milliseconds{50}) == now_ + milliseconds{50});
  CHECK(Join(2, milliseconds{50}) == now_ + milliseconds{60});
  CHECK(Join(3, milliseconds{50}) == now_ + milliseconds{70});
}

TEST_CASE_METHOD(virtual_queue_fixture, "virtual queue, retry too early, returns the same time",
                 "[decisions]") {
  const monotonic_time due = Join(1, seconds{1});
  Join(2, seconds{1});
  now_ += milliseconds{100};
  CHECK_FALSE(queue_.Redeem({1, 1}, now_));
  CHECK(Join(1, seconds{1}) == due);
}

TEST_CASE_METHOD(virtual_queue_fixture, "virtual queue, retry in time, is redeemed once",
                 "[decisions]") {
  now_ = Join(1, milliseconds{50});
  CHECK(queue_.Redeem({1, 1}, now_));
  CHECK_FALSE(queue_.Redeem({1, 1}, now_));
}

// A caller that never retries must be removed; otherwise the memory of an entry would grow with
// each overload.
TEST_CASE_METHOD(virtual_queue_fixture, "virtual queue, callers that never retry, are removed",
                 "[decisions]") {
  for (uint64_t caller = 0; caller < 100; ++caller) Join(caller, milliseconds{50});
  now_ += seconds{60};
  Join(1000, milliseconds{50});
  CHECK(queue_.Size() == 1);
}

TEST_CASE_METHOD(virtual_queue_fixture,
                 "virtual queue, full, assigns the maximum delay to the rest", "[decisions]") {
  for (uint64_t caller = 0; caller < 10000; ++caller) {
    CHECK(Join(caller, milliseconds{50}) <= now_ + seconds{30});
  }
  CHECK(queue_.Size() < 3000);
}

// Three times as many callers as the capacity. If told only how long the queue takes, all rejected
// callers retry together and most are rejected again, ten times in a row, while later ones are
// served.
TEST_CASE_METHOD(overload_fixture, "caller rejected in an overload, retries on time, is admitted",
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

// The same overload persists. A queue of half the deadline serves no more callers, and each would
// wait a second for a task that takes a tenth of it.
TEST_CASE_METHOD(overload_fixture, "persistent overload, no caller retries, keeps the queue short",
                 "[decisions]") {
  for (int i = 0; i < 5000; ++i) Next();
  CHECK(core_.Usage(0).queued_tasks < 20);
  CHECK(core_.Usage(0).queued_tasks > 0);
}

}  // namespace catkinford
