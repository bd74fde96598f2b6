// Decisions and writes of ownership: claiming free shards, balancing and handing over.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/ownership.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kQueryInterval{250};  // between queries to an owner whose lease has expired
constexpr milliseconds kAnswerTimeout{400};  // an owner that has not answered by then is lost
constexpr milliseconds kConfirmationValid{1000};  // how long an owner's confirmation counts
constexpr milliseconds kClaimFallback{800};  // when the member chosen to claim a shard does not
constexpr milliseconds kReadBackDelay{50};   // from a lost or rejected write to the next read
constexpr milliseconds kBalanceDelay{5000};  // without a change of members
constexpr uint32_t kMinImbalance = 2;        // difference in shards that justifies a hand-over

}  // namespace

void ownership::Decide(monotonic_time now, ownership_actions& out) {
  if (registration_.Registered() && !members_.contains(options_.name) &&
      poll_.sent > registration_.LastAnswer()) {
    registration_.OnKeyMissing();
  }
  for (uint32_t shard = 0; shard < shards_.size(); ++shard) {
    shard_state& state = shards_[shard];
    const bool lost = state.held_epoch == 0 && OwnerIsLost(shard, now, out);
    if (lost && !state.is_free) state.free_since = now;
    state.is_free = lost;
  }
  if (releasing_) {
    Balance(now, out);
    return;
  }
  if (!registration_.Registered()) return;
  ClaimFree(now, out);
  ReconfirmHeld(out);
  Balance(now, out);
}

// Whether the shard's recorded owner certainly or very likely no longer acts for it.
bool ownership::OwnerIsLost(uint32_t shard, monotonic_time now, ownership_actions& out) {
  shard_state& state = shards_[shard];
  // We held it, and an endpoint has seen a higher epoch.
  const bool fenced_off = IsSelf(state.record);
  if (state.revision == 0 || fenced_off) return true;
  const auto member = members_.find(state.record.owner);
  if (member != members_.end()) {
    state.first_query = {};
    return member->second.incarnation != state.record.incarnation;
  }
  if (state.record.owner == options_.name) return true;  // an earlier process of our name
  return OwnerIsSilent(shard, now, out);
}

// The owner's lease has expired. The store may be the cause: after an outage all leases are lost
// while all owners are alive, and taking over would list every endpoint for nothing. So the owner
// is queried, unless its heartbeats have stopped as well.
bool ownership::OwnerIsSilent(uint32_t shard, monotonic_time now, ownership_actions& out) {
  shard_state& state = shards_[shard];
  const auto peer = peers_.find(state.record.owner);
  if (peer != peers_.end() && peer->second.silent) return true;
  if (state.yielded_epoch == state.record.epoch) return true;
  if (state.first_query == monotonic_time{}) state.first_query = now;
  if (now >= state.next_query) {
    state.next_query = now + kQueryInterval;
    out.events.push_back(
        {ownership_event_kind::kQueryOwner, shard, state.record.epoch, state.record.owner});
  }
  const bool confirmed =
      state.confirmed >= state.first_query && now - state.confirmed < kConfirmationValid;
  const bool waited = now - std::max(state.first_query, state.confirmed) >= kAnswerTimeout;
  if (!waited) next_poll_ = std::min(next_poll_, now + kQueryInterval);
  return waited && !confirmed;
}

// Members that can take a shard, with the number of shards they own.
std::vector<member_load> ownership::Loads(bool with_self) const {
  std::vector<member_load> loads;
  for (const auto& [name, member] : members_) {
    const auto peer = peers_.find(name);
    const bool silent = peer != peers_.end() && peer->second.silent;
    if (name == options_.name || member.leaving || silent) continue;
    loads.push_back({name, 0});
  }
  if (with_self) loads.push_back({options_.name, 0});
  for (const shard_state& state : shards_) {
    if (state.is_free || state.revision == 0) continue;
    for (member_load& load : loads) {
      if (load.name == state.record.owner) ++load.shards;
    }
  }
  return loads;
}

