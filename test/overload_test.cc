#include "bench/overload.h"

#include <catch2/catch.hpp>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

struct overload_fixture {
  void Add(const std::string& work, milliseconds at, milliseconds took, outcome_kind outcome,
           rejection_reason reason = rejection_reason::kNone) {
    call_record record;
    record.work = work;
    record.team = "team-0";
    record.run_time = milliseconds{10};
    record.scheduled = begin + at;
    record.answered = record.scheduled + took;
    record.has_answer = true;
    record.outcome = outcome;
    record.reason = reason;
    records.push_back(record);
  }

  monotonic_time begin{std::chrono::hours{1}};
  std::vector<call_record> records;
};

}  // namespace

TEST_CASE_METHOD(overload_fixture,
                 "overload figures, answers in and after a window, count those in it",
                 "[overload]") {
  Add("a", milliseconds{100}, milliseconds{15}, outcome_kind::kCompleted);
  Add("b", milliseconds{200}, milliseconds{4}, outcome_kind::kRefused, rejection_reason::kShed);
  Add("c", milliseconds{900}, milliseconds{200}, outcome_kind::kCompleted);
  const load_answers answers = AnswersIn(records, begin, begin + milliseconds{1000});
  CHECK(answers.sent == 3);
  CHECK(answers.completed_rate == Approx(1.0));
  CHECK(answers.refused_p99_ms == Approx(4.0));
  CHECK(answers.wait_p99_ms.at("team-0") == Approx(5.0));
  CHECK(answers.parts.at("team-0") == Approx(1.0));
}

TEST_CASE_METHOD(overload_fixture, "return figures, callers that retry, count first retries served",
                 "[overload]") {
  Add("a", milliseconds{0}, milliseconds{1}, outcome_kind::kRefused, rejection_reason::kShed);
  Add("a", milliseconds{50}, milliseconds{20}, outcome_kind::kCompleted);
  Add("b", milliseconds{0}, milliseconds{1}, outcome_kind::kRefused, rejection_reason::kShed);
  Add("b", milliseconds{50}, milliseconds{1}, outcome_kind::kRefused, rejection_reason::kShed);
  Add("b", milliseconds{90}, milliseconds{30}, outcome_kind::kCompleted);
  const return_figures figures = ReturnsOf(records);
  CHECK(figures.requests == 2);
  CHECK(figures.first_returns == 2);
  CHECK(figures.served_at_first_return == 1);
  CHECK(figures.served == 2);
  CHECK(figures.tries == 5);
  CHECK(figures.last_served_s == Approx(0.12));
}

}  // namespace catkinford
