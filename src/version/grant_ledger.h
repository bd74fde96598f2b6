// Fleet-wide limits without a central counter: each shard holds a part of each team's limit, and
// the parts never add up to more than the limit.
//
// The ledger is stored in the platform's store and changed by compare-and-swap. This file is pure:
// it reads a value and computes the next one, and never accesses the store.
#ifndef CATKINFORD_VERSION_GRANT_LEDGER_H_
#define CATKINFORD_VERSION_GRANT_LEDGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/decision_core.h"
#include "version/contract.h"

namespace catkinford {

// The part of one team's limit that one shard holds.
struct grant_entry {
  std::string team;
  std::string shard;
  team_grant grant;
  uint64_t epoch = 0;    // of the owner that wrote it; no other owner may use it
  bool starved = false;  // wants more than the limit leaves: others keep at most their part
  // The demand of a waiting job that starts only as a unit and is larger than an equal part of the
  // limit; zero: none. Of the shards with such a demand the first by name gets it and the others
  // share the rest: with equal parts each shard could hold a little of the limit and none could
  // start its job.
  team_grant indivisible;
  bool operator==(const grant_entry& other) const {
    const auto same = [](const team_grant& a, const team_grant& b) {
      return a.amount == b.amount && a.running == b.running;
    };
    return team == other.team && shard == other.shard && same(grant, other.grant) &&
           epoch == other.epoch && starved == other.starved && same(indivisible, other.indivisible);
  }
};

struct ledger_value {
  std::vector<grant_entry> entries;  // sorted by team, then shard
};

std::string ToText(const ledger_value& ledger);
std::optional<ledger_value> ParseLedger(std::string_view text);

// What a shard uses and wants for a team.
struct grant_demand {
  std::string team;
  team_grant used;         // running now, including starts in flight: cannot be returned
  team_grant wanted;       // used plus waiting
  team_grant indivisible;  // the largest waiting job that starts only as a unit; zero: none
};

struct ledger_change {
  ledger_value next;
  bool changed = false;
};

// How far grants exceed demand: a larger excess needs fewer writes but leaves more of the limit
// unused in the shards that hold it. steps_per_limit and slack_part must be above zero.
struct grant_policy {
  uint32_t steps_per_limit = 64;  // a step, and the reserve without demand, is limit / this
  uint32_t slack_part = 4;        // the slack is at least demand / this
  uint32_t reserve_tasks = 8;     // the reserve is at least this many tasks
  uint32_t reserve_part = 8;      // or (equal part of the limit) / this, if less
  double swing_roots = 3;         // and this many square roots of its number of tasks
  // False while some endpoint of the shard is unlisted: what runs there is not in `used`, and
  // returning its part would let the team exceed its limit elsewhere.
  bool may_return = true;
};

// The ledger after `shard` has taken what it needs and returned the rest. Steps are large enough
// that a shard with a steady load writes nothing. Never exceeds a limit in `config`; where a limit
// was lowered below what is granted, nothing new is granted and unused parts are returned.
//
// Teams that are not in `demands` are left unchanged: a new owner that has not listed its endpoints
// yet does not know what runs and must not return it. For a team without demand, pass a demand of
// zeros. Between this call and the confirmed write the shard may use LowerOf(old, next).
ledger_change PlanGrants(const ledger_value& current, const configuration& config,
                         std::string_view shard, const std::vector<grant_demand>& demands);
ledger_change PlanGrants(const ledger_value& current, const configuration& config,
                         std::string_view shard, const std::vector<grant_demand>& demands,
                         const grant_policy& policy);

// What `shard` may run of `team`: its grant or, while a lowered limit is over-granted, its
// proportional part of the limit. Over all shards this never exceeds the limit in `config`. What
// runs above it drains or is stopped, and the limit is in effect when IsInEffect() returns true.
team_grant UsableGrant(const ledger_value& ledger, const configuration& config,
                       std::string_view shard, std::string_view team);
// Whether the grants of all shards are within the limit in `config`.
bool IsInEffect(const ledger_value& ledger, const configuration& config, std::string_view team);

// Grants of `shard`, which the owner may use once the compare-and-swap of the value is confirmed.
// If the reply was lost, it may use the lower of both until the value was read back.
std::vector<grant_entry> GrantsOf(const ledger_value& ledger, std::string_view shard);
team_grant LowerOf(const team_grant& a, const team_grant& b);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_GRANT_LEDGER_H_
