#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "bench/caller.h"
#include "bench/fleet.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kGenerousLimit{30};

// The shutdown limit is longer than any limit of these tests, so only the end of the work can end
// an entry.
fleet_options SmallFleet() {
  fleet_options options;
  options.domains = {"sapporo-ch"};
  options.endpoints_per_domain = 2;
  options.teams = 1;
  options.timing["shutdown_limit"] = "300s";
  return options;
}

// A failure domain with two real entries and a store that can be stopped.
class shutdown_fixture {
 public:
  shutdown_fixture() {
    started_ = fleet_.Start(std::chrono::duration_cast<milliseconds>(kGenerousLimit));
  }

 protected:
  void Submit(size_t slot, const std::string& work, milliseconds run_time) {
    call_spec spec;
    spec.work = work;
    spec.run_time = run_time;
    spec.deadline = milliseconds{15000};
    spec.repeatable = false;
    callers_.Submit(fleet_.Entry(slot).name, fleet_.UrlOf(slot), fleet_.Contract().teams.front(),
                    spec, steady_clock::now());
  }
  bool EventuallyStarted(const std::string& work) {
    const auto deadline = steady_clock::now() + kGenerousLimit;
    while (steady_clock::now() < deadline) {
      for (const run_event& event : fleet_.Events()) {
        if (event.event == "start" && event.work == work) return true;
      }
      std::this_thread::sleep_for(milliseconds{20});
    }
    return false;
  }
  std::optional<int> ExitCodeOf(size_t slot) {
    return fleet_.Entry(slot).process.WaitFor(
        std::chrono::duration_cast<milliseconds>(kGenerousLimit));
  }

  fleet fleet_{SmallFleet()};
  bool started_ = false;
  caller callers_{1};
};

}  // namespace

// An entry is stopped while the store is down and its shards cannot be handed over. With nothing in
// flight it must not wait until the limit.
TEST_CASE_METHOD(shutdown_fixture, "shutdown, store down and nothing in flight, ends",
                 "[shutdown]") {
  REQUIRE(started_);
  fleet_.SetStore({{"mode", "down"}});
  for (size_t slot = 0; slot < fleet_.Entries(); ++slot) fleet_.Entry(slot).process.Signal(SIGTERM);
  for (size_t slot = 0; slot < fleet_.Entries(); ++slot) CHECK(ExitCodeOf(slot) == 0);
}

// The same with a request in flight, whose caller waits at the other entry or at the stopped one.
// Ending before the answer would disconnect the caller; ending only at the limit would delay the
// operator.
TEST_CASE_METHOD(shutdown_fixture, "shutdown, store down and requests in flight, ends after them",
                 "[shutdown]") {
  REQUIRE(started_);
  Submit(0, "slow-0", seconds{4});
  Submit(1, "slow-1", seconds{4});
  REQUIRE(EventuallyStarted("slow-0"));
  REQUIRE(EventuallyStarted("slow-1"));
  fleet_.SetStore({{"mode", "down"}});
  for (size_t slot = 0; slot < fleet_.Entries(); ++slot) fleet_.Entry(slot).process.Signal(SIGTERM);
  for (size_t slot = 0; slot < fleet_.Entries(); ++slot) CHECK(ExitCodeOf(slot) == 0);
  REQUIRE(callers_.WaitIdle(std::chrono::duration_cast<milliseconds>(kGenerousLimit)));
  for (const call_record& call : callers_.Records()) {
    CHECK(call.has_answer);
    CHECK(call.outcome == outcome_kind::kCompleted);
    CHECK(call.answer == call.work);
  }
}

// The last entry of a failure domain is stopped: the store answers, but there is no successor for
// the shards.
TEST_CASE_METHOD(shutdown_fixture, "shutdown, no successor left, ends", "[shutdown]") {
  REQUIRE(started_);
  for (size_t slot = 0; slot < fleet_.Entries(); ++slot) {
    fleet_.Entry(slot).process.Signal(SIGTERM);
    CHECK(ExitCodeOf(slot) == 0);
  }
}

}  // namespace catkinford
