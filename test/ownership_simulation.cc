#include "ownership_simulation.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
constexpr milliseconds kHeartbeatSilence{750};

}  // namespace

store_reply fake_store::Apply(const store_request& call, monotonic_time now) {
  Lapse(now);
  store_reply reply;
  reply.status = store_status::kDone;
  if (call.kind == store_call_kind::kGrantLease) {
    reply.lease = absl::StrCat("L", next_lease_++);
    leases_[reply.lease] = {now + call.ttl, call.ttl};
  } else if (call.kind == store_call_kind::kKeepLease) {
    const auto lease = leases_.find(call.lease);
    if (lease == leases_.end()) {
      reply.status = store_status::kAbsent;
    } else {
      lease->second.first = now + lease->second.second;
    }
  } else if (call.kind == store_call_kind::kSwap) {
    return Swap(call);
  } else {
    for (const auto& [key, item] : items_) {
      if (key.starts_with(call.key)) reply.items.push_back(item);
    }
    reply.revision = revision_;
  }
  return reply;
}

store_reply fake_store::Swap(const store_request& call) {
  store_reply reply;
  if (!call.lease.empty() && !leases_.contains(call.lease)) {
    reply.status = store_status::kAbsent;
    return reply;
  }
  const auto found = items_.find(call.key);
  const uint64_t present = found == items_.end() ? 0 : found->second.revision;
  if (present != call.expect) {
    reply.status = store_status::kConflict;
    reply.revision = present;
    if (found != items_.end()) reply.items.push_back(found->second);
    return reply;
  }
  reply.status = store_status::kDone;
  reply.revision = ++revision_;
  lease_of_key_.erase(call.key);
  if (!call.value) {
    items_.erase(call.key);
    return reply;
  }
  items_[call.key] = {call.key, *call.value, revision_};
  if (!call.lease.empty()) lease_of_key_[call.key] = call.lease;
  return reply;
}

void fake_store::Lapse(monotonic_time now) {
  std::erase_if(leases_, [now](const auto& lease) { return lease.second.first <= now; });
  std::erase_if(lease_of_key_, [this](const auto& attached) {
    if (leases_.contains(attached.second)) return false;
    items_.erase(attached.first);
    return true;
  });
}

const std::map<std::string, store_item>& fake_store::Items(monotonic_time now) {
  Lapse(now);
  return items_;
}

void fake_store::Put(const std::string& key, const std::string& value) {
  items_[key] = {key, value, ++revision_};
}

void ownership_simulation::Add(const std::string& name) {
  auto added = std::make_unique<entry>();
  added->incarnation = next_incarnation_++;
  added->label = absl::StrCat(name, "#", added->incarnation);
  ownership_options options;
  options.name = name;
  options.incarnation = added->incarnation;
  options.failure_domain = std::string{"d"};
  options.address = absl::StrCat(name, ":1");
  options.shards = options_.shards;
  options.endpoints_fence = options_.endpoints_fence;
  added->machine = std::make_unique<ownership>(options);
  entries_[name] = std::move(added);
}

void ownership_simulation::Resume(const std::string& name) {
  entry& target = At(name);
  target.paused = false;
  for (const auto& action : std::exchange(target.waiting, {})) action();
}

void ownership_simulation::Release(const std::string& name) {
  ownership_actions actions;
  At(name).machine->Release(now_, actions);
  Act(name, At(name), actions);
}

void ownership_simulation::Run(milliseconds duration) {
  const monotonic_time end = now_ + duration;
  while (now_ < end) Step();
}

bool ownership_simulation::RunUntil(const std::function<bool()>& condition, milliseconds limit) {
  const monotonic_time end = now_ + limit;
  while (now_ < end && !condition()) Step();
  return condition();
}

void ownership_simulation::Step() {
  const monotonic_time next = now_ + kTick;
  while (!messages_.empty() && messages_.begin()->first <= next) {
    now_ = std::max(now_, messages_.begin()->first);
    const message action = std::move(messages_.extract(messages_.begin()).mapped());
    action();
  }
  now_ = next;
  for (auto& [name, one] : entries_) {
    if (one->paused) continue;
    Heartbeats(name, *one);
    ownership_actions actions;
    one->machine->Tick(now_, actions);
    Act(name, *one, actions);
    SendStarts(name, *one);
  }
}

void ownership_simulation::After(milliseconds delay, message action) {
  messages_.emplace(now_ + delay, std::move(action));
}

milliseconds ownership_simulation::StartDelay() {
  constexpr uint64_t kStride = 7919;  // spreads the starts over the jitter
  const auto jitter = static_cast<uint64_t>(options_.jitter.count());
  return options_.delay + milliseconds{++sent_ * kStride % (jitter + 1)};
}

void ownership_simulation::DeliverTo(const std::string& name, uint64_t incarnation,
                                     const std::function<void(entry&)>& action) {
  const auto found = entries_.find(name);
  if (found == entries_.end() || found->second->incarnation != incarnation) return;
  entry* target = found->second.get();
  if (target->paused) {
    target->waiting.emplace_back([target, action] { action(*target); });
  } else {
    action(*target);
  }
}

void ownership_simulation::Heartbeats(const std::string& name, entry& receiver) {
  for (const auto& [peer, sender] : entries_) {
    if (peer == name || sender->paused || peers_cut_) continue;
    receiver.heard[peer] = now_;
    receiver.silent.erase(peer);
    receiver.machine->OnPeerAlive(peer, now_);
  }
  for (const auto& [peer, at] : receiver.heard) {
    if (now_ - at < kHeartbeatSilence || receiver.silent.contains(peer)) continue;
    receiver.silent.insert(peer);
    receiver.machine->OnPeerSilent(peer, now_);
  }
}

