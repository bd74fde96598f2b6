#include "process/ownership.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFastPoll{250};     // between reads of the store while an owner is suspect
constexpr milliseconds kPoll{1000};        // between reads of the store otherwise
constexpr milliseconds kYieldAfter{3000};  // when cut off from a store that others can reach
constexpr milliseconds kQueryGap{1000};    // queries further apart belong to separate incidents

}  // namespace

ownership::ownership(ownership_options options)
    : options_(std::move(options)),
      registration_({options_.name,
                     options_.incarnation,
                     options_.address,
                     options_.caller_address,
                     {},
                     false},
                    MemberKey(options_.failure_domain, options_.name), options_.member_lease),
      shards_(options_.shards) {}

void ownership::Tick(monotonic_time now, ownership_actions& out) {
  // A gap between ticks means that this process was paused: others may have taken its shards.
  const bool was_paused = now - last_tick_ > options_.member_lease / 2;
  last_tick_ = now;
  if (registration_.Left()) return;
  if (was_paused) next_poll_ = now;
  registration_.Tick(now, tags_, out.calls);
  const milliseconds period = NeedsFastPoll() ? kFastPoll : kPoll;
  const bool poll_open = poll_.members_tag != 0 || poll_.shards_tag != 0;
  if (!poll_open && (now >= next_poll_ || now - poll_.sent >= period)) StartPoll(now, out);
}

void ownership::OnStoreReply(uint64_t tag, const store_reply& reply, monotonic_time now,
                             ownership_actions& out) {
  const bool was_registered = registration_.Registered();
  if (registration_.OnReply(tag, reply, now)) {
    if (!was_registered && registration_.Registered()) next_poll_ = now;
    return;
  }
  if (OnPollReply(tag, reply, now, out)) return;
  for (uint32_t shard = 0; shard < shards_.size(); ++shard) {
    if (tag != 0 && shards_[shard].swap_tag == tag) OnSwapReply(shard, reply, now, out);
  }
}

void ownership::OnPeerAlive(const std::string& peer, monotonic_time /*now*/) {
  peers_[peer].silent = false;
}

void ownership::OnPeerSilent(const std::string& peer, monotonic_time now) {
  peer_state& state = peers_[peer];
  if (!state.silent) next_poll_ = now;
  state.silent = true;
}

// A peer that can read the store queries us because our lease has expired there. After an outage
// for everybody this is harmless, since we register again at once. If only we are cut off from the
// store we can't accept durable jobs, so after kYieldAfter the peer gets the shard.
owner_answer ownership::OnOwnerQuery(uint32_t shard, monotonic_time now) {
  if (shard >= shards_.size() || shards_[shard].held_epoch == 0) return {};
  shard_state& state = shards_[shard];
  registration_.RetryAtNextTick();
  const bool queried_recently = now - state.last_query_received < kQueryGap;
  const bool answered_since = registration_.LastAnswer() > state.first_query_received;
  if (!queried_recently || answered_since) state.first_query_received = now;
  state.last_query_received = now;
  return {now - state.first_query_received < kYieldAfter, state.held_epoch};
}

void ownership::OnOwnerAnswer(const std::string& peer, uint32_t shard, bool holds,
                              monotonic_time now) {
  if (shard >= shards_.size() || shards_[shard].record.owner != peer) return;
  if (holds) {
    shards_[shard].confirmed = now;
  } else {
    shards_[shard].yielded_epoch = shards_[shard].record.epoch;
    next_poll_ = now;
  }
}

void ownership::OnHandedOver(monotonic_time now) { next_poll_ = now; }

void ownership::OnFenced(uint32_t shard, uint64_t epoch, monotonic_time now,
                         ownership_actions& out) {
  if (shard >= shards_.size()) return;
  const bool superseded = shards_[shard].held_epoch != 0 && epoch > shards_[shard].held_epoch;
  shards_[shard].fenced_epoch = std::max(shards_[shard].fenced_epoch, epoch);
  if (!superseded) return;
  Lose(shard, out);
  next_poll_ = now;
}

void ownership::Release(monotonic_time now, ownership_actions& out) {
  if (!releasing_) release_begun_ = now;
  releasing_ = true;
  registration_.MarkLeaving();
  next_poll_ = now;
  Tick(now, out);
}

bool ownership::CannotHandOver(monotonic_time now) const {
  if (!releasing_ || Released()) return false;
  const bool no_successor = no_successor_since_ != monotonic_time{} &&
                            now - no_successor_since_ >= options_.hand_over_timeout;
  return no_successor ||
         now - std::max(release_begun_, LastStoreAnswer()) >= options_.hand_over_timeout;
}

bool ownership::MayStart(uint32_t shard, monotonic_time now) const {
  if (!Owns(shard)) return false;
  if (options_.endpoints_fence) return true;
  // Without fencing only time prevents two owners from starting the same work. The lease is counted
  // from when its renewal was sent, which is earlier than the store's own count. A shard that was
  // confirmed under an earlier lease may have been taken over since.
  const shard_state& state = shards_[shard];
  const bool handing_over = state.swap_tag != 0 || state.unresolved;
  const bool lease_good = registration_.Registered() && state.held_lease == registration_.Lease() &&
                          now + options_.clock_margin < registration_.ValidUntil();
  return lease_good && !handing_over && now >= state.start_after;
}

bool ownership::Owns(uint32_t shard) const { return Epoch(shard) != 0; }

uint64_t ownership::Epoch(uint32_t shard) const {
  return shard < shards_.size() ? shards_[shard].held_epoch : 0;
}

