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
  void Seen(uint64_t epoch, bool early, monotonic_time when) {
    owner_record word;
    word.epoch = epoch;
    word.early = early;
    history.OnSeen(word, when);
  }
  const monotonic_time now{seconds(100)};
  owner_history history;
};

// The owner is cut off with its domain, its successor claims at once and is killed a quarter of a
// second later. The first still extends the leases in its domain; a booking that runs there would
// be started again elsewhere while it runs.
TEST_CASE_METHOD(owner_history_fixture,
                 "owner history, early owner followed at once, the one before may act") {
  Seen(1, false, now);
  Seen(2, true, now + seconds(30));
  CHECK(history.EarlierMayAct(kLease, now + seconds(30) + milliseconds{250}));
}

TEST_CASE_METHOD(owner_history_fixture,
                 "owner history, early owner followed after a lease, nobody else may act") {
  Seen(2, true, now);
  Seen(2, true, now + seconds(1));  // seen again
  CHECK_FALSE(history.EarlierMayAct(kLease, now + kLease));
}

TEST_CASE_METHOD(owner_history_fixture,
                 "owner history, owner that waited for the lease, nobody else may act") {
  Seen(2, false, now);
  CHECK_FALSE(history.EarlierMayAct(kLease, now + milliseconds{100}));
}

TEST_CASE_METHOD(owner_history_fixture, "owner word, stored and read, keeps how it was claimed") {
  owner_record word;
  word.epoch = 7;
  word.early = true;
  const auto read = OwnerFromText(OwnerToText(word));
  REQUIRE(read);
  CHECK(read->early);
}

}  // namespace
}  // namespace catkinford
