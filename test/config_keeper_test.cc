#include "process/config_keeper.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "standin/store_server.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kGenerousLimit{30};

std::string Document(const std::string& workspace) {
  return R"({"workspaces":[{"name":")" + workspace + R"(","teams":[]}]})";
}

// Entries' keepers over one store stand-in. What they hand to the core thread runs here.
class config_keeper_fixture {
 public:
  config_keeper_fixture() {
    store_.Start();
    http_.Start();
    url_ = absl::StrCat("http://127.0.0.1:", store_.Port());
    adapter_ = std::make_unique<store_adapter>(http_, url_, milliseconds{300});
  }
  ~config_keeper_fixture() { http_.Stop(); }

 protected:
  // Lives as long as the fixture: replies to what it asked may still come.
  config_keeper* NewEntry() {
    entries_.push_back(std::make_unique<config_keeper>(
        *adapter_, milliseconds{600000}, bounds_,
        [this](std::function<void(monotonic_time)> task) {
          const std::lock_guard lock(mutex_);
          tasks_.push_back(std::move(task));
        },
        [](version_origin, monotonic_time) {}));
    return entries_.back().get();
  }

  bool Eventually(const std::function<bool()>& condition) {
    const monotonic_time give_up = steady_clock::now() + kGenerousLimit;
    while (!condition()) {
      if (steady_clock::now() > give_up) return false;
      std::deque<std::function<void(monotonic_time)>> tasks;
      {
        const std::lock_guard lock(mutex_);
        tasks.swap(tasks_);
      }
      for (auto& task : tasks) task(steady_clock::now());
      if (tasks.empty()) std::this_thread::sleep_for(milliseconds{1});
    }
    return true;
  }

  change_result Change(config_keeper& entry, uint64_t expect, const std::string& workspace) {
    std::optional<change_result> result;
    entry.Change(expect, Document(workspace), {absl::StrCat("id-", ++ids_), "night", {}, workspace},
                 [&](const change_result& end, monotonic_time) { result = end; });
    REQUIRE(Eventually([&] { return result.has_value(); }));
    return *result;
  }

  // Tries again as an operator does: reads what is in force and changes that.
  uint64_t ChangeForSure(config_keeper& entry, const std::string& workspace) {
    for (int i = 0; i < 50; ++i) {
      CatchUp(entry);
      const change_result result = Change(entry, entry.Order().Version(), workspace);
      if (result.end == change_end::kDone) return result.version;
      CatchUp(entry);
      // What became of a change whose answer was lost.
      if (WithoutSignature(entry.Order().Text()) == Document(workspace)) {
        return entry.Order().Version();
      }
    }
    return 0;
  }

  void CatchUp(config_keeper& entry) {
    bool answered = false;
    while (!answered) {
      bool heard = false;
      entry.History([&](const auto& versions, monotonic_time) {
        heard = true;
        answered = versions.has_value();
      });
      REQUIRE(Eventually([&] { return heard; }));
    }
  }

  std::vector<past_version> History(config_keeper& entry) {
    std::optional<std::vector<past_version>> list;
    bool heard = false;
    entry.History([&](std::optional<std::vector<past_version>> versions, monotonic_time) {
      list = std::move(versions);
      heard = true;
    });
    REQUIRE(Eventually([&] { return heard; }));
    REQUIRE(list.has_value());
    return *list;
  }

  static std::vector<std::string> Whats(const std::vector<past_version>& list) {
    std::vector<std::string> words;
    words.reserve(list.size());
    for (const past_version& past : list) words.push_back(past.summary);
    return words;
  }

  std::string TextOf(config_keeper& entry, uint64_t version) {
    std::string text;
    bool heard = false;
    entry.TextOf(
        version,
        [&](store_status, const std::string& read, monotonic_time) {
          text = std::string(WithoutSignature(read));
          heard = true;
        },
        steady_clock::now());
    REQUIRE(Eventually([&] { return heard; }));
    return text;
  }

  void SetStore(const std::string& control) {
    http_call call{"POST", url_ + "/control", control};
    REQUIRE(http_.SendAndWait(call).code == 200);
  }

  size_t KeysInStore(const std::string& prefix) {
    const http_call call{"GET", absl::StrCat(url_, "/v1/range?prefix=", prefix)};
    return nlohmann::json::parse(http_.SendAndWait(call).body)["items"].size();
  }

  store_server store_{0, {}};
  http_client http_{0};
  std::string url_;
  std::unique_ptr<store_adapter> adapter_;
  history_limits bounds_{200, 16U << 20};
  std::mutex mutex_;
  std::deque<std::function<void(monotonic_time)>> tasks_;
  std::vector<std::unique_ptr<config_keeper>> entries_;
  int ids_ = 0;
};

}  // namespace

// All entries are replaced, as happens on any day. An operator who looks for last week's change
// must still find it, with who made it, and what it was.
TEST_CASE_METHOD(config_keeper_fixture, "history, all entries replaced, is still there",
                 "[history]") {
  std::vector<uint64_t> versions;
  config_keeper* const first = NewEntry();
  for (const char* name : {"a", "b", "c"}) versions.push_back(ChangeForSure(*first, name));
  config_keeper* const second = NewEntry();
  const std::vector<past_version> list = History(*second);
  CHECK(Whats(list) == std::vector<std::string>{"a", "b", "c"});
  CHECK(list[0].by == "night");
  for (size_t i = 0; i < versions.size(); ++i) {
    CHECK(list[i].version == versions[i]);
    CHECK(TextOf(*second, versions[i]) == Document(list[i].summary));
  }
}

