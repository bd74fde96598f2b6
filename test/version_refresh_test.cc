#include "process/site/version_refresh.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kPropagationLimit{3000};
constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kPeerTimeout{400};
constexpr milliseconds kLatency{10};  // round trip to the store or another entry

// One entry in virtual time: a store in which operators change the configuration, a link that
// transfers texts slowly, pooled connections that can die without a reset, and another entry that
// holds the newest version.
class version_world {
 protected:
  // kWatchesSilent: reads are answered; watches see no changes and get no reply.
  enum class store_mode : uint8_t { kUp, kWatchesSilent, kSilent, kRejects };

  version_world() : refresh(kPropagationLimit, now) { Acknowledge(); }

  bool Confirmed() const { return refresh.Trust(now) != version_trust::kUnconfirmed; }
  bool IsNewest() const { return refresh.Trust(now) == version_trust::kNewest; }

  void Acknowledge() { acks.push_back(now); }
  uint64_t Newest() const { return acks.size(); }
  // The newest version acknowledged before `time`.
  uint64_t NewestBefore(monotonic_time time) const {
    return static_cast<uint64_t>(
        std::count_if(acks.begin(), acks.end(), [time](monotonic_time ack) { return ack < time; }));
  }

  void Run(
      milliseconds time, const std::function<void()>& each = [] {}) {
    for (const auto until = now + time; now < until; now += kStep) {
      Deliver();
      Drive();
      CheckSafety();
      each();
    }
  }

  // Safety: a configuration by which the entry answers includes every change that must be in
  // effect.
  void CheckSafety() {
    if (!Confirmed() || number >= NewestBefore(now - kPropagationLimit)) return;
    FAIL("answers by version " << number << " while " << NewestBefore(now - kPropagationLimit)
                               << " must be in effect");
  }

  struct pending_call {
    version_query query;
    bool lost = false;  // never answered: its connection is dead, or the store did not answer
    // Set once the reply is being transferred.
    std::optional<monotonic_time> arrives;
    version_reply reply;
    uint64_t version = 0;  // in the reply; 0: none
  };
  struct pending_peer_query {
    monotonic_time arrives;
    std::optional<peer_version> reply;
    uint64_t version = 0;
  };

  bool Arriving() const {
    return std::any_of(calls.begin(), calls.end(), [this](const pending_call& call) {
      return call.version != 0 && call.arrives && *call.arrives > now;
    });
  }
  bool StoreUp() const { return store == store_mode::kUp || store == store_mode::kWatchesSilent; }

  void Drive() {
    while (const auto query = refresh.NextStoreCall(StoreUp(), Arriving(), now)) {
      ++sent;
      pending_call call;
      call.query = *query;
      call.lost = store == store_mode::kSilent || (pooled_silent && !query->fresh_connection);
      if (query->fresh_connection) pooled_silent = false;
      if (!call.lost && store == store_mode::kRejects) {
        call.reply.status = store_status::kUnavailable;
        call.arrives = now + kLatency;
      }
      calls.push_back(call);
    }
    if (refresh.ShouldQueryPeer(now)) {
      ++peer_queries_sent;
      pending_peer_query peer_query{now + kPeerTimeout, std::nullopt, 0};
      if (peer_answers) {
        peer_query.reply = peer_version{Newest(), Newest(), milliseconds{0}};
        const bool sends_text = Newest() > number && !Arriving();
        peer_query.version = sends_text ? Newest() : 0;
        peer_query.arrives = now + kLatency + (sends_text ? peer_text_duration : milliseconds{0});
      }
      peer_queries.push_back(peer_query);
    }
  }

  // Lets the store reply to a pending call if there is a change or its wait is over.
  void Answer(pending_call& call) {
    const bool read = call.query.call == version_call::kRead;
    const bool reply = read || Newest() > call.query.after;
    const bool over = now >= call.query.sent + call.query.wait;
    if (!reply && !over) return;
    call.reply.status = store_status::kDone;
    call.reply.revision = Newest();
    call.reply.idle = !reply;
    call.reply.versions = read ? 1 : static_cast<size_t>(Newest() - call.query.after);
    call.version = reply ? Newest() : 0;
    call.arrives =
        now + kLatency + text_duration * static_cast<int>(reply ? call.reply.versions : 0);
    if (reply) texts += call.reply.versions;
  }

