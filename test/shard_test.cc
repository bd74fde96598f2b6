#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "shard_fixture.h"

namespace catkinford {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE_METHOD(shard_fixture, "shard, fresh request, starts once and answers its own entry",
                 "[shard]") {
  AnswerFences();
  shard_.Place(kEntry, Place(1), now_);
  const start_action start = OneStart();
  AnswerStart(start, call_result::kStarted);
  const std::optional<sync_action> sync = SyncAt(start.endpoint);
  REQUIRE(sync);
  endpoint_reply reply = Done();
  reply.cursor = 1;
  reply.finished.push_back({start.tasks[0].id, 1, task_result::kOk, milliseconds{5}, "booked"});
  shard_.OnSync(start.endpoint, sync->call.epoch, reply, now_);
  Act();
  const auto answers = Actions<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].entry == kEntry);
  CHECK(answers[0].result.kind == outcome_kind::kCompleted);
  CHECK(answers[0].result.answer == "booked");
}

// Two entries place the same identity. If both placements were started, the request would run
// twice.
TEST_CASE_METHOD(shard_fixture, "shard, identity placed twice, starts once and answers both",
                 "[shard]") {
  AnswerFences();
  shard_.Place(kEntry, Place(1), now_);
  const start_action start = OneStart();
  shard_.Place("entry-b", Place(1), now_);
  Act();
  CHECK(Actions<start_action>().empty());
  AnswerStart(start, call_result::kStarted);
  Act();
  CHECK(Actions<start_action>().empty());
}

// A new owner gets a request that the old owner may have started on an endpoint that does not
// answer yet. Starting it on another endpoint would run it twice.
TEST_CASE_METHOD(shard_fixture, "shard, endpoint not listed, defers an identity that may run there",
                 "[shard]") {
  shard_.Place(kEntry, Place(1, false), now_);
  Act();
  CHECK(Actions<start_action>().empty());
  for (const fence_action& fence : Actions<fence_action>()) {
    if (fence.endpoint == 1) shard_.OnFence(1, fence.token, Done(), now_);
  }
  Act();
  CHECK(Actions<start_action>().empty());
  Advance(milliseconds{5001});
  Act();
  const auto answers = Actions<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.kind == outcome_kind::kUnknown);
}

// The old owner started the request and was lost. The new owner finds it in an endpoint's listing
// and must return the answer of that run instead of starting a second one.
TEST_CASE_METHOD(shard_fixture, "shard, identity found in a listing, answers from that run",
                 "[shard]") {
  task_status listed;
  listed.id = {{1, 1}, 0, 3};
  listed.finished = true;
  listed.amount = {100, 100, 0, 1};
  listed.team = "booking";
  listed.result = task_result::kOk;
  listed.answer = "booked before";
  AnswerFences({listed});
  shard_.Place(kEntry, Place(1, false), now_);
  Act();
  CHECK(Actions<start_action>().empty());
  const auto answers = Actions<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.answer == "booked before");
}

// The reply to a start is lost. The start may still be in a buffer of a paused endpoint, so it is
// neither repeated nor given up before the endpoint was fenced with a raised token and listed.
TEST_CASE_METHOD(shard_fixture, "shard, start reply lost, decides by a listing at a raised token",
                 "[shard]") {
  AnswerFences();
  shard_.Place(kEntry, Place(1), now_);
  const start_action start = OneStart();
  LoseStartReply(start);
  Act();
  CHECK(Actions<start_action>().empty());
  const auto fences = Actions<fence_action>();
  REQUIRE(fences.size() == 1);
  CHECK(fences[0].token > start.token);
  CHECK(OwnerEpochOf(fences[0].token) == 7);
  SECTION("not listed: it can't start any more and is started anew") {
    shard_.OnFence(start.endpoint, fences[0].token, Done(), now_);
    const start_action again = OneStart();
    CHECK(again.tasks[0].id.attempt > start.tasks[0].id.attempt);
  }
  SECTION("listed: it runs, and is not started again") {
    endpoint_reply reply = Done();
    task_status running;
    running.id = start.tasks[0].id;
    running.amount = {100, 100, 0, 1};
    running.team = "booking";
    reply.tasks.push_back(running);
    shard_.OnFence(start.endpoint, fences[0].token, reply, now_);
    Act();
    CHECK(Actions<start_action>().empty());
  }
}

// An endpoint is lost with non-repeatable work, which may have run: it must not be started again.
TEST_CASE_METHOD(shard_fixture, "shard, endpoint lost with non-repeatable work, answers unknown",
                 "[shard]") {
  AnswerFences();
  place_message place = Place(1);
  place.repeatable = false;
  place.deadline_left = milliseconds{60000};
  shard_.Place(kEntry, std::move(place), now_);
  const start_action start = OneStart();
  AnswerStart(start, call_result::kStarted);
  const endpoint_reply lost;
  for (int i = 0; i < 2; ++i) {
    const std::optional<sync_action> sync = SyncAt(start.endpoint);
    REQUIRE(sync);
    shard_.OnSync(start.endpoint, sync->call.epoch, lost, now_);
    Act();
  }
  Advance(milliseconds{11001});
  Act();
  CHECK(Actions<start_action>().empty());
  const auto answers = Actions<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.kind == outcome_kind::kUnknown);
}

