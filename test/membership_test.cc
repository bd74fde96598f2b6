#include "process/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{50};
constexpr size_t kExchangeBytes = 472;  // of a JSON-RPC call and reply without the texts
constexpr uint64_t kIncarnation = 1764716400123456;  // as long as a real one

// A fleet whose entries send each other heartbeats without delay.
class fleet_fixture {
 public:
  fleet_fixture() : fleet_fixture(3, 2) {}
  fleet_fixture(int domains, int entries) {
    for (int domain = 0; domain < domains; ++domain) {
      for (int entry = 0; entry < entries; ++entry) {
        Add(Name(domain, entry), absl::StrCat("d", domain), kIncarnation);
      }
    }
    Run(seconds{10});
  }

 protected:
  struct node {
    std::string domain;
    uint64_t incarnation = 1;
    std::unique_ptr<membership> members;
    std::vector<member_change> changes;
    uint64_t heartbeat = 0;
    uint64_t config_version = 123456;
    std::string shard;
    uint64_t epoch = 12;
    bool hangs = false;  // sends nothing and answers nothing
  };

  static std::string Name(int domain, int entry) { return absl::StrCat("d", domain, "-e", entry); }

  void Add(const std::string& name, const std::string& domain, uint64_t incarnation) {
    membership_options options;
    options.name = name;
    options.failure_domain = domain;
    options.address = absl::StrCat(name, ":1");
    options.incarnation = incarnation;
    nodes_[name] = {domain, incarnation, std::make_unique<membership>(options), {}};
    nodes_[name].shard = absl::StrCat(domain, "/", nodes_.size() % 6);
    list_.push_back({name, instance_role::kEntry, domain, "", absl::StrCat(name, ":1")});
  }

  void Send(const std::string& from, const std::string& to) {
    bytes_[from] += kExchangeBytes;
    bytes_[to] += kExchangeBytes;
    const auto target = nodes_.find(to);
    if (target != nodes_.end() && target->second.hangs) return;
    const bool reachable =
        target != nodes_.end() && cut_ != nodes_[from].domain && cut_ != target->second.domain;
    if (!reachable) return ReportSilent(from, to);
    const bool near = nodes_[from].domain == target->second.domain;
    size_t texts = Deliver(from, *target->second.members);
    if (!near) texts += Deliver(to, *nodes_[from].members);
    bytes_[from] += texts;
    bytes_[to] += texts;
  }

  // As in the node: a refused call is reported to the neighbours.
  void ReportSilent(const std::string& from, const std::string& to) {
    membership& own = *nodes_[from].members;
    const bool was_up = own.IsUp(to);
    own.OnSilent(to, now_);
    const member* one = own.Find(to);
    if (!was_up || one == nullptr || one->failure_domain != nodes_[from].domain) return;
    const silent_message silent{to, one->status.incarnation, one->status.heartbeat};
    for (const std::string& name : own.LiveNeighbours()) {
      if (nodes_.contains(name)) nodes_[name].members->OnSilent(silent, now_);
    }
  }

  entry_status StatusOf(const std::string& name) {
    node& one = nodes_[name];
    entry_status status{name,
                        absl::StrCat(name, ":1"),
                        one.incarnation,
                        ++one.heartbeat,
                        milliseconds{0},
                        one.config_version};
    if (!one.shard.empty()) status.shards.push_back({one.shard, one.epoch, 78});
    return status;
  }

  // Returns the size of the text on the wire, where each quote is escaped.
  size_t Deliver(const std::string& from, membership& to) {
    const std::string text =
        EncodeBatch(from, {nodes_[from].members->Heartbeat(StatusOf(from), now_)});
    const std::vector<peer_message> messages = DecodeBatch(text);
    REQUIRE(messages.size() == 1);
    to.OnHeartbeat(std::get<heartbeat_message>(messages[0].body), now_);
    return text.size() + static_cast<size_t>(std::count(text.begin(), text.end(), '"'));
  }

