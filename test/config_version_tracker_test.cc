#include "version/config_version_tracker.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "property.h"
#include "version/config_signature.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace{600000};

class config_version_tracker_fixture {
 protected:
  config_version_tracker_fixture() {
    config_.workspaces.push_back({"w", {}});
    team_contract& team = config_.workspaces[0].teams.emplace_back();
    team.name = std::string("t");
    team.keys.push_back(key_.record);
  }

  std::string Text() const { return ToText(config_); }

  new_key key_ = MakeKey("desk", false);
  configuration config_;
  monotonic_time now_ = monotonic_time{} + std::chrono::hours{1};
  config_version_tracker tracker_{kGrace};
};

}  // namespace

TEST_CASE_METHOD(config_version_tracker_fixture, "versions, older one offered late, is ignored",
                 "[versions]") {
  CHECK(tracker_.Offer(5, Text(), now_));
  CHECK_FALSE(tracker_.Offer(4, R"({"workspaces":[]})", now_));
  CHECK_FALSE(tracker_.Offer(5, R"({"workspaces":[]})", now_));
  CHECK(tracker_.Version() == 5);
  CHECK(tracker_.Ring()->Find(key_.secret).has_value());
}

TEST_CASE_METHOD(config_version_tracker_fixture,
                 "versions, unreadable one, keeps the old one in effect", "[versions]") {
  CHECK(tracker_.Offer(5, Text(), now_));
  CHECK_FALSE(tracker_.Offer(6, R"({"workspaces":[], "novelty":1})", now_));
  CHECK(tracker_.Version() == 5);
  REQUIRE(tracker_.Refused().has_value());
  CHECK(tracker_.Refused()->version == 6);
  CHECK(tracker_.Refused()->error.fault == contract_fault::kUnknownField);
  CHECK(tracker_.Offer(7, Text(), now_));
  CHECK_FALSE(tracker_.Refused().has_value());
}

// A peer sends a delta instead of the complete document. Applied to its base it must give exactly
// the text of the version, and to any other text nothing.
TEST_CASE_METHOD(config_version_tracker_fixture,
                 "versions, delta from the current version, gives the next", "[versions]") {
  config_version_tracker other(kGrace);
  const std::string first = SignConfiguration(Text(), {"a1", "night", milliseconds{1}, "x"});
  config_.workspaces[0].teams[0].keys[0].withdrawn = true;
  const std::string second = SignConfiguration(Text(), {"a2", "day", milliseconds{2}, "y"});
  CHECK(tracker_.Offer(5, first, now_));
  CHECK_FALSE(tracker_.LastDelta().has_value());
  CHECK(other.Offer(5, first, now_));
  CHECK(tracker_.Offer(9, second, now_));
  REQUIRE(tracker_.LastDelta().has_value());
  CHECK(tracker_.LastDelta()->change.inserted.size() < 40);
  const auto text = other.TextAfter(*tracker_.LastDelta());
  REQUIRE(text.has_value());
  CHECK(*text == second);
  CHECK(other.Offer(9, *text, now_));
  CHECK_FALSE(other.Ring()->Find(key_.secret).has_value());
  // Already applied, or base never seen.
  CHECK_FALSE(other.TextAfter(*tracker_.LastDelta()).has_value());
  CHECK_FALSE(config_version_tracker(kGrace).TextAfter(*tracker_.LastDelta()).has_value());
}

TEST_CASE("text deltas, between random texts, give the new one or nothing", "[versions]") {
  CHECK(Holds({13, 500, 100}, [] {
    const auto letters = rc::gen::container<std::string>(rc::gen::element('a', 'b', '\n'));
    const std::string before = *letters;
    const std::string after = *letters;
    const std::string other = *letters;
    const std::string signed_after =
        SignConfiguration(after, {"id", "by", milliseconds{3}, "what"});
    RC_ASSERT(ApplyDelta(before, MakeDelta(before, after)) == after);
    RC_ASSERT(ApplyDelta(before, MakeDelta(before, signed_after)) == signed_after);
    const auto wrong = ApplyDelta(other, MakeDelta(before, after));
    RC_ASSERT(!wrong || *wrong == after);
  }));
}

// An isolated domain does not learn that a key was withdrawn elsewhere, so after the grace period
// it accepts nothing new; one confirmation from outside ends that.
TEST_CASE_METHOD(config_version_tracker_fixture,
                 "versions, no confirmation for the grace, trust no key", "[versions]") {
  CHECK_FALSE(tracker_.KeysTrusted(now_));
  tracker_.Offer(5, Text(), now_);
  CHECK(tracker_.KeysTrusted(now_ + kGrace));
  CHECK_FALSE(tracker_.KeysTrusted(now_ + kGrace + milliseconds{1}));
  tracker_.Confirm(5, now_ + kGrace);
  CHECK(tracker_.KeysTrusted(now_ + kGrace * 2));
  // A report of a newer version does not confirm the current one.
  tracker_.Confirm(6, now_ + kGrace * 2);
  CHECK_FALSE(tracker_.KeysTrusted(now_ + kGrace * 2 + milliseconds{1}));
}

