// Shard ownership: gaining and losing shards, and executing their actions.
#include <algorithm>
#include <utility>

#include "process/node.h"

namespace catkinford {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// ---- Ownership -----------------------------------------------------------------------------

void node::ApplyOwnershipActions(const ownership_actions& actions, monotonic_time now) {
  for (const store_request& call : actions.calls) {
    SendStoreRequest(call, [this, tag = call.tag](const store_reply& reply, monotonic_time at) {
      ownership_actions next;
      ownership_.OnStoreReply(tag, reply, at, next);
      ApplyOwnershipActions(next, at);
    });
  }
  for (const ownership_event& event : actions.events) OnOwnershipEvent(event, now);
}

void node::SendStoreRequest(const store_request& call,
                            std::function<void(store_reply, monotonic_time)> done) {
  auto on_reply = [this, done = std::move(done)](store_reply reply) mutable {
    Post([done = std::move(done), reply = std::move(reply)](monotonic_time now) mutable {
      done(std::move(reply), now);
    });
  };
  switch (call.kind) {
    case store_call_kind::kGrantLease:
      store_.GrantLease(call.ttl, std::move(on_reply));
      break;
    case store_call_kind::kKeepLease:
      store_.KeepLease(call.lease, std::move(on_reply));
      break;
    case store_call_kind::kSwap:
      store_.CompareAndSwap(call.key, call.expect, call.value, call.write_id, call.lease,
                            std::move(on_reply));
      break;
    case store_call_kind::kRange:
      store_.Range(call.key, std::move(on_reply));
      break;
  }
}

void node::OnOwnershipEvent(const ownership_event& event, monotonic_time now) {
  switch (event.kind) {
    case ownership_event_kind::kGained:
      RemoveShard(event.shard, now);  // owned until now under a lower epoch
      grants_.OnGained(ShardName(config_.failure_domain, event.shard), event.epoch);
      jobs_.OnGained(event.shard, ShardName(config_.failure_domain, event.shard), event.epoch);
      break;
    case ownership_event_kind::kLost:
      RemoveShard(event.shard, now);
      break;
    case ownership_event_kind::kQueryOwner:
      Send(event.peer, owner_query_message{event.shard}, now);
      break;
    case ownership_event_kind::kNotifySuccessor:
      Send(event.peer, release_message{}, now);
      break;
  }
}

// Opens the shards whose logs have been read and whose parts of the limits are held here.
void node::OpenShards(monotonic_time now) {
  for (opened_log& log : jobs_.Tick(now)) opened_logs_.push_back(std::move(log));
  grants_.Prepare(now);
  for (opened_log& log : std::exchange(opened_logs_, {})) {
    const bool is_evacuated = evacuated_names_.contains(log.number);
    if (!is_evacuated && ownership_.Epoch(log.number) != log.epoch) continue;
    if (grants_.Ready(ShardNameOf(log.number))) {
      AddShard(std::move(log), now);
    } else {
      opened_logs_.push_back(std::move(log));
    }
  }
}

void node::AddShard(opened_log log, monotonic_time now) {
  const uint32_t number = log.number;
  const uint64_t epoch = log.epoch;
  shard_options options;
  options.name = ShardNameOf(number);
  options.is_evacuated = evacuated_names_.contains(number);
  options.epoch = epoch;
  options.link.sync_wait = config_.timing.sync_wait;
  options.link.task_lease = config_.timing.task_lease;
  options.identity_window = config_.timing.identity_window;
  options.start_bound = config_.timing.call_timeout;
  options.endpoints_fence = config_.platform.endpoints_fence;
  auto gained = std::make_unique<shard>(options, teams_);
  gained->SetCellCapacity(cell_capacity_);
  if (const auto config = versions_.Order().Config()) gained->SetConfiguration(*config, now);
  gained->Restore(std::move(log.jobs), now);
  AssignEndpoints(*gained, now);
  // The incarnations of an evacuated shard's endpoints stay recorded unchanged for its next owner.
  if (!gained->IsEvacuated()) incarnations_.OnGained(*gained, now);
  routes_.OnReport(config_.name, gained->Report(), now);
  shards_[number] = std::move(gained);
  Announce(now);
  table_.OnNewOwner(options.name, now);
  metrics_.takeovers.Increment();
  log_.Emit(event_code::kShardClaimed, now, {}, epoch, options.name);
}

void node::RemoveShard(uint32_t number, monotonic_time now) {
  jobs_.OnLost(number);
  grants_.OnLost(ShardNameOf(number));
  evacuated_names_.erase(number);
  const auto found = shards_.find(number);
  if (found == shards_.end()) return;
  const std::string name = found->second->Name();
  log_.Emit(shutting_down_ ? event_code::kShardReleased : event_code::kShardLost, now, {},
            found->second->Epoch(), name);
  shards_.erase(found);
  incarnations_.OnLost(name);
  routes_.OnNotOwner(config_.name, name, now);
  table_.OnNewOwner(name, now);
}

// Each rack belongs to one shard, chosen by rendezvous hashing, so that adding or removing a rack
// moves no other.
void node::AssignEndpoints(shard& to, monotonic_time now) {
  if (!instance_polling_.HasList()) return;
  std::vector<instance> assigned;
  const std::vector<std::string> names = routes_.ShardsOfDomain(config_.failure_domain);
  for (const instance& from : own_endpoints_) {
    const auto weight = [&](const std::string& name) { return DeriveRequestId(name, from.rack); };
    const auto home = std::max_element(
        names.begin(), names.end(),
        [&](const std::string& a, const std::string& b) { return weight(a) < weight(b); });
    if (home != names.end() && *home == to.Name()) assigned.push_back(from);
  }
  to.SetEndpoints(assigned, now);
}

shard* node::FindOwnedShard(uint32_t number, uint64_t epoch) {
  const auto found = shards_.find(number);
  if (found == shards_.end() || found->second->Epoch() != epoch) return nullptr;
  return found->second.get();
}

shard* node::FindShard(const std::string& name) {
  for (auto& [number, held] : shards_) {
    if (held->Name() == name) return held.get();
  }
  return nullptr;
}

// ---- Actions of shards ---------------------------------------------------------------------

void node::RunShardActions(monotonic_time now) {
  std::vector<std::pair<uint32_t, uint64_t>> held;
  held.reserve(shards_.size());
  for (const auto& [number, at] : shards_) held.emplace_back(number, at->Epoch());
  for (const auto& [number, epoch] : held) {
    shard* from = FindOwnedShard(number, epoch);
    if (from == nullptr) continue;
    std::vector<shard_action> actions;
    from->Act(now, actions);
    for (shard_action& action : actions) {
      // An action may end the ownership of its own shard.
      from = FindOwnedShard(number, epoch);
      if (from == nullptr) break;
      std::visit([&](auto& what) { Execute(number, *from, std::move(what), now); }, action);
    }
  }
}

void node::Execute(uint32_t number, shard& from, const fence_action& action,
                   monotonic_time /*now*/) {
  endpoints_.Fence(
      from.Address(action.endpoint), action.token,
      [this, number, epoch = from.Epoch(), action](endpoint_reply reply) {
        Post([this, number, epoch, action, reply = std::move(reply)](monotonic_time at) {
          shard* to = FindOwnedShard(number, epoch);
          if (to != nullptr) to->OnFence(action.endpoint, action.token, reply, at);
        });
      });
}

void node::Execute(uint32_t number, shard& from, const sync_action& action,
                   monotonic_time /*now*/) {
  endpoints_.Sync(
      from.Address(action.endpoint), action.call,
      [this, number, epoch = from.Epoch(), endpoint = action.endpoint,
       token = action.call.epoch](endpoint_reply reply) {
        Post([this, number, epoch, endpoint, token, reply = std::move(reply)](monotonic_time at) {
          shard* to = FindOwnedShard(number, epoch);
          if (to != nullptr) to->OnSync(endpoint, token, reply, at);
        });
      },
      action.fresh_connection);
}

// Ownership is checked again here, next to the send: the process may have been paused since the
// core decided, for longer than its lease. Without this check a start is sent that the successor
// has also sent, visible as two start events of one task in the timeline. The endpoint's rejection
// of our lower epoch closes the remaining gap between this check and the send.
void node::Execute(uint32_t number, shard& from, const start_action& action, monotonic_time now) {
  if (!ownership_.MayStart(number, steady_clock::now())) {
    from.OnStartNotSent(action, now);
    return;
  }
  if (action.arrived != monotonic_time{}) {
    metrics_.ObservePlacement(
        std::chrono::duration_cast<std::chrono::microseconds>(now - action.arrived));
  }
  endpoints_.Start(
      from.Address(action.endpoint), action.token, action.tasks,
      [this, number, epoch = from.Epoch(), action](endpoint_reply reply) {
        Post([this, number, epoch, action, reply = std::move(reply)](monotonic_time at) {
          shard* to = FindOwnedShard(number, epoch);
          if (to == nullptr) return;
          to->OnStart(action.endpoint, action.token, action.tasks, reply, at);
        });
      });
}

void node::Execute(uint32_t /*number*/, shard& from, const stop_action& action,
                   monotonic_time /*now*/) {
  // The next sync reports the end of the task; a lost stop is sent again by the next decision of
  // the core.
  endpoints_.Stop(from.Address(action.endpoint), action.token, action.ids, action.checkpoint,
                  [](const endpoint_reply&) {});
}

void node::Execute(uint32_t /*number*/, shard& /*from*/, answer_action action, monotonic_time now) {
  Send(action.entry, outcome_message{std::move(action.result)}, now);
}

void node::Execute(uint32_t /*number*/, shard& /*from*/, status_action action, monotonic_time now) {
  action.answer.owner = config_.name;
  Send(action.entry, std::move(action.answer), now);
}

void node::Execute(uint32_t number, shard& from, const record_action& action, monotonic_time now) {
  jobs_.Record(number, action, from, now);
}

void node::Execute(uint32_t number, shard& from, const part_action& action, monotonic_time now) {
  PlacePart(number, from, action.call, now);
}

void node::Execute(uint32_t /*number*/, shard& /*from*/, part_answer_action action,
                   monotonic_time now) {
  Send(action.entry, std::move(action.answer), now);
}

void node::Execute(uint32_t number, shard& from, const withdraw_action& action,
                   monotonic_time now) {
  jobs_.Withdraw(number, action.job, from, now);
}

void node::Execute(uint32_t number, shard& from, const complete_action& action,
                   monotonic_time now) {
  jobs_.Complete(number, action, from, now);
}

void node::Execute(uint32_t number, shard& /*from*/, const superseded_action& action,
                   monotonic_time now) {
  metrics_.fenced_off.Increment();
  ownership_actions actions;
  ownership_.OnFenced(number, action.epoch, now, actions);
  ApplyOwnershipActions(actions, now);
}

void node::Execute(uint32_t /*number*/, shard& from, event_action action, monotonic_time now) {
  log_.Emit(action.code, now, action.id, from.Epoch(), std::move(action.subject),
            std::move(action.detail));
}

}  // namespace catkinford
