// Admission at a complete site of real processes, and the load that its owner sees.
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "process/site/site_records.h"
#include "scheduling_world.h"
#include "site_fixture.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class load_fixture : public site_fixture {
 protected:
  explicit load_fixture(bool enabled = true) : site_fixture(no_entries{}) {
    json queue = OpenQueue("load");
    queue["anonymous"] = false;
    queue["stretch"] = 1;
    queue["target-latency-ms"] = 100;
    // The stand-in's instances want a ticket with each start.
    queue["advice"] = {{"decision-ms", 5}, {"per-item-ms", 0.5}, {"valid-ms", 2000}};
    PutVersion(2, {"key-1"}, {queue});
    for (size_t i = 0; i < 2; ++i) {
      AddEntry(absl::StrCat("entry-", i), store_.Address());
      json settings = json::parse(std::ifstream(entries_[i]->settings_file));
      settings["overload"] = {{"enabled", enabled}};
      std::ofstream(entries_[i]->settings_file) << settings.dump();
      Start(*entries_[i]);
    }
    REQUIRE(Eventually([this] { return Ready(0) && Ready(1) && Owner() >= 0; }));
  }
  // A job that fills all instances for 200 ms.
  http_result Submit(size_t at, uint32_t number) {
    return Call(
        at, "POST", Path(number),
        json{{"task-spec", "work"},
             {"steps", {{{"count", 3}, {"cpu", 8000}, {"mem-mb", 64}, {"estimate-ms", 10}}}}}
            .dump());
  }
  static std::string Path(uint32_t number) { return "/load/" + JobId(number); }
  size_t Other() { return 1 - static_cast<size_t>(Owner()); }
};

class load_without_admission : public load_fixture {
 protected:
  load_without_admission() : load_fixture(false) {}
};

}  // namespace

// Guards against a rejected job that is stored, a known job that is rejected, and entries that do
// not hear of the load, or not of its end.
TEST_CASE_METHOD(load_fixture, "site, workspace far beyond its share, is rejected for that time",
                 "[admission]") {
  uint32_t last = 0;
  uint32_t shed = 0;
  const bool rejected = Eventually([&] {
    const http_result result = Submit(Other(), ++last);
    if (result.code == 200) return false;
    CHECK(result.code == 503);
    CHECK(result.body.find("no_capacity") != std::string::npos);
    shed = last;
    return true;
  });
  REQUIRE(rejected);
  CHECK_FALSE(store_.Value(kJobPrefix + JobId(shed)).has_value());
  // An earlier job, submitted again.
  for (int i = 0; i < 5; ++i) CHECK(Submit(Other(), shed - 1).code == 200);
  CHECK(Eventually([&] { return Log(Other()).find("667 job_shed") != std::string::npos; }));
  CHECK(Metric(Other(), "catkinford_site_shed_total{queue=\"load\"}") >= 1);
  // The owner's own entry decides alike.
  CHECK(Eventually([&] { return Submit(static_cast<size_t>(Owner()), ++last).code == 503; }));
  const bool accepted = Eventually([&] {
    std::this_thread::sleep_for(milliseconds(500));
    return Submit(Other(), shed).code == 200;
  });
  CHECK(accepted);
}

// Guards against rejections where operators have switched admission off.
TEST_CASE_METHOD(load_without_admission, "site, admission switched off, rejects nobody",
                 "[admission]") {
  for (uint32_t number = 1; number <= 500; ++number) {
    REQUIRE(Submit(Other(), number).code == 200);
    std::this_thread::sleep_for(milliseconds(5));
  }
}

// Guards against counts that drift from the runs that they stand for: the forecast would see a
// service that is busy for ever.
TEST_CASE("load view, jobs wait, run and end, names the work and then none", "[admission]") {
  constexpr uint32_t kJobs = 12;
  scheduling_world world(1);
  world.AddInstance("i1", kSmallInstance);
  world.Run(milliseconds(2000));
  for (uint32_t i = 1; i <= kJobs; ++i) world.Submit(Job(i, {Tasks(2, 4000, milliseconds(500))}));
  world.Run(milliseconds(300));
  const monotonic_time never{};
  service_load load = world.Owner()->LoadView(never).at(0);
  CHECK(load.service == "service");
  CHECK(load.busy == 8);
  CHECK(load.waiting_within + load.waiting_beyond[0] > 20);
  CHECK(load.largest.cpu_milli == 8000);
  world.Run(milliseconds(30000));
  load = world.Owner()->LoadView(never).at(0);
  CHECK(load.busy == 0);
  CHECK(load.waiting_within == 0);
  CHECK(load.waiting_beyond.empty());
}

}  // namespace catkinford
