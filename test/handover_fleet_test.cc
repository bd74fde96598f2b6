// Handover between the processes of a site, behind the stand-in of the platform.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "process/site/handover_exchange.h"
#include "site_fixture.h"
#include "standin/fault_proxy.h"

namespace catkinford {
namespace {

class handover_fleet_fixture : public site_fixture {
 protected:
  double Handovers(size_t at, const std::string& outcome) {
    return Metric(at, absl::StrCat("catkinford_site_handovers_total{outcome=\"", outcome, "\"}"));
  }
  void SubmitJobs() {
    for (uint32_t i = 0; i < 4; ++i) {
      REQUIRE(Call(i % 2, "POST", "/keyed/" + JobId(i), TwoSteps()).code == 200);
    }
  }
  void CheckJobs(size_t at) {
    for (uint32_t i = 0; i < 4; ++i) {
      CHECK(Eventually([&] { return StateOf(at, "/keyed/" + JobId(i)) == "completed"; }));
    }
    CHECK(instances_.DuplicateRuns().empty());
  }
  std::optional<peer_handover> Ask(size_t at, const std::string& epoch) {
    const auto settings = nlohmann::json::parse(std::ifstream(entries_[at]->settings_file));
    http_call call;
    call.url = absl::StrCat("http://127.0.0.1:", settings["listen"]["peer_port"].get<int>(),
                            kPeerHandoverPath, "?epoch=", epoch);
    return PeerHandoverFromText(http_.SendAndWait(call).body);
  }
  uint64_t Epoch() { return std::stoull(store_.Value("site/epoch").value_or("0")); }
};

// Guards against a successor that waits although the former owner's process knows every run.
TEST_CASE_METHOD(handover_fleet_fixture,
                 "site, owner told to stop, successor takes its knowledge") {
  const auto owner = static_cast<size_t>(Owner());
  SubmitJobs();
  entries_[owner]->process.Signal(SIGTERM);
  const size_t other = 1 - owner;
  CHECK(Eventually([&] { return Handovers(other, "taken") == 1; }));
  CHECK(Log(other).find("outcome=taken") != std::string::npos);
  CheckJobs(other);
}

// Guards against a successor that never begins: the former owner died before it was asked.
TEST_CASE_METHOD(handover_fleet_fixture,
                 "site, owner killed, successor gets no answer and begins") {
  const auto owner = static_cast<size_t>(Owner());
  SubmitJobs();
  entries_[owner]->process.Kill();
  const size_t other = 1 - owner;
  CHECK(Eventually([&] { return Handovers(other, "no_answer") == 1; }));
  CheckJobs(other);
}

// Guards against tasks that run twice: the former owner is paused when it is asked, and its answer
// comes after the successor has begun without it.
TEST_CASE_METHOD(handover_fleet_fixture, "site, owner paused, its answer comes late, is not used") {
  const auto owner = static_cast<size_t>(Owner());
  SubmitJobs();
  entries_[owner]->process.Signal(SIGSTOP);
  const size_t other = 1 - owner;
  CHECK(Eventually([&] { return Owner() == static_cast<int>(other); }));
  CHECK(Eventually([&] { return Log(other).find("owner_loaded") != std::string::npos; }));
  entries_[owner]->process.Signal(SIGCONT);
  CheckJobs(other);
  CHECK(Handovers(other, "taken") == 0);
}

// Guards against an owner that tells others, while it acts, what it knew before.
TEST_CASE_METHOD(handover_fleet_fixture,
                 "site, owner owns again, asked for an earlier epoch, empty") {
  const auto owner = static_cast<size_t>(Owner());
  const uint64_t epoch = Epoch();
  // The owner of the next epoch would ask so. This one ends its ownership, then tells.
  const auto told = Ask(owner, absl::StrCat(epoch));
  REQUIRE(told);
  CHECK(told->epoch == epoch);
  CHECK(Eventually([&] { return Owner() >= 0 && Epoch() > epoch; }));
  REQUIRE(Eventually(
      [&] { return Metric(static_cast<size_t>(Owner()), "catkinford_site_owns") == 1; }));
  const auto again = Ask(static_cast<size_t>(Owner()), absl::StrCat(epoch));
  REQUIRE(again);
  if (static_cast<size_t>(Owner()) == owner) CHECK(again->epoch == 0);
  for (const char* text : {"", "0", "x", "-1", "18446744073709551615"}) {
    const auto other = Ask(static_cast<size_t>(Owner()), text);
    REQUIRE(other);
    CHECK(other->epoch == 0);
    CHECK_FALSE(other->knowledge.complete);
  }
  SubmitJobs();
  CheckJobs(0);
}

// Three entries of a failure domain, each with its own path to the store.
class store_paths_fixture : public site_fixture {
 protected:
  store_paths_fixture() : site_fixture(no_entries{}) {
    for (size_t i = 0; i < 3; ++i) {
      const link_index link = proxy_.AddLink(store_.Port());
      AddEntry(absl::StrCat("entry-", i), absl::StrCat("127.0.0.1:", proxy_.PortOf(link)));
    }
    proxy_.Start();
    for (auto& entry : entries_) Start(*entry);
    REQUIRE(Eventually([this] { return Ready(0) && Ready(1) && Ready(2) && Owner() >= 0; }));
  }
  ~store_paths_fixture() {
    for (auto& entry : entries_) entry->process.Kill();
    proxy_.Stop();
  }

  fault_proxy proxy_;
};

// Guards against an owner that holds the site until its lease ends, while the others reach the
// store and it does not.
TEST_CASE_METHOD(store_paths_fixture,
                 "site, owner alone cut off from store, resigns and hands over") {
  const auto owner = static_cast<size_t>(Owner());
  REQUIRE(Call(owner, "POST", "/keyed/" + JobId(1), TwoSteps()).code == 200);
  proxy_.SetRule(owner, {.state = link_state::kCut});
  CHECK(Eventually([&] { return Owner() >= 0 && Owner() != static_cast<int>(owner); }));
  const auto next = static_cast<size_t>(Owner());
  CHECK(Log(owner).find("why=the?store?answers?others") != std::string::npos);
  CHECK(Eventually(
      [&] { return Metric(next, "catkinford_site_handovers_total{outcome=\"taken\"}") == 1; }));
  CHECK(Log(next).find("early=1") != std::string::npos);
  CHECK(Eventually([&] { return StateOf(next, "/keyed/" + JobId(1)) == "completed"; }));
  CHECK(instances_.DuplicateRuns().empty());
  proxy_.SetRule(owner, {});
}

// Guards against owners that give up the site while the store answers nobody.
TEST_CASE_METHOD(store_paths_fixture, "site, all cut off from store, owner keeps the site") {
  const auto owner = static_cast<size_t>(Owner());
  for (size_t i = 0; i < 3; ++i) proxy_.SetRule(i, {.state = link_state::kCut});
  std::this_thread::sleep_for(std::chrono::milliseconds(1300));
  CHECK(Log(owner).find("ownership_lost") == std::string::npos);
  for (size_t i = 0; i < 3; ++i) proxy_.SetRule(i, {});
  CHECK(Eventually([&] { return Ready(owner); }));
  CHECK(Log(owner).find("why=the?store?answers?others") == std::string::npos);
}

}  // namespace
}  // namespace catkinford