void ownership::ClaimFree(monotonic_time now, ownership_actions& out) {
  std::vector<member_load> loads = Loads(true);
  for (uint32_t shard = 0; shard < shards_.size(); ++shard) {
    shard_state& state = shards_[shard];
    if (!state.is_free) continue;
    member_load* chosen = ChooseOwner(loads, ShardKey(options_.failure_domain, shard));
    ++chosen->shards;
    const bool ours = chosen->name == options_.name || now - state.free_since >= kClaimFallback;
    if (ours && state.swap_tag == 0) Swap(shard, ClaimOf(state), out);
  }
}

// Without fencing, a shard that was confirmed under an earlier lease may just be taken over by a
// peer that saw that lease expire. Reading the record would not show this; writing it does.
void ownership::ReconfirmHeld(ownership_actions& out) {
  if (options_.endpoints_fence) return;
  for (uint32_t shard = 0; shard < shards_.size(); ++shard) {
    const shard_state& state = shards_[shard];
    const bool stale = state.held_lease != registration_.Lease() || state.unresolved;
    if (state.held_epoch != 0 && stale && state.swap_tag == 0) Swap(shard, ClaimOf(state), out);
  }
}

// Moves one shard at a time to a member that has clearly fewer, once the membership is stable, or
// all of them when leaving.
void ownership::Balance(monotonic_time now, ownership_actions& out) {
  const bool settled = now - members_changed_ >= kBalanceDelay;
  if (!releasing_ && !settled) return;
  const auto is_pending = [](const shard_state& state) { return state.swap_tag != 0; };
  if (!releasing_ && std::any_of(shards_.begin(), shards_.end(), is_pending)) return;
  uint32_t held = 0;
  for (const shard_state& state : shards_) held += state.held_epoch != 0 ? 1 : 0;
  if (releasing_ && held == 0) {
    if (!registration_.Left()) registration_.Leave();
    return;
  }
  std::vector<member_load> loads = Loads(false);
  for (uint32_t shard = 0; shard < shards_.size(); ++shard) {
    shard_state& state = shards_[shard];
    if (state.held_epoch == 0 || state.swap_tag != 0) continue;
    member_load* successor = ChooseOwner(loads, ShardKey(options_.failure_domain, shard));
    if (successor == nullptr) {
      if (no_successor_since_ == monotonic_time{}) no_successor_since_ = now;
      return;
    }
    no_successor_since_ = {};
    if (!releasing_ && held < successor->shards + kMinImbalance) return;
    ++successor->shards;
    const member_record& member = members_.at(successor->name);
    Swap(shard, {member.name, member.incarnation, ClaimOf(state).epoch}, out);
    if (!releasing_) return;
  }
}

// Writing.

void ownership::Swap(uint32_t shard, const shard_record& record, ownership_actions& out) {
  shard_state& state = shards_[shard];
  store_request call;
  call.kind = store_call_kind::kSwap;
  call.tag = tags_.Next();
  call.key = ShardKey(options_.failure_domain, shard);
  call.expect = state.revision;
  call.value = ToText(record);
  call.write_id = absl::StrCat(options_.name, ":", options_.incarnation, ":", call.tag);
  state.swap_tag = call.tag;
  state.swap_record = record;
  state.swap_lease = registration_.Lease();
  out.calls.push_back(std::move(call));
}

void ownership::OnSwapReply(uint32_t shard, const store_reply& reply, monotonic_time now,
                            ownership_actions& out) {
  shard_state& state = shards_[shard];
  state.swap_tag = 0;
  if (reply.status == store_status::kDone) {
    const shard_record written = state.swap_record;
    ApplyRecord(shard, written, reply.revision, state.swap_lease, now, out);
    if (!IsSelf(written)) {
      out.events.push_back(
          {ownership_event_kind::kNotifySuccessor, shard, written.epoch, written.owner});
    }
    return;
  }
  // The write may have taken effect or may still do so. Either the record will name us, or a write
  // with the same expected revision will get a definite answer; nothing is concluded before that.
  if (reply.status == store_status::kUnknown) state.unresolved = true;
  if (reply.status != store_status::kUnavailable) next_poll_ = now + kReadBackDelay;
  if (reply.status != store_status::kConflict || reply.items.empty()) return;
  const std::optional<shard_record> present = ParseShardRecord(reply.items.front().value);
  if (present) ApplyRecord(shard, *present, reply.revision, {}, now, out);
}

}  // namespace catkinford