// Another entry took over the shard while this one was paused. The endpoint rejects our epoch,
// which proves that this start did not take effect.
TEST_CASE_METHOD(shard_fixture, "shard, fenced off, gives the shard up", "[shard]") {
  AnswerFences();
  shard_.Place(kEntry, Place(1), now_);
  const start_action start = OneStart();
  endpoint_reply reply;
  reply.status = endpoint_status::kFenced;
  reply.epoch = TokenOf(8);
  shard_.OnStart(start.endpoint, start.token, start.tasks, reply, now_);
  Act();
  const auto superseded = Actions<superseded_action>();
  REQUIRE(superseded.size() == 1);
  CHECK(superseded[0].epoch == 8);
}

// If a batch job were accepted before its record is in the store, losing this entry would lose the
// job.
TEST_CASE_METHOD(shard_fixture, "shard, durable job, is accepted only once recorded", "[shard]") {
  AnswerFences();
  place_message place = Place(1);
  place.kind = workload_kind::kBatch;
  place.deadline_left = {};
  shard_.Place(kEntry, std::move(place), now_);
  Act();
  CHECK(Actions<record_action>().size() == 1);
  CHECK(Actions<answer_action>().empty());
  CHECK(Actions<start_action>().empty());
  SECTION("recorded: accepted and started") {
    shard_.OnRecorded({1, 1}, true, now_);
    Act();
    const auto answers = Actions<answer_action>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].result.kind == outcome_kind::kAccepted);
    CHECK(Actions<start_action>().size() == 1);
  }
  SECTION("not recorded: refused, and never started") {
    shard_.OnRecorded({1, 1}, false, now_);
    Act();
    const auto answers = Actions<answer_action>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].result.reason == rejection_reason::kNotDurable);
    CHECK(Actions<start_action>().empty());
  }
}

// While the store is down, the caller of a durable job must be answered while it still waits, and
// the job must not start later.
TEST_CASE_METHOD(shard_fixture, "shard, record not accepted in time, gives the job up", "[shard]") {
  AnswerFences();
  place_message place = Place(1);
  place.kind = workload_kind::kBatch;
  place.deadline_left = {};
  shard_.Place(kEntry, std::move(place), now_);
  Act();
  CHECK(Actions<withdraw_action>().empty());
  now_ += seconds{6};
  Act();
  REQUIRE(Actions<withdraw_action>().size() == 1);
  shard_.OnRecorded({1, 1}, false, now_);
  Act();
  REQUIRE(Actions<answer_action>().size() == 1);
  CHECK(Actions<answer_action>()[0].result.reason == rejection_reason::kNotDurable);
  now_ += seconds{6};
  Act();
  CHECK(Actions<withdraw_action>().empty());
}

// A repeated placement arrives after the request was rejected. Its caller was told that nothing
// ran, so it must not run; a new request of the caller with the same identity may.
TEST_CASE_METHOD(shard_fixture, "shard, rejected and sent again late, does not run", "[shard]") {
  AnswerFences();
  place_message place = Place(1, false);
  place.ask = 5;
  shard_.Place(kEntry, place, now_);
  shard_.Cancel(kEntry, {place.id, place.shard, "", 0}, now_);
  Act();
  REQUIRE_FALSE(Actions<answer_action>().empty());
  CHECK(Actions<answer_action>()[0].result.kind == outcome_kind::kRefused);
  Act();
  shard_.Place(kEntry, place, now_);
  Act();
  CHECK(Actions<start_action>().empty());
  REQUIRE(Actions<answer_action>().size() == 1);
  CHECK(Actions<answer_action>()[0].result.kind == outcome_kind::kRefused);
  place.ask = 6;
  shard_.Place(kEntry, place, now_);
  OneStart();
}

// An owner is stopping and its shard can't be handed over. Requests it knows are finished; new ones
// would keep it from stopping and are rejected.
TEST_CASE_METHOD(shard_fixture, "shard, closed, finishes known requests and rejects new ones",
                 "[shard]") {
  AnswerFences();
  shard_.Place(kEntry, Place(1), now_);
  Act();
  CHECK(shard_.HasCallers());
  shard_.Close();
  shard_.Place("entry-b", Place(1, false), now_);
  shard_.Place(kEntry, Place(2), now_);
  Act();
  const auto answers = Actions<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.id == request_id{2, 2});
  CHECK(answers[0].result.reason == rejection_reason::kShuttingDown);
  CHECK(shard_.HasCallers());
}