TEST_CASE_METHOD(config_version_tracker_fixture,
                 "versions, propagation, names domains that lack one", "[versions]") {
  tracker_.Offer(5, Text(), now_);
  const std::vector<version_member> members = {{"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}};
  tracker_.OnPeerVersion("a2", 5);
  tracker_.OnPeerVersion("b1", 5);
  tracker_.OnPeerVersion("b2", 4);
  propagation_report report = tracker_.Propagation(5, "a", members);
  CHECK(report.in_effect == std::vector<std::string>{"a"});
  CHECK(report.pending == std::vector<std::string>{"b", "c"});
  tracker_.OnPeerVersion("b2", 6);
  report = tracker_.Propagation(5, "a", members);
  CHECK(report.in_effect == std::vector<std::string>{"a", "b"});
  CHECK(tracker_.NewerPeer() == std::string("b2"));
}

// Two domains are isolated together from the store and from the third, where a key is withdrawn. If
// each confirmed the other's version, the key would keep working in both for ever.
TEST_CASE_METHOD(config_version_tracker_fixture,
                 "versions, two domains isolated together, confirm nothing", "[versions]") {
  tracker_.Offer(5, Text(), now_);
  tracker_.OnPeerVersion("b1", 5);
  tracker_.OnPeerVersion("c1", 5);
  CHECK(tracker_.ConfirmedByAll({"b", "c"}, {{"b1", "b"}, {"c1", "c"}}));
  CHECK_FALSE(tracker_.ConfirmedByAll({"b", "c"}, {{"b1", "b"}}));
  tracker_.OnPeerVersion("c1", 6);
  CHECK_FALSE(tracker_.ConfirmedByAll({"b", "c"}, {{"b1", "b"}, {"c1", "c"}}));
}

TEST_CASE("configuration, signed, names its author and parses as before", "[versions]") {
  const std::string text = R"({"workspaces":[]})";
  const std::string signed_text = SignConfiguration(text, {"7f", "night", milliseconds{1234}});
  const config_signature signature = SignatureOf(signed_text);
  CHECK(signature.write_id == "7f");
  CHECK(signature.by == "night");
  CHECK(signature.changed_at == milliseconds{1234});
  CHECK(WithoutSignature(signed_text) == text);
  CHECK(SignatureOf(text).write_id.empty());
  CHECK(std::holds_alternative<configuration>(ParseConfiguration(signed_text)));
}

TEST_CASE("versions, one watcher, is the live entry with the lowest name", "[versions]") {
  CHECK(IsWatcher("a1", {"a2", "a3"}));
  CHECK_FALSE(IsWatcher("a2", {"a1"}));
  CHECK(IsWatcher("a2", {}));
}

// Documents reach the entries by watches, by peers and by late replies, in any order and more than
// once. A change that was accepted must reach every entry and never disappear from one.
TEST_CASE("versions, random propagation between entries, only rise and converge", "[versions]") {
  CHECK(Holds({11, 300, 200}, [] {
    const auto choices =
        *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, 10000));
    constexpr size_t kEntries = 4;
    std::vector<config_version_tracker> entries(kEntries, config_version_tracker(kGrace));
    std::vector<std::pair<uint64_t, std::string>> sent;
    uint64_t newest = 0;
    const monotonic_time now{};
    for (const uint32_t choice : choices) {
      config_version_tracker& entry = entries[choice / 3 % kEntries];
      const uint64_t before = entry.Version();
      if (choice % 3 == 0) {  // an operator's change, seen first by this entry
        newest += 1 + choice % 5;
        sent.emplace_back(
            newest, R"({"workspaces":[{"name":"v)" + std::to_string(newest) + R"(","teams":[]}]})");
        entry.Offer(newest, sent.back().second, now);
      } else if (!sent.empty()) {  // some document, late or duplicated
        const auto& [version, text] = sent[choice / 12 % sent.size()];
        entry.Offer(version, text, now);
      }
      RC_ASSERT(entry.Version() >= before);
      if (entry.Version() != 0) {
        RC_ASSERT(entry.Config()->workspaces[0].name == absl::StrCat("v", entry.Version()));
      }
    }
    // Once entries can reach each other, each fetches the newest version from a peer.
    for (config_version_tracker& entry : entries) {
      for (size_t i = 0; i < kEntries; ++i) {
        entry.OnPeerVersion(std::to_string(i), entries[i].Version());
      }
      if (const auto peer = entry.NewerPeer()) {
        const config_version_tracker& source = entries[static_cast<size_t>(std::stoi(*peer))];
        entry.Offer(source.Version(), source.Text(), now);
      }
      RC_ASSERT(entry.Version() == newest);
    }
  }));
}

}  // namespace catkinford
