#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "shard_fixture.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A non-repeatable request whose start was sent to an endpoint and is not answered yet.
class sent_start_fixture : public shard_fixture {
 public:
  sent_start_fixture() {
    AnswerFences();
    place_message place = Place(1);
    place.repeatable = false;
    place.deadline_left = milliseconds{60000};
    shard_.Place(kEntry, std::move(place), now_);
    start_ = OneStart();
    sync_ = SyncAt(start_.endpoint);
  }

 protected:
  // Two syncs fail: the endpoint is silent and is fenced again with a raised token.
  fence_action FailSyncs() {
    shard_.OnSync(start_.endpoint, sync_->call.epoch, endpoint_reply{}, now_);
    Act();
    shard_.OnSync(start_.endpoint, sync_->call.epoch, endpoint_reply{}, now_);
    return OneFence();
  }
  fence_action OneFence() {
    Act();
    const auto fences = Actions<fence_action>();
    REQUIRE(fences.size() == 1);
    return fences[0];
  }
  endpoint_reply ListingOf(uint64_t incarnation) const {
    endpoint_reply reply = Done();
    reply.incarnation = incarnation;
    return reply;
  }

  start_action start_;
  std::optional<sync_action> sync_;
};

}  // namespace

// A new owner has work before it knows what runs at its endpoints. Starting it could exceed their
// capacity, on top of what its predecessor started.
TEST_CASE_METHOD(shard_fixture, "shard, endpoints not listed, starts nothing there", "[shard]") {
  shard_.Place(kEntry, Place(1), now_);
  Act();
  const auto fences = Actions<fence_action>();
  REQUIRE(fences.size() == 2);
  CHECK(Actions<start_action>().empty());
  shard_.OnFence(fences[0].endpoint, fences[0].token, Done(), now_);
  CHECK(OneStart().endpoint == fences[0].endpoint);
}

// A kept connection went silent in the network. An owner that retried on it would take a healthy
// endpoint for lost and lose its tasks.
TEST_CASE_METHOD(sent_start_fixture, "shard, sync failed, asks again on a fresh connection",
                 "[shard]") {
  CHECK_FALSE(sync_->fresh_connection);
  shard_.OnSync(start_.endpoint, sync_->call.epoch, endpoint_reply{}, now_);
  Act();
  const std::optional<sync_action> again = SyncAt(start_.endpoint);
  REQUIRE(again);
  CHECK(again->fresh_connection);
  CHECK(again->call.wait == milliseconds{0});
}

// A start's reply is lost after the endpoint was already listed, without the task, under a raised
// token. The task can't have run and must start again at once, without another round of fencing.
TEST_CASE_METHOD(sent_start_fixture,
                 "shard, reply lost after a newer listing, starts again at once", "[shard]") {
  const fence_action fence = FailSyncs();
  shard_.OnFence(fence.endpoint, fence.token, Done(), now_);
  LoseStartReply(start_);
  const start_action again = OneStart();
  CHECK(Actions<fence_action>().empty());
  CHECK(again.tasks[0].id.attempt > start_.tasks[0].id.attempt);
}

// The same with that listing still on its way: it decides, and nothing new is sent to the endpoint
// before it arrives.
TEST_CASE_METHOD(sent_start_fixture, "shard, reply lost before a newer listing, waits for it",
                 "[shard]") {
  const fence_action fence = FailSyncs();
  LoseStartReply(start_);
  Act();
  CHECK(Actions<fence_action>().empty());
  CHECK(Actions<start_action>().empty());
  shard_.OnFence(fence.endpoint, fence.token, Done(), now_);
  CHECK(OneStart().tasks[0].id.attempt > start_.tasks[0].id.attempt);
}

// The endpoint restarts with a non-repeatable task before its reply is sent. The listing of its
// next incarnation does not show the task; starting it again would run it twice.
TEST_CASE_METHOD(sent_start_fixture, "shard, endpoint restarted with a start in flight, is unknown",
                 "[shard]") {
  shard_.OnSync(start_.endpoint, sync_->call.epoch, ListingOf(2), now_);
  const fence_action fence = OneFence();
  CHECK(fence.token > start_.token);  // else the start could still arrive in the new incarnation
  shard_.OnFence(fence.endpoint, fence.token, ListingOf(2), now_);
  LoseStartReply(start_);
  std::vector<answer_action> answers;
  for (int i = 0; i < 3; ++i) {
    Act();
    for (const answer_action& answer : Actions<answer_action>()) answers.push_back(answer);
    CHECK(Actions<start_action>().empty());
    for (const fence_action& next : Actions<fence_action>()) {
      shard_.OnFence(next.endpoint, next.token, ListingOf(2), now_);
    }
  }
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].result.kind == outcome_kind::kUnknown);
}

}  // namespace catkinford
