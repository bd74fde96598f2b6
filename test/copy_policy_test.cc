// When a second run of a task pays, and the spread of run times that this depends on.
#include "process/scheduling/copy_policy.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A run of 800 ms on instances of the usual speed; 3 in 100 such runs take seven times as long.
class copy_policy_fixture {
 protected:
  copy_policy_fixture() {
    question.expected = milliseconds(800);
    question.expected_fresh = milliseconds(800);
    question.spread = {0.1, 0.03, 7, false};
    question.usual_answer = milliseconds(10);
    question.useful_until = now + seconds(10);
  }
  copy_verdict After(milliseconds elapsed) {
    question.elapsed = elapsed;
    return DecideCopy(question, true, now);
  }

  const monotonic_time now{seconds(100)};
  copy_question question;
};

// Guards against jobs that wait for the one task in thirty that takes seven times as long.
TEST_CASE_METHOD(copy_policy_fixture, "copy policy, run beyond the spread of runs, is overdue",
                 "[copies]") {
  CHECK_FALSE(After(milliseconds(850)).reason);
  const copy_verdict verdict = After(milliseconds(1200));
  CHECK(verdict.reason == copy_reason::kOverdue);
  CHECK(verdict.rest > milliseconds(3000));
  CHECK(verdict.fresh == milliseconds(800));
}

// Guards against copies of tasks whose declared time was too short: they take as long elsewhere.
TEST_CASE_METHOD(copy_policy_fixture, "copy policy, length of tasks not known, copies later",
                 "[copies]") {
  question.spread = {0.9, 0.002, 5, true};
  CHECK_FALSE(After(milliseconds(1600)).reason);
  CHECK_FALSE(After(milliseconds(3000)).reason);
}

// Guards against copies that a slow instance causes with each of its runs.
TEST_CASE_METHOD(copy_policy_fixture, "copy policy, slow instance at its own pace, no copy",
                 "[copies]") {
  CHECK(After(milliseconds(1500)).reason);
  question.expected = milliseconds(1600);
  CHECK_FALSE(After(milliseconds(1500)).reason);
}

// Guards against capacity spent on a job whose result is of no use any more.
TEST_CASE_METHOD(copy_policy_fixture, "copy policy, job already too late, no copy", "[copies]") {
  question.useful_until = now + milliseconds(900);
  REQUIRE(After(milliseconds(1500)).reason);
  question.after = milliseconds(200);
  CHECK_FALSE(After(milliseconds(1500)).reason);
  question.reachable = false;
  CHECK_FALSE(After(milliseconds(100)).reason);
}

TEST_CASE_METHOD(copy_policy_fixture, "copy policy, start unanswered, waits for usual answers",
                 "[copies]") {
  question.unanswered = true;
  CHECK_FALSE(After(milliseconds(59)).reason);
  CHECK(After(milliseconds(60)).reason == copy_reason::kUnanswered);
  question.usual_answer = milliseconds(40);
  CHECK_FALSE(After(milliseconds(119)).reason);
  CHECK(After(milliseconds(120)).reason == copy_reason::kUnanswered);
}

TEST_CASE_METHOD(copy_policy_fixture, "copy policy, overdue copies off, unreachable ones stay",
                 "[copies]") {
  question.elapsed = milliseconds(3000);
  CHECK_FALSE(DecideCopy(question, false, now).reason);
  question.reachable = false;
  CHECK(DecideCopy(question, false, now).reason == copy_reason::kUnreachable);
}

// Guards against a spread that a few long runs inflate: no run would ever be overdue.
TEST_CASE("run times, few long runs among alike ones, spread stays narrow", "[copies]") {
  run_times times;
  for (int i = 0; i < 3000; ++i) {
    const milliseconds took(i % 30 == 0 ? 5600 : 760 + 80 * (i % 2));
    times.OnSpread("queue", run_times::basis::kStep, milliseconds(800), took, 0.1);
  }
  const run_time_spread spread = times.Spread("queue", run_times::basis::kStep);
  CHECK(spread.deviation < 0.08);
  CHECK(spread.long_share == Approx(0.033).margin(0.01));
  CHECK(spread.long_factor == Approx(7).margin(0.5));
  CHECK(times.Spread("other", run_times::basis::kStep).long_share < 0.01);
}

// Guards against long runs that are forgotten as copies end them.
TEST_CASE("run times, long runs beaten by copies, count as long", "[copies]") {
  run_times times;
  for (int i = 0; i < 3000; ++i) {
    if (i % 30 == 0) {
      times.OnBeaten("queue", run_times::basis::kStep, 0.1);
    } else {
      times.OnSpread("queue", run_times::basis::kStep, milliseconds(800), milliseconds(800), 0.1);
    }
  }
  CHECK(times.Spread("queue", run_times::basis::kStep).long_share > 0.02);
}

}  // namespace
}  // namespace catkinford
