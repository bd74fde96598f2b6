// Upper limits across the fleet without a central counter: each shard holds a part of each team's
// limit, and the parts never add up to more than the limit.
//
// The ledger is one value in the platform's store, moved by compare-and-swap. This pair is pure:
// it reads a value, says what the next value should be, and never talks to the store itself.
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

// What one shard holds of one team's limit.
struct grant_entry {
  std::string team;
  std::string shard;
  team_grant grant;
  uint64_t epoch = 0;    // of the owner that wrote it; no other owner may count on it
  bool starved = false;  // wants more than the limit leaves: others keep no more than their part
  // A piece that waits here, starts only as a whole, and is larger than an equal part of the limit;
  // zero: none. Of the shards with such a piece the first by name gets it and the others share the
  // rest: with equal parts every shard could hold a little of the limit and none of them start.
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

// What a shard uses and would like to have for a team.
struct grant_demand {
  std::string team;
  team_grant used;         // running now, and starts under way: cannot be given back
  team_grant wanted;       // used and waiting
  team_grant indivisible;  // the largest that waits and starts only as a whole; zero: none
};

struct ledger_change {
  ledger_value next;
  bool changed = false;
};

// How far grants run ahead of demand: more is written less often and leaves more lying unused with
// others. Both are over zero. `catkinford-bench grants` sweeps them.
struct grant_policy {
  uint32_t steps_per_limit = 64;  // a step, and the reserve without demand, is this part of a limit
  uint32_t slack_part = 4;        // and what runs ahead is at least this part of the demand
  uint32_t reserve_tasks = 8;     // the reserve is at least so many tasks
  uint32_t reserve_part = 8;      // or this part of an equal part of the limit, if that is less
  double swing_roots = 3;         // and this many roots of the number of tasks in it
  // False while some endpoint of the shard is not listed yet: what runs there is not in `used`, and
  // giving its part away would let the team pass its limit elsewhere.
  bool may_return = true;
};

// The ledger after `shard` has taken what it needs and returned what it does not. Steps are large
// enough that a shard with a steady load writes nothing. Never passes a limit in `config`; where a
// limit was lowered below what is granted, nothing new is granted and unused parts are returned.
//
// Teams that are not in `demands` are left as they are: a new owner that has not yet listed its
// endpoints does not know what runs, and must not give it back. A team without demand is named
// with zeros. Between this call and the confirmed write the shard may use LowerOf(old, next).
ledger_change PlanGrants(const ledger_value& current, const configuration& config,
                         std::string_view shard, const std::vector<grant_demand>& demands);
ledger_change PlanGrants(const ledger_value& current, const configuration& config,
                         std::string_view shard, const std::vector<grant_demand>& demands,
                         const grant_policy& policy);

// What `shard` may have running of `team`: its grant, or, while a lowered limit is over-granted,
// its part of the limit in proportion. Over all shards this never passes the limit in `config`.
// What runs above it drains or is stopped, and the limit is in force when IsInEffect() says so.
team_grant UsableGrant(const ledger_value& ledger, const configuration& config,
                       std::string_view shard, std::string_view team);
// Whether what is granted is within the limit in `config`.
bool IsInEffect(const ledger_value& ledger, const configuration& config, std::string_view team);

// Grants of `shard`, which the owner may use after the compare-and-swap of a value is confirmed.
// For a value whose reply was lost: the lower of both, until it was read back.
std::vector<grant_entry> GrantsOf(const ledger_value& ledger, std::string_view shard);
team_grant LowerOf(const team_grant& a, const team_grant& b);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_GRANT_LEDGER_H_