  void Run(milliseconds duration) {
    for (const monotonic_time end = now_ + duration; now_ < end; now_ += kTick) {
      for (auto& [name, one] : nodes_) {
        if (now_.time_since_epoch() % seconds{1} == seconds{0}) {
          one.members->OnInstances(list_, now_);
        }
        if (one.hangs) continue;
        one.members->Tick(now_, one.changes);
        for (const heartbeat_target& target : one.members->DueHeartbeats(now_)) {
          Send(name, target.name);
        }
      }
    }
  }

  // Number of entries that see `name` as up.
  int CountSeenUp(const std::string& name) const {
    return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& item) {
      return item.second.members->IsUp(name);
    }));
  }

  monotonic_time now_{std::chrono::hours{1}};
  std::map<std::string, node> nodes_;
  std::vector<instance> list_;
  std::map<std::string, size_t> bytes_;
  std::string cut_;  // a domain that can't reach any other
};

class target_size_fixture : public fleet_fixture {
 public:
  target_size_fixture() : fleet_fixture(9, 6) {}
};

}  // namespace

TEST_CASE_METHOD(fleet_fixture, "membership, six entries, all see each other up", "[membership]") {
  for (const auto& [name, one] : nodes_) CHECK(CountSeenUp(name) == 5);
}

TEST_CASE_METHOD(target_size_fixture,
                 "membership, 54 entries, all see each other up within the byte budget",
                 "[membership]") {
  for (const auto& [name, one] : nodes_) CHECK(CountSeenUp(name) == 53);
  bytes_.clear();
  for (auto& [name, one] : nodes_) one.changes.clear();
  Run(seconds{30});
  const membership_options defaults;
  size_t most = 0;
  for (const auto& [name, bytes] : bytes_) most = std::max(most, bytes / 30);
  INFO("most bytes a second: " << most);
  CHECK(most <= defaults.bytes_per_second);
  for (const auto& [name, one] : nodes_) CHECK(one.changes.empty());
}

// An entry is lost. Its neighbours must notice soon, since one of them takes over its shards while
// callers wait; other entries only stop sending requests to it.
TEST_CASE_METHOD(target_size_fixture, "membership, entry killed, neighbours notice first",
                 "[membership]") {
  nodes_.erase("d4-e2");
  // Its predecessor's next call is refused, which is reported to the other neighbours.
  Run(seconds{1});
  for (int entry = 0; entry < 6; ++entry) {
    if (entry != 2) CHECK_FALSE(nodes_.at(Name(4, entry)).members->IsUp("d4-e2"));
  }
  Run(seconds{23});
  CHECK(CountSeenUp("d4-e2") == 0);
  CHECK(CountSeenUp("d4-e3") == 52);
}

// Entries forward statuses. If a status became younger on its way, entries would keep a lost one up
// by forwarding its status to each other.
TEST_CASE_METHOD(fleet_fixture, "membership, lost entry, is not kept up by forwarded statuses",
                 "[membership]") {
  nodes_.erase("d1-e0");
  Run(seconds{25});
  CHECK(CountSeenUp("d1-e0") == 0);
  for (const auto& [name, one] : nodes_) {
    CHECK(one.members->Members().at("d1-e0").state == member_state::kDown);
  }
}

// An instance is replaced by a new one of the same name. A late status of the old process must not
// count for the new one.
TEST_CASE_METHOD(fleet_fixture, "membership, instance replaced, joins by itself", "[membership]") {
  nodes_.erase("d1-e0");
  Run(seconds{2});
  Add("d1-e0", "d1", kIncarnation + 7);
  Run(seconds{5});
  CHECK(CountSeenUp("d1-e0") == 5);
  membership& other = *nodes_.at("d1-e1").members;
  other.OnHeartbeat({"d1", false, {{"d1-e0", "elsewhere:1", 1, 99999, milliseconds{0}}}}, now_);
  CHECK(other.Members().at("d1-e0").status.incarnation == kIncarnation + 7);
  CHECK(other.Members().at("d1-e0").address == "d1-e0:1");
}