  void Deliver() {
    for (size_t i = 0; i < calls.size();) {
      pending_call& call = calls[i];
      const bool responds = store == store_mode::kUp || (store == store_mode::kWatchesSilent &&
                                                         call.query.call == version_call::kRead);
      const bool held = !call.lost && !call.arrives && responds;
      if (held) Answer(call);
      if (!call.arrives && now >= call.query.sent + call.query.wait + kCallTimeout) {
        call.reply.status = store_status::kUnknown;
        call.arrives = now;
      }
      if (!call.arrives || *call.arrives > now) {
        ++i;
        continue;
      }
      const pending_call done = call;
      calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(i));
      Apply(done.version);
      refresh.OnStoreReply(done.query, done.reply, now);
    }
    for (size_t i = 0; i < peer_queries.size();) {
      if (peer_queries[i].arrives > now) {
        ++i;
        continue;
      }
      const pending_peer_query done = peer_queries[i];
      peer_queries.erase(peer_queries.begin() + static_cast<std::ptrdiff_t>(i));
      if (done.reply) Apply(done.version);
      refresh.OnPeerReply(done.reply, now);
    }
  }

  void Apply(uint64_t version) {
    if (version <= number) return;
    number = version;
    refresh.OnApplied(version);
  }

  // Pooled connections die without a reset, and calls in flight on them are lost.
  void SilencePooledConnections() {
    pooled_silent = true;
    for (pending_call& call : calls) call.lost = call.lost || !call.query.fresh_connection;
  }
  void SetStore(store_mode mode) {
    // The store no longer keeps the history that the silent watches missed.
    for (pending_call& call : calls) {
      const bool watch = call.query.call == version_call::kWatch;
      if (store != store_mode::kWatchesSilent || mode == store || call.lost || call.arrives ||
          !watch)
        continue;
      call.reply.status = store_status::kHistoryCompacted;
      call.arrives = now;
    }
    store = mode;
    if (mode == store_mode::kUp || mode == store_mode::kWatchesSilent) return;
    for (pending_call& call : calls) {
      if (call.arrives) continue;
      if (mode == store_mode::kSilent) call.lost = true;
      if (mode != store_mode::kRejects) continue;
      call.reply.status = store_status::kUnknown;  // connection cut
      call.arrives = now;
    }
  }

  monotonic_time now{seconds(1000)};
  version_refresh refresh;
  std::vector<monotonic_time> acks;  // of version 1, 2, ...; the store's revisions are the same
  uint64_t number = 0;               // in effect at the entry
  store_mode store = store_mode::kUp;
  bool pooled_silent = false;
  bool peer_answers = true;
  milliseconds text_duration{0};
  milliseconds peer_text_duration{0};
  std::vector<pending_call> calls;
  std::vector<pending_peer_query> peer_queries;
  size_t sent = 0;
  size_t peer_queries_sent = 0;
  size_t texts = 0;
};

}  // namespace

TEST_CASE_METHOD(version_world, "version refresh, nothing changes, stays confirmed with few calls",
                 "[version]") {
  Run(seconds(1));
  Run(seconds(30), [this] { REQUIRE(IsNewest()); });
  CHECK(sent < 30);
  CHECK(peer_queries_sent == 0);
}

// Guards against a watch that is never answered because its connection died without a reset.
TEST_CASE_METHOD(version_world,
                 "version refresh, pooled connections dead, applies a new version in time",
                 "[version]") {
  peer_answers = GENERATE(true, false);
  Run(seconds(5));
  SilencePooledConnections();
  Acknowledge();
  Run(kPropagationLimit);
  CHECK(number == 2);
}

// Guards against a second transfer beside a slow one: on a narrow link both take twice as long.
TEST_CASE_METHOD(version_world, "version refresh, text arrives slowly, is transferred once",
                 "[version]") {
  text_duration = milliseconds{1500};
  Run(seconds(10));
  REQUIRE(texts == 1);
  Acknowledge();
  Run(kPropagationLimit);
  CHECK(number == 2);
  CHECK(texts == 2);
  Run(seconds(10), [this] { REQUIRE(Confirmed()); });
}