// A batch task ends while the store is down. If its endpoint forgot the end, a new owner would find
// neither a record nor a listing entry and would run the task a second time.
TEST_CASE_METHOD(shard_fixture, "shard, end not recorded, is not acknowledged to the endpoint",
                 "[shard]") {
  AnswerFences();
  place_message place = Place(1);
  place.kind = workload_kind::kBatch;
  place.tasks = 2;
  place.deadline_left = {};
  shard_.Place(kEntry, std::move(place), now_);
  Act();
  shard_.OnRecorded({1, 1}, true, now_);
  Act();
  const start_action start = Actions<start_action>().at(0);
  AnswerStart(start, call_result::kStarted);
  Act();
  endpoint_reply reply = Done();
  reply.cursor = 1;
  reply.finished.push_back({start.tasks[0].id, 1, task_result::kOk, milliseconds{5}, ""});
  shard_.OnSync(start.endpoint, start.token, reply, now_);
  Advance(milliseconds{100});
  Act();
  REQUIRE(SyncAt(start.endpoint));
  CHECK(SyncAt(start.endpoint)->call.cursor == 0);
  shard_.OnCompletionRecorded({1, 1}, start.tasks[0].id.index, now_);
  reply.finished.clear();
  shard_.OnSync(start.endpoint, start.token, reply, now_);
  Advance(milliseconds{100});
  Act();
  REQUIRE(SyncAt(start.endpoint));
  CHECK(SyncAt(start.endpoint)->call.cursor == 1);
}

// A restored job is cancelled before its new owner has listed every endpoint. If "cancelled, not
// run" were answered then, the job would run on.
TEST_CASE_METHOD(shard_fixture, "shard, restored job cancelled before listings, is stopped first",
                 "[shard]") {
  restored_job job;
  job.spec = Place(1);
  job.spec.kind = workload_kind::kBatch;
  job.spec.deadline_left = {};
  shard_.Restore({job}, now_);
  shard_.Cancel(kEntry, {{1, 1}, "sapporo-ch/0", "", 0}, now_);
  CHECK(Actions<answer_action>().empty());
  task_status running;
  running.id = {{1, 1}, 0, 1};
  running.amount = job.spec.each;
  running.kind = workload_kind::kBatch;
  running.team = "booking";
  AnswerFences({running});
  Act();
  CHECK(Actions<answer_action>().empty());
  REQUIRE(Actions<stop_action>().size() == 1);
  CHECK(Actions<stop_action>().front().ids == std::vector<task_id>{running.id});
}

// A job is cancelled and its owner is lost before that is recorded. The next owner runs the job
// from its log, so the end must not be reported before it is recorded.
TEST_CASE_METHOD(shard_fixture, "shard, cancelled job, is reported over once that is recorded",
                 "[shard]") {
  AnswerFences();
  place_message place = Place(1);
  place.kind = workload_kind::kBatch;
  place.deadline_left = {};
  place.each = {16000, 100, 0, 1};
  place.tasks = 1;
  shard_.Place(kEntry, std::move(place), now_);
  Act();
  shard_.OnRecorded({1, 1}, true, now_);
  shard_.Cancel(kEntry, {{1, 1}, "sapporo-ch/0", "", 0}, now_);
  Act();
  for (const answer_action& answer : Actions<answer_action>()) {
    CHECK(answer.result.kind == outcome_kind::kAccepted);
  }
  shard_.OnEndRecorded({1, 1});
  Act();
  REQUIRE(Actions<answer_action>().size() == 1);
  CHECK(Actions<answer_action>().front().result.reason == rejection_reason::kCancelled);
}

// The last task of a job ends and is recorded, and the owner is lost before the caller is answered.
// The next owner must return the recorded answer or fault, not an empty one.
TEST_CASE_METHOD(shard_fixture,
                 "shard, job ended under an earlier owner, returns its recorded result",
                 "[shard]") {
  AnswerFences();
  restored_job completed;
  completed.spec = Place(1);
  completed.spec.kind = workload_kind::kBatch;
  completed.spec.tasks = 2;
  restored_job faulty = completed;
  faulty.spec.id = {2, 2};
  completed.done = {0, 1};
  completed.answer = "balanced";
  faulty.done = {0};
  faulty.failed = {1};
  faulty.fault = "disk full";
  shard_.Restore({completed, faulty}, now_);
  for (const restored_job& job : {completed, faulty}) shard_.Place(kEntry, job.spec, now_);
  Act();
  const auto answers = Actions<answer_action>();
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].result.kind == outcome_kind::kCompleted);
  CHECK(answers[0].result.answer == "balanced");
  CHECK(answers[1].result.kind == outcome_kind::kFailed);
  CHECK(answers[1].result.detail == "disk full");
}

}  // namespace catkinford