// An entry dies after it kept the version in force and before the swap. The version was never
// superseded: it must show once, also after another entry has made the change.
TEST_CASE_METHOD(config_keeper_fixture, "history, writer dies before its swap, shows nothing twice",
                 "[history]") {
  config_keeper* const entry = NewEntry();
  const uint64_t version = ChangeForSure(*entry, "a");
  history_keeper dying(*adapter_, bounds_, [this](std::function<void(monotonic_time)> task) {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  });
  std::optional<keep_end> kept;
  dying.Keep(version, entry->Order().Text(), [&](keep_end end, monotonic_time) { kept = end; });
  REQUIRE(Eventually([&] { return kept.has_value(); }));
  CHECK(Whats(History(*entry)) == std::vector<std::string>{"a"});
  ChangeForSure(*entry, "b");
  CHECK(Whats(History(*entry)) == std::vector<std::string>{"a", "b"});
}

// Two operators change the same version at two entries. The one that lost was never in force: in
// the list it would look as if it had been, and a diff would show a change that nobody made.
TEST_CASE_METHOD(config_keeper_fixture, "history, operators race, has only versions in force",
                 "[history]") {
  config_keeper* const one = NewEntry();
  config_keeper* const other = NewEntry();
  const uint64_t base = ChangeForSure(*one, "base");
  CatchUp(*other);
  std::vector<change_result> results;
  const auto note = [&](const change_result& end, monotonic_time) { results.push_back(end); };
  one->Change(base, Document("x"), {"id-x", "night", {}, "x"}, note);
  other->Change(base, Document("y"), {"id-y", "day", {}, "y"}, note);
  REQUIRE(Eventually([&] { return results.size() == 2; }));
  const bool first_won = results[0].end == change_end::kDone;
  CHECK(results[first_won ? 1 : 0].end == change_end::kConflict);
  CatchUp(*one);
  const std::string winner = SignatureOf(one->Order().Text()).summary;
  CHECK(Whats(History(*other)) == std::vector<std::string>{"base", winner});
}

// An operator reads the version from an entry that is ahead of the one that takes the change. What
// that entry has in memory is not what stands there and must not be kept under its number.
TEST_CASE_METHOD(config_keeper_fixture, "history, change at an entry that lags, misses no version",
                 "[history]") {
  config_keeper* const ahead = NewEntry();
  config_keeper* const behind = NewEntry();
  ChangeForSure(*ahead, "a");
  CatchUp(*behind);
  const uint64_t second = ChangeForSure(*ahead, "b");
  CHECK(behind->Order().Version() < second);
  CHECK(Change(*behind, second, "c").end == change_end::kDone);
  CHECK(Whats(History(*ahead)) == std::vector<std::string>{"a", "b", "c"});
  CHECK(TextOf(*ahead, second) == Document("b"));
}

// The store does what it is told and does not say so. Each change must still be made once and stand
// once in the list, whichever of its writes lost its reply.
TEST_CASE_METHOD(config_keeper_fixture, "history, replies of the store lost, misses no version",
                 "[history]") {
  config_keeper* const one = NewEntry();
  config_keeper* const other = NewEntry();
  ChangeForSure(*one, "w0");
  SetStore(R"({"mode":"lose_replies","ratio":0.4})");
  std::vector<std::string> names = {"w0"};
  for (int i = 1; i <= 12; ++i) {
    names.push_back(absl::StrCat("w", i));
    REQUIRE(ChangeForSure(i % 2 == 0 ? *one : *other, names.back()) != 0);
  }
  SetStore(R"({"mode":"up"})");
  CatchUp(*one);
  CHECK(Whats(History(*one)) == names);
}

// With the store down nothing can be kept, and so nothing changed: the operator is told so, and not
// that it may have been.
TEST_CASE_METHOD(config_keeper_fixture, "history, store down, refuses the change as not made",
                 "[history]") {
  config_keeper* const entry = NewEntry();
  const uint64_t version = ChangeForSure(*entry, "a");
  SetStore(R"({"mode":"down"})");
  CHECK(Change(*entry, version, "b").end == change_end::kUnavailable);
  SetStore(R"({"mode":"up"})");
  CHECK(Whats(History(*entry)) == std::vector<std::string>{"a"});
}

// A site changes its contracts for years. The store must not fill with texts.
TEST_CASE_METHOD(config_keeper_fixture, "history, over its bound, deletes texts in the store",
                 "[history]") {
  bounds_.versions = 3;
  config_keeper* const one = NewEntry();
  config_keeper* const other = NewEntry();
  for (int i = 0; i < 12; ++i) ChangeForSure(i % 2 == 0 ? *one : *other, absl::StrCat("w", i));
  CHECK(History(*one).size() >= 3);
  CHECK(History(*one).size() <= 4);         // the one in force may be listed or not
  CHECK(KeysInStore("history/") <= 3 + 1);  // the last dropped one goes with the next change
}

}  // namespace catkinford
