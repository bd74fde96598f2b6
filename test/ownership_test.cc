#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "ownership_simulation.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTakeoverLimit{3000};
constexpr milliseconds kJoinLimit{2000};

// Two entries in a domain; "a" owns the only shard.
class ownership_fixture {
 public:
  explicit ownership_fixture(ownership_simulation_options options = {}) : simulation_(options) {
    simulation_.Add("a");
    REQUIRE(RunUntilOwner("a"));
    simulation_.Add("b");
    simulation_.Run(seconds{1});
    REQUIRE(simulation_.OwnerOf(0) == "a");
  }
  ~ownership_fixture() { CHECK(simulation_.Violation().empty()); }

 protected:
  bool RunUntilOwner(const std::string& name, milliseconds limit = kTakeoverLimit) {
    return simulation_.RunUntil(
        [&] {
          const auto starts = simulation_.StartsSince(0, simulation_.Now() - milliseconds{15});
          return !starts.empty() && starts.back().entry.starts_with(name + "#");
        },
        limit);
  }

  ownership_simulation simulation_;
};

class unfenced_fixture : public ownership_fixture {
 public:
  unfenced_fixture() : ownership_fixture({1, false, milliseconds{1}}) {}
};

class four_shards_fixture : public ownership_fixture {
 public:
  four_shards_fixture() : ownership_fixture({4, true, milliseconds{1}}) {}
};

}  // namespace

TEST_CASE_METHOD(ownership_fixture, "ownership, at rest, keeps owner and costs few calls",
                 "[ownership]") {
  const uint64_t before = simulation_.StoreCalls();
  simulation_.Run(seconds{10});
  CHECK(simulation_.OwnerOf(0) == "a");
  CHECK(simulation_.Claims() == 1);
  // Two entries, each with two keepalives and two reads a second.
  CHECK(simulation_.StoreCalls() - before <= 84);
}

// An entry's process dies. Callers of its shard wait until the other entry of the domain starts
// their work.
TEST_CASE_METHOD(ownership_fixture, "ownership, owner killed, shard is owned again within 3 s",
                 "[ownership]") {
  simulation_.Kill("a");
  CHECK(RunUntilOwner("b"));
  CHECK(simulation_.Owner("b").Epoch(0) == 2);
}

// The dead entry's instance is replaced at once by one of the same name, and the other entry of
// the domain is gone too: the newcomer must not wait for a lease of its own name for ever.
TEST_CASE_METHOD(ownership_fixture, "ownership, all entries replaced, newcomers own the shard",
                 "[ownership]") {
  simulation_.Kill("a");
  simulation_.Kill("b");
  simulation_.Add("a");
  simulation_.Add("c");
  CHECK(simulation_.RunUntil([&] { return !simulation_.OwnerOf(0).empty(); }, kTakeoverLimit));
}

// An owner stops for ten seconds, as when its instance is moved or swaps, and then goes on with
// what it had in hand. Its starts reach the endpoint after the new owner's and must be refused,
// else the same work runs in two places.
TEST_CASE_METHOD(ownership_fixture, "ownership, owner paused past its lease, starts nothing after",
                 "[ownership]") {
  simulation_.Pause("a");
  REQUIRE(RunUntilOwner("b"));
  simulation_.Run(seconds{10});
  const monotonic_time woke = simulation_.Now();
  simulation_.Resume("a");
  simulation_.Run(seconds{2});
  for (const accepted_start& start : simulation_.StartsSince(0, woke)) {
    CHECK(start.entry.starts_with("b#"));
  }
  CHECK_FALSE(simulation_.Owner("a").Owns(0));
  CHECK(simulation_.OwnerOf(0) == "b");
}

// The store loses its replies just when a claim is made. An entry that believed in failure would
// leave the shard without an owner; one that believed in success might not be it.
TEST_CASE_METHOD(ownership_fixture, "ownership, reply of a claim lost, shard is owned all the same",
                 "[ownership]") {
  simulation_.Kill("a");
  REQUIRE(simulation_.RunUntil(
      [&] { return !simulation_.Store().Items(simulation_.Now()).contains("member/d/a"); },
      seconds{3}));
  simulation_.LoseReplies(1);
  CHECK(RunUntilOwner("b"));
  CHECK(simulation_.Owner("b").Epoch(0) == 2);
}

// The store is out for a minute, and every lease lapses in it. Nobody has done anything wrong, and
// callers must not notice.
TEST_CASE_METHOD(ownership_fixture, "ownership, store out and all leases lapsed, owner goes on",
                 "[ownership]") {
  simulation_.SetStoreDown(true);
  const monotonic_time out = simulation_.Now();
  simulation_.Run(seconds{60});
  CHECK(simulation_.OwnerOf(0) == "a");
  simulation_.Store().LapseAll();
  simulation_.SetStoreDown(false);
  simulation_.Run(seconds{5});
  CHECK(simulation_.OwnerOf(0) == "a");
  CHECK(simulation_.Claims() == 1);
  CHECK(simulation_.StartsSince(0, out).size() > 6000);
}

// Only the owner has lost the store. It cannot accept durable jobs, so its peer, which asks it
// first, gets the shard after a while.
TEST_CASE_METHOD(ownership_fixture, "ownership, owner alone cut from the store, yields to its peer",
                 "[ownership]") {
  simulation_.CutFromStore("a", true);
  CHECK(RunUntilOwner("b", seconds{8}));
  simulation_.CutFromStore("a", false);
  simulation_.Run(seconds{2});
  CHECK(simulation_.OwnerOf(0) == "b");
}

