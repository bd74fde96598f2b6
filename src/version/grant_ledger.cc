#include "version/grant_ledger.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "nlohmann/json.hpp"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;

// A grant as an array, since all amounts are treated alike: processors, memory, accelerators,
// running tasks.
constexpr size_t kAmounts = 4;
constexpr size_t kEntryFields = kAmounts + 2;
using amounts = std::array<uint64_t, kAmounts>;

amounts AmountsOf(const team_grant& grant) {
  return {grant.amount.cpu_milli, grant.amount.memory_mb, grant.amount.accelerators, grant.running};
}

team_grant GrantFrom(const amounts& from) {
  team_grant grant;
  grant.amount.cpu_milli = static_cast<uint32_t>(from[0]);
  grant.amount.memory_mb = static_cast<uint32_t>(from[1]);
  grant.amount.accelerators = static_cast<uint32_t>(from[2]);
  grant.running = static_cast<uint32_t>(from[3]);
  return grant;
}

bool IsZero(const team_grant& grant) { return AmountsOf(grant) == amounts{}; }

// The limit of a team; zero for a team that is in no contract.
amounts LimitOf(const configuration& config, std::string_view team) {
  for (const workspace_contract& workspace : config.workspaces) {
    for (const team_contract& contract : workspace.teams) {
      if (contract.name == team) return AmountsOf({contract.limit, contract.running_limit});
    }
  }
  return {};
}

// Totals of one team over all shards.
struct team_total {
  amounts granted{};
  uint64_t holders = 0;  // shards that hold or want a part
  bool other_starved = false;
  const grant_entry* indivisible_holder = nullptr;  // first other shard with such a demand
};

bool ByTeamThenShard(const grant_entry& a, const grant_entry& b) {
  if (a.team != b.team) return a.team < b.team;
  return a.shard < b.shard;
}

team_total TotalOf(const ledger_value& ledger, std::string_view team, std::string_view shard) {
  team_total total;
  for (const grant_entry& entry : ledger.entries) {
    if (entry.team != team) continue;
    const amounts part = AmountsOf(entry.grant);
    for (size_t i = 0; i < kAmounts; ++i) total.granted[i] += part[i];
    ++total.holders;
    if (entry.shard == shard) continue;
    if (entry.starved) total.other_starved = true;
    if (total.indivisible_holder == nullptr && !IsZero(entry.indivisible))
      total.indivisible_holder = &entry;
  }
  return total;
}

uint64_t RoundUp(uint64_t value, uint64_t step) { return (value + step - 1) / step * step; }

// One amount of one team in one shard.
struct amount_plan {
  uint64_t used;
  uint64_t wanted;
  uint64_t held;
  uint64_t limit;
  uint64_t granted;  // by all shards, including this one
  uint64_t holders;
  bool other_starved;
  uint64_t own_indivisible;    // zero: none, or another shard's goes first
  uint64_t other_indivisible;  // zero: none that goes before ours
  uint64_t tasks;              // number of wanted tasks
  uint64_t most_tasks;         // the limit on running tasks
};

// The amount of a few tasks, capped at a small fraction of an equal part of the limit. A demand of
// a few short tasks drops to zero now and then and returns at once: the returned grant would be
// requested again, and callers would wait 40 ms for it while half of the capacity is free.
uint64_t ReserveForFewTasks(const amount_plan& plan, const grant_policy& policy) {
  const uint64_t part = plan.limit / (std::max<uint64_t>(plan.holders, 1) * policy.reserve_part);
  if (plan.most_tasks == 0) return 0;
  return std::min(plan.limit * policy.reserve_tasks / plan.most_tasks, part);
}

// The target of the shard, before the limit is applied.
uint64_t TargetOf(const amount_plan& plan, const grant_policy& policy) {
  const uint64_t wanted = std::max(plan.wanted, plan.used);
  if (plan.granted > plan.limit) return plan.used;
  if (plan.other_starved) {
    // No reserve is held, and nothing above an equal part unless it is already running.
    const uint64_t others = plan.other_indivisible > 0 ? 1 : 0;
    const uint64_t rest = plan.limit - std::min(plan.limit, plan.other_indivisible);
    const uint64_t part =
        rest / std::max<uint64_t>(plan.holders - std::min(plan.holders, others), 1);
    // An amount of which the indivisible demand needs little is shared as usual: only the scarce
    // one is concentrated.
    return std::max({plan.used, plan.own_indivisible, std::min(wanted, part)});
  }
  // A reserve is held even without demand, so that a first task starts without a store write.
  // Limits of a few units have none: each unit would be unused in some shard.
  const uint64_t step = std::max<uint64_t>(plan.limit / policy.steps_per_limit, 1);
  const uint64_t reserve =
      std::max(plan.limit / policy.steps_per_limit, ReserveForFewTasks(plan, policy));
  // A large demand fluctuates by more than a step, so the slack also covers a fraction of it. A
  // demand of a few short tasks fluctuates by the square root of their number, which is more than
  // that fraction: each change would wait for a ledger write, and callers would wait 40 ms while
  // half of the capacity is free.
  const double root = std::sqrt(static_cast<double>(std::max<uint64_t>(plan.tasks, 1)));
  const auto swing = static_cast<uint64_t>(policy.swing_roots * static_cast<double>(wanted) / root);
  const uint64_t slack = std::max({reserve, wanted / policy.slack_part, swing});
  const uint64_t enough = RoundUp(wanted, step) + slack;
  if (wanted > plan.held || plan.held < reserve) return enough;
  // Returned only when twice the slack is unused, so that a fluctuating demand writes nothing.
  return plan.held > enough + slack + step ? enough : plan.held;
}

