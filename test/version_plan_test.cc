#include "process/site/version_plan.h"

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
constexpr milliseconds kInForce{3000};
constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kPeerTimeout{400};
constexpr milliseconds kLatency{10};  // to the store or a peer and back

// One entry in virtual time: a store whose operators change the configuration, a link that carries
// texts slowly, kept connections that can go silent, and another entry that holds the newest.
class version_world {
 protected:
  // kDeaf: reads are answered, watches hear of nothing and get no answer.
  enum class store_mode : uint8_t { kUp, kDeaf, kSilent, kRefuses };

  version_world() : plan(kInForce, now) { Acknowledge(); }

  bool Confirmed() const { return plan.Trust(now) != version_trust::kUnconfirmed; }
  bool IsNewest() const { return plan.Trust(now) == version_trust::kNewest; }

  void Acknowledge() { acks.push_back(now); }
  uint64_t Newest() const { return acks.size(); }
  // The newest of what was acknowledged before `time`.
  uint64_t NewestBefore(monotonic_time time) const {
    return static_cast<uint64_t>(
        std::count_if(acks.begin(), acks.end(), [time](monotonic_time ack) { return ack < time; }));
  }

  void Run(
      milliseconds time, const std::function<void()>& each = [] {}) {
    for (const auto until = now + time; now < until; now += kStep) {
      Deliver();
      Drive();
      Check();
      each();
    }
  }

  // The safety of it all: what an entry still answers by misses nothing that has to be in force.
  void Check() {
    if (!Confirmed() || number >= NewestBefore(now - kInForce)) return;
    FAIL("answers by version " << number << " while " << NewestBefore(now - kInForce)
                               << " has to be in force");
  }

  struct pending_call {
    version_query query;
    bool lost = false;  // never answered: its connection is silent, or the store was
    // Set once the answer is on its way.
    std::optional<monotonic_time> arrives;
    version_news news;
    uint64_t brings = 0;  // a version; 0: none
  };
  struct pending_question {
    monotonic_time arrives;
    std::optional<peer_version> word;
    uint64_t brings = 0;
  };

  bool Arriving() const {
    return std::any_of(calls.begin(), calls.end(), [this](const pending_call& call) {
      return call.brings != 0 && call.arrives && *call.arrives > now;
    });
  }
  bool StoreUp() const { return store == store_mode::kUp || store == store_mode::kDeaf; }

  void Drive() {
    while (const auto query = plan.NextStoreCall(StoreUp(), Arriving(), now)) {
      ++sent;
      pending_call call;
      call.query = *query;
      call.lost = store == store_mode::kSilent || (kept_silent && !query->fresh_connection);
      if (query->fresh_connection) kept_silent = false;
      if (!call.lost && store == store_mode::kRefuses) {
        call.news.status = store_status::kUnavailable;
        call.arrives = now + kLatency;
      }
      calls.push_back(call);
    }
    if (plan.AsksPeer(now)) {
      ++asked;
      pending_question question{now + kPeerTimeout, std::nullopt, 0};
      if (peer_answers) {
        question.word = peer_version{Newest(), Newest(), milliseconds{0}};
        const bool gives = Newest() > number && !Arriving();
        question.brings = gives ? Newest() : 0;
        question.arrives = now + kLatency + (gives ? peer_text_takes : milliseconds{0});
      }
      questions.push_back(question);
    }
  }

  // What the store answers a call that it holds.
  void Answer(pending_call& call) {
    const bool read = call.query.call == version_call::kRead;
    const bool news = read || Newest() > call.query.after;
    const bool over = now >= call.query.sent + call.query.wait;
    if (!news && !over) return;
    call.news.status = store_status::kDone;
    call.news.revision = Newest();
    call.news.idle = !news;
    call.news.versions = read ? 1 : static_cast<size_t>(Newest() - call.query.after);
    call.brings = news ? Newest() : 0;
    call.arrives = now + kLatency + text_takes * static_cast<int>(news ? call.news.versions : 0);
    if (news) texts += call.news.versions;
  }

  void Deliver() {
    for (size_t i = 0; i < calls.size();) {
      pending_call& call = calls[i];
      const bool heard = store == store_mode::kUp ||
                         (store == store_mode::kDeaf && call.query.call == version_call::kRead);
      const bool held = !call.lost && !call.arrives && heard;
      if (held) Answer(call);
      if (!call.arrives && now >= call.query.sent + call.query.wait + kCallTimeout) {
        call.news.status = store_status::kUnknown;
        call.arrives = now;
      }
      if (!call.arrives || *call.arrives > now) {
        ++i;
        continue;
      }
      const pending_call done = call;
      calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(i));
      Take(done.brings);
      plan.OnNews(done.query, done.news, now);
    }
    for (size_t i = 0; i < questions.size();) {
      if (questions[i].arrives > now) {
        ++i;
        continue;
      }
      const pending_question done = questions[i];
      questions.erase(questions.begin() + static_cast<std::ptrdiff_t>(i));
      if (done.word) Take(done.brings);
      plan.OnPeer(done.word, now);
    }
  }

  void Take(uint64_t version) {
    if (version <= number) return;
    number = version;
    plan.OnTaken(version);
  }

  // Kept connections go silent for good, and with them what is under way on them.
  void SilenceKept() {
    kept_silent = true;
    for (pending_call& call : calls) call.lost = call.lost || !call.query.fresh_connection;
  }
  void SetStore(store_mode mode) {
    // What deaf watches missed is no longer kept.
    for (pending_call& call : calls) {
      const bool watch = call.query.call == version_call::kWatch;
      if (store != store_mode::kDeaf || mode == store || call.lost || call.arrives || !watch)
        continue;
      call.news.status = store_status::kHistoryCompacted;
      call.arrives = now;
    }
    store = mode;
    if (mode == store_mode::kUp || mode == store_mode::kDeaf) return;
    for (pending_call& call : calls) {
      if (call.arrives) continue;
      if (mode == store_mode::kSilent) call.lost = true;
      if (mode != store_mode::kRefuses) continue;
      call.news.status = store_status::kUnknown;  // cut
      call.arrives = now;
    }
  }

  monotonic_time now{seconds(1000)};
  version_plan plan;
  std::vector<monotonic_time> acks;  // of version 1, 2, ...; the store's revisions are the same
  uint64_t number = 0;               // in force at the entry
  store_mode store = store_mode::kUp;
  bool kept_silent = false;
  bool peer_answers = true;
  milliseconds text_takes{0};
  milliseconds peer_text_takes{0};
  std::vector<pending_call> calls;
  std::vector<pending_question> questions;
  size_t sent = 0;
  size_t asked = 0;
  size_t texts = 0;
};

}  // namespace

