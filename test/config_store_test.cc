#include "process/config_store.h"

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

// Configuration stores of several entries over one store stand-in. Tasks posted to the core thread
// run here.
class config_store_fixture {
 public:
  config_store_fixture() {
    store_.Start();
    http_.Start();
    url_ = absl::StrCat("http://127.0.0.1:", store_.Port());
    adapter_ = std::make_unique<store_adapter>(http_, url_, milliseconds{300});
  }
  ~config_store_fixture() { http_.Stop(); }

 protected:
  // Kept until the end of the fixture, since late replies may still arrive.
  config_store* NewEntry() {
    entries_.push_back(std::make_unique<config_store>(
        *adapter_, milliseconds{600000}, bounds_,
        [this](std::function<void(monotonic_time)> task) {
          const std::lock_guard lock(mutex_);
          tasks_.push_back(std::move(task));
        },
        [](version_origin, monotonic_time) {}));
    return entries_.back().get();
  }

  bool Eventually(const std::function<bool()>& condition) {
    const monotonic_time deadline = steady_clock::now() + kGenerousLimit;
    while (!condition()) {
      if (steady_clock::now() > deadline) return false;
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

  change_result Change(config_store& entry, uint64_t expect, const std::string& workspace) {
    std::optional<change_result> result;
    entry.Change(expect, Document(workspace), {absl::StrCat("id-", ++ids_), "night", {}, workspace},
                 [&](const change_result& end, monotonic_time) { result = end; });
    REQUIRE(Eventually([&] { return result.has_value(); }));
    return *result;
  }

  // Retries like an operator: reads the current version and changes that.
  uint64_t ChangeUntilDone(config_store& entry, const std::string& workspace) {
    for (int i = 0; i < 50; ++i) {
      CatchUp(entry);
      const change_result result = Change(entry, entry.Order().Version(), workspace);
      if (result.end == change_outcome::kDone) return result.version;
      CatchUp(entry);
      // A change whose answer was lost may have been made.
      if (WithoutSignature(entry.Order().Text()) == Document(workspace)) {
        return entry.Order().Version();
      }
    }
    return 0;
  }

  void CatchUp(config_store& entry) {
    bool answered = false;
    while (!answered) {
      bool replied = false;
      entry.History([&](const auto& versions, monotonic_time) {
        replied = true;
        answered = versions.has_value();
      });
      REQUIRE(Eventually([&] { return replied; }));
    }
  }

  std::vector<past_version> History(config_store& entry) {
    std::optional<std::vector<past_version>> list;
    bool replied = false;
    entry.History([&](std::optional<std::vector<past_version>> versions, monotonic_time) {
      list = std::move(versions);
      replied = true;
    });
    REQUIRE(Eventually([&] { return replied; }));
    REQUIRE(list.has_value());
    return *list;
  }

  static std::vector<std::string> Descriptions(const std::vector<past_version>& list) {
    std::vector<std::string> descriptions;
    descriptions.reserve(list.size());
    for (const past_version& past : list) descriptions.push_back(past.summary);
    return descriptions;
  }

  std::string TextOf(config_store& entry, uint64_t version) {
    std::string text;
    bool replied = false;
    entry.TextOf(
        version,
        [&](store_status, const std::string& read, monotonic_time) {
          text = std::string(WithoutSignature(read));
          replied = true;
        },
        steady_clock::now());
    REQUIRE(Eventually([&] { return replied; }));
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
  std::vector<std::unique_ptr<config_store>> entries_;
  int ids_ = 0;
};

}  // namespace

// After all entries have been replaced, a change must still be in the history, with its author and
// text.
TEST_CASE_METHOD(config_store_fixture, "history, all entries replaced, is still complete",
                 "[history]") {
  std::vector<uint64_t> versions;
  config_store* const first = NewEntry();
  for (const char* name : {"a", "b", "c"}) versions.push_back(ChangeUntilDone(*first, name));
  config_store* const second = NewEntry();
  const std::vector<past_version> list = History(*second);
  CHECK(Descriptions(list) == std::vector<std::string>{"a", "b", "c"});
  CHECK(list[0].by == "night");
  for (size_t i = 0; i < versions.size(); ++i) {
    CHECK(list[i].version == versions[i]);
    CHECK(TextOf(*second, versions[i]) == Document(list[i].summary));
  }
}

// An entry is lost after it saved the current version and before the swap. The version was never
// superseded: it must be listed once, also after another entry has made the change.
TEST_CASE_METHOD(config_store_fixture, "history, writer lost before its swap, lists nothing twice",
                 "[history]") {
  config_store* const entry = NewEntry();
  const uint64_t version = ChangeUntilDone(*entry, "a");
  config_history_store lost_writer(*adapter_, bounds_,
                                   [this](std::function<void(monotonic_time)> task) {
                                     const std::lock_guard lock(mutex_);
                                     tasks_.push_back(std::move(task));
                                   });
  std::optional<save_outcome> saved;
  lost_writer.Save(version, entry->Order().Text(),
                   [&](save_outcome end, monotonic_time) { saved = end; });
  REQUIRE(Eventually([&] { return saved.has_value(); }));
  CHECK(Descriptions(History(*entry)) == std::vector<std::string>{"a"});
  ChangeUntilDone(*entry, "b");
  CHECK(Descriptions(History(*entry)) == std::vector<std::string>{"a", "b"});
}

// Two operators change the same version at two entries. The losing text was never in effect:
// listed, a diff would show a change that nobody made.
TEST_CASE_METHOD(config_store_fixture,
                 "history, concurrent changes, lists only versions that were in effect",
                 "[history]") {
  config_store* const one = NewEntry();
  config_store* const other = NewEntry();
  const uint64_t base = ChangeUntilDone(*one, "base");
  CatchUp(*other);
  std::vector<change_result> results;
  const auto on_result = [&](const change_result& end, monotonic_time) { results.push_back(end); };
  one->Change(base, Document("x"), {"id-x", "night", {}, "x"}, on_result);
  other->Change(base, Document("y"), {"id-y", "day", {}, "y"}, on_result);
  REQUIRE(Eventually([&] { return results.size() == 2; }));
  const bool first_won = results[0].end == change_outcome::kDone;
  CHECK(results[first_won ? 1 : 0].end == change_outcome::kConflict);
  CatchUp(*one);
  const std::string winner = SignatureOf(one->Order().Text()).summary;
  CHECK(Descriptions(History(*other)) == std::vector<std::string>{"base", winner});
}

// An operator reads the version from an entry that is ahead of the one that receives the change.
// The text in memory there is an older version and must not be saved under the newer number.
TEST_CASE_METHOD(config_store_fixture, "history, change at a lagging entry, misses no version",
                 "[history]") {
  config_store* const ahead = NewEntry();
  config_store* const lagging = NewEntry();
  ChangeUntilDone(*ahead, "a");
  CatchUp(*lagging);
  const uint64_t second = ChangeUntilDone(*ahead, "b");
  CHECK(lagging->Order().Version() < second);
  CHECK(Change(*lagging, second, "c").end == change_outcome::kDone);
  CHECK(Descriptions(History(*ahead)) == std::vector<std::string>{"a", "b", "c"});
  CHECK(TextOf(*ahead, second) == Document("b"));
}

// The store executes writes but their replies are lost. Each change must be made once and listed
// once, whichever of its writes lost its reply.
TEST_CASE_METHOD(config_store_fixture, "history, replies of the store lost, misses no version",
                 "[history]") {
  config_store* const one = NewEntry();
  config_store* const other = NewEntry();
  ChangeUntilDone(*one, "w0");
  SetStore(R"({"mode":"lose_replies","ratio":0.4})");
  std::vector<std::string> names = {"w0"};
  for (int i = 1; i <= 12; ++i) {
    names.push_back(absl::StrCat("w", i));
    REQUIRE(ChangeUntilDone(i % 2 == 0 ? *one : *other, names.back()) != 0);
  }
  SetStore(R"({"mode":"up"})");
  CatchUp(*one);
  CHECK(Descriptions(History(*one)) == names);
}

// With the store down nothing can be saved, so nothing is changed: the operator must get "not
// changed", not "unknown".
TEST_CASE_METHOD(config_store_fixture, "history, store down, rejects the change as not made",
                 "[history]") {
  config_store* const entry = NewEntry();
  const uint64_t version = ChangeUntilDone(*entry, "a");
  SetStore(R"({"mode":"down"})");
  CHECK(Change(*entry, version, "b").end == change_outcome::kUnavailable);
  SetStore(R"({"mode":"up"})");
  CHECK(Descriptions(History(*entry)) == std::vector<std::string>{"a"});
}

// After years of changes the store must not fill up with old texts.
TEST_CASE_METHOD(config_store_fixture, "history, over its limit, deletes texts in the store",
                 "[history]") {
  bounds_.versions = 3;
  config_store* const one = NewEntry();
  config_store* const other = NewEntry();
  for (int i = 0; i < 12; ++i) ChangeUntilDone(i % 2 == 0 ? *one : *other, absl::StrCat("w", i));
  CHECK(History(*one).size() >= 3);
  CHECK(History(*one).size() <= 4);         // the current one may be listed or not
  CHECK(KeysInStore("history/") <= 3 + 1);  // the last dropped one is deleted by the next change
}

}  // namespace catkinford