shard_owner ownership::OwnerOf(uint32_t shard) const {
  if (shard >= shards_.size()) return {};
  return {shards_[shard].record.owner, shards_[shard].record.epoch};
}

monotonic_time ownership::LastStoreAnswer() const {
  return std::max(registration_.LastAnswer(), last_poll_done_);
}

bool ownership::IsSelf(const shard_record& record) const {
  return record.owner == options_.name && record.incarnation == options_.incarnation;
}

shard_record ownership::ClaimOf(const shard_state& state) const {
  const uint64_t epoch = std::max(state.record.epoch, state.fenced_epoch) + 1;
  return {options_.name, options_.incarnation, epoch};
}

bool ownership::NeedsFastPoll() const {
  if (!registration_.Registered() || releasing_) return true;
  return std::any_of(shards_.begin(), shards_.end(), [this](const shard_state& state) {
    if (state.unresolved || state.is_free || state.revision == 0) return true;
    const auto peer = peers_.find(state.record.owner);
    return peer != peers_.end() && peer->second.silent && !IsSelf(state.record);
  });
}

// Reading.

void ownership::StartPoll(monotonic_time now, ownership_actions& out) {
  next_poll_ = monotonic_time::max();
  poll_ = {};
  poll_.sent = now;
  poll_.shards_tag = tags_.Next();
  store_request call;
  call.tag = poll_.shards_tag;
  call.key = ShardPrefix(options_.failure_domain);
  out.calls.push_back(std::move(call));
}

// The members are read after the shards have been read. In the other order, or concurrently, an
// entry could register and claim between the two reads: it would look like an owner without a lease
// and would lose its new shard at once.
bool ownership::OnPollReply(uint64_t tag, const store_reply& reply, monotonic_time now,
                            ownership_actions& out) {
  if (tag == 0 || (tag != poll_.members_tag && tag != poll_.shards_tag)) return false;
  const bool of_shards = tag == poll_.shards_tag;
  poll_.shards_tag = 0;
  poll_.members_tag = 0;
  if (reply.status != store_status::kDone) return true;
  if (of_shards) {
    poll_.shards = reply.items;
    poll_.members_tag = tags_.Next();
    store_request call;
    call.tag = poll_.members_tag;
    call.key = MemberPrefix(options_.failure_domain);
    out.calls.push_back(std::move(call));
    return true;
  }
  last_poll_done_ = now;
  ReadMembers(reply.items, now);
  ReadShards(now, out);
  Decide(now, out);
  return true;
}

void ownership::ReadMembers(const std::vector<store_item>& items, monotonic_time now) {
  const auto before = std::exchange(members_, {});
  for (const store_item& item : items) {
    std::optional<member_record> member = ParseMemberRecord(item.value);
    if (member) members_[member->name] = std::move(*member);
  }
  if (before != members_) members_changed_ = now;
}

void ownership::ReadShards(monotonic_time now, ownership_actions& out) {
  // Without a record the store was wiped or this is the first owner: the epoch continues from the
  // highest known one.
  std::vector<bool> present(shards_.size());
  for (const store_item& item : poll_.shards) {
    const std::optional<uint32_t> shard = ShardOfKey(item.key);
    const std::optional<shard_record> record = ParseShardRecord(item.value);
    if (!shard || !record || *shard >= shards_.size()) continue;
    present[*shard] = true;
    ApplyRecord(*shard, *record, item.revision, {}, now, out);
  }
  for (size_t shard = 0; shard < shards_.size(); ++shard) {
    if (!present[shard]) shards_[shard].revision = 0;
  }
}

// `lease`: our lease when the call was sent, if it was a write.
void ownership::ApplyRecord(uint32_t shard, const shard_record& record, uint64_t revision,
                            const std::string& lease, monotonic_time now, ownership_actions& out) {
  shard_state& state = shards_[shard];
  // Each change raises the epoch, so a lower one is older than what is known.
  if (record.epoch < state.record.epoch) return;
  const bool next = record.epoch == state.record.epoch + 1;
  const bool from_self = record.epoch == 1 || (next && IsSelf(state.record));
  if (revision != state.revision) state.unresolved = false;
  state.record = record;
  state.revision = revision;
  if (!IsSelf(record)) {
    if (state.held_epoch != 0) Lose(shard, out);
    return;
  }
  // Also when the reply to our own write was lost, and when another entry handed the shard to us.
  const bool newer = record.epoch > state.held_epoch && record.epoch > state.fenced_epoch;
  if (newer) Gain(shard, from_self, lease, now, out);
}

void ownership::Gain(uint32_t shard, bool from_self, const std::string& lease, monotonic_time now,
                     ownership_actions& out) {
  shard_state& state = shards_[shard];
  state.held_epoch = state.record.epoch;
  state.held_lease = lease;
  // Rewriting our own record must not cut short the wait for the previous owner's starts.
  if (!from_self) state.start_after = now + options_.in_flight_margin;
  state.first_query_received = {};
  out.events.push_back({ownership_event_kind::kGained, shard, state.held_epoch, options_.name});
}

void ownership::Lose(uint32_t shard, ownership_actions& out) {
  shard_state& state = shards_[shard];
  const uint64_t epoch = state.held_epoch;
  state.held_epoch = 0;
  const std::string successor = IsSelf(state.record) ? std::string{} : state.record.owner;
  out.events.push_back({ownership_event_kind::kLost, shard, epoch, successor});
}

}  // namespace catkinford