// Entries of one domain cannot reach each other, but both reach the store and the endpoints. The
// owner is alive, and the shard must not go back and forth.
TEST_CASE_METHOD(ownership_fixture, "ownership, entries cut from each other, owner stays",
                 "[ownership]") {
  simulation_.CutPeers(true);
  simulation_.Run(seconds{10});
  CHECK(simulation_.OwnerOf(0) == "a");
  CHECK(simulation_.Claims() == 1);
}

TEST_CASE_METHOD(ownership_fixture, "ownership, graceful release, heir starts without a gap",
                 "[ownership]") {
  const monotonic_time asked = simulation_.Now();
  simulation_.Release("a");
  REQUIRE(simulation_.RunUntil([&] { return simulation_.Owner("a").Released(); }, seconds{2}));
  CHECK(RunUntilOwner("b"));
  const auto starts = simulation_.StartsSince(0, asked);
  for (size_t i = 1; i < starts.size(); ++i) {
    CHECK(starts[i].at - starts[i - 1].at <= milliseconds{60});
  }
  CHECK(simulation_.Store().Items(simulation_.Now()).count("member/d/a") == 0);
}

// The last entry of a domain is told to stop before its replacement is up. It keeps the shard, so
// that the newcomer gets it from its hands.
TEST_CASE_METHOD(ownership_fixture,
                 "ownership, release without an heir, owner goes on until one is", "[ownership]") {
  simulation_.Kill("b");
  simulation_.Run(seconds{3});
  simulation_.Release("a");
  simulation_.Run(seconds{3});
  CHECK(simulation_.OwnerOf(0) == "a");
  simulation_.Add("c");
  CHECK(RunUntilOwner("c", kJoinLimit));
  simulation_.Run(seconds{1});
  CHECK(simulation_.Owner("a").Released());
}

TEST_CASE_METHOD(ownership_fixture, "ownership, two claimants at once, one owner", "[ownership]") {
  simulation_.Add("c");
  simulation_.Run(seconds{1});
  simulation_.Kill("a");
  CHECK(simulation_.RunUntil([&] { return !simulation_.OwnerOf(0).empty(); }, kTakeoverLimit));
  const std::string owner = simulation_.OwnerOf(0);
  simulation_.Run(seconds{5});
  CHECK(simulation_.OwnerOf(0) == owner);
  CHECK(simulation_.Claims() == 2);
}

// An instance is replaced under its old name while the old process was only paused. The old one
// wakes up and must not drive out the new one.
TEST_CASE_METHOD(ownership_fixture, "ownership, old process of the name wakes up, stands back",
                 "[ownership]") {
  simulation_.Store().Put("member/d/a",
                          ToText(member_record{"a", 99, "a:1", "", "other lease", false}));
  simulation_.Store().Put("shard/d/0", ToText(shard_record{"a", 99, 2}));
  simulation_.Run(seconds{5});
  CHECK_FALSE(simulation_.Owner("a").Owns(0));
  CHECK(ParseMemberRecord(simulation_.Store().Items(simulation_.Now()).at("member/d/a").value)
            ->incarnation == 99);
}

TEST_CASE_METHOD(four_shards_fixture, "ownership, several shards, entries share and stay settled",
                 "[ownership]") {
  const auto shards_of = [&](const std::string& name) {
    int count = 0;
    for (uint32_t shard = 0; shard < 4; ++shard)
      count += simulation_.OwnerOf(shard) == name ? 1 : 0;
    return count;
  };
  simulation_.Run(seconds{20});
  CHECK(shards_of("a") == 2);
  CHECK(shards_of("b") == 2);
  const int claims = simulation_.Claims();
  simulation_.Run(seconds{20});
  CHECK(simulation_.Claims() == claims);
}

// The platform's endpoints do not fence. An owner that wakes up after a pause has only its clock
// to tell it that another may have taken its place.
TEST_CASE_METHOD(unfenced_fixture, "ownership without fencing, owner paused, starts nothing after",
                 "[ownership]") {
  simulation_.Pause("a");
  CHECK(RunUntilOwner("b"));
  simulation_.Run(seconds{5});
  const monotonic_time woke = simulation_.Now();
  simulation_.Resume("a");
  simulation_.Run(seconds{3});
  for (const accepted_start& start : simulation_.StartsSince(0, woke)) {
    CHECK(start.entry.starts_with("b#"));
  }
}

// Without fencing and without the store an owner cannot know that it is still alone, so it stops
// starting work; it goes on when the store is back.
TEST_CASE_METHOD(unfenced_fixture, "ownership without fencing, store out, waits and goes on after",
                 "[ownership]") {
  simulation_.SetStoreDown(true);
  simulation_.Run(seconds{2});
  const monotonic_time lapsed = simulation_.Now();
  simulation_.Run(seconds{5});
  CHECK(simulation_.StartsSince(0, lapsed).empty());
  simulation_.SetStoreDown(false);
  CHECK(simulation_.RunUntil([&] { return !simulation_.OwnerOf(0).empty(); }, kTakeoverLimit));
}

}  // namespace catkinford
