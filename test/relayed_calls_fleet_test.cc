// Sites of real processes whose owner is too weak to call all instances itself.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <regex>
#include <string>

#include "absl/strings/str_cat.h"
#include "site_fixture.h"

namespace catkinford {
namespace {

constexpr double kSmallCpuShare = 0.001;
constexpr size_t kEntries = 4;
constexpr uint32_t kJobs = 12;
constexpr size_t kTasks = 4;

class weak_site_fixture : public site_fixture {
 protected:
  weak_site_fixture() : site_fixture(no_entries{}) {
    for (size_t i = 0; i < kEntries; ++i) {
      AddEntry(absl::StrCat("entry-", i), store_.Address(), 1000, nlohmann::json::object(),
               kSmallCpuShare);
    }
    for (auto& entry : entries_) Start(*entry);
    REQUIRE(Eventually([this] { return AllReady() && Owner() >= 0; }));
  }

  bool AllReady() {
    for (size_t i = 0; i < kEntries; ++i) {
      if (!Ready(i)) return false;
    }
    return true;
  }
  static std::string Work(const std::string& payload) {
    return nlohmann::json{
        {"task-spec", payload},
        {"steps", {{{"count", kTasks}, {"cpu", 100}, {"mem-mb", 16}, {"estimate-ms", 200}}}}}
        .dump();
  }
  static std::string Path(uint32_t job) { return "/open/" + JobId(job); }

  // A task that runs until it is stopped keeps all instances listed.
  void KeepBusy() {
    const std::string lasting = nlohmann::json{{"task-spec", standin_instances::kServicePayload},
                                               {"steps",
                                                {{{"count", 2 * kInstances},
                                                  {"cpu", 100},
                                                  {"mem-mb", 16},
                                                  {"estimate-ms", 200},
                                                  {"long-running", true}}}}}
                                    .dump();
    REQUIRE(Call(0, "POST", Path(1000), lasting).code == 200);
    REQUIRE(Eventually([&] { return instances_.Running() >= 2 * kInstances; }));
  }
  void SubmitAll(uint32_t first) {
    for (uint32_t job = first; job < first + kJobs; ++job) {
      REQUIRE(Call(static_cast<size_t>(Owner()), "POST", Path(job), Work("work")).code == 200);
    }
  }
  bool AllCompleted(size_t queried_entry, uint32_t first) {
    for (uint32_t job = first; job < first + kJobs; ++job) {
      if (StateOf(queried_entry, Path(job)) != "completed") return false;
    }
    return true;
  }
  // Sum of a field of the entry's 662 lines: "NAME=COUNT".
  uint64_t Sum(size_t at, const std::string& name) {
    const std::string log = Log(at);
    const std::regex field(" " + name + "=([0-9]+)");
    uint64_t sum = 0;
    for (std::sregex_iterator it(log.begin(), log.end(), field), end; it != end; ++it) {
      sum += std::stoull((*it)[1]);
    }
    return sum;
  }
  // The entry that makes the owner's calls: the one with open connections to instances.
  int Relay() {
    for (size_t i = 0; i < kEntries; ++i) {
      if (static_cast<int>(i) == Owner()) continue;
      if (Metric(i, "catkinford_site_instance_connections") > 0) return static_cast<int>(i);
    }
    return -1;
  }
};

// Guards against an owner whose processor is used up by one call for each instance and command.
TEST_CASE_METHOD(weak_site_fixture,
                 "site, owner weak, its calls to instances do not grow with them") {
  KeepBusy();
  const auto owner = static_cast<size_t>(Owner());
  SubmitAll(0);
  REQUIRE(Eventually([&] { return AllCompleted(owner, 0); }));
  const uint64_t listings = Sum(owner, "listings");
  const uint64_t calls = Sum(owner, "v1/hold");
  constexpr uint32_t kBatches = 10;
  for (uint32_t batch = 1; batch <= kBatches; ++batch) {
    SubmitAll(batch * kJobs);
    REQUIRE(Eventually([&] { return AllCompleted(owner, batch * kJobs); }));
  }
  REQUIRE(Eventually([&] { return Sum(owner, "listings") - listings >= uint64_t{2} * kBatches; }));
  CHECK(5 * (Sum(owner, "v1/hold") - calls) < Sum(owner, "listings") - listings);
  CHECK(instances_.DuplicateRuns().empty());
}

// Guards against work that stands still, or runs twice, as the relay of its calls has died.
TEST_CASE_METHOD(weak_site_fixture, "site, relay killed, its calls are repeated through another") {
  KeepBusy();
  const auto owner = static_cast<size_t>(Owner());
  REQUIRE(Eventually([&] { return Relay() >= 0; }));
  SubmitAll(0);
  entries_[static_cast<size_t>(Relay())]->process.Kill();
  CHECK(Eventually([&] { return AllCompleted(owner, 0); }));
  CHECK(instances_.DuplicateRuns().empty());
  CHECK(instances_.StartsAfterDone().empty());
}

// Guards against a paused relay that carries out, once it runs again, what was given up.
TEST_CASE_METHOD(weak_site_fixture, "site, relay paused, begins no call that the owner gave up") {
  KeepBusy();
  const auto owner = static_cast<size_t>(Owner());
  REQUIRE(Eventually([&] { return Relay() >= 0; }));
  const auto relay = static_cast<size_t>(Relay());
  SubmitAll(0);
  entries_[relay]->process.Signal(SIGSTOP);
  CHECK(Eventually([&] { return AllCompleted(owner, 0); }));
  entries_[relay]->process.Signal(SIGCONT);
  SubmitAll(kJobs);
  CHECK(Eventually([&] { return AllCompleted(owner, kJobs); }));
  CHECK(instances_.DuplicateRuns().empty());
  CHECK(instances_.StartsAfterDone().empty());
}

}  // namespace
}  // namespace catkinford
