#include "process/instance_polling.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPoll{1000};
constexpr milliseconds kTick{50};

// Three neighbours whose messages arrive immediately, and a platform that answers immediately.
class polling_fixture {
 public:
  polling_fixture() {
    for (int i = 0; i < 20; ++i) List(absl::StrCat("ep-", i));
    for (const char* name : {"a", "b", "c"}) entries_.emplace(name, instance_polling(name, kPoll));
    Run(seconds{2});
  }

 protected:
  void List(const std::string& name) {
    list_.push_back({name,
                     instance_role::kEndpoint,
                     "otaru",
                     "rack-1",
                     absl::StrCat("http://", name, ":1"),
                     false,
                     {1000, 1000, 0, 4}});
  }

  std::vector<std::string> Neighbours(const std::string& of) const {
    std::vector<std::string> names;
    for (const auto& [name, one] : entries_) {
      if (name != of) names.push_back(name);
    }
    return names;
  }

  void Read(const std::string& name, instance_polling& entry) {
    entry.OnReadBegun(now_);
    ++reads_[name];
    if (disconnected_ == name) return entry.OnReadFailed();
    std::vector<instance> list = list_;
    for (instance& one : list) absl::StrAppend(&one.address, "/for-", name);
    const instances_message message = entry.OnRead(list, now_);
    if (std::exchange(lose_next_, false)) return;
    for (auto& [other, one] : entries_) {
      if (other != name) one.OnMessage(name, message, now_);
    }
  }

  void Run(milliseconds duration) {
    for (const monotonic_time end = now_ + duration; now_ < end; now_ += kTick) {
      for (auto& [name, one] : entries_) {
        if (one.ReadDue(Neighbours(name), now_)) Read(name, one);
      }
    }
  }

  bool IsLeaving(const std::string& entry, const std::string& endpoint) const {
    const std::vector<instance> list = entries_.at(entry).List();
    return std::any_of(list.begin(), list.end(),
                       [&](const instance& one) { return one.name == endpoint && one.leaving; });
  }

  monotonic_time now_{std::chrono::hours{1}};
  std::vector<instance> list_;
  std::map<std::string, instance_polling> entries_;
  std::map<std::string, int> reads_;
  std::string disconnected_;  // an entry that the platform does not answer
  bool lose_next_ = false;
};

}  // namespace

TEST_CASE_METHOD(polling_fixture, "instance polling, no changes, one entry reads at a time",
                 "[instance_turns]") {
  reads_.clear();
  Run(seconds{30});
  for (const char* name : {"a", "b", "c"}) {
    CHECK(reads_[name] >= 9);
    CHECK(reads_[name] <= 10);
  }
}

TEST_CASE_METHOD(polling_fixture,
                 "instance polling, endpoint leaves and another joins, all entries learn it",
                 "[instance_turns]") {
  list_[3].leaving = true;
  list_.erase(list_.begin() + 7);
  List("ep-new");
  Run(kPoll + kPoll / 10);
  for (const auto& [name, one] : entries_) {
    CHECK(IsLeaving(name, "ep-3"));
    CHECK(one.Digest() == entries_.at("a").Digest());
    CHECK(one.List().size() == 20);
  }
}

// An address may depend on the reader of the list. An entry must keep the address it has read
// itself when a neighbour reports another change of the instance.
TEST_CASE_METHOD(polling_fixture, "instance polling, known endpoint changes, keeps its own address",
                 "[instance_turns]") {
  list_[3].leaving = true;
  Run(seconds{2});
  for (const auto& [name, one] : entries_) {
    for (const instance& each : one.List()) {
      if (each.name == "ep-3") CHECK(each.address.ends_with(absl::StrCat("/for-", name)));
    }
  }
}

// The next reader fails, or is cut off from the platform alone. If the others waited for it, a
// leaving endpoint would get new work until it returns.
TEST_CASE_METHOD(polling_fixture,
                 "instance polling, next reader disconnected or failed, is skipped",
                 "[instance_turns]") {
  disconnected_ = "b";
  list_[3].leaving = true;
  Run(2 * kPoll);
  for (const char* name : {"a", "b", "c"}) CHECK(IsLeaving(name, "ep-3"));
  disconnected_.clear();
  entries_.erase("b");
  list_[4].leaving = true;
  Run(2 * kPoll);
  for (const char* name : {"a", "c"}) CHECK(IsLeaving(name, "ep-4"));
}

// The message with a change is lost. The next reader sees no change; without a digest of the whole
// list the others would never learn of it.
TEST_CASE_METHOD(polling_fixture, "instance polling, message lost, list is read again",
                 "[instance_turns]") {
  lose_next_ = true;
  list_[3].leaving = true;
  Run(seconds{4});
  for (const char* name : {"a", "b", "c"}) CHECK(IsLeaving(name, "ep-3"));
}

TEST_CASE_METHOD(polling_fixture, "instance polling, new entry, reads at once and sends no changes",
                 "[instance_turns]") {
  reads_.clear();
  entries_.emplace("d", instance_polling("d", kPoll));
  Run(milliseconds{100});
  CHECK(entries_.at("d").HasList());
  CHECK(reads_["d"] == 1);
  CHECK(entries_.at("d").Digest() == entries_.at("a").Digest());
}

}  // namespace catkinford
