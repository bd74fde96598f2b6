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
  const auto answers = Taken<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].entry == kEntry);
  CHECK(answers[0].result.kind == outcome_kind::kCompleted);
  CHECK(answers[0].result.answer == "booked");
}

// A caller asks twice for the same booking, through two entries. If both were started, the room
// would be booked twice.
TEST_CASE_METHOD(shard_fixture, "shard, identity placed twice, starts once and answers both",
                 "[shard]") {
  AnswerFences();
  shard_.Place(kEntry, Place(1), now_);
  const start_action start = OneStart();
  shard_.Place("entry-b", Place(1), now_);
  Act();
  CHECK(Taken<start_action>().empty());
  AnswerStart(start, call_result::kStarted);
  Act();
  CHECK(Taken<start_action>().empty());
}

// A new owner gets a request that the old owner may have started on an endpoint that does not
// answer yet. Starting it elsewhere would run it in two places.
TEST_CASE_METHOD(shard_fixture, "shard, endpoint not listed, holds an identity that may run there",
                 "[shard]") {
  shard_.Place(kEntry, Place(1, false), now_);
  Act();
  CHECK(Taken<start_action>().empty());
  for (const fence_action& fence : Taken<fence_action>()) {
    if (fence.endpoint == 1) shard_.OnFence(1, fence.token, Done(), now_);
  }
  Act();
  CHECK(Taken<start_action>().empty());
  Advance(milliseconds{5001});
  Act();
  const auto answers = Taken<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.kind == outcome_kind::kUnknown);
}

// The old owner had started the request and died. Its caller's entry asks the new owner, which
// finds it in the endpoint's list: the caller gets the answer of that run, not of a second one.
TEST_CASE_METHOD(shard_fixture, "shard, identity found in a list, answers from that run",
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
  CHECK(Taken<start_action>().empty());
  const auto answers = Taken<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.answer == "booked before");
}

// The reply to a start is lost. The start may still lie in a buffer of a paused endpoint, so it is
// neither repeated nor given up before the endpoint has been fenced with a raised token and listed.
TEST_CASE_METHOD(shard_fixture, "shard, start reply lost, decides by a list under a raised token",
                 "[shard]") {
  AnswerFences();
  shard_.Place(kEntry, Place(1), now_);
  const start_action start = OneStart();
  LoseStartReply(start);
  Act();
  CHECK(Taken<start_action>().empty());
  const auto fences = Taken<fence_action>();
  REQUIRE(fences.size() == 1);
  CHECK(fences[0].token > start.token);
  CHECK(OwnerEpochOf(fences[0].token) == 7);
  SECTION("not listed: it never started and never will, and is started anew") {
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
    CHECK(Taken<start_action>().empty());
  }
}

// The endpoint dies with a payment in it that must not be made twice. It may have been made.
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
  CHECK(Taken<start_action>().empty());
  const auto answers = Taken<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.kind == outcome_kind::kUnknown);
}

// Another entry has taken the shard over while this one was paused. The endpoint refuses our
// epoch, and that refusal is proof that nothing was started by us.
TEST_CASE_METHOD(shard_fixture, "shard, fenced off, gives the shard up", "[shard]") {
  AnswerFences();
  shard_.Place(kEntry, Place(1), now_);
  const start_action start = OneStart();
  endpoint_reply reply;
  reply.status = endpoint_status::kFenced;
  reply.epoch = TokenOf(8);
  shard_.OnStart(start.endpoint, start.token, start.tasks, reply, now_);
  Act();
  const auto superseded = Taken<superseded_action>();
  REQUIRE(superseded.size() == 1);
  CHECK(superseded[0].epoch == 8);
}

// A batch job is accepted. If it were answered before its record stands in the store, the death of
// this entry would lose work that a team was told is safe.
TEST_CASE_METHOD(shard_fixture, "shard, durable job, is accepted only once recorded", "[shard]") {
  AnswerFences();
  place_message place = Place(1);
  place.kind = workload_kind::kBatch;
  place.deadline_left = {};
  shard_.Place(kEntry, std::move(place), now_);
  Act();
  CHECK(Taken<record_action>().size() == 1);
  CHECK(Taken<answer_action>().empty());
  CHECK(Taken<start_action>().empty());
  SECTION("recorded: accepted and started") {
    shard_.OnRecorded({1, 1}, true, now_);
    Act();
    const auto answers = Taken<answer_action>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].result.kind == outcome_kind::kAccepted);
    CHECK(Taken<start_action>().size() == 1);
  }
  SECTION("not recorded: refused, and never started") {
    shard_.OnRecorded({1, 1}, false, now_);
    Act();
    const auto answers = Taken<answer_action>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].result.reason == rejection_reason::kNotDurable);
    CHECK(Taken<start_action>().empty());
  }
}

// The store is out for minutes. A caller that submits batch work is told so while it still waits,
// and the work is not started later all the same.
TEST_CASE_METHOD(shard_fixture, "shard, record not taken for long, gives the job up", "[shard]") {
  AnswerFences();
  place_message place = Place(1);
  place.kind = workload_kind::kBatch;
  place.deadline_left = {};
  shard_.Place(kEntry, std::move(place), now_);
  Act();
  CHECK(Taken<withdraw_action>().empty());
  now_ += seconds{6};
  Act();
  REQUIRE(Taken<withdraw_action>().size() == 1);
  shard_.OnRecorded({1, 1}, false, now_);
  Act();
  REQUIRE(Taken<answer_action>().size() == 1);
  CHECK(Taken<answer_action>()[0].result.reason == rejection_reason::kNotDurable);
  now_ += seconds{6};
  Act();
  CHECK(Taken<withdraw_action>().empty());
}

