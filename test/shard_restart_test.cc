#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "shard_fixture.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A request that is not to be repeated, sent to an endpoint, and nothing heard of it yet.
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
  // Two syncs fail: the endpoint is silent, and is fenced again under a raised token.
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

// A new owner has work at hand before it knows what runs at its endpoints. What it started there
// now could be more than they hold, on top of what its predecessor started.
TEST_CASE_METHOD(shard_fixture, "shard, endpoints not listed, starts nothing there", "[shard]") {
  shard_.Place(kEntry, Place(1), now_);
  Act();
  const auto fences = Actions<fence_action>();
  REQUIRE(fences.size() == 2);
  CHECK(Actions<start_action>().empty());
  shard_.OnFence(fences[0].endpoint, fences[0].token, Done(), now_);
  CHECK(OneStart().endpoint == fences[0].endpoint);
}

// Something between the two ends has lost track of the kept connections. An owner that asked again
// on one of them would take a healthy endpoint for dead and lose what runs there.
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

// The reply to a start is lost, and before that is known the endpoint was listed under a raised
// token without the task. It did not run and never will: it starts at once, without another round
// of fencing in which the endpoint gets no work.
TEST_CASE_METHOD(sent_start_fixture, "shard, reply lost after a newer list, starts again at once",
                 "[shard]") {
  const fence_action fence = FailSyncs();
  shard_.OnFence(fence.endpoint, fence.token, Done(), now_);
  LoseStartReply(start_);
  const start_action again = OneStart();
  CHECK(Actions<fence_action>().empty());
  CHECK(again.tasks[0].id.attempt > start_.tasks[0].id.attempt);
}

// The same, with that list still on its way: it decides, and until it comes nothing new is sent to
// an endpoint of which nothing is known.
TEST_CASE_METHOD(sent_start_fixture, "shard, reply lost before a newer list, waits for the list",
                 "[shard]") {
  const fence_action fence = FailSyncs();
  LoseStartReply(start_);
  Act();
  CHECK(Actions<fence_action>().empty());
  CHECK(Actions<start_action>().empty());
  shard_.OnFence(fence.endpoint, fence.token, Done(), now_);
  CHECK(OneStart().tasks[0].id.attempt > start_.tasks[0].id.attempt);
}

// The endpoint runs a payment and restarts before its reply is out. The list of its next life does
// not show the payment; started again, it would be made twice.
TEST_CASE_METHOD(sent_start_fixture, "shard, endpoint restarted with a start under way, is unknown",
                 "[shard]") {
  shard_.OnSync(start_.endpoint, sync_->call.epoch, ListingOf(2), now_);
  const fence_action fence = OneFence();
  CHECK(fence.token > start_.token);  // else the start could still arrive in the new life
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
