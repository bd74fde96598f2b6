// Entries of a site, as real processes, that are told to stop while callers' requests are in
// flight.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "process/site/site_records.h"
#include "site_fixture.h"
#include "standin/fault_proxy.h"

namespace catkinford {
namespace {

// Two entries, each of which reaches the store through a link of its own. An entry must end before
// a call that waits for the store or for the owner would give up.
class stopping_entry_fixture : protected site_fixture {
 protected:
  static constexpr int kShutdownLimitSeconds = 3;

  struct sent_call {
    std::string name;
    std::string job;
    std::atomic<bool> ended{false};
    http_result result;
  };

  stopping_entry_fixture() : site_fixture(no_entries{}) {
    for (size_t i = 0; i < 2; ++i) {
      links_.push_back(proxy_.AddLink(store_.Port()));
      AddEntry(absl::StrCat("entry-", i), absl::StrCat("127.0.0.1:", proxy_.PortOf(links_[i])),
               1000, {{"shutdown_limit_s", kShutdownLimitSeconds}});
    }
    proxy_.Start();
    for (auto& entry : entries_) Start(*entry);
    REQUIRE(Eventually([this] { return Ready(0) && Ready(1) && Owner() >= 0; }));
  }
  ~stopping_entry_fixture() {
    for (auto& entry : entries_) entry->process.Kill();
    http_.Stop();
    proxy_.Stop();
  }

  void Send(size_t at, const std::string& name, const std::string& method, const std::string& job,
            const std::string& body = {}) {
    sent_call& sent = sent_.emplace_back();
    sent.name = name;
    sent.job = job;
    http_call call;
    call.method = method;
    call.url = absl::StrCat("http://127.0.0.1:", entries_[at]->callers, "/open/", job);
    call.body = body;
    call.headers.emplace_back("Host", "h");
    call.timeout = kGenerousLimit;
    http_.Send(std::move(call), [&sent](http_result result) {
      sent.result = std::move(result);
      sent.ended = true;
    });
  }

  bool AllEnded() const {
    for (const sent_call& sent : sent_) {
      if (!sent.ended) return false;
    }
    return true;
  }

  fault_proxy proxy_;
  std::vector<link_index> links_;
  std::deque<sent_call> sent_;
};

// Guards against callers that are cut off by a shutdown: an entry that ends while the store and the
// owner are silent must still tell each caller what is known of its request.
TEST_CASE_METHOD(stopping_entry_fixture,
                 "site, told to stop with store and owner silent, answers every request") {
  const auto owner = static_cast<size_t>(Owner());
  const size_t stopped = 1 - owner;
  REQUIRE(Call(stopped, "POST", "/open/" + JobId(1), TwoSteps()).code == 200);
  proxy_.SetRule(links_[stopped], {.state = link_state::kStall});
  entries_[owner]->process.Kill();
  entries_[stopped]->process.Signal(SIGTERM);
  REQUIRE(Eventually([&] { return Log(stopped).find(" stopping ") != std::string::npos; }));
  Send(stopped, "submit", "POST", JobId(2), TwoSteps());
  Send(stopped, "submit", "POST", JobId(3), TwoSteps());
  Send(stopped, "cancel", "DELETE", JobId(1));
  Send(stopped, "state", "GET", JobId(1));
  Send(stopped, "pending", "GET", "");
  CHECK(entries_[stopped]->process.WaitFor(kGenerousLimit) == 0);
  REQUIRE(Eventually([this] { return AllEnded(); }));
  for (const sent_call& sent : sent_) {
    INFO(sent.name << " " << sent.job << " " << sent.result.code);
    CHECK(sent.result.status == transfer_status::kDone);
    CHECK((sent.result.code == 503 || sent.result.code == 504));
    // A rejected job never runs.
    if (sent.name == "submit" && sent.result.code == 503) {
      CHECK(!store_.Value(kJobPrefix + sent.job).has_value());
    }
  }
}

// Guards against an entry that gave up the site and does not learn who took it over: counts of
// waiting jobs are known to the owner alone.
TEST_CASE_METHOD(site_fixture, "site, owner told to stop, answers counts through the next owner") {
  const auto stopped = static_cast<size_t>(Owner());
  entries_[stopped]->process.Signal(SIGTERM);
  REQUIRE(Eventually([&] { return Owner() == static_cast<int>(1 - stopped); }));
  CHECK(Call(stopped, "GET", "/open/").code == 200);
}

}  // namespace
}  // namespace catkinford