uint64_t PlanAmount(const amount_plan& plan, const grant_policy& policy) {
  uint64_t target = TargetOf(plan, policy);
  if (!policy.may_return) target = std::max(target, plan.held);
  if (target <= plan.held) return target;
  const uint64_t free = plan.limit > plan.granted ? plan.limit - plan.granted : 0;
  return plan.held + std::min(target - plan.held, free);
}

// The indivisible demand, if it exceeds an equal part of the limit but fits the whole limit.
team_grant IndivisibleOf(const grant_demand& demand, const team_total& total,
                         const amounts& limit) {
  const amounts indivisible = AmountsOf(demand.indivisible);
  const uint64_t holders = std::max<uint64_t>(total.holders, 1);
  bool too_large_for_part = false;
  for (size_t i = 0; i < kAmounts; ++i) {
    if (indivisible[i] > limit[i]) return {};
    too_large_for_part |= indivisible[i] > limit[i] / holders;
  }
  return too_large_for_part ? demand.indivisible : team_grant{};
}

grant_entry PlanTeam(const grant_entry& held, const team_total& total, const amounts& limit,
                     const grant_demand& demand, const grant_policy& policy) {
  grant_entry next = held;
  const amounts used = AmountsOf(demand.used);
  const amounts wanted = AmountsOf(demand.wanted);
  const amounts now = AmountsOf(held.grant);
  amounts planned{};
  next.starved = false;
  next.indivisible = IndivisibleOf(demand, total, limit);
  const bool ours_first =
      total.indivisible_holder == nullptr || held.shard < total.indivisible_holder->shard;
  const amounts own_indivisible = ours_first ? AmountsOf(next.indivisible) : amounts{};
  const bool yields =
      total.indivisible_holder != nullptr && !(ours_first && !IsZero(next.indivisible));
  const amounts other_indivisible =
      yields ? AmountsOf(total.indivisible_holder->indivisible) : amounts{};
  for (size_t i = 0; i < kAmounts; ++i) {
    const amount_plan plan{used[i],
                           wanted[i],
                           now[i],
                           limit[i],
                           total.granted[i],
                           total.holders,
                           total.other_starved,
                           own_indivisible[i],
                           other_indivisible[i],
                           std::max(demand.wanted.running, demand.used.running),
                           limit.back()};
    planned[i] = PlanAmount(plan, policy);
    if (planned[i] < std::min(wanted[i], limit[i])) next.starved = true;
  }
  next.grant = GrantFrom(planned);
  return next;
}

// The position of the entry of `team` and `shard`, or where it would be inserted.
std::vector<grant_entry>::iterator PlaceOf(ledger_value& ledger, const grant_entry& wanted) {
  return std::lower_bound(ledger.entries.begin(), ledger.entries.end(), wanted, ByTeamThenShard);
}

bool IsSame(const grant_entry& a, const grant_entry& b) {
  return a.team == b.team && a.shard == b.shard;
}

void Put(ledger_value& ledger, grant_entry entry) {
  const auto place = PlaceOf(ledger, entry);
  const bool exists = place != ledger.entries.end() && IsSame(*place, entry);
  const bool empty = IsZero(entry.grant) && !entry.starved && IsZero(entry.indivisible);
  if (exists && empty) {
    ledger.entries.erase(place);
  } else if (exists) {
    *place = std::move(entry);
  } else if (!empty) {
    ledger.entries.insert(place, std::move(entry));
  }
}

std::optional<amounts> ParseAmounts(const json& value) {
  amounts parsed{};
  if (!value.is_array() || value.size() < kAmounts) return std::nullopt;
  for (size_t i = 0; i < kAmounts; ++i) {
    if (!value[i].is_number_unsigned()) return std::nullopt;
    parsed[i] = value[i].get<uint64_t>();
    if (parsed[i] > std::numeric_limits<uint32_t>::max()) return std::nullopt;
  }
  return parsed;
}

