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
      mode.OnChange(took, now);
    }
  }

  record_mode mode;
  monotonic_time now{std::chrono::seconds(100)};
};

// The store takes 300 ms an answer. With records first, a buyer's slot of two steps would lose more
// than half a second before anything runs.
TEST_CASE_METHOD(record_mode_fixture, "record mode, slow store, starts leave once it is declared") {
  Changes(5, milliseconds{10});
  CHECK_FALSE(mode.WantsDeclared());
  Changes(1, milliseconds{300});
  CHECK(mode.WantsDeclared());
  CHECK(mode.StartsWait());  // a next owner would not know yet
  mode.OnDeclared();
  CHECK_FALSE(mode.StartsWait());
}

TEST_CASE_METHOD(record_mode_fixture, "record mode, store quick again, waits for all records") {
  Changes(1, milliseconds{300});
  mode.OnDeclared();
  Changes(5, milliseconds{10});
  CHECK_FALSE(mode.StartsWait());  // not trusted yet
  Changes(30, milliseconds{10});
  CHECK(mode.StartsWait());
  CHECK_FALSE(mode.WantsWithdrawn(false));
  CHECK(mode.WantsWithdrawn(true));
  mode.OnWithdrawn();
  CHECK_FALSE(mode.WantsWithdrawn(true));
}

// The store is slow again before the declaration is withdrawn: it still stands.
TEST_CASE_METHOD(record_mode_fixture,
                 "record mode, slow again while returning, needs no new word") {
  mode.OnInherited();
  CHECK(mode.StartsWait());
  mode.OnWaiting(milliseconds{200});
  CHECK_FALSE(mode.StartsWait());
  CHECK_FALSE(mode.WantsDeclared());
}

// An owner that nobody vouched for dies before it knows all that earlier ones may have started. If
// it left no word of that, its follower would start a task that still runs out of its sight.
TEST_CASE_METHOD(record_mode_fixture,
                 "record mode, owner not vouched for, declares until it knows") {
  mode.OnUnvouched();
  Changes(2, milliseconds{10});
  CHECK(mode.WantsDeclared());
  mode.OnDeclared();
  Changes(40, milliseconds{10});
  CHECK_FALSE(mode.WantsWithdrawn(false));
  CHECK(mode.WantsWithdrawn(true));
  mode.OnWithdrawn();
  Changes(2, milliseconds{10});
  CHECK_FALSE(mode.WantsDeclared());
}

TEST_CASE_METHOD(record_mode_fixture, "record mode, slow once and quick after, declares nothing") {
  mode.OnWaiting(milliseconds{160});
  Changes(1, milliseconds{10});
  CHECK_FALSE(mode.WantsDeclared());
}

}  // namespace
}  // namespace catkinford
