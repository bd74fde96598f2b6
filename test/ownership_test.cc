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

// After an entry's process is lost, callers of its shard wait until the other entry takes it over.
TEST_CASE_METHOD(ownership_fixture, "ownership, owner killed, shard is owned again within 3 s",
                 "[ownership]") {
  simulation_.Kill("a");
  CHECK(RunUntilOwner("b"));
  CHECK(simulation_.Owner("b").Epoch(0) == 2);
}

// All entries of a domain are lost and one is replaced under the same name: the new process must
// not wait for a lease of its own name forever.
TEST_CASE_METHOD(ownership_fixture, "ownership, all entries replaced, newcomers own the shard",
                 "[ownership]") {
  simulation_.Kill("a");
  simulation_.Kill("b");
  simulation_.Add("a");
  simulation_.Add("c");
  CHECK(simulation_.RunUntil([&] { return !simulation_.OwnerOf(0).empty(); }, kTakeoverLimit));
}

// An owner pauses for ten seconds and then continues with what it had in flight. Its starts reach
// the endpoint after the new owner's and must be rejected, or the same work runs twice.
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

// The store's reply to a claim is lost. Taking it for a failure would leave the shard without an
// owner; taking it for a success could give it two.
TEST_CASE_METHOD(ownership_fixture, "ownership, reply of a claim lost, shard gets an owner",
                 "[ownership]") {
  simulation_.Kill("a");
  REQUIRE(simulation_.RunUntil(
      [&] { return !simulation_.Store().Items(simulation_.Now()).contains("member/d/a"); },
      seconds{3}));
  simulation_.LoseReplies(1);
  CHECK(RunUntilOwner("b"));
  CHECK(simulation_.Owner("b").Epoch(0) == 2);
}

// The store is down for a minute and every lease expires. Owners and callers must not be affected.
TEST_CASE_METHOD(ownership_fixture, "ownership, store down and all leases expired, owner stays",
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

// Only the owner is cut off from the store. It can't accept durable jobs, so its peer gets the
// shard after querying it for a while.
TEST_CASE_METHOD(ownership_fixture, "ownership, owner cut off from the store, yields to its peer",
                 "[ownership]") {
  simulation_.CutFromStore("a", true);
  CHECK(RunUntilOwner("b", seconds{8}));
  simulation_.CutFromStore("a", false);
  simulation_.Run(seconds{2});
  CHECK(simulation_.OwnerOf(0) == "b");
}

// The entries of a domain can't reach each other, but both reach the store and the endpoints. The
// shard must not move back and forth.
TEST_CASE_METHOD(ownership_fixture, "ownership, entries cut off from each other, owner stays",
                 "[ownership]") {
  simulation_.CutPeers(true);
  simulation_.Run(seconds{10});
  CHECK(simulation_.OwnerOf(0) == "a");
  CHECK(simulation_.Claims() == 1);
}

TEST_CASE_METHOD(ownership_fixture, "ownership, graceful release, successor starts without a gap",
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

// The last entry of a domain is told to stop before its replacement is up. It must keep the shard
// and hand it over to the replacement.
TEST_CASE_METHOD(ownership_fixture,
                 "ownership, release without a successor, owner stays until one joins",
                 "[ownership]") {
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

// An instance was replaced under its name while the old process was paused. The old process must
// not replace the new one's records when it resumes.
TEST_CASE_METHOD(ownership_fixture, "ownership, old process of the name resumes, yields",
                 "[ownership]") {
  simulation_.Store().Put("member/d/a",
                          ToText(member_record{"a", 99, "a:1", "", "other lease", false}));
  simulation_.Store().Put("shard/d/0", ToText(shard_record{"a", 99, 2}));
  simulation_.Run(seconds{5});
  CHECK_FALSE(simulation_.Owner("a").Owns(0));
  CHECK(ParseMemberRecord(simulation_.Store().Items(simulation_.Now()).at("member/d/a").value)
            ->incarnation == 99);
}

TEST_CASE_METHOD(four_shards_fixture, "ownership, several shards, are balanced and stay in place",
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

// Endpoints do not fence. An owner that resumes after a pause has only its clock to detect that
// another may have taken over.
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

// Without fencing and without the store an owner can't know that it is still the only one, so it
// must stop starting work until the store is back.
TEST_CASE_METHOD(unfenced_fixture, "ownership without fencing, store down, waits and resumes after",
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
