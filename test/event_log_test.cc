#include "process/event_log.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include "process/metrics.h"

namespace catkinford {
namespace {

constexpr monotonic_time kStart{};
constexpr request_id kId{1, 2};

class timeline_fixture {
 protected:
  timeline events_{4};
};

class event_log_fixture {
 public:
  ~event_log_fixture() { std::remove(file_.c_str()); }

 protected:
  // The content of the log after it was closed.
  std::string Log(event_level level, const std::string& detail) {
    // easylogging++ keeps files open by name until the program ends, so each level uses its own.
    file_ = "event_log_test_" + std::string(ToText(level)) + ".log";
    {
      event_log log({level, file_, 16}, events_);
      log.Emit(event_code::kTaskStarted, kStart, kId, 7, "ep-1");
      log.Emit(event_code::kShardLost, kStart, {}, 8, "otaru/0", detail);
    }
    std::ifstream in(file_);
    return {std::istreambuf_iterator<char>(in), {}};
  }

  timeline events_{64};
  std::string file_;
};

}  // namespace

TEST_CASE_METHOD(timeline_fixture, "timeline, full, keeps the newest events in order",
                 "[timeline]") {
  for (uint64_t epoch = 1; epoch <= 6; ++epoch) {
    events_.Record(event_code::kShardClaimed, kStart, {}, epoch);
  }
  const auto all = events_.Since(0, 100);
  REQUIRE(all.size() == 4);
  CHECK(all.front().seq == 3);
  CHECK(all.back().epoch == 6);
}

TEST_CASE_METHOD(timeline_fixture, "timeline, read in pages, misses and repeats nothing",
                 "[timeline]") {
  for (uint64_t epoch = 1; epoch <= 4; ++epoch) {
    events_.Record(event_code::kShardClaimed, kStart, {}, epoch);
  }
  const auto first = events_.Since(1, 2);
  REQUIRE(first.size() == 2);
  const auto second = events_.Since(first.back().seq + 1, 100);
  REQUIRE(second.size() == 2);
  CHECK(second.front().seq == first.back().seq + 1);
  CHECK(events_.Since(5, 100).empty());
}

TEST_CASE_METHOD(event_log_fixture,
                 "event log, level info, only records debug events in the timeline", "[events]") {
  const std::string text = Log(event_level::kInfo, "lease lapsed");
  CHECK(text.find("task_started") == std::string::npos);
  CHECK(text.find("301 shard_lost epoch=8 subject=otaru/0 lease lapsed") != std::string::npos);
  CHECK(events_.Since(0, 10).size() == 2);
}

// A caller puts a line break into a text that is logged; the log would show a forged line.
TEST_CASE_METHOD(event_log_fixture, "event log, line break in a text, stays on one line",
                 "[events]") {
  const std::string text = Log(event_level::kWarning, "x\n2026 ERROR 303 endpoint_fenced");
  CHECK(std::count(text.begin(), text.end(), '\n') == 1);
}

TEST_CASE("events, all, have ascending numbers and distinct names", "[events]") {
  std::vector<std::string_view> names;
  uint16_t last = 0;
  for (const event_info& info : AllEvents()) {
    CHECK(static_cast<uint16_t>(info.code) > last);
    last = static_cast<uint16_t>(info.code);
    CHECK(std::find(names.begin(), names.end(), info.name) == names.end());
    names.push_back(info.name);
    CHECK(InfoOf(info.code).name == info.name);
  }
  CHECK(names.size() > 20);
}

TEST_CASE("metrics, counted, appear in the text with their labels", "[metrics]") {
  metrics all;
  all.CountOutcome(workload_kind::kGang, {kId, outcome_kind::kRefused, rejection_reason::kShed});
  all.SetPeerTotals({1, 2, 50, 0});
  all.SetPeerTotals({2, 3, 100, 0});
  all.config_version.Set(12);
  const std::string text = all.Text();
  const auto has = [&](const std::string& line) { return text.find(line) != std::string::npos; };
  CHECK(has("catkinford_requests_total{kind=\"gang\",outcome=\"refused\"} 1\n"));
  CHECK(has("catkinford_refusals_total{reason=\"shed\"} 1\n"));
  CHECK(has("catkinford_peer_bytes_sent_total 100\n"));
  CHECK(has("catkinford_config_version 12\n"));
  CHECK(has("process_resident_memory_bytes"));
}

}  // namespace catkinford
