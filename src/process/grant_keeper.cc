#include "process/grant_keeper.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr char kLedgerKey[] = "ledger";
constexpr milliseconds kPlanInterval{50};
constexpr milliseconds kUnmetReadInterval{500};  // other shards may have returned something
constexpr milliseconds kRetry{200};

// Whether some demand is not covered by what the shard holds.
bool IsUnmet(const std::vector<grant_demand>& demands, const std::vector<grant_entry>& held) {
  for (const grant_demand& demand : demands) {
    if (demand.wanted.running == 0) continue;
    bool met = false;
    for (const grant_entry& entry : held) {
      if (entry.team == demand.team) met = entry.grant.running >= demand.wanted.running;
    }
    if (!met) return true;
  }
  return false;
}

}  // namespace

grant_keeper::grant_keeper(store_adapter& store, poster post)
    : store_(store), post_(std::move(post)) {}

void grant_keeper::OnGained(const std::string& shard_name) {
  confirmed_.erase(shard_name);
  confirming_.erase(shard_name);
}

void grant_keeper::OnLost(const std::string& shard_name) { OnGained(shard_name); }

void grant_keeper::Read(monotonic_time now) {
  busy_ = true;
  next_read_ = now + kUnmetReadInterval;
  store_.Get(kLedgerKey, [this](store_reply reply) {
    post_([this, reply = std::move(reply)](monotonic_time at) {
      busy_ = false;
      const bool absent = reply.status == store_status::kAbsent;
      if (!absent && (reply.status != store_status::kDone || reply.items.empty())) {
        next_ = at + kRetry;
        return;
      }
      ledger_ =
          absent ? ledger_value{} : ParseLedger(reply.items.front().value).value_or(ledger_value{});
      revision_ = absent ? 0 : reply.items.front().revision;
      known_ = true;
      changed_ = true;
    });
  });
}

void grant_keeper::Tick(const std::vector<shard*>& owned,
                        const std::shared_ptr<const configuration>& config, monotonic_time now) {
  if (changed_ && known_) Apply(owned, now);
  if (busy_ || now < next_ || owned.empty() || config == nullptr) return;
  next_ = now + kPlanInterval;
  if (has_pending_) {
    // The reply was lost. The same swap again is decided by the store: it takes effect, or the
    // ledger has moved on and neither try ever will.
    Swap(owned, now);
    return;
  }
  if (!known_) {
    Read(now);
    return;
  }
  pending_ = ledger_;
  bool moved = false;
  bool unmet = false;
  for (const shard* from : owned) {
    const std::vector<grant_demand> demands = from->Demands();
    ledger_change change = PlanGrants(pending_, *config, from->Name(), demands);
    moved |= change.changed || !confirmed_.contains(from->Name());
    pending_ = std::move(change.next);
    unmet |= IsUnmet(demands, GrantsOf(pending_, from->Name()));
  }
  if (moved) {
    has_pending_ = true;
    reply_lost_ = false;
    confirming_.clear();
    for (const shard* from : owned) confirming_.insert(from->Name());
    Swap(owned, now);
  } else if (unmet && now >= next_read_) {
    Read(now);
  }
}

// What the shards may use: the ledger, or the lower of both values while a swap is open.
void grant_keeper::Apply(const std::vector<shard*>& owned, monotonic_time now) {
  changed_ = false;
  for (shard* to : owned) {
    if (!confirmed_.contains(to->Name())) continue;
    std::vector<grant_entry> usable = GrantsOf(ledger_, to->Name());
    const std::vector<grant_entry> other = GrantsOf(pending_, to->Name());
    for (grant_entry& entry : usable) {
      if (!has_pending_) break;
      team_grant lower;
      for (const grant_entry& candidate : other) {
        if (candidate.team == entry.team) lower = LowerOf(entry.grant, candidate.grant);
      }
      entry.grant = lower;
    }
    to->SetGrants(usable, now);
  }
}

void grant_keeper::Swap(const std::vector<shard*>& owned, monotonic_time now) {
  busy_ = true;
  Apply(owned, now);
  const std::string write_id = absl::StrCat("grants-", ++writes_);
  store_.CompareAndSwap(
      kLedgerKey, revision_, ToText(pending_), write_id, "", [this](store_reply reply) {
        post_([this, reply = std::move(reply)](monotonic_time at) { OnReply(reply, at); });
      });
}

void grant_keeper::OnReply(const store_reply& reply, monotonic_time now) {
  busy_ = false;
  changed_ = true;
  switch (reply.status) {
    case store_status::kDone:
      ledger_ = pending_;
      revision_ = reply.revision;
      has_pending_ = false;
      confirmed_.insert(confirming_.begin(), confirming_.end());
      ++moves_;
      break;
    case store_status::kConflict:
    case store_status::kAbsent:
      has_pending_ = false;
      known_ = false;  // read again
      next_ = now;
      break;
    case store_status::kUnavailable:
      has_pending_ = reply_lost_;
      next_ = now + kRetry;
      break;
    case store_status::kUnknown:
      reply_lost_ = true;
      next_ = now + kRetry;
      break;
  }
}

}  // namespace catkinford
