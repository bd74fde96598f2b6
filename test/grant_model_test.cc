#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "property.h"
#include "version/grant_holder.h"
#include "version/grant_ledger.h"

namespace catkinford {
namespace {

constexpr uint32_t kFirstLimit = 30;

team_grant Tasks(uint32_t count) { return {{count * 1000, count * 2048, 0, 0}, count}; }

configuration ConfigWith(uint32_t tasks) {
  configuration config;
  config.workspaces.push_back({"w", {}});
  team_contract& team = config.workspaces[0].teams.emplace_back();
  team.name = std::string("t");
  team.limit = Tasks(tasks).amount;
  team.running_limit = tasks;
  return config;
}

// A process that believes it owns a shard.
struct model_owner {
  model_owner(std::string name, uint64_t its_epoch)
      : shard(std::move(name)), epoch(its_epoch), holder(shard, epoch) {}

  std::string shard;
  uint64_t epoch;
  grant_holder holder;
  uint32_t used = 0;
  uint32_t wanted = 0;
  bool open = false;  // has contacted the endpoints: renews leases and starts tasks
};

struct sent_write {
  std::string shard;
  uint64_t epoch = 0;
  uint32_t limit = 0;  // limit in effect when it was first planned
  grant_write write;
};

// The store, the network to it, three shards with their owners, superseded owners that do not know
// it, and the running tasks of each. Writes wait in the network, arrive in any order, twice or
// never, and replies are lost.
class grant_model {
 public:
  void Step(uint32_t choice) {
    const uint32_t what = choice % 10;
    const uint32_t value = choice / 10;
    model_owner& own = owners_[value % kShards];
    const uint32_t amount = value / kShards % 50;
    const std::map<std::string, uint32_t> before = Stored();
    last_limit_.reset();
    if (what == 0) SetDemand(own, amount);
    if (what == 1 || what == 2) PlanOwn(own);
    if (what >= 3 && what <= 5) Deliver(value, false);
    if (what == 6) Deliver(value, true);
    if (what == 7) TakeOver(own);
    if (what == 8 && !superseded_owners_.empty())
      PlanSuperseded(superseded_owners_[value % superseded_owners_.size()]);
    if (what == 9) limit_ = 10 + amount;
    for (model_owner& each : owners_) Run(each);
    Check(before);
  }

 private:
  static constexpr size_t kShards = 3;

  // A new owner first reads and stamps the parts, and opens the shard when all carry its epoch.
  void PlanOwn(model_owner& own) {
    if (own.open) {
      Plan(own);
      return;
    }
    own.holder.OnRead(GrantKeyOf("t"), revision_, stored_.empty() ? "{}" : stored_);
    own.open = own.holder.Stamped();
    std::vector<grant_write> writes;
    own.holder.PlanStamps(writes);
    Send(own, std::move(writes));
  }

  // Once its successor contacts the endpoints, the superseded owner's assumption that leases expire
  // is wrong: it may count anything less than what runs.
  void PlanSuperseded(model_owner& superseded) {
    const bool renewed = std::any_of(owners_.begin(), owners_.end(), [&](const model_owner& own) {
      return own.shard == superseded.shard && own.open;
    });
    if (renewed) superseded.used = superseded.wanted = 0;
    Plan(superseded);
  }

  uint32_t UsableOf(const model_owner& own) const {
    for (const grant_entry& entry : own.holder.Usable(ConfigWith(limit_))) {
      return entry.grant.running;
    }
    return 0;
  }

  // Tasks that are no longer wanted have ended.
  static void SetDemand(model_owner& own, uint32_t amount) {
    own.wanted = amount;
    own.used = std::min(own.used, amount);
  }

  // Starts as many tasks as the grant allows.
  void Run(model_owner& own) const {
    if (!own.open) return;
    own.used = std::max(own.used, std::min(own.wanted, UsableOf(own)));
  }

  void Plan(model_owner& own) {
    std::vector<grant_write> writes;
    own.holder.Plan(ConfigWith(limit_), {{"t", Tasks(own.used), Tasks(own.wanted)}}, true, writes);
    Send(own, std::move(writes));
  }

  void Send(const model_owner& own, std::vector<grant_write> writes) {
    for (grant_write& write : writes) {
      const auto planned = planned_.try_emplace({write.expect, write.value}, limit_);
      network_.push_back({own.shard, own.epoch, planned.first->second, std::move(write)});
    }
  }

