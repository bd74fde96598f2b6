#include "process/site/record_mode.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

class record_mode_fixture {
 protected:
  void Changes(int count, milliseconds took) {
    for (int i = 0; i < count; ++i) {
      now += std::max(took, milliseconds{60});
      mode.OnChangeStored(took, now);
    }
  }

  record_mode mode;
  monotonic_time now{std::chrono::seconds(100)};
};

// The store takes 300 ms an answer. With records first, a buyer's slot of two steps would lose more
// than half a second before anything runs.
TEST_CASE_METHOD(record_mode_fixture, "record mode, slow store, starts leave once it is declared") {
  Changes(5, milliseconds{10});
  CHECK_FALSE(mode.ShouldDeclareAsync());
  Changes(1, milliseconds{300});
  CHECK(mode.ShouldDeclareAsync());
  CHECK(mode.StartsAwaitRecords());  // a next owner would not know yet
  mode.OnAsyncDeclared();
  CHECK_FALSE(mode.StartsAwaitRecords());
}

TEST_CASE_METHOD(record_mode_fixture, "record mode, store quick again, waits for all records") {
  Changes(1, milliseconds{300});
  mode.OnAsyncDeclared();
  Changes(5, milliseconds{10});
  CHECK_FALSE(mode.StartsAwaitRecords());  // not trusted yet
  Changes(30, milliseconds{10});
  CHECK(mode.StartsAwaitRecords());
  CHECK_FALSE(mode.ShouldWithdrawAsync(false));
  CHECK(mode.ShouldWithdrawAsync(true));
  mode.OnAsyncWithdrawn();
  CHECK_FALSE(mode.ShouldWithdrawAsync(true));
}

// The store is slow again before the declaration is withdrawn: it still stands.
TEST_CASE_METHOD(record_mode_fixture,
                 "record mode, slow again while returning, needs no new word") {
  mode.OnInherited();
  CHECK(mode.StartsAwaitRecords());
  mode.OnChangePending(milliseconds{200});
  CHECK_FALSE(mode.StartsAwaitRecords());
  CHECK_FALSE(mode.ShouldDeclareAsync());
}

// An owner that nobody vouched for dies before it knows all that earlier ones may have started. If
// it left no word of that, its follower would start a task that still runs out of its sight.
TEST_CASE_METHOD(record_mode_fixture,
                 "record mode, owner not vouched for, declares until it knows") {
  mode.OnUnconfirmedStarts();
  Changes(2, milliseconds{10});
  CHECK(mode.ShouldDeclareAsync());
  mode.OnAsyncDeclared();
  Changes(40, milliseconds{10});
  CHECK_FALSE(mode.ShouldWithdrawAsync(false));
  CHECK(mode.ShouldWithdrawAsync(true));
  mode.OnAsyncWithdrawn();
  Changes(2, milliseconds{10});
  CHECK_FALSE(mode.ShouldDeclareAsync());
}

TEST_CASE_METHOD(record_mode_fixture, "record mode, slow once and quick after, declares nothing") {
  mode.OnChangePending(milliseconds{160});
  Changes(1, milliseconds{10});
  CHECK_FALSE(mode.ShouldDeclareAsync());
}

}  // namespace
}  // namespace catkinford
