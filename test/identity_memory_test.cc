#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "process/identity_history.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class identity_fixture {
 protected:
  outcome Completed(const std::string& answer) const {
    return {id_, outcome_kind::kCompleted, rejection_reason::kNone, milliseconds{0}, answer, {}};
  }

  identity_history history_{{seconds{30}, 3, 100}};
  request_id id_{1, 2};
  monotonic_time now_{std::chrono::hours{1}};
};

}  // namespace

// A caller loses its answer and repeats the request at another entry. It must get the first run's
// answer; a second run would repeat side effects.
TEST_CASE_METHOD(identity_fixture, "identity, requested again, is known with its answer",
                 "[identity]") {
  CHECK(history_.Begin(id_, false, now_) == identity_verdict::kNew);
  CHECK(history_.Begin(id_, false, now_) == identity_verdict::kKnown);
  CHECK_FALSE(history_.Find(id_)->finished);
  history_.Finish(id_, Completed("paid"), now_);
  CHECK(history_.Begin(id_, false, now_ + seconds{29}) == identity_verdict::kKnown);
  CHECK(history_.Find(id_)->answer == "paid");
}

// The owner failed after it had sent a start. Until all endpoints are listed it is unknown whether
// the job ran; a new owner that answered "new" would run it again.
TEST_CASE_METHOD(identity_fixture, "identity, owner new and endpoints unlisted, is uncertain",
                 "[identity]") {
  history_.SetUnlisted(1);
  CHECK(history_.Begin(id_, false, now_) == identity_verdict::kUncertain);
  history_.AddFinished(id_, outcome_kind::kCompleted, "paid", now_);
  CHECK(history_.Begin(id_, false, now_) == identity_verdict::kKnown);
  history_.SetUnlisted(0);
  CHECK(history_.Begin({1, 3}, false, now_) == identity_verdict::kNew);
}

// Owner and endpoint fail together: what the endpoint ran is in no listing. Callers that repeat a
// request get an unknown outcome for the whole window; new requests proceed.
TEST_CASE_METHOD(identity_fixture, "identity, endpoint lost unlisted, is uncertain for the window",
                 "[identity]") {
  history_.OnListingLost(now_);
  CHECK(history_.Begin(id_, false, now_ + seconds{29}) == identity_verdict::kUncertain);
  CHECK(history_.Begin({7, 7}, true, now_ + seconds{29}) == identity_verdict::kNew);
  CHECK(history_.Begin(id_, false, now_ + seconds{30}) == identity_verdict::kNew);
}

TEST_CASE_METHOD(identity_fixture, "identity, rejected as not run, may run later", "[identity]") {
  CHECK(history_.Begin(id_, false, now_) == identity_verdict::kNew);
  history_.Finish(id_, {id_, outcome_kind::kRefused}, now_);
  CHECK(history_.Begin(id_, false, now_) == identity_verdict::kNew);
}

TEST_CASE_METHOD(identity_fixture, "identity, unknown at first, takes its result when it arrives",
                 "[identity]") {
  history_.Begin(id_, false, now_);
  history_.Finish(id_, {id_, outcome_kind::kUnknown}, now_);
  history_.Finish(id_, Completed("paid"), now_ + seconds{20});
  CHECK(history_.Find(id_)->answer == "paid");
  history_.Expire(now_ + seconds{31});
  CHECK(history_.Find(id_));
  history_.Expire(now_ + seconds{50});
  CHECK_FALSE(history_.Find(id_));
  CHECK(history_.AnswerBytes() == 0);
}

// A burst of requests fills the history. Evicting the oldest identity would let it run twice.
TEST_CASE_METHOD(identity_fixture, "identity, history full, rejects instead of evicting",
                 "[identity]") {
  for (uint64_t i = 0; i < 3; ++i) history_.Begin({9, i}, false, now_);
  CHECK(history_.Begin(id_, false, now_) == identity_verdict::kFull);
  history_.Finish({9, 0}, Completed(""), now_);
  CHECK(history_.Begin(id_, false, now_ + seconds{30}) == identity_verdict::kNew);
}

TEST_CASE_METHOD(identity_fixture, "identity, answers too large together, oldest is dropped",
                 "[identity]") {
  history_.Finish({1, 1}, Completed(std::string(80, 'x')), now_);
  history_.Finish({1, 2}, Completed(std::string(80, 'y')), now_);
  CHECK_FALSE(history_.Find({1, 1})->has_answer);
  CHECK(history_.Find({1, 1})->kind == outcome_kind::kCompleted);
  CHECK(history_.Find({1, 2})->has_answer);
  CHECK(history_.AnswerBytes() == 80);
}

}  // namespace catkinford