void ownership_simulation::Act(const std::string& name, entry& from,
                               const ownership_actions& actions) {
  for (const store_request& call : actions.calls) CallStore(name, from, call);
  for (const ownership_event& event : actions.events) OnEvent(name, from, event);
}

void ownership_simulation::CallStore(const std::string& name, const entry& from,
                                     const store_request& call) {
  ++store_calls_;
  const bool reachable = !store_down_ && !from.cut_from_store;
  Later([this, name, incarnation = from.incarnation, call, reachable] {
    store_reply reply;
    if (reachable && !store_down_) reply = store_.Apply(call, now_);
    const bool writes = call.kind != store_call_kind::kRange;
    if (writes && replies_to_lose_ > 0) {
      --replies_to_lose_;
      reply = {};
      reply.status = store_status::kUnknown;
    }
    Later([this, name, incarnation, tag = call.tag, reply] {
      DeliverTo(name, incarnation, [this, name, tag, reply](entry& target) {
        ownership_actions actions;
        target.machine->OnStoreReply(tag, reply, now_, actions);
        Act(name, target, actions);
      });
    });
  });
}

void ownership_simulation::OnEvent(const std::string& name, const entry& from,
                                   const ownership_event& event) {
  if (event.kind == ownership_event_kind::kQueryOwner) QueryOwner(name, from, event);
  if (event.kind == ownership_event_kind::kGained) Fence(name, from, event);
  if (event.kind != ownership_event_kind::kNotifySuccessor || peers_cut_) return;
  Later([this, peer = event.peer] {
    const auto successor = entries_.find(peer);
    if (successor == entries_.end()) return;
    DeliverTo(peer, successor->second->incarnation,
              [this](entry& target) { target.machine->OnHandedOver(now_); });
  });
}

void ownership_simulation::QueryOwner(const std::string& name, const entry& from,
                                      const ownership_event& event) {
  if (peers_cut_) return;
  Later([this, name, incarnation = from.incarnation, event] {
    const auto queried = entries_.find(event.peer);
    if (queried == entries_.end()) return;
    DeliverTo(event.peer, queried->second->incarnation, [=, this](entry& target) {
      const owner_answer answer = target.machine->OnOwnerQuery(event.shard, now_);
      Later([=, this] {
        DeliverTo(name, incarnation, [=, this](entry& requester) {
          requester.machine->OnOwnerAnswer(event.peer, event.shard, answer.holds, now_);
        });
      });
    });
  });
}

void ownership_simulation::Fence(const std::string& name, const entry& from,
                                 const ownership_event& event) {
  ++claims_;
  Later([this, name, incarnation = from.incarnation, event] {
    uint64_t& highest = endpoint_epoch_[event.shard];
    const bool refused = options_.endpoints_fence && event.epoch < highest;
    highest = std::max(highest, event.epoch);
    Later([=, this, reported = highest] {
      DeliverTo(name, incarnation, [=, this](entry& target) {
        ownership_actions actions;
        if (refused) target.machine->OnFenced(event.shard, reported, now_, actions);
        if (!refused) target.listed[event.shard] = event.epoch;
        Act(name, target, actions);
      });
    });
  });
}

void ownership_simulation::SendStarts(const std::string& name, const entry& from) {
  for (uint32_t shard = 0; shard < options_.shards; ++shard) {
    const uint64_t epoch = from.machine->Epoch(shard);
    const auto listed = from.listed.find(shard);
    const bool ready = listed != from.listed.end() && listed->second == epoch;
    if (!ready || !from.machine->MayStart(shard, now_)) continue;
    After(StartDelay(), [=, this, incarnation = from.incarnation, label = from.label] {
      const uint64_t highest = endpoint_epoch_[shard];
      if (!options_.endpoints_fence || epoch >= highest) {
        starts_.push_back({now_, label, shard, epoch});
        return;
      }
      Later([=, this] {
        DeliverTo(name, incarnation, [=, this](entry& target) {
          ownership_actions actions;
          target.machine->OnFenced(shard, highest, now_, actions);
          Act(name, target, actions);
        });
      });
    });
  }
}

std::string ownership_simulation::OwnerOf(uint32_t shard) const {
  std::string owner;
  for (const auto& [name, one] : entries_) {
    if (!one->machine->MayStart(shard, now_)) continue;
    if (!owner.empty()) return {};
    owner = name;
  }
  return owner;
}

std::vector<accepted_start> ownership_simulation::StartsSince(uint32_t shard,
                                                              monotonic_time since) const {
  std::vector<accepted_start> result;
  for (const accepted_start& start : starts_) {
    if (start.shard == shard && start.at >= since) result.push_back(start);
  }
  return result;
}

std::string ownership_simulation::Violation() const {
  std::map<std::pair<uint32_t, uint64_t>, std::string> owner_of_epoch;
  std::map<uint32_t, uint64_t> highest;
  for (const accepted_start& start : starts_) {
    const auto [known, is_new] =
        owner_of_epoch.emplace(std::pair{start.shard, start.epoch}, start.entry);
    if (!is_new && known->second != start.entry) {
      return absl::StrCat("two owners of shard ", start.shard, " at epoch ", start.epoch, ": ",
                          known->second, " and ", start.entry);
    }
    if (start.epoch < highest[start.shard]) {
      return absl::StrCat("shard ", start.shard, ": start at epoch ", start.epoch, " by ",
                          start.entry, " after one at epoch ", highest[start.shard]);
    }
    highest[start.shard] = start.epoch;
  }
  return {};
}

}  // namespace catkinford