TEST_CASE_METHOD(version_world, "version plan, nothing changes, stays confirmed by few calls",
                 "[version]") {
  Run(seconds(1));
  Run(seconds(30), [this] { REQUIRE(IsNewest()); });
  CHECK(sent < 30);
  CHECK(asked == 0);
}

// Guards against a watch that nobody answers: its connection went silent without a reset.
TEST_CASE_METHOD(version_world, "version plan, kept connections silent, new version in force",
                 "[version]") {
  peer_answers = GENERATE(true, false);
  Run(seconds(5));
  SilenceKept();
  Acknowledge();
  Run(kInForce);
  CHECK(number == 2);
}

// Guards against a second transfer beside one that only takes long: on a narrow link both take
// twice as long.
TEST_CASE_METHOD(version_world, "version plan, text takes long to arrive, is carried once",
                 "[version]") {
  text_takes = milliseconds{1500};
  Run(seconds(10));
  REQUIRE(texts == 1);
  Acknowledge();
  Run(kInForce);
  CHECK(number == 2);
  CHECK(texts == 2);
  Run(seconds(10), [this] { REQUIRE(Confirmed()); });
}

// Guards against an entry that is behind by more versions the longer it receives them.
TEST_CASE_METHOD(version_world, "version plan, versions faster than texts arrive, stays close",
                 "[version]") {
  text_takes = milliseconds{500};
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

// Guards against all entries turning callers away at once while the store answers everything but
// watches.
TEST_CASE_METHOD(version_world, "version plan, watches hear nothing, reads keep it confirmed",
                 "[version]") {
  Run(seconds(5));
  peer_answers = false;
  SetStore(store_mode::kDeaf);
  Acknowledge();
  Run(seconds(4), [this] { REQUIRE(Confirmed()); });
  CHECK(number == 2);
}

// Guards against callers turned away long after an outage: the watch that the silent store held is
// answered by nobody.
TEST_CASE_METHOD(version_world, "version plan, store back from silence, confirms at once",
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

// Guards against an entry that goes on with what it has while the store refuses it and nobody else.
TEST_CASE_METHOD(version_world, "version plan, store refuses this entry, another one tells it",
                 "[version]") {
  Run(seconds(5));
  SetStore(store_mode::kRefuses);
  Run(seconds(9), [this] { REQUIRE(Confirmed()); });
  Acknowledge();
  Run(kInForce);
  CHECK(number == 2);
}

// Guards against "no such queue" from an entry that knows nothing of the last seconds.
TEST_CASE_METHOD(version_world, "version plan, cut off from all, is unconfirmed in time",
                 "[version]") {
  Run(seconds(5));
  peer_answers = false;
  SetStore(store_mode::kSilent);
  Acknowledge();
  Run(milliseconds{1500}, [this] { REQUIRE(Confirmed()); });
  Run(kInForce);
  CHECK_FALSE(Confirmed());
}

// Guards against a process that wakes up and answers by what it knew before.
TEST_CASE_METHOD(version_world, "version plan, after a pause, is unconfirmed until it hears",
                 "[version]") {
  Run(seconds(5));
  now += seconds(6);
  CHECK_FALSE(Confirmed());
  Run(seconds(2));
  CHECK(IsNewest());
}

TEST_CASE_METHOD(version_world, "version plan, another entry holds a newer one, is not newest",
                 "[version]") {
  Run(seconds(5));
  REQUIRE(IsNewest());
  plan.OnPeer(peer_version{2, 2, milliseconds{0}}, now);
  CHECK(Confirmed());
  CHECK_FALSE(IsNewest());
}

class random_version_world : public version_world {
 public:
  // Faults that come in series and overlap, and changes at any moment; then calm.
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
          SilenceKept();
          break;
        case 3:
          SetStore(store_mode::kSilent);
          break;
        case 4:
          SetStore(store_mode::kRefuses);
          break;
        case 5:
          peer_answers = pick(2) == 0;
          break;
        case 6:
          SetStore(store_mode::kDeaf);
          break;
        case 7:
          text_takes = milliseconds{pick(1500)};
          peer_text_takes = milliseconds{pick(800)};
          break;
        default:
          SetStore(store_mode::kUp);
      }
      Run(milliseconds{pick(1200)});
      if (pick(10) == 0) now += milliseconds{pick(6000)};  // the process stood still
    }
    SetStore(store_mode::kUp);
    text_takes = milliseconds{300};
    Run(seconds(6));
    CHECK(number == Newest());
    CHECK(IsNewest());
  }
};

// Guards against an entry that answers by an old version, whatever comes together.
TEST_CASE("version plan, random faults, never confirms what is too old and catches up",
          "[version]") {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    random_version_world world;
    world.RunSeed(seed);
  }
}

}  // namespace catkinford
