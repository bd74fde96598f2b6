// Sites of real processes whose instances serve few connections at a time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "site_fixture.h"
#include "standin/fault_proxy.h"

namespace catkinford {
namespace {

// An owner so busy that every entry forwards starts, and instances that serve as many connections
// as the owners before and after a loss of power hold, and two for forwarded starts.
class few_connections_fixture : public site_fixture {
 protected:
  static constexpr double kNarrowMbps = 0.05;
  static constexpr size_t kEntries = 8;
  static constexpr size_t kOwnerConnections = 3;  // to an instance
  static constexpr unsigned kConnectionLimit = 2 * kOwnerConnections + 2;
  static constexpr uint32_t kJobsPerEntry = 3;

  few_connections_fixture() : site_fixture(no_entries{}, kConnectionLimit) {
    proxy_.Start();
    for (size_t i = 0; i < kInstances; ++i) {
      links_.push_back(proxy_.AddLink(instances_.PortOf(i)));
      instances_.SetRegisteredAddress(i, absl::StrCat("127.0.0.1:", proxy_.PortOf(links_[i])));
    }
    for (size_t i = 0; i < kEntries; ++i) {
      AddEntry(absl::StrCat("entry-", i), store_.Address(), kNarrowMbps);
    }
    StartAll();
  }
  ~few_connections_fixture() {
    for (auto& entry : entries_) entry->process.Kill();
    proxy_.Stop();
  }

  void StartAll() {
    for (auto& entry : entries_) Start(*entry);
    REQUIRE(Eventually([this] { return AllReady() && Owner() >= 0; }));
  }
  bool AllReady() {
    for (size_t i = 0; i < kEntries; ++i) {
      if (!Ready(i)) return false;
    }
    return true;
  }

  static std::string ServiceJob() {
    return nlohmann::json{{"task-spec", standin_instances::kServicePayload},
                          {"steps",
                           {{{"count", kInstances},
                             {"cpu", 500},
                             {"mem-mb", 64},
                             {"estimate-ms", 200},
                             {"anti-affinity", 1},
                             {"long-running", true}}}}}
        .dump();
  }
  // Two tasks at each instance.
  static std::string SpreadJob() {
    return nlohmann::json{{"task-spec", std::string(500, 'x')},
                          {"steps",
                           {{{"count", 2 * kInstances},
                             {"cpu", 100},
                             {"mem-mb", 16},
                             {"estimate-ms", 200},
                             {"anti-affinity", 2}}}}}
        .dump();
  }

  // Jobs accepted by every entry, which therefore forwards their starts.
  void RunJobsAtEachEntry() {
    const uint32_t first = next_job_;
    for (uint32_t i = 0; i < kJobsPerEntry * kEntries; ++i) {
      REQUIRE(Call(i % kEntries, "POST", "/open/" + JobId(next_job_++), SpreadJob()).code == 200);
    }
    CHECK(Eventually([&] {
      for (uint32_t job = first; job < next_job_; ++job) {
        if (StateOf(job % kEntries, "/open/" + JobId(job)) != "completed") return false;
      }
      return true;
    }));
  }

  double InstanceConnections(size_t at) {
    return Metric(at, "catkinford_site_instance_connections");
  }

  // Most connections that one instance has open.
  size_t MostConnections() {
    size_t most = 0;
    for (const link_index link : links_) most = std::max(most, proxy_.OpenConnections(link));
    return most;
  }

  fault_proxy proxy_;
  std::vector<link_index> links_;
  uint32_t next_job_ = 1;
};

// Guards against connections of forwarding entries that stay open until an instance accepts none:
// after a loss of power nothing can be listed, stopped or started there.
TEST_CASE_METHOD(few_connections_fixture, "site, all entries lost power, service tasks start again",
                 "[connections]") {
  const std::string job = JobId(next_job_++);
  REQUIRE(Call(0, "POST", "/open/" + job, ServiceJob()).code == 200);
  REQUIRE(Eventually([&] { return instances_.Running(job) == kInstances; }));
  RunJobsAtEachEntry();
  for (const link_index link : links_) proxy_.LoseClients(link);
  for (auto& entry : entries_) entry->process.Kill();
  REQUIRE(Eventually([this] { return instances_.Running() == 0; }));
  StartAll();
  CHECK(Eventually([&] { return instances_.Running(job) == kInstances; }));
  CHECK(instances_.DuplicateRuns().empty());
}

// Guards against a number of connections to an instance that grows with the number of entries.
TEST_CASE_METHOD(few_connections_fixture,
                 "site, every entry has forwarded starts, only the owner stays connected",
                 "[connections]") {
  RunJobsAtEachEntry();
  const int owner = Owner();
  for (size_t i = 0; i < kEntries; ++i) {
    if (static_cast<int>(i) == owner) continue;
    INFO("entry " << i);
    CHECK(Eventually([&] {
      return Metric(i,
                    R"(catkinford_site_link_bytes_total{call="v1/run-start",direction="sent"})") >
             0;
    }));
  }
  CHECK(Eventually([this] { return MostConnections() <= kOwnerConnections; }));
}

// Guards against connections of an earlier owner that stay open as long as its process lives.
TEST_CASE_METHOD(
    few_connections_fixture,
    "site, owner paused past its lease and resumed, only the new owner stays connected",
    "[connections]") {
  RunJobsAtEachEntry();
  const int before = Owner();
  const auto paused = static_cast<size_t>(before);
  REQUIRE(Eventually([&] { return InstanceConnections(paused) >= kInstances; }));
  entries_[paused]->process.Signal(SIGSTOP);
  REQUIRE(Eventually([&] { return Owner() >= 0 && Owner() != before; }));
  entries_[paused]->process.Signal(SIGCONT);
  CHECK(Eventually([&] { return InstanceConnections(paused) == 0; }));
  RunJobsAtEachEntry();
  CHECK(Eventually([this] { return MostConnections() <= kOwnerConnections; }));
}

}  // namespace
}  // namespace catkinford
