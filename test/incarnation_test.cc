#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ownership_simulation.h"
#include "process/incarnation_store.h"
#include "process/shard.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kEntry[] = "entry-a";

// Successive owners of one shard with one endpoint, whose incarnation the test sets, and the store.
class incarnation_fixture {
 public:
  incarnation_fixture() { TakeOver(); }

 protected:
  // Starts the next owner and runs until the endpoint is listed.
  void TakeOver(const std::vector<restored_job>& jobs = {}) {
    shard_options options;
    options.name = "sapporo-ch/0";
    options.epoch = ++epoch_;
    owner_ = std::make_unique<shard>(options, teams_);
    owner_->Restore(jobs, now_);
    instance endpoint;
    endpoint.name = "ep-0";
    endpoint.rack = "rack-0";
    endpoint.address = "http://127.0.0.1:1";
    endpoint.shape = {16000, 32768, 0, 8};
    owner_->SetEndpoints({endpoint}, now_);
    store_of_incarnations_ = std::make_unique<incarnation_store>(
        "entry-a", [this](const store_request& call,
                          const std::function<void(store_reply, monotonic_time)>& done) {
          done(store_up_ ? store_.Apply(call, now_) : store_reply{}, now_);
        });
    store_of_incarnations_->OnGained(*owner_, now_);
    Run(milliseconds{100});
  }

  void Run(milliseconds time) {
    for (const monotonic_time until = now_ + time; now_ < until; now_ += milliseconds{50}) {
      actions_.clear();
      owner_->Act(now_, actions_);
      for (const shard_action& action : actions_) {
        if (const auto* fence = std::get_if<fence_action>(&action)) Answer(*fence);
      }
      store_of_incarnations_->Tick(*owner_, now_);
    }
  }

  void Answer(const fence_action& fence) {
    endpoint_reply reply;
    reply.status = endpoint_status::kDone;
    reply.incarnation = incarnation_;
    owner_->OnFence(fence.endpoint, fence.token, reply, now_);
  }

  // The outcome for a caller that repeats a non-repeatable request; none for a request that is
  // accepted to be started.
  std::optional<outcome_kind> RetryRequest() {
    place_message place;
    place.id = {1, ++requests_};
    place.team = "booking";
    place.each = {100, 100, 0, 1};
    place.deadline_left = milliseconds{5000};
    place.repeatable = false;
    owner_->Place(kEntry, std::move(place), now_);
    std::vector<shard_action> actions;
    owner_->Act(now_, actions);
    for (const shard_action& action : actions) {
      if (const auto* answer = std::get_if<answer_action>(&action)) return answer->result.kind;
    }
    return std::nullopt;
  }

  monotonic_time now_ = monotonic_time{} + std::chrono::hours{1};
  team_names teams_;
  fake_store store_;
  bool store_up_ = true;
  uint64_t epoch_ = 0;
  uint64_t incarnation_ = 1;
  uint64_t requests_ = 0;
  std::unique_ptr<shard> owner_;
  std::unique_ptr<incarnation_store> store_of_incarnations_;
  std::vector<shard_action> actions_;
};

}  // namespace

TEST_CASE_METHOD(incarnation_fixture, "incarnations, endpoint keeps running, new owner is certain",
                 "[incarnation]") {
  CHECK(RetryRequest() == std::nullopt);
  TakeOver();
  CHECK(RetryRequest() == std::nullopt);
}

// An endpoint restarts after the old owner started work there and before the new one lists it. Its
// listing is empty and looks complete; a repeated request would run a second time.
TEST_CASE_METHOD(incarnation_fixture, "incarnations, endpoint lost its state, answers unknown",
                 "[incarnation]") {
  ++incarnation_;
  TakeOver();
  CHECK(RetryRequest() == outcome_kind::kUnknown);
  Run(seconds{31});
  CHECK(RetryRequest() == std::nullopt);
}

// The owner that saw the restart is lost too, while callers still repeat their requests.
TEST_CASE_METHOD(incarnation_fixture,
                 "incarnations, endpoint lost its state, second new owner answers unknown",
                 "[incarnation]") {
  ++incarnation_;
  TakeOver();
  Run(seconds{20});
  TakeOver();
  CHECK(RetryRequest() == outcome_kind::kUnknown);
  Run(seconds{35});
  TakeOver();
  CHECK(RetryRequest() == std::nullopt);
}

// The store goes down right after a takeover. Until the record is read it is unknown what ran
// before, and nothing non-repeatable may start.
TEST_CASE_METHOD(incarnation_fixture, "incarnations, record not read, defers the request",
                 "[incarnation]") {
  store_up_ = false;
  TakeOver();
  CHECK(RetryRequest() == std::nullopt);
  CHECK_FALSE(owner_->AllListed());
  store_up_ = true;
  Run(seconds{1});
  CHECK(owner_->AllListed());
}

// A non-repeatable job was accepted and perhaps started, and its endpoint lost its state.
TEST_CASE_METHOD(incarnation_fixture,
                 "incarnations, endpoint lost its state, accepted job is not run again",
                 "[incarnation]") {
  ++incarnation_;
  restored_job job;
  job.spec.id = {2, 1};
  job.spec.kind = workload_kind::kBatch;
  job.spec.team = "booking";
  SECTION("not repeatable: has ended as unknown") { job.spec.repeatable = false; }
  SECTION("repeatable: goes on") { job.spec.repeatable = true; }
  const bool again = job.spec.repeatable;
  TakeOver({job});
  Run(milliseconds{100});
  owner_->Status(kEntry, {job.spec.id, "sapporo-ch/0", 7}, now_);
  actions_.clear();
  owner_->Act(now_, actions_);
  std::optional<status_answer> status;
  for (const shard_action& action : actions_) {
    if (const auto* told = std::get_if<status_action>(&action)) status = told->answer;
  }
  REQUIRE(status.has_value());
  CHECK(status->ended.has_value() != again);
}

}  // namespace catkinford
