#include "version/grant_holder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

// FNV-1a: identical in every process and release, as the keys in the store depend on it.
constexpr uint32_t kHashBasis = 2166136261U;
constexpr uint32_t kHashPrime = 16777619U;

uint32_t StableHash(std::string_view text) {
  uint32_t hash = kHashBasis;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kHashPrime;
  return hash;
}

}  // namespace

std::string GrantKeyOf(std::string_view team) {
  return absl::StrCat("grants/", absl::Dec(StableHash(team) % kGrantBuckets, absl::kZeroPad2));
}

grant_holder::grant_holder(std::string shard, uint64_t epoch, grant_policy policy)
    : shard_(std::move(shard)), epoch_(epoch), policy_(policy) {}

// Writes our epoch on all parts of this shard. An owner that was paused past its lease does not
// know that it was superseded and would return parts that its successor is using, which lets a team
// exceed its limit. With the stamp its next write conflicts and reveals our epoch.
bool grant_holder::Stamp(ledger_value& ledger) const {
  bool changed = false;
  for (grant_entry& entry : ledger.entries) {
    if (entry.shard != shard_ || entry.epoch == epoch_) continue;
    entry.epoch = epoch_;
    changed = true;
  }
  return changed;
}

void grant_holder::Send(bucket& from, std::vector<grant_write>& out) {
  from.in_flight = true;
  from.write.write_id = absl::StrCat(shard_, "/", epoch_, "/", ++writes_);
  out.push_back(from.write);
}

bool grant_holder::Stamped() const {
  return std::all_of(buckets_.begin(), buckets_.end(), [this](const auto& at) {
    const std::vector<grant_entry>& entries = at.second.ledger.entries;
    return std::none_of(entries.begin(), entries.end(), [this](const grant_entry& entry) {
      return entry.shard == shard_ && entry.epoch < epoch_;
    });
  });
}

void grant_holder::PlanStamps(std::vector<grant_write>& out) {
  if (superseded_) return;
  for (auto& [key, current] : buckets_) {
    if (current.in_flight || current.unreadable) continue;
    if (!current.uncertain) {
      ledger_value next = current.ledger;
      if (!Stamp(next)) continue;
      current.sent = std::move(next);
      current.write = {key, current.revision, ToText(current.sent), ""};
    }
    Send(current, out);
  }
}

void grant_holder::Plan(const configuration& config, const std::vector<grant_demand>& demands,
                        bool all_listed, std::vector<grant_write>& out) {
  if (superseded_) return;
  std::map<std::string, std::vector<grant_demand>> by_key;
  for (const grant_demand& demand : demands) {
    const std::string& key = teams_.try_emplace(demand.team, GrantKeyOf(demand.team)).first->second;
    by_key[key].push_back(demand);
  }
  grant_policy policy = policy_;
  policy.may_return = policy.may_return && all_listed;
  for (const auto& [key, some] : by_key) {
    bucket& current = buckets_[key];
    if (current.in_flight || current.unreadable) continue;
    if (current.uncertain) {
      // A write whose reply was lost may still be in flight, and a read would not settle it: the
      // write could arrive after the read. Repeating the same write does: afterwards the revision
      // has moved, and whichever of the two is late conflicts.
      Send(current, out);
      continue;
    }
    ledger_change change = PlanGrants(current.ledger, config, shard_, some, policy);
    const bool stamped = Stamp(change.next);
    if (!change.changed && !stamped) continue;
    current.sent = std::move(change.next);
    current.write = {key, current.revision, ToText(current.sent), ""};
    Send(current, out);
  }
}

void grant_holder::ApplyValue(bucket& into, uint64_t revision, const std::string& value) {
  if (revision <= into.revision) return;
  std::optional<ledger_value> ledger = ParseLedger(value);
  into.unreadable = !ledger.has_value();
  if (into.unreadable) return;
  into.revision = revision;
  into.ledger = std::move(*ledger);
  if (into.write.expect < revision) into.uncertain = false;
  for (const grant_entry& entry : into.ledger.entries) {
    if (entry.shard == shard_ && entry.epoch > epoch_) superseded_ = true;
  }
}

void grant_holder::OnReply(const std::string& key, const store_reply& reply) {
  bucket& current = buckets_[key];
  const bool was_uncertain = current.uncertain;
  current.in_flight = false;
  switch (reply.status) {
    case store_status::kDone:
      ApplyValue(current, reply.revision, current.write.value);
      current.uncertain = false;
      return;
    case store_status::kConflict:
      current.uncertain = false;
      if (!reply.items.empty()) ApplyValue(current, reply.items[0].revision, reply.items[0].value);
      return;
    case store_status::kAbsent:
    case store_status::kUnavailable:
    case store_status::kHistoryCompacted:
      current.uncertain = was_uncertain;
      return;
    case store_status::kUnknown:
      current.uncertain = current.write.expect == current.revision;
      return;
  }
}

void grant_holder::OnRead(const std::string& key, uint64_t revision, const std::string& value) {
  ApplyValue(buckets_[key], revision, value);
}

const grant_entry* grant_holder::OwnEntry(const ledger_value& ledger,
                                          const std::string& team) const {
  for (const grant_entry& entry : ledger.entries) {
    if (entry.team == team && entry.shard == shard_) return &entry;
  }
  return nullptr;
}

std::vector<grant_entry> grant_holder::Usable(const configuration& config) const {
  std::vector<grant_entry> usable;
  for (const auto& [team, key] : teams_) {
    const auto found = buckets_.find(key);
    if (found == buckets_.end()) continue;
    const bucket& current = found->second;
    const grant_entry* held = OwnEntry(current.ledger, team);
    if (held != nullptr && held->epoch != epoch_) continue;  // of a former owner, not yet stamped
    grant_entry entry{team, shard_, {}, epoch_, false};
    if (held != nullptr) entry.starved = held->starved;
    entry.grant = UsableGrant(current.ledger, config, shard_, team);
    if (current.in_flight || current.uncertain) {
      const team_grant sent = UsableGrant(current.sent, config, shard_, team);
      entry.grant = LowerOf(entry.grant, sent);
    }
    usable.push_back(std::move(entry));
  }
  return usable;
}

}  // namespace catkinford