  // One write arrives, or only seems lost: then the remaining copy arrives later, or never.
  void Deliver(uint32_t choice, bool lose) {
    if (network_.empty()) return;
    const size_t at = choice % network_.size();
    const sent_write sent = network_[at];
    const bool delayed = lose && choice % 2 == 0;
    store_reply reply;
    reply.status = store_status::kUnknown;
    if (!delayed) {
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(at));
      reply = Apply(sent);
      if (lose) reply.status = store_status::kUnknown;
    }
    // Only the first reply to a write is delivered.
    if (replied_.insert(sent.write.write_id).second) DeliverReply(sent, reply);
  }

  store_reply Apply(const sent_write& sent) {
    store_reply reply;
    reply.status = store_status::kConflict;
    reply.items = {{sent.write.key, stored_, revision_}};
    if (sent.write.expect != revision_) return reply;
    reply.status = store_status::kDone;
    reply.items.clear();
    reply.revision = ++revision_;
    stored_ = sent.write.value;
    last_limit_ = sent.limit;
    return reply;
  }

  void DeliverReply(const sent_write& sent, const store_reply& reply) {
    const auto is_sender = [&sent](const model_owner& own) {
      return own.shard == sent.shard && own.epoch == sent.epoch;
    };
    const auto owner = std::find_if(owners_.begin(), owners_.end(), is_sender);
    if (owner != owners_.end()) owner->holder.OnReply(sent.write.key, reply);
    const auto superseded =
        std::find_if(superseded_owners_.begin(), superseded_owners_.end(), is_sender);
    if (superseded != superseded_owners_.end()) superseded->holder.OnReply(sent.write.key, reply);
  }

  // Running tasks continue. The new owner knows nothing of the old one's writes in flight, and the
  // paused old owner nothing of the new one.
  void TakeOver(model_owner& own) {
    model_owner successor(own.shard, own.epoch + 1);
    successor.used = own.used;
    successor.wanted = own.wanted;
    superseded_owners_.push_back(std::move(own));
    own = std::move(successor);
  }

  std::map<std::string, uint32_t> Stored() const {
    std::map<std::string, uint32_t> stored;
    if (stored_.empty()) return stored;
    const auto ledger = ParseLedger(stored_);
    for (const grant_entry& entry : ledger->entries) stored[entry.shard] = entry.grant.running;
    return stored;
  }

  void Check(const std::map<std::string, uint32_t>& before) const {
    const std::map<std::string, uint32_t> after = Stored();
    const auto held_by = [](const std::map<std::string, uint32_t>& ledger,
                            const std::string& name) {
      const auto part = ledger.find(name);
      return part == ledger.end() ? 0 : part->second;
    };
    // No owner uses or assumes more than the ledger grants it at this moment.
    for (const model_owner& own : owners_) {
      RC_ASSERT(UsableOf(own) <= held_by(after, own.shard));
      RC_ASSERT(own.used <= held_by(after, own.shard));
    }
    uint32_t sum = 0;
    bool rose = false;
    for (const auto& [shard, held] : after) {
      sum += held;
      rose = rose || held > held_by(before, shard);
    }
    if (rose) {
      RC_ASSERT(last_limit_.has_value());
      RC_ASSERT(sum <= *last_limit_);
    }
  }

  uint32_t limit_ = kFirstLimit;
  std::optional<uint32_t> last_limit_;  // of the write that took effect in this step
  std::array<model_owner, kShards> owners_ = {model_owner("a", 1), model_owner("b", 1),
                                              model_owner("c", 1)};
  std::vector<model_owner> superseded_owners_;
  std::vector<sent_write> network_;
  std::map<std::pair<uint64_t, std::string>, uint32_t> planned_;
  std::set<std::string> replied_;
  std::string stored_;
  uint64_t revision_ = 0;
};

}  // namespace

// Writes are delayed, duplicated or lost, owners are replaced with writes in flight and keep
// writing when they resume, and operators change the limit. No interleaving may let a team exceed
// its limit.
TEST_CASE("grants, random interleavings of lost replies and takeovers, never pass the limit",
          "[grants]") {
  CHECK(Holds({7, 1000, 300}, [] {
    const auto choice = rc::gen::inRange<uint32_t>(0, 100000);
    const auto choices = *rc::gen::container<std::vector<uint32_t>>(choice);
    grant_model model;
    for (const uint32_t each : choices) model.Step(each);
  }));
}

}  // namespace catkinford
