// One shard with two endpoints, whose calls the test answers itself.
#ifndef CATKINFORD_TEST_SHARD_FIXTURE_H_
#define CATKINFORD_TEST_SHARD_FIXTURE_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "process/shard.h"

namespace catkinford {

inline constexpr char kEntry[] = "entry-a";

class shard_fixture {
 public:
  shard_fixture() : shard_(Options(), teams_) {
    configuration config;
    config.workspaces.resize(1);
    config.workspaces[0].name = "showrooms";
    team_contract team;
    team.name = "booking";
    team.limit = {100000, 100000, 0, 0};
    team.running_limit = 100;
    config.workspaces[0].teams.push_back(team);
    shard_.SetConfiguration(config, now_);
    grant_entry grant;
    grant.team = "booking";
    grant.shard = "sapporo-ch/0";
    grant.grant = {{100000, 100000, 0, 100}, 100};
    shard_.SetGrants({grant}, now_);
    shard_.SetEndpoints({Endpoint("ep-0"), Endpoint("ep-1")}, now_);
    shard_.SetIncarnations({{"ep-0", 1}, {"ep-1", 1}}, now_);
  }

 protected:
  static shard_options Options() {
    shard_options options;
    options.name = "sapporo-ch/0";
    options.epoch = 7;
    return options;
  }

  static instance Endpoint(const std::string& name) {
    instance from;
    from.name = name;
    from.rack = "rack-" + name;
    from.address = "http://127.0.0.1:1";
    from.shape = {16000, 32768, 0, 8};
    return from;
  }

  static place_message Place(uint64_t number, bool fresh = true) {
    place_message place;
    place.id = {number, number};
    place.shard = "sapporo-ch/0";
    place.team = "booking";
    place.each = {100, 100, 0, 1};
    place.deadline_left = std::chrono::milliseconds{5000};
    place.fresh = fresh;
    return place;
  }

  void Advance(std::chrono::milliseconds by) { now_ += by; }

  // Lets the shard act and keeps its actions.
  void Act() {
    actions_.clear();
    shard_.Act(now_, actions_);
  }

  template <typename Action>
  std::vector<Action> Actions() const {
    std::vector<Action> taken;
    for (const shard_action& action : actions_) {
      if (const auto* one = std::get_if<Action>(&action)) taken.push_back(*one);
    }
    return taken;
  }

  static endpoint_reply Done() {
    endpoint_reply reply;
    reply.status = endpoint_status::kDone;
    reply.incarnation = 1;
    return reply;
  }

  // Answers every fence in flight with `tasks` on ep-0 and nothing on ep-1.
  void AnswerFences(const std::vector<task_status>& tasks = {}) {
    Act();
    for (const fence_action& fence : Actions<fence_action>()) {
      endpoint_reply reply = Done();
      if (fence.endpoint == 0) reply.tasks = tasks;
      shard_.OnFence(fence.endpoint, fence.token, reply, now_);
    }
  }

  // Requires exactly one start action and returns it.
  start_action OneStart() {
    Act();
    const auto starts = Actions<start_action>();
    REQUIRE(starts.size() == 1);
    return starts[0];
  }

  void AnswerStart(const start_action& start, call_result result) {
    endpoint_reply reply = Done();
    for (const start_task& task : start.tasks) reply.results.push_back({task.id, result});
    shard_.OnStart(start.endpoint, start.token, start.tasks, reply, now_);
  }

  void LoseStartReply(const start_action& start) {
    endpoint_reply reply;
    reply.status = endpoint_status::kMaybeSent;
    shard_.OnStart(start.endpoint, start.token, start.tasks, reply, now_);
  }

  // The sync sent to `endpoint` by the last Act().
  std::optional<sync_action> SyncAt(endpoint_index endpoint) const {
    for (const sync_action& sync : Actions<sync_action>()) {
      if (sync.endpoint == endpoint) return sync;
    }
    return std::nullopt;
  }

  monotonic_time now_ = monotonic_time{} + std::chrono::hours{1};
  team_names teams_;
  shard shard_;
  std::vector<shard_action> actions_;
};

}  // namespace catkinford

#endif  // CATKINFORD_TEST_SHARD_FIXTURE_H_
