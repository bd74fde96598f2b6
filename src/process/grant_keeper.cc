#include "process/grant_keeper.h"

#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr char kGrantPrefix[] = "grants/";
// A plan costs 0.7 us for each team (catkinford-bench slopes): it is made when the demands have
// changed, at most this often, and once a second for what a lost reply or a lowered limit left.
constexpr milliseconds kPlanInterval{50};
constexpr milliseconds kIdlePlanInterval{1000};
constexpr milliseconds kReadInterval{1000};  // while starved: others may have returned something

bool IsSame(const std::vector<grant_demand>& a, const std::vector<grant_demand>& b) {
  if (a.size() != b.size()) return false;
  for (size_t i = 0; i < a.size(); ++i) {
    if (a[i].wanted.running != b[i].wanted.running) return false;
    if (!(a[i].wanted.amount == b[i].wanted.amount)) return false;
    if (a[i].used.running != b[i].used.running) return false;
  }
  return true;
}

// Whether some team waits for more than the shard may use.
bool IsStarved(const std::vector<grant_demand>& demands, const std::vector<grant_entry>& usable) {
  for (const grant_demand& demand : demands) {
    if (demand.wanted.running == 0) continue;
    bool met = false;
    for (const grant_entry& entry : usable) {
      if (entry.team != demand.team) continue;
      met = entry.grant.running >= demand.wanted.running &&
            Fits(demand.wanted.amount, entry.grant.amount);
    }
    if (!met) return true;
  }
  return false;
}

}  // namespace

grant_keeper::grant_keeper(store_adapter& store, poster post)
    : store_(store), post_(std::move(post)) {}

void grant_keeper::OnGained(const std::string& shard_name, uint64_t epoch) {
  OnLost(shard_name);
  held_.emplace(shard_name, held_shard(grant_holder(shard_name, epoch)));
}

void grant_keeper::OnLost(const std::string& shard_name) {
  held_.erase(shard_name);
  ++generations_[shard_name];
}

void grant_keeper::Tick(const std::vector<shard*>& owned,
                        const std::shared_ptr<const configuration>& config, monotonic_time now) {
  if (config == nullptr) return;
  bool starved = false;
  for (shard* of : owned) {
    const auto found = held_.find(of->Name());
    if (found == held_.end()) continue;
    held_shard& held = found->second;
    if (now >= held.next_plan) Plan(*of, held, config, now);
    if (held.changed) {
      held.changed = false;
      const std::vector<grant_entry> usable = held.holder.Usable(*config);
      held.starved = IsStarved(held.planned, usable);
      of->SetGrants(usable, now);
    }
    starved |= held.starved;
  }
  if (starved && !reading_ && now >= next_read_) Read(now);
}

void grant_keeper::Plan(shard& of, held_shard& held,
                        const std::shared_ptr<const configuration>& config, monotonic_time now) {
  std::vector<grant_demand> demands = of.Demands();
  const bool is_same = held.config == config && IsSame(demands, held.planned);
  held.next_plan = now + (is_same ? kIdlePlanInterval : kPlanInterval);
  held.planned = std::move(demands);
  held.config = config;
  held.changed = true;
  std::vector<grant_write> writes;
  held.holder.Plan(*config, held.planned, of.AllListed(), writes);
  for (const grant_write& write : writes) Send(of.Name(), generations_[of.Name()], write);
}

void grant_keeper::Send(const std::string& shard_name, uint64_t generation,
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
          held.next_plan = now;
        });
      });
}

void grant_keeper::Read(monotonic_time now) {
  reading_ = true;
  next_read_ = now + kReadInterval;
  store_.Range(kGrantPrefix, [this](store_reply reply) {
    post_([this, reply = std::move(reply)](monotonic_time at) {
      reading_ = false;
      if (reply.status != store_status::kDone) return;
      for (auto& [name, held] : held_) {
        for (const store_item& item : reply.items) {
          held.holder.OnRead(item.key, item.revision, item.value);
        }
        held.changed = true;
        held.next_plan = at;
      }
    });
  });
}

}  // namespace catkinford
