// Sites whose links transfer a large configuration slowly.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "site_fixture.h"
#include "standin/fault_proxy.h"

namespace catkinford {
namespace {

// Two entries whose links to the store can be made narrow, and a configuration whose transfer over
// such a link takes longer than the timeout of any call to the store.
class narrow_link_fixture : public site_fixture {
 protected:
  static constexpr uint64_t kNarrowBytesPerSecond = 150'000;
  static constexpr size_t kQueues = 2500;

  narrow_link_fixture() : site_fixture(no_entries{}) {
    proxy_.Start();
    for (size_t i = 0; i < 2; ++i) {
      links_.push_back(proxy_.AddLink(store_.Port()));
      AddEntry(absl::StrCat("entry-", i), absl::StrCat("127.0.0.1:", proxy_.PortOf(links_.back())));
    }
  }
  ~narrow_link_fixture() {
    for (auto& entry : entries_) entry->process.Kill();
    proxy_.Stop();
  }

  void Narrow() {
    for (const link_index link : links_) {
      link_rule rule;
      rule.bytes_per_second = kNarrowBytesPerSecond;
      proxy_.SetRule(link, rule);
    }
  }

  void PutLargeVersion(uint64_t number) {
    std::vector<nlohmann::json> queues;
    for (size_t i = 0; i < kQueues; ++i) queues.push_back(OpenQueue(absl::StrCat("queue-", i)));
    queues.push_back(OpenQueue("added"));
    PutVersion(number, {"key-1"}, queues);
  }

  bool Serves(size_t at) { return Call(at, "GET", "/added/").code == 200; }

  fault_proxy proxy_;
  std::vector<link_index> links_;
};

// Guards against an entry that never catches up: its read of a new version times out, however much
// has arrived, and restarts at the first byte.
TEST_CASE_METHOD(narrow_link_fixture,
                 "site, version too large for its links to transfer in time, reaches every entry",
                 "[version]") {
  for (auto& entry : entries_) Start(*entry);
  REQUIRE(Eventually([this] { return Ready(0) && Ready(1) && Owner() >= 0; }));
  Narrow();
  PutLargeVersion(2);
  CHECK(Eventually([this] { return Serves(0); }));
  CHECK(Eventually([this] { return Serves(1); }));
}

// Guards against an entry that never becomes ready because its first read times out in this way.
TEST_CASE_METHOD(narrow_link_fixture,
                 "site, started with a version too large to transfer in time, becomes ready",
                 "[version]") {
  PutLargeVersion(2);
  Narrow();
  for (auto& entry : entries_) Start(*entry);
  CHECK(Eventually([this] { return Ready(0) && Ready(1); }));
  CHECK(Eventually([this] { return Serves(0) && Serves(1); }));
}

// Guards against "no such queue" from an entry that received no update for longer than a change may
// take, and against work accepted by a configuration that may no longer be in effect.
TEST_CASE_METHOD(
    narrow_link_fixture,
    "site, cut off from its store, answers retry later and not that a queue is unknown",
    "[version]") {
  for (auto& entry : entries_) Start(*entry);
  REQUIRE(Eventually([this] { return Ready(0) && Ready(1) && Owner() >= 0; }));
  const auto unknown_queue_status = [this] {
    return Call(0, "POST", "/nowhere/" + JobId(1), TwoSteps()).code;
  };
  CHECK(unknown_queue_status() == 404);
  CHECK(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps(), "other").code == 401);
  for (const link_index link : links_) proxy_.SetRule(link, {link_state::kStall});
  CHECK(Eventually([&] { return unknown_queue_status() == 503; }));
  CHECK(Call(0, "POST", "/keyed/" + JobId(1), TwoSteps(), "other").code == 503);
  CHECK_FALSE(Ready(0));
  for (const link_index link : links_) proxy_.SetRule(link, {});
  CHECK(Eventually([&] { return unknown_queue_status() == 404; }));
  CHECK(Eventually([this] { return Ready(0) && Ready(1); }));
}

}  // namespace
}  // namespace catkinford
