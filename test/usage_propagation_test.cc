#include "process/usage_propagation.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{50};
constexpr resources kCell{1000000, 1000000, 0, 10000};

resources Slots(uint32_t slots) { return {slots * 100, slots * 100, 0, slots}; }

// Three failure domains of three entries; messages arrive immediately.
class usage_fixture {
 public:
  usage_fixture() {
    for (int domain = 0; domain < 3; ++domain) {
      for (int entry = 0; entry < 3; ++entry) Add(domain, entry, 1);
    }
  }

 protected:
  struct node {
    int domain = 0;
    std::unique_ptr<usage_propagation> usage;
  };

  static std::string Name(int domain, int entry) { return absl::StrCat("d", domain, "-e", entry); }

  void Add(int domain, int entry, uint64_t incarnation) {
    usage_propagation_options options;
    options.name = Name(domain, entry);
    options.incarnation = incarnation;
    nodes_[options.name] = {domain, std::make_unique<usage_propagation>(options)};
  }

  usage_view ViewOf(const std::string& name) const {
    usage_view view;
    view.cell = kCell;
    for (const auto& [other, one] : nodes_) {
      if (other == name || disconnected_ == other) continue;
      if (one.domain == nodes_.at(name).domain) {
        view.neighbours.push_back(other);
      } else {
        view.far[absl::StrCat("d", one.domain)].push_back(other);
      }
    }
    return view;
  }

  void Run(milliseconds duration) {
    for (const monotonic_time end = now_ + duration; now_ < end; now_ += kTick) {
      for (auto& [name, one] : nodes_) {
        std::vector<due_usage> due;
        one.usage->Due(ViewOf(name), now_, due);
        for (const due_usage& each : due) {
          ++messages_;
          if (lose_) {
            one.usage->OnLost(each.to);
          } else {
            nodes_.at(each.to).usage->OnUsage(name, each.message, now_);
          }
        }
      }
    }
  }

  uint32_t ElsewhereOf(const std::string& name, const std::string& team) const {
    const team_usage_map uses = nodes_.at(name).usage->Elsewhere(ViewOf(name));
    const auto found = uses.find(team);
    return found == uses.end() ? 0 : found->second.slots;
  }

  monotonic_time now_{std::chrono::hours{1}};
  std::map<std::string, node> nodes_;
  std::string disconnected_;  // an entry that no other counts as up
  bool lose_ = false;
  int messages_ = 0;
};

}  // namespace

TEST_CASE_METHOD(usage_fixture,
                 "usage propagation, all owners run tasks, each learns of the others",
                 "[usage_spread]") {
  for (auto& [name, one] : nodes_) one.usage->SetOwn({{"desk", Slots(100)}});
  Run(seconds{5});
  for (const auto& [name, one] : nodes_) CHECK(ElsewhereOf(name, "desk") == 800);
}

TEST_CASE_METHOD(usage_fixture, "usage propagation, nothing changes, nothing is sent",
                 "[usage_spread]") {
  for (auto& [name, one] : nodes_) one.usage->SetOwn({{"desk", Slots(100)}});
  Run(seconds{5});
  messages_ = 0;
  Run(seconds{30});
  CHECK(messages_ == 0);
  nodes_.at("d2-e2").usage->SetOwn({});
  Run(seconds{5});
  CHECK(messages_ > 0);
  CHECK(ElsewhereOf("d0-e1", "desk") == 700);
}

// The relay of a domain fails. The last reported usage of its neighbours would stay in effect, and
// the others would go on counting it.
TEST_CASE_METHOD(usage_fixture, "usage propagation, relay fails, the next one takes its place",
                 "[usage_spread]") {
  for (auto& [name, one] : nodes_) one.usage->SetOwn({{"desk", Slots(100)}});
  Run(seconds{5});
  nodes_.erase("d1-e0");
  nodes_.at("d1-e1").usage->SetOwn({{"desk", Slots(300)}});
  Run(seconds{5});
  CHECK(ElsewhereOf("d0-e2", "desk") == 900);
  CHECK(ElsewhereOf("d1-e2", "desk") == 900);
}

// Calls are lost for a while. Their content must be sent again.
TEST_CASE_METHOD(usage_fixture, "usage propagation, messages lost, are sent again",
                 "[usage_spread]") {
  Run(seconds{2});
  lose_ = true;
  for (auto& [name, one] : nodes_) one.usage->SetOwn({{"desk", Slots(100)}});
  Run(seconds{2});
  lose_ = false;
  Run(seconds{5});
  for (const auto& [name, one] : nodes_) CHECK(ElsewhereOf(name, "desk") == 800);
}

// A call that timed out is retried and both arrive, the first one last; or of two in flight the
// later overtakes the earlier. Teams that only the earlier message reports must count.
TEST_CASE_METHOD(usage_fixture, "usage propagation, old message arrives late, is ignored",
                 "[usage_spread]") {
  usage_propagation& relay = *nodes_.at("d0-e0").usage;
  relay.OnUsage("d0-e1", {1, 2, true, {{"desk", Slots(50)}}}, now_);
  relay.OnUsage("d0-e1", {1, 1, true, {{"desk", Slots(900)}}}, now_);
  CHECK(ElsewhereOf("d0-e0", "desk") == 50);
  relay.OnUsage("d0-e1", {1, 4, false, {{"desk", Slots(60)}}}, now_);
  relay.OnUsage("d0-e1", {1, 3, false, {{"desk", Slots(70)}, {"lab", Slots(30)}}}, now_);
  CHECK(ElsewhereOf("d0-e0", "desk") == 60);
  CHECK(ElsewhereOf("d0-e0", "lab") == 30);
  relay.OnUsage("d0-e1", {2, 1, true, {}}, now_);  // a new process with the same name
  CHECK(ElsewhereOf("d0-e0", "desk") == 0);
}

}  // namespace catkinford
