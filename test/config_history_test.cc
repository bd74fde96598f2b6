#include "version/config_history.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "version/contract_edit.h"

namespace catkinford {
namespace {

class config_history_fixture {
 protected:
  static past_version Past(uint64_t version, uint64_t bytes = 100) {
    return {version, version + 1000, bytes, std::chrono::milliseconds{5}, "night", "what"};
  }
  std::vector<uint64_t> ListedVersions() const {
    std::vector<uint64_t> numbers;
    for (const past_version& past : history_.Versions()) numbers.push_back(past.version);
    return numbers;
  }

  history_limits bounds_{3, 1000};
  config_history history_;
};

}  // namespace

TEST_CASE_METHOD(config_history_fixture, "history, over its count, drops the oldest", "[history]") {
  for (const uint64_t version : {3, 7, 8, 12}) history_.Add(Past(version), bounds_);
  CHECK(ListedVersions() == std::vector<uint64_t>{7, 8, 12});
  REQUIRE(history_.Dropped().size() == 1);
  CHECK(history_.Dropped().front().text_revision == 1003);
  history_.RemoveDropped(3);
  CHECK(history_.Dropped().empty());
}

TEST_CASE_METHOD(config_history_fixture, "history, over its bytes, keeps the newest at least",
                 "[history]") {
  history_.Add(Past(3, 600), bounds_);
  history_.Add(Past(4, 500), bounds_);
  CHECK(ListedVersions() == std::vector<uint64_t>{4});
  history_.Add(Past(5, 5000), bounds_);
  CHECK(ListedVersions() == std::vector<uint64_t>{5});
}

// An entry is paused between the writes of a version's text and of the list until the version has
// been dropped. Guards against listing it again as newer than it is.
TEST_CASE_METHOD(config_history_fixture, "history, version long superseded, is not listed again",
                 "[history]") {
  for (const uint64_t version : {3, 7, 8, 12}) history_.Add(Past(version), bounds_);
  CHECK(history_.IsSuperseded(3));
  CHECK_FALSE(history_.Has(3));
  CHECK(history_.Has(8));
  CHECK(history_.IsSuperseded(8));
  CHECK(history_.Has(12));
  CHECK_FALSE(history_.IsSuperseded(12));
  CHECK_FALSE(history_.IsSuperseded(13));
}

TEST_CASE_METHOD(config_history_fixture, "history, written and read again, is the same",
                 "[history]") {
  for (const uint64_t version : {3, 7, 8, 12}) history_.Add(Past(version), bounds_);
  const auto again = config_history::Parse(history_.ToText());
  REQUIRE(again.has_value());
  CHECK(again->ToText() == history_.ToText());
  CHECK(again->Dropped().size() == 1);
  CHECK_FALSE(config_history::Parse("{}").has_value());
  CHECK_FALSE(config_history::Parse(R"({"versions":[{"version":4},{"version":3}]})").has_value());
}

// An operator restores a version from before a workspace was removed by mistake. A key that was
// withdrawn in between, or whose team was removed, must not become active again: its holder may
// have left.
TEST_CASE_METHOD(config_history_fixture, "contract restored, inactive key, stays inactive",
                 "[history]") {
  configuration past;
  past.workspaces = {{"w", {}}, {"gone", {}}};
  past.workspaces[0].teams.resize(1);
  past.workspaces[0].teams[0].name = "t";
  past.workspaces[0].teams[0].queue_limit = 5;
  past.workspaces[0].teams[0].keys = {{"old", "s1", "h1"}, {"left", "s2", "h2"}};
  past.workspaces[1].teams.resize(1);
  past.workspaces[1].teams[0].name = "u";
  past.workspaces[1].teams[0].keys = {{"was", "s3", "h3"}};
  configuration current;
  current.operator_keys = {{"op", "s9", "h9"}};
  current.workspaces = {{"w", {}}, {"new", {}}};
  current.workspaces[0].teams.resize(1);
  current.workspaces[0].teams[0].name = "t";
  current.workspaces[0].teams[0].keys = {
      {"old", "s1", "h1"}, {"left", "s2", "h2", true}, {"later", "s4", "h4"}};
  const configuration restored = RestoreContracts(current, past);
  REQUIRE(restored.workspaces.size() == 2);
  const team_contract& team = restored.workspaces[0].teams[0];
  CHECK(team.queue_limit == 5);
  REQUIRE(team.keys.size() == 3);
  CHECK_FALSE(team.keys[0].withdrawn);
  CHECK(team.keys[1].withdrawn);
  CHECK_FALSE(team.keys[2].withdrawn);
  CHECK(restored.workspaces[1].teams[0].keys[0].withdrawn);
  CHECK(restored.operator_keys.size() == 1);
}

TEST_CASE_METHOD(config_history_fixture, "summary, changes of all kinds, are named briefly",
                 "[history]") {
  configuration before;
  before.workspaces = {{"w", {}}, {"x", {}}};
  before.workspaces[0].teams.resize(1);
  before.workspaces[0].teams[0].name = "t";
  before.workspaces[0].teams[0].keys = {{"a", "s1", "h1"}};
  configuration after = before;
  CHECK(SummarizeChanges(before, after).empty());
  after.workspaces[0].teams[0].share = 9;
  after.workspaces[0].teams[0].running_limit = 9;
  after.workspaces[0].teams[0].keys[0].withdrawn = true;
  after.workspaces[0].teams[0].keys.push_back({"b", "s2", "h2"});
  after.workspaces[1].name = "y";
  after.operator_keys = {{"op", "s3", "h3"}};
  CHECK(SummarizeChanges(before, after) ==
        "key op of operators granted, share+limit of t, key a of t withdrawn, key b of t granted, "
        "workspace y added and 1 more");
}

}  // namespace catkinford
