#include "process/stage_report.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr char kEnded[] =
    "12.3 entry-1 2026-04-11T01:47:08.331 INFO 621 job_ended entry=entry-1 id=e2f13fd7b17cd0e7 "
    "phase=completed ms=2400 late_ms=300 priority=0 known_ms=900 advice_ms=40 place_ms=5 "
    "retry_ms=0 record_ms=12 start_ms=3 run_ms=1400 failed_runs=1 lost_runs=2";

class stage_report_fixture {
 protected:
  void Add(const std::string& line) {
    const auto event = ParseLogEvent(line);
    REQUIRE(event);
    report.Add(*event);
  }

  stage_report report{milliseconds(2000)};
};

TEST_CASE("log event, line with text before its time, is read") {
  const auto event = ParseLogEvent(kEnded);
  REQUIRE(event);
  CHECK(event->number == 621);
  CHECK(event->time == std::chrono::hours(1) + std::chrono::minutes(47) + milliseconds(8331));
  CHECK(event->Field("id") == "e2f13fd7b17cd0e7");
  CHECK(event->Number("run_ms") == 1400);
  CHECK(event->Number("absent") == 0);
}

TEST_CASE("log event, other text, is none") {
  CHECK_FALSE(ParseLogEvent(""));
  CHECK_FALSE(ParseLogEvent("built in 3 s"));
  CHECK_FALSE(ParseLogEvent("2026-04-11T01:47:08.331 INFO no number"));
}

TEST_CASE_METHOD(stage_report_fixture, "stage report, late and timely jobs, sums the late ones") {
  Add(kEnded);
  std::string timely = kEnded;
  timely.replace(timely.find("late_ms=300"), 11, "late_ms=-20");
  Add(timely);
  Add("2026-04-11T01:47:09.000 INFO 611 job_refused entry=entry-1 id=1 why=store_down sent=0");
  REQUIRE(report.Rows().size() == 1);
  const auto& [key, row] = *report.Rows().begin();
  CHECK(key.second == 0);
  CHECK(row.completed == 2);
  CHECK(row.late == 1);
  CHECK(row.stage_ms[0] == 900);
  CHECK(row.lost_runs == 2);
  CHECK(report.Rejections().begin()->second.refused == 1);
  CHECK(report.ToText().find("01:47:08.000") != std::string::npos);
}

// Guards against late jobs whose common cause, slow instances, is in the log and not to be seen.
TEST_CASE("speed report, late job on a slow instance, is counted there") {
  speed_report report;
  const auto add = [&report](const std::string& line) {
    const auto event = ParseLogEvent(line);
    REQUIRE(event);
    report.Add(*event);
  };
  // In the order of the files of two entries, not of time.
  add(kEnded);
  add("2026-04-11T01:47:08.330 INFO 624 task_end id=e2f13fd7b17cd0e7.0.0.0 run=1 instance=i-1 "
      "end=done");
  add("2026-04-11T01:47:08.329 INFO 624 task_end id=e2f13fd7b17cd0e7.0.0.1 run=1 instance=i-2 "
      "end=done");
  add("2026-04-11T01:47:01.000 INFO 666 instance_speed id=i-1 class=slow slowness=1.80");
  add("2026-04-11T01:47:09.000 INFO 621 job_ended id=0 phase=completed late_ms=-5 priority=0");
  const auto rows = report.Rows();
  REQUIRE(rows.size() == 2);
  CHECK(rows.at({0, "slow"}).late == 1);
  CHECK(rows.at({0, "slow"}).late_ms == 300);
  CHECK(rows.at({0, "unknown"}).late == 0);
  CHECK(report.ToText().find("slow") != std::string::npos);
}

}  // namespace
}  // namespace catkinford
