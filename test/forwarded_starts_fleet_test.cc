// Sites of real processes with a link so narrow that the owner forwards its starts through others.
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

  void SubmitAll(size_t accepting_entry) {
    for (uint32_t job = 0; job < kJobs; ++job) {
      REQUIRE(Call(accepting_entry, "POST", Path(job), WideJob()).code == 200);
    }
  }

  bool AllCompleted(size_t queried_entry, uint32_t first, uint32_t last) {
    for (uint32_t job = first; job < last; ++job) {
      if (StateOf(queried_entry, Path(job)) != "completed") return false;
    }
    return true;
  }
  double StartsForwarded(size_t at) {
    return Metric(at, R"(catkinford_site_link_bytes_total{call="peer/start",direction="sent"})");
  }
};

// Guards against forwarded starts that are lost or reach their instance twice.
TEST_CASE_METHOD(narrow_site_fixture, "site, owner busy, other entries forward its starts once") {
  for (uint32_t job = 0; job < kJobs; ++job) {
    REQUIRE(Call(job % 3, "POST", Path(job), WideJob()).code == 200);
  }
  const auto owner = static_cast<size_t>(Owner());
  CHECK(Eventually([&] { return AllCompleted(owner, 0, kJobs); }));
  CHECK(instances_.Starts().size() == kJobs * kTasks);
  CHECK(instances_.DuplicateRuns().empty());
  CHECK(Eventually([&] { return StartsForwarded(owner) > 0; }));
}

// Guards against jobs that wait forever because the entry that holds their payload died.
TEST_CASE_METHOD(narrow_site_fixture, "site, forwarding entry killed, its jobs still complete") {
  const auto owner = static_cast<size_t>(Owner());
  const size_t accepting_entry = (owner + 1) % 3;
  SubmitAll(accepting_entry);
  entries_[accepting_entry]->process.Kill();
  CHECK(Eventually([&] { return AllCompleted(owner, 0, kJobs); }));
  CHECK(instances_.DuplicateRuns().empty());
}

// Guards against a paused entry that sends the starts it holds after their tasks run elsewhere.
TEST_CASE_METHOD(narrow_site_fixture,
                 "site, forwarding entry paused, no task runs twice at a time") {
  const auto owner = static_cast<size_t>(Owner());
  const size_t accepting_entry = (owner + 1) % 3;
  SubmitAll(accepting_entry);
  entries_[accepting_entry]->process.Signal(SIGSTOP);
  CHECK(Eventually([&] { return AllCompleted(owner, 0, kJobs); }));
  entries_[accepting_entry]->process.Signal(SIGCONT);
  REQUIRE(Call(owner, "POST", Path(kJobs), WideJob()).code == 200);
  CHECK(Eventually([&] { return AllCompleted(owner, kJobs, kJobs + 1); }));
  CHECK(instances_.DuplicateRuns().empty());
}

}  // namespace
}  // namespace catkinford
