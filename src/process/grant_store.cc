#include "process/grant_store.h"

#include <string>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr char kGrantPrefix[] = "grants/";
// A plan costs about 1 us for each team and shard of the fleet; planning all teams once a second
// took 1.1 times the CPU budget of an entry. It depends only on the ledger, the demands and the
// configuration, so only what has changed is planned, at most this often.
constexpr milliseconds kPlanInterval{50};
// All teams, changed or not, so that a missed change is repaired in the end.
constexpr milliseconds kFullPlanInterval{60000};
constexpr milliseconds kStoreRetry{300};
constexpr milliseconds kWatchWait{20000};
constexpr milliseconds kWatchInterval{200};  // minimum interval between two watches

// Delay of the next plan after a reply. Without it two shards that want the same part answer each
// other's writes, and a store that rejects for its rate limit is called again as fast as it rejects
// (461,000 writes in 40 s in a simulated limit reduction, seed 2).
milliseconds RetryAfter(store_status status) {
  const bool refused = status == store_status::kUnavailable || status == store_status::kUnknown;
  return refused ? kStoreRetry : kPlanInterval;
}

bool IsSame(const grant_demand& a, const grant_demand& b) {
  return a.wanted.running == b.wanted.running && a.wanted.amount == b.wanted.amount &&
         a.used.running == b.used.running && a.indivisible.running == b.indivisible.running;
}

}  // namespace

grant_store::grant_store(store_adapter& store, poster post)
    : store_(store), post_(std::move(post)) {}

void grant_store::OnGained(const std::string& shard_name, uint64_t epoch) {
  OnLost(shard_name);
  held_.emplace(shard_name, held_shard(grant_holder(shard_name, epoch)));
  watched_ = 0;  // the new holder has received no values yet
}

void grant_store::OnLost(const std::string& shard_name) {
  held_.erase(shard_name);
  ++generations_[shard_name];
}

bool grant_store::Ready(const std::string& shard_name) const {
  const auto found = held_.find(shard_name);
  return found != held_.end() && found->second.read && found->second.holder.Stamped();
}

void grant_store::Prepare(monotonic_time now) {
  for (auto& [name, held] : held_) {
    if (Ready(name) || held.reading || now < held.next_prepare) continue;
    if (!held.read) {
      Read(name, held);
      continue;
    }
    held.next_prepare = now + kPlanInterval;
    std::vector<grant_write> writes;
    held.holder.PlanStamps(writes);
    for (const grant_write& write : writes) Send(name, generations_[name], write);
  }
}

void grant_store::Read(const std::string& shard_name, held_shard& held) {
  held.reading = true;
  const uint64_t generation = generations_[shard_name];
  store_.Range(kGrantPrefix, [this, shard_name, generation](store_reply reply) {
    post_([this, shard_name, generation, reply = std::move(reply)](monotonic_time now) {
      if (generation != generations_[shard_name]) return;
      held_shard& of = held_.at(shard_name);
      of.reading = false;
      of.read = reply.status == store_status::kDone;
      of.next_prepare = of.read ? now : now + kStoreRetry;
      for (const store_item& item : reply.items) {
        of.holder.OnRead(item.key, item.revision, item.value);
      }
    });
  });
}

void grant_store::Tick(const std::vector<shard*>& owned,
                       const std::shared_ptr<const configuration>& config, monotonic_time now) {
  if (config == nullptr) return;
  for (shard* of : owned) {
    const auto found = held_.find(of->Name());
    if (found == held_.end()) continue;
    held_shard& held = found->second;
    if (now >= held.next_plan) Plan(*of, held, config, now);
    if (held.changed) {
      held.changed = false;
      const std::vector<grant_entry> usable = held.holder.Usable(*config);
      of->SetGrants(usable, now);
    }
  }
  if (!owned.empty() && !watching_ && now >= next_watch_) Watch(now);
}

std::vector<grant_demand> grant_store::Changed(held_shard& held, std::vector<grant_demand> demands,
                                               const std::shared_ptr<const configuration>& config,
                                               bool all_listed, monotonic_time now) {
  const bool all = now >= held.next_full_plan || held.config != config ||
                   held.all_listed != all_listed || demands.size() != held.planned.size();
  if (all) {
    held.next_full_plan = now + kFullPlanInterval;
    held.replan_at.clear();
    return demands;
  }
  const auto is_due = [&](const std::string& team) {
    if (held.replan_at.empty()) return false;
    const auto found = held.replan_at.find(GrantKeyOf(team));
    return found != held.replan_at.end() && now >= found->second;
  };
  std::vector<grant_demand> changed;
  for (size_t i = 0; i < demands.size(); ++i) {
    if (IsSame(demands[i], held.planned[i]) && !is_due(demands[i].team)) continue;
    changed.push_back(std::move(demands[i]));
  }
  std::erase_if(held.replan_at, [now](const auto& replan_at) { return now >= replan_at.second; });
  return changed;
}

void grant_store::Plan(shard& of, held_shard& held,
                       const std::shared_ptr<const configuration>& config, monotonic_time now) {
  held.next_plan = now + kPlanInterval;
  std::vector<grant_demand> demands = of.Demands();
  const bool all_listed = of.AllListed();
  const std::vector<grant_demand> changed = Changed(held, demands, config, all_listed, now);
  if (changed.empty()) return;
  held.planned = std::move(demands);
  held.config = config;
  held.all_listed = all_listed;
  held.changed = true;
  std::vector<grant_write> writes;
  held.holder.Plan(*config, changed, all_listed, writes);
  for (const grant_write& write : writes) Send(of.Name(), generations_[of.Name()], write);
}

void grant_store::Send(const std::string& shard_name, uint64_t generation,
                       const grant_write& write) {
  ++moves_;
  store_.CompareAndSwap(
      write.key, write.expect, write.value, write.write_id, "",
      [this, shard_name, generation, key = write.key](store_reply reply) {
        post_([this, shard_name, generation, key, reply = std::move(reply)](monotonic_time now) {
          if (generation != generations_[shard_name]) return;
          held_shard& held = held_.at(shard_name);
          held.holder.OnReply(key, reply);
          held.changed = true;
          // Demands that changed while the write was in flight were not planned.
          held.replan_at[key] = now + RetryAfter(reply.status);
          held.next_prepare = held.replan_at[key];
        });
      });
}

// A shard that holds an unused part learns only from the watch that another shard is starved: its
// own plan, based on its last read, would change nothing and thus meet no conflict. Without the
// watch the part stayed unused while jobs waited (simulated limit reduction, seed 2). Under a
// steady load nothing changes and the watch blocks.
void grant_store::Watch(monotonic_time now) {
  watching_ = true;
  next_watch_ = now + kWatchInterval;
  store_.Watch(kGrantPrefix, watched_, kWatchWait, [this](store_reply reply) {
    post_([this, reply = std::move(reply)](monotonic_time at) {
      watching_ = false;
      if (reply.status != store_status::kDone) {
        next_watch_ = at + kStoreRetry;
        return;
      }
      for (const store_item& item : reply.items) {
        watched_ = std::max(watched_, item.revision);
        for (auto& [name, held] : held_) {
          held.holder.OnRead(item.key, item.revision, item.value);
          held.changed = true;
          held.replan_at.try_emplace(item.key, at + kPlanInterval);
        }
      }
    });
  });
}

}  // namespace catkinford