std::optional<grant_entry> ParseEntry(const std::string& team, const std::string& shard,
                                      const json& value) {
  if (!value.is_array() || value.size() < kEntryFields) return std::nullopt;
  const std::optional<amounts> parsed = ParseAmounts(value);
  if (!parsed) return std::nullopt;
  std::optional<amounts> indivisible = amounts{};
  if (value.size() > kEntryFields) indivisible = ParseAmounts(value[kEntryFields]);
  if (!indivisible) return std::nullopt;
  const json& epoch = value[kAmounts];
  const json& starved = value[kAmounts + 1];
  if (!epoch.is_number_unsigned() || !starved.is_boolean()) return std::nullopt;
  return grant_entry{team,
                     shard,
                     GrantFrom(*parsed),
                     epoch.get<uint64_t>(),
                     starved.get<bool>(),
                     GrantFrom(*indivisible)};
}

}  // namespace

// {"team":{"shard":[cpu_milli, memory_mb, accelerators, running, epoch, starved, indivisible?]}},
// where the indivisible demand has the same four amounts.
std::string ToText(const ledger_value& ledger) {
  json teams = json::object();
  for (const grant_entry& entry : ledger.entries) {
    json value = AmountsOf(entry.grant);
    value.push_back(entry.epoch);
    value.push_back(entry.starved);
    if (!IsZero(entry.indivisible)) value.push_back(AmountsOf(entry.indivisible));
    teams[entry.team][entry.shard] = std::move(value);
  }
  return teams.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ledger_value> ParseLedger(std::string_view text) {
  const json teams = ParseJson(text);
  if (!teams.is_object()) return std::nullopt;
  ledger_value ledger;
  for (const auto& [team, shards] : teams.items()) {
    if (!shards.is_object()) return std::nullopt;
    for (const auto& [shard, value] : shards.items()) {
      std::optional<grant_entry> entry = ParseEntry(team, shard, value);
      if (!entry) return std::nullopt;
      ledger.entries.push_back(std::move(*entry));
    }
  }
  std::sort(ledger.entries.begin(), ledger.entries.end(), ByTeamThenShard);
  return ledger;
}

ledger_change PlanGrants(const ledger_value& current, const configuration& config,
                         std::string_view shard, const std::vector<grant_demand>& demands) {
  return PlanGrants(current, config, shard, demands, grant_policy{});
}

ledger_change PlanGrants(const ledger_value& current, const configuration& config,
                         std::string_view shard, const std::vector<grant_demand>& demands,
                         const grant_policy& policy) {
  ledger_change change{current, false};
  for (const grant_demand& demand : demands) {
    grant_entry held{demand.team, std::string(shard), {}, 0, false};
    const auto place = PlaceOf(change.next, held);
    if (place != change.next.entries.end() && IsSame(*place, held)) held = *place;
    const team_total total = TotalOf(change.next, demand.team, shard);
    grant_entry next = PlanTeam(held, total, LimitOf(config, demand.team), demand, policy);
    if (next == held) continue;
    Put(change.next, std::move(next));
    change.changed = true;
  }
  return change;
}

std::vector<grant_entry> GrantsOf(const ledger_value& ledger, std::string_view shard) {
  std::vector<grant_entry> grants;
  for (const grant_entry& entry : ledger.entries) {
    if (entry.shard == shard) grants.push_back(entry);
  }
  return grants;
}

team_grant LowerOf(const team_grant& a, const team_grant& b) {
  const amounts left = AmountsOf(a);
  const amounts right = AmountsOf(b);
  amounts lower{};
  for (size_t i = 0; i < kAmounts; ++i) lower[i] = std::min(left[i], right[i]);
  return GrantFrom(lower);
}

team_grant UsableGrant(const ledger_value& ledger, const configuration& config,
                       std::string_view shard, std::string_view team) {
  const amounts limit = LimitOf(config, team);
  const amounts granted = TotalOf(ledger, team, shard).granted;
  amounts usable{};
  for (const grant_entry& entry : ledger.entries) {
    if (entry.team == team && entry.shard == shard) usable = AmountsOf(entry.grant);
  }
  for (size_t i = 0; i < kAmounts; ++i) {
    if (granted[i] > limit[i]) usable[i] = usable[i] * limit[i] / granted[i];
  }
  return GrantFrom(usable);
}

bool IsInEffect(const ledger_value& ledger, const configuration& config, std::string_view team) {
  const amounts limit = LimitOf(config, team);
  const amounts granted = TotalOf(ledger, team, "").granted;
  for (size_t i = 0; i < kAmounts; ++i) {
    if (granted[i] > limit[i]) return false;
  }
  return true;
}

}  // namespace catkinford
