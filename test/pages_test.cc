// Compares the documentation with the code: every documented name exists, and the generated tables
// are current.
#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <vector>

#include "bench/capacity.h"
#include "bench/scenario_faults.h"
#include "bench/slope.h"
#include "bench/tables.h"
#include "process/events.h"
#include "process/metrics.h"
#include "process/settings.h"
#include "process/settings_table.h"
#include "process/site/site_log.h"
#include "process/site/site_metrics.h"
#include "process/site/site_settings.h"

namespace catkinford {
namespace {

class pages_fixture {
 protected:
  static std::string ReadPage(const std::string& path) {
    std::ifstream in(std::string(CATKINFORD_SOURCE_DIR) + "/" + path);
    REQUIRE(in.good());
    return {std::istreambuf_iterator<char>(in), {}};
  }
  // All matches of the first group of `pattern`.
  static std::set<std::string> FindAll(const std::string& text, const std::string& pattern) {
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), expression), end; it != end; ++it) {
      found.insert((*it)[1]);
    }
    return found;
  }
};

}  // namespace

TEST_CASE_METHOD(pages_fixture, "page tables, compared with the code, are the same", "[pages]") {
  for (const page_table& table : AllPageTables()) {
    INFO("section " << table.name << " of " << table.page << ": run catkinford-bench tables");
    const auto section = SectionOf(ReadPage(std::string(table.page)), table.name);
    REQUIRE(section.has_value());
    CHECK(*section == table.text());
  }
}

TEST_CASE_METHOD(pages_fixture, "capacity page, recomputed from its slopes, is the same",
                 "[pages]") {
  const auto report = ParseSlopes(ReadPage("bench/slopes.json"));
  REQUIRE(report.has_value());
  const auto section = SectionOf(ReadPage("docs/CAPACITY.md"), kCapacitySection);
  REQUIRE(section.has_value());
  CHECK(*section == CapacityPage(*report));
}

// Guards against a metric that was renamed in the code only: an operator who looks up the metric of
// an alert would not find it.
TEST_CASE_METHOD(pages_fixture, "pages, metric named in prose, exists in the code", "[pages]") {
  std::set<std::string> known;
  const metrics all;
  for (const metric_info& info : all.List()) {
    known.insert(info.name);
    if (info.type == "histogram") known.insert(info.name + "_bucket");
  }
  for (const std::string page : {"docs/OPERATING.md", "docs/EVENTS.md", "docs/PROMISES.md"}) {
    for (const std::string& name : FindAll(ReadPage(page), "`(catkinford_[a-z_]+)[`{]")) {
      INFO(page << " names " << name);
      CHECK(known.contains(name));
    }
  }
}

TEST_CASE_METHOD(pages_fixture, "pages, setting named in prose, exists in the code", "[pages]") {
  std::set<std::string> known;
  for (const setting_info& info : AllSettings()) known.insert(std::string(info.path));
  for (const std::string& path : AllSiteSettings()) known.insert(path);
  for (const std::string page :
       {"docs/OPERATING.md", "docs/OPERATIONS.md", "docs/EVENTS.md", "docs/PROMISES.md"}) {
    const std::string pattern =
        "`((?:listen|platform|shards|timing|bounds|isolation|logs|overload)\\.[a-z_]+)`";
    for (const std::string& name : FindAll(ReadPage(page), pattern)) {
      INFO(page << " names " << name);
      CHECK(known.contains(name));
    }
  }
}

TEST_CASE_METHOD(pages_fixture, "pages, event named in prose, exists in the code", "[pages]") {
  std::set<std::string> known;
  for (const event_info& info : AllEvents()) {
    known.insert(std::to_string(static_cast<int>(info.code)) + " " + std::string(info.name));
  }
  for (const std::string page : {"docs/OPERATING.md", "docs/EVENTS.md", "docs/PROMISES.md"}) {
    for (const std::string& name : FindAll(ReadPage(page), "`([1-5][0-9][0-9] [a-z_]+)`")) {
      INFO(page << " names " << name);
      CHECK(known.contains(name));
    }
  }
}

// Guards against an event or metric that was renamed in the code only: the page's way from a failed
// request to its cause relies on these names.
TEST_CASE_METHOD(pages_fixture, "operations page, event or metric named, exists", "[pages]") {
  const std::string page = ReadPage("docs/OPERATIONS.md");
  std::set<std::string> events;
  for (const site_event_info& info : AllSiteEvents()) {
    events.insert(std::to_string(static_cast<int>(info.event)) + " " + std::string(info.name));
  }
  for (const std::string& name : FindAll(page, "`(6[0-9][0-9] [a-z_]+)")) {
    INFO(name);
    CHECK(events.contains(name));
  }
  site_metrics exported_metrics;
  exported_metrics.CountAnswer("submit", 200, std::chrono::microseconds(1));
  exported_metrics.CountStoreCall("commit", "done");
  exported_metrics.CountCommand(site_command::kStart, command_result::kDone);
  exported_metrics.CountRunEnd(run_end::kDone);
  exported_metrics.SetInstances(speed_class::kSlow, 1);
  exported_metrics.CountVersionRead("store", "done");
  exported_metrics.CountHandover("taken");
  exported_metrics.CountCompletedJob({});
  exported_metrics.SetCpuTime("loop", std::chrono::seconds(1));
  exported_metrics.CountShed("queue");
  exported_metrics.SetForecastWait("queue", std::chrono::seconds(1));
  exported_metrics.CountTraffic("peer/state", {1, 200, 300, {0, 1}});
  const std::string text = exported_metrics.Text();
  for (const std::string& name : FindAll(page, "`(catkinford_site_[a-z_]+)`")) {
    INFO(name);
    CHECK(text.find(name) != std::string::npos);
  }
}

// Guards against a promise that refers to a test or scenario which no longer exists.
TEST_CASE_METHOD(pages_fixture, "promises, test or scenario named, exists", "[pages]") {
  const std::string page = ReadPage("docs/PROMISES.md");
  const auto tests = FindAll(page, "`(test/[a-z_]+\\.cc)`");
  const auto scenarios = FindAll(page, "catkinford-bench scenario ([a-z_]+)");
  CHECK(!tests.empty());
  CHECK(!scenarios.empty());
  for (const std::string& file : tests) ReadPage(file);
  for (const std::string& name : scenarios) {
    INFO(name);
    CHECK((name == "two_faults" || FindScenario(name) != nullptr));
  }
}

TEST_CASE_METHOD(pages_fixture, "example settings of the pages, read, are accepted", "[pages]") {
  const std::set<std::string> examples =
      FindAll(ReadPage("docs/OPERATING.md"), "```jsonc\n([^`]*)```");
  REQUIRE(!examples.empty());
  for (const std::string& example : examples) {
    INFO(example);
    CHECK_FALSE(ErrorOf<settings_error>([&] { return ParseSettings(example); }));
  }
}

}  // namespace catkinford