// An entry sends a request again while it has no outcome, and that sending is overtaken by the
// refusal. Its caller has been told that nothing ran, and what comes late must not run; when the
// caller itself asks anew it is another matter.
TEST_CASE_METHOD(shard_fixture, "shard, refused and sent again late, does not run", "[shard]") {
  AnswerFences();
  place_message place = Place(1, false);
  place.ask = 5;
  shard_.Place(kEntry, place, now_);
  shard_.Cancel(kEntry, {place.id, place.shard, "", 0}, now_);
  Act();
  REQUIRE_FALSE(Taken<answer_action>().empty());
  CHECK(Taken<answer_action>()[0].result.kind == outcome_kind::kRefused);
  Act();
  shard_.Place(kEntry, place, now_);
  Act();
  CHECK(Taken<start_action>().empty());
  REQUIRE(Taken<answer_action>().size() == 1);
  CHECK(Taken<answer_action>()[0].result.kind == outcome_kind::kRefused);
  place.ask = 6;
  shard_.Place(kEntry, place, now_);
  OneStart();
}

// An entry is being stopped and its shard can be handed to nobody. What it has begun is finished;
// what comes now would keep it from ending and is refused, which is true as nothing was started.
TEST_CASE_METHOD(shard_fixture, "shard, closed, finishes what it knows and refuses the rest",
                 "[shard]") {
  AnswerFences();
  shard_.Place(kEntry, Place(1), now_);
  Act();
  CHECK(shard_.HasCallers());
  shard_.Close();
  shard_.Place("entry-b", Place(1, false), now_);
  shard_.Place(kEntry, Place(2), now_);
  Act();
  const auto answers = Taken<answer_action>();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.id == request_id{2, 2});
  CHECK(answers[0].result.reason == rejection_reason::kShuttingDown);
  CHECK(shard_.HasCallers());
}

// A batch task ends while the store is down. Its endpoint must keep the end: else a new owner would
// find neither a record nor a list entry, and the reconciliation would run a second time.
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
  const start_action start = Taken<start_action>().at(0);
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

// A batch job runs when its shard's owner dies, and its caller cancels it at the next owner before
// that has heard of every endpoint. Told "cancelled, not run" then, the job would run on.
TEST_CASE_METHOD(shard_fixture, "shard, restored job cancelled before the lists, is stopped first",
                 "[shard]") {
  restored_job job;
  job.spec = Place(1);
  job.spec.kind = workload_kind::kBatch;
  job.spec.deadline_left = {};
  shard_.Restore({job}, now_);
  shard_.Cancel(kEntry, {{1, 1}, "sapporo-ch/0", "", 0}, now_);
  CHECK(Taken<answer_action>().empty());
  task_status running;
  running.id = {{1, 1}, 0, 1};
  running.amount = job.spec.each;
  running.kind = workload_kind::kBatch;
  running.team = "booking";
  AnswerFences({running});
  Act();
  CHECK(Taken<answer_action>().empty());
  REQUIRE(Taken<stop_action>().size() == 1);
  CHECK(Taken<stop_action>().front().ids == std::vector<task_id>{running.id});
}

// A job is cancelled and its owner dies before the store has heard of it. The next owner finds the
// job in its log and runs it, so nobody may have been told until then that it is over.
TEST_CASE_METHOD(shard_fixture, "shard, cancelled job, is told over once that is recorded",
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
  for (const answer_action& answer : Taken<answer_action>()) {
    CHECK(answer.result.kind == outcome_kind::kAccepted);
  }
  shard_.OnEndRecorded({1, 1});
  Act();
  REQUIRE(Taken<answer_action>().size() == 1);
  CHECK(Taken<answer_action>().front().result.reason == rejection_reason::kCancelled);
}

// The last task of a job ends, that is recorded, and the owner dies before its caller has heard.
// The caller asks the next owner, and must get the answer, or what went wrong, and not an empty
// one.
TEST_CASE_METHOD(shard_fixture, "shard, job ended under an earlier owner, is told with its words",
                 "[shard]") {
  AnswerFences();
  restored_job well;
  well.spec = Place(1);
  well.spec.kind = workload_kind::kBatch;
  well.spec.tasks = 2;
  restored_job badly = well;
  badly.spec.id = {2, 2};
  well.done = {0, 1};
  well.answer = "balanced";
  badly.done = {0};
  badly.failed = {1};
  badly.fault = "disk full";
  shard_.Restore({well, badly}, now_);
  for (const restored_job& job : {well, badly}) shard_.Place(kEntry, job.spec, now_);
  Act();
  const auto answers = Taken<answer_action>();
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].result.kind == outcome_kind::kCompleted);
  CHECK(answers[0].result.answer == "balanced");
  CHECK(answers[1].result.kind == outcome_kind::kFailed);
  CHECK(answers[1].result.detail == "disk full");
}

}  // namespace catkinford