// Guards against an entry that falls behind further with each version that it receives.
TEST_CASE_METHOD(version_world,
                 "version refresh, versions change faster than texts arrive, stays close",
                 "[version]") {
  text_duration = milliseconds{500};
  peer_answers = false;
  Run(seconds(5));
  for (int i = 0; i < 50; ++i) {
    Acknowledge();
    Run(milliseconds{200});
  }
  const uint64_t last = Newest();
  Run(milliseconds{2500});
  CHECK(number == last);
}

// Guards against all entries rejecting callers at once while the store answers everything but
// watches.
TEST_CASE_METHOD(version_world, "version refresh, watches unanswered, reads keep it confirmed",
                 "[version]") {
  Run(seconds(5));
  peer_answers = false;
  SetStore(store_mode::kWatchesSilent);
  Acknowledge();
  Run(seconds(4), [this] { REQUIRE(Confirmed()); });
  CHECK(number == 2);
}

// Guards against callers rejected long after an outage: the watch sent during the outage is never
// answered.
TEST_CASE_METHOD(version_world, "version refresh, store back after an outage, confirms at once",
                 "[version]") {
  Run(seconds(5));
  peer_answers = false;
  SetStore(store_mode::kSilent);
  Run(milliseconds{5250});
  CHECK_FALSE(Confirmed());
  SetStore(store_mode::kUp);
  Acknowledge();
  Run(milliseconds{400});
  CHECK(IsNewest());
  CHECK(number == 2);
}

// Guards against an entry that keeps an old version while the store rejects only this entry.
TEST_CASE_METHOD(version_world,
                 "version refresh, store rejects this entry, learns from another one",
                 "[version]") {
  Run(seconds(5));
  SetStore(store_mode::kRejects);
  Run(seconds(9), [this] { REQUIRE(Confirmed()); });
  Acknowledge();
  Run(kPropagationLimit);
  CHECK(number == 2);
}

// Guards against "no such queue" from an entry that received no update in the last seconds.
TEST_CASE_METHOD(version_world, "version refresh, cut off from all, is unconfirmed in time",
                 "[version]") {
  Run(seconds(5));
  peer_answers = false;
  SetStore(store_mode::kSilent);
  Acknowledge();
  Run(milliseconds{1500}, [this] { REQUIRE(Confirmed()); });
  Run(kPropagationLimit);
  CHECK_FALSE(Confirmed());
}

// Guards against a process that resumes after a pause and answers by an old configuration.
TEST_CASE_METHOD(version_world, "version refresh, after a pause, is unconfirmed until a reply",
                 "[version]") {
  Run(seconds(5));
  now += seconds(6);
  CHECK_FALSE(Confirmed());
  Run(seconds(2));
  CHECK(IsNewest());
}

TEST_CASE_METHOD(version_world, "version refresh, another entry holds a newer one, is not newest",
                 "[version]") {
  Run(seconds(5));
  REQUIRE(IsNewest());
  refresh.OnPeerReply(peer_version{2, 2, milliseconds{0}}, now);
  CHECK(Confirmed());
  CHECK_FALSE(IsNewest());
}

class random_version_world : public version_world {
 public:
  // Consecutive and overlapping faults with changes at any time; then a period without faults.
  void RunSeed(uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto pick = [&random](uint64_t bound) { return static_cast<int>(random() % bound); };
    for (int i = 0; i < 60; ++i) {
      switch (pick(9)) {
        case 0:
        case 1:
          Acknowledge();
          break;
        case 2:
          SilencePooledConnections();
          break;
        case 3:
          SetStore(store_mode::kSilent);
          break;
        case 4:
          SetStore(store_mode::kRejects);
          break;
        case 5:
          peer_answers = pick(2) == 0;
          break;
        case 6:
          SetStore(store_mode::kWatchesSilent);
          break;
        case 7:
          text_duration = milliseconds{pick(1500)};
          peer_text_duration = milliseconds{pick(800)};
          break;
        default:
          SetStore(store_mode::kUp);
      }
      Run(milliseconds{pick(1200)});
      if (pick(10) == 0) now += milliseconds{pick(6000)};  // the process was paused
    }
    SetStore(store_mode::kUp);
    text_duration = milliseconds{300};
    Run(seconds(6));
    CHECK(number == Newest());
    CHECK(IsNewest());
  }
};

// Guards against an entry that answers by an old version after any combination of faults.
TEST_CASE("version refresh, random faults, never confirms an old version and catches up",
          "[version]") {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    random_version_world world;
    world.RunSeed(seed);
  }
}

}  // namespace catkinford