TEST_CASE_METHOD(fleet_fixture, "membership, new entry not in the lagging list yet, joins",
                 "[membership]") {
  Add("d2-e9", "d2", kIncarnation);
  list_.pop_back();
  Run(seconds{4});
  CHECK(CountSeenUp("d2-e9") == 6);
}

TEST_CASE_METHOD(fleet_fixture, "membership, entry unlisted and silent, is forgotten",
                 "[membership]") {
  nodes_.erase("d1-e0");
  std::erase_if(list_, [](const instance& one) { return one.name == "d1-e0"; });
  Run(seconds{70});
  for (const auto& [name, one] : nodes_) CHECK_FALSE(one.members->Members().contains("d1-e0"));
}

TEST_CASE_METHOD(fleet_fixture, "membership, domain cut off and back, recovers by itself",
                 "[membership]") {
  cut_ = "d0";
  Run(seconds{30});
  CHECK(CountSeenUp("d0-e0") == 0);  // entries of a cut domain do not reach each other here either
  CHECK(CountSeenUp("d1-e0") == 3);
  cut_.clear();
  Run(seconds{10});
  for (const auto& [name, one] : nodes_) CHECK(CountSeenUp(name) == 5);
}

// Calls to an entry that hangs time out instead of being refused, so only the missing heartbeats
// show it. The neighbours must notice within the time that the ring needs.
TEST_CASE_METHOD(target_size_fixture,
                 "membership, entry hangs, neighbours notice missing heartbeats", "[membership]") {
  nodes_.at("d4-e2").hangs = true;
  Run(seconds{8});
  for (int entry = 0; entry < 6; ++entry) {
    if (entry != 2) CHECK_FALSE(nodes_.at(Name(4, entry)).members->IsUp("d4-e2"));
  }
}

// A delayed message reports an entry that was lost meanwhile, or whose shard moved. If it were
// applied, the entry would look up again and get requests for shards that it does not own.
TEST_CASE_METHOD(fleet_fixture, "membership, status of a lost entry arrives late, is ignored",
                 "[membership]") {
  const heartbeat_message late = nodes_.at("d1-e1").members->Heartbeat(StatusOf("d1-e1"), now_);
  Run(seconds{2});
  nodes_.erase("d1-e0");
  Run(seconds{25});
  membership& other = *nodes_.at("d0-e0").members;
  const std::vector<std::string> updated = other.OnHeartbeat(late, now_);
  Run(milliseconds{100});
  CHECK(updated.empty());
  CHECK_FALSE(other.IsUp("d1-e0"));
}

// One neighbour can't reach an entry that all others reach, and reports it silent. A later status
// of the entry takes precedence over that report.
TEST_CASE_METHOD(target_size_fixture, "membership, entry reported silent but seen since, is up",
                 "[membership]") {
  membership& other = *nodes_.at("d4-e3").members;
  const member& one = *other.Find("d4-e2");
  const silent_message early{"d4-e2", one.status.incarnation, one.status.heartbeat - 1};
  CHECK_FALSE(other.OnSilent(early, now_));
  const silent_message now{"d4-e2", one.status.incarnation, one.status.heartbeat};
  CHECK(other.OnSilent(now, now_));
  Run(seconds{3});
  CHECK(other.IsUp("d4-e2"));
}

// An entry's configuration version and the epoch of its shard must reach the whole fleet.
TEST_CASE_METHOD(target_size_fixture, "membership, entry with a new version and epoch, all learn",
                 "[membership]") {
  nodes_.at("d3-e3").config_version = 123457;
  nodes_.at("d3-e3").epoch = 13;
  Run(seconds{20});
  for (const auto& [name, one] : nodes_) {
    if (name == "d3-e3") continue;
    const entry_status& status = one.members->Find("d3-e3")->status;
    CHECK(status.config_version == 123457);
    REQUIRE(status.shards.size() == 1);
    CHECK(status.shards[0].epoch == 13);
    CHECK(status.shards[0].shard == nodes_.at("d3-e3").shard);
  }
}

}  // namespace catkinford
