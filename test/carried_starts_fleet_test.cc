// Sites of real processes whose owner takes its link for so narrow that others bring its starts.
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "site_fixture.h"

namespace catkinford {
namespace {

constexpr double kNarrowMbps = 0.05;
constexpr uint32_t kJobs = 8;
constexpr size_t kTasks = 6;

class narrow_site_fixture : public site_fixture {
 protected:
  narrow_site_fixture() : site_fixture(no_entries{}) {
    for (size_t i = 0; i < 3; ++i) {
      AddEntry(absl::StrCat("entry-", i), store_.Address(), kNarrowMbps);
    }
    for (auto& entry : entries_) Start(*entry);
    REQUIRE(Eventually([this] { return Ready(0) && Ready(1) && Ready(2) && Owner() >= 0; }));
  }

  static std::string WideJob() {
    return nlohmann::json{
        {"task-spec", std::string(2000, 'x')},
        {"steps", {{{"count", kTasks}, {"cpu", 100}, {"mem-mb", 16}, {"estimate-ms", 200}}}}}
        .dump();
  }
  static std::string Path(uint32_t job) { return "/open/" + JobId(job); }

  void SubmitAll(size_t taker) {
    for (uint32_t job = 0; job < kJobs; ++job) {
      REQUIRE(Call(taker, "POST", Path(job), WideJob()).code == 200);
    }
  }

  bool AllCompleted(size_t told_by, uint32_t first, uint32_t last) {
    for (uint32_t job = first; job < last; ++job) {
      if (StateOf(told_by, Path(job)) != "completed") return false;
    }
    return true;
  }
  double StartsGiven(size_t at) {
    http_call call;
    call.url = absl::StrCat("http://127.0.0.1:", entries_[at]->metrics, "/metrics");
    const std::string text = http_.SendAndWait(call).body;
    const size_t name =
        text.find(R"(catkinford_site_link_bytes_total{call="peer/start",direction="sent"})");
    if (name == std::string::npos) return 0;
    return std::stod(text.substr(text.find('}', name) + 1));
  }
};

// Guards against starts that get lost, or reach their instance twice, on their way through others.
TEST_CASE_METHOD(narrow_site_fixture, "site, owner busy, other entries bring its starts once") {
  for (uint32_t job = 0; job < kJobs; ++job) {
    REQUIRE(Call(job % 3, "POST", Path(job), WideJob()).code == 200);
  }
  const auto owner = static_cast<size_t>(Owner());
  CHECK(Eventually([&] { return AllCompleted(owner, 0, kJobs); }));
  CHECK(instances_.Starts().size() == kJobs * kTasks);
  CHECK(instances_.DuplicateRuns().empty());
  CHECK(Eventually([&] { return StartsGiven(owner) > 0; }));
}

// Guards against jobs that wait for ever because the entry that holds their payload is gone.
TEST_CASE_METHOD(narrow_site_fixture,
                 "site, entry that brings starts is killed, its jobs complete all the same") {
  const auto owner = static_cast<size_t>(Owner());
  const size_t taker = (owner + 1) % 3;
  SubmitAll(taker);
  entries_[taker]->process.Kill();
  CHECK(Eventually([&] { return AllCompleted(owner, 0, kJobs); }));
  CHECK(instances_.DuplicateRuns().empty());
}

// Guards against a start that a paused entry still holds, and sends when its task runs elsewhere.
TEST_CASE_METHOD(narrow_site_fixture,
                 "site, entry that brings starts is paused, no task runs twice at a time") {
  const auto owner = static_cast<size_t>(Owner());
  const size_t taker = (owner + 1) % 3;
  SubmitAll(taker);
  entries_[taker]->process.Signal(SIGSTOP);
  CHECK(Eventually([&] { return AllCompleted(owner, 0, kJobs); }));
  entries_[taker]->process.Signal(SIGCONT);
  REQUIRE(Call(owner, "POST", Path(kJobs), WideJob()).code == 200);
  CHECK(Eventually([&] { return AllCompleted(owner, kJobs, kJobs + 1); }));
  CHECK(instances_.DuplicateRuns().empty());
}

}  // namespace
}  // namespace catkinford
