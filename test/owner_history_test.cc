#include "process/site/owner_history.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLease{1500};

class owner_history_fixture {
 protected:
  void ObserveOwner(uint64_t epoch, bool early, monotonic_time when) {
    owner_record record;
    record.epoch = epoch;
    record.early = early;
    history.OnOwner(record, when);
  }
  const monotonic_time now{seconds(100)};
  owner_history history;
};

// Guards against tasks that run twice: an owner is cut off with its domain, its successor claims at
// once and is killed a quarter of a second later, and the next owner starts the first one's tasks
// again while that one still extends their leases in its domain.
TEST_CASE_METHOD(owner_history_fixture,
                 "owner history, early owner superseded at once, the one before may act") {
  ObserveOwner(1, false, now);
  ObserveOwner(2, true, now + seconds(30));
  CHECK(history.EarlierOwnerMayAct(kLease, now + seconds(30) + milliseconds{250}));
}

TEST_CASE_METHOD(owner_history_fixture,
                 "owner history, early owner superseded after a lease, no other may act") {
  ObserveOwner(2, true, now);
  ObserveOwner(2, true, now + seconds(1));  // no change
  CHECK_FALSE(history.EarlierOwnerMayAct(kLease, now + kLease));
}

TEST_CASE_METHOD(owner_history_fixture,
                 "owner history, owner that waited for the lease, no other may act") {
  ObserveOwner(2, false, now);
  CHECK_FALSE(history.EarlierOwnerMayAct(kLease, now + milliseconds{100}));
}

TEST_CASE_METHOD(owner_history_fixture, "owner record, stored and read, keeps the early flag") {
  owner_record record;
  record.epoch = 7;
  record.early = true;
  const auto read = OwnerFromText(OwnerToText(record));
  REQUIRE(read);
  CHECK(read->early);
}

}  // namespace
}  // namespace catkinford
