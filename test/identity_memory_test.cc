#include "process/identity_memory.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class identity_fixture {
 protected:
  outcome Completed(const std::string& answer) const {
    return {id_, outcome_kind::kCompleted, rejection_reason::kNone, milliseconds{0}, answer, {}};
  }

  identity_memory memory_{{seconds{30}, 3, 100}};
  request_id id_{1, 2};
  monotonic_time now_{std::chrono::hours{1}};
};

}  // namespace

// A caller loses its answer and asks again, at another entry. It must get the first run's answer
// and not a second run: the salary would be charged twice.
TEST_CASE_METHOD(identity_fixture, "identity, asked again, is known with its answer",
                 "[identity]") {
  CHECK(memory_.Begin(id_, false, now_) == identity_verdict::kNew);
  CHECK(memory_.Begin(id_, false, now_) == identity_verdict::kKnown);
  CHECK_FALSE(memory_.Find(id_)->finished);
  memory_.Finish(id_, Completed("paid"), now_);
  CHECK(memory_.Begin(id_, false, now_ + seconds{29}) == identity_verdict::kKnown);
  CHECK(memory_.Find(id_)->answer == "paid");
}

// The owner died after it had sent a start. Until all endpoints are listed nobody can say whether
// the work ran; a new owner that said "new" would run it again.
TEST_CASE_METHOD(identity_fixture, "identity, owner new and endpoints unlisted, is uncertain",
                 "[identity]") {
  memory_.SetUnlisted(1);
  CHECK(memory_.Begin(id_, false, now_) == identity_verdict::kUncertain);
  memory_.LearnFinished(id_, outcome_kind::kCompleted, "paid", now_);
  CHECK(memory_.Begin(id_, false, now_) == identity_verdict::kKnown);
  memory_.SetUnlisted(0);
  CHECK(memory_.Begin({1, 3}, false, now_) == identity_verdict::kNew);
}

// Owner and endpoint die together: what the endpoint ran is in no list. Callers that ask again
// hear that it may have run, for as long as one may ask again; new requests go on.
TEST_CASE_METHOD(identity_fixture, "identity, endpoint lost unlisted, is uncertain for the window",
                 "[identity]") {
  memory_.OnListLost(now_);
  CHECK(memory_.Begin(id_, false, now_ + seconds{29}) == identity_verdict::kUncertain);
  CHECK(memory_.Begin({7, 7}, true, now_ + seconds{29}) == identity_verdict::kNew);
  CHECK(memory_.Begin(id_, false, now_ + seconds{30}) == identity_verdict::kNew);
}

TEST_CASE_METHOD(identity_fixture, "identity, refused as not run, may run later", "[identity]") {
  CHECK(memory_.Begin(id_, false, now_) == identity_verdict::kNew);
  memory_.Finish(id_, {id_, outcome_kind::kRefused}, now_);
  CHECK(memory_.Begin(id_, false, now_) == identity_verdict::kNew);
}

TEST_CASE_METHOD(identity_fixture, "identity, unknown at first, takes its end when that is learnt",
                 "[identity]") {
  memory_.Begin(id_, false, now_);
  memory_.Finish(id_, {id_, outcome_kind::kUnknown}, now_);
  memory_.Finish(id_, Completed("paid"), now_ + seconds{20});
  CHECK(memory_.Find(id_)->answer == "paid");
  memory_.Expire(now_ + seconds{31});
  CHECK(memory_.Find(id_));
  memory_.Expire(now_ + seconds{50});
  CHECK_FALSE(memory_.Find(id_));
  CHECK(memory_.AnswerBytes() == 0);
}

// A flood of requests fills the memory. Forgetting the oldest would let it run twice.
TEST_CASE_METHOD(identity_fixture, "identity, memory full, refuses instead of forgetting",
                 "[identity]") {
  for (uint64_t i = 0; i < 3; ++i) memory_.Begin({9, i}, false, now_);
  CHECK(memory_.Begin(id_, false, now_) == identity_verdict::kFull);
  memory_.Finish({9, 0}, Completed(""), now_);
  CHECK(memory_.Begin(id_, false, now_ + seconds{30}) == identity_verdict::kNew);
}

TEST_CASE_METHOD(identity_fixture, "identity, answers too large together, oldest is given up",
                 "[identity]") {
  memory_.Finish({1, 1}, Completed(std::string(80, 'x')), now_);
  memory_.Finish({1, 2}, Completed(std::string(80, 'y')), now_);
  CHECK_FALSE(memory_.Find({1, 1})->has_answer);
  CHECK(memory_.Find({1, 1})->kind == outcome_kind::kCompleted);
  CHECK(memory_.Find({1, 2})->has_answer);
  CHECK(memory_.AnswerBytes() == 80);
}

}  // namespace catkinford
