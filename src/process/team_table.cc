#include "process/team_table.h"

#include <algorithm>

namespace catkinford {
namespace {

constexpr double kMinWeight = 1e-6;  // a team of weight zero still gets what no other team wants

bool Active(const team_record& team) { return team.running_tasks + team.queued_tasks > 0; }

double Weight(const team_record& team) { return std::max(team.terms.weight, kMinWeight); }

}  // namespace

team_record& team_table::operator[](team_index team) {
  if (team >= teams_.size()) teams_.resize(team + 1);
  return teams_[team];
}

void team_table::UpdateRatio(team_record& team) const {
  const resources& whole = cell_ == resources{} ? shard_ : cell_;
  double dominant = 0;
  for (size_t a = 0; a < kAmounts; ++a) {
    const uint32_t of = AmountOf(whole, a);
    if (of == 0) continue;
    const uint32_t own = AmountOf(team.running, a);
    dominant = std::max(dominant, (own + team.elsewhere.Elsewhere(a, own, others_)) / of);
  }
  team.ratio = dominant / Weight(team);
}

void team_table::UpdateRelativeSizes() {
  for (size_t a = 0; a < kAmounts; ++a) {
    const double own = AmountOf(shard_, a);
    const double all = AmountOf(cell_, a);
    others_[a] = own > 0 && all > own ? all / own - 1 : 0;
  }
  for (team_record& team : teams_) UpdateRatio(team);
}

// Maintains the sum of the weights of teams that have running or waiting tasks.
void team_table::UpdateActive(const team_record& team, bool was_active) {
  const bool active = Active(team);
  if (active == was_active) return;
  active_weight_ += active ? Weight(team) : -Weight(team);
  active_teams_ += active ? 1U : UINT32_MAX;
  if (active_teams_ == 0) active_weight_ = 0;  // discards accumulated rounding errors
}

void team_table::SetTerms(team_index team, const team_terms& terms) {
  team_record& t = (*this)[team];
  if (Active(t)) active_weight_ -= Weight(t);
  t.terms = terms;
  t.known = true;
  if (Active(t)) active_weight_ += Weight(t);
  UpdateRatio(t);
}

void team_table::SetCellCapacity(const resources& capacity) {
  cell_ = capacity;
  UpdateRelativeSizes();
}

void team_table::SetShardCapacity(const resources& capacity) {
  shard_ = capacity;
  UpdateRelativeSizes();
}

void team_table::SetElsewhere(team_index team, const resources& running,
                              std::chrono::milliseconds age, monotonic_time now) {
  team_record& t = (*this)[team];
  t.elsewhere.Observe(running, t.running, others_, age, now);
  UpdateRatio(t);
}

void team_table::AddRunning(team_index team, const job_request& job) {
  team_record& t = (*this)[team];
  const bool active = Active(t);
  t.running += job.each;
  ++t.running_tasks;
  ++running_tasks_;
  if (job.kind == workload_kind::kInteractive) {
    t.interactive += job.each;
    ++t.interactive_tasks;
  }
  UpdateActive(t, active);
  UpdateRatio(t);
}

void team_table::RemoveRunning(team_index team, const job_request& job) {
  team_record& t = (*this)[team];
  const bool active = Active(t);
  t.running -= job.each;
  --t.running_tasks;
  --running_tasks_;
  if (job.kind == workload_kind::kInteractive) {
    t.interactive -= job.each;
    --t.interactive_tasks;
  }
  UpdateActive(t, active);
  UpdateRatio(t);
}

void team_table::AddQueued(team_index team, const resources& each, uint32_t tasks) {
  team_record& t = (*this)[team];
  const bool active = Active(t);
  for (size_t a = 0; a < kAmounts; ++a) t.queued[a] += uint64_t{AmountOf(each, a)} * tasks;
  t.queued_tasks += tasks;
  queued_tasks_ += tasks;
  UpdateActive(t, active);
}

void team_table::RemoveQueued(team_index team, const resources& each, uint32_t tasks) {
  team_record& t = (*this)[team];
  const bool active = Active(t);
  for (size_t a = 0; a < kAmounts; ++a) t.queued[a] -= uint64_t{AmountOf(each, a)} * tasks;
  t.queued_tasks -= tasks;
  queued_tasks_ -= tasks;
  UpdateActive(t, active);
}

bool team_table::WithinGrant(team_index team, const resources& each, uint32_t count,
                             const shard_capacity& endpoints) const {
  const team_record* t = Find(team);
  if (t == nullptr || endpoints.UnfencedTasksUnbounded()) return false;
  const resources& unfenced = endpoints.Unfenced();
  const auto within = [count](uint32_t running, uint32_t more, uint32_t hidden, uint32_t most) {
    return uint64_t{running} + uint64_t{more} * count + hidden <= most;
  };
  // Slots are counted by endpoints but not limited by contracts; the limit on running tasks takes
  // their place.
  const resources& limit = t->grant.amount;
  return within(t->running_tasks, 1, unfenced.slots, t->grant.running) &&
         within(t->running.cpu_milli, each.cpu_milli, unfenced.cpu_milli, limit.cpu_milli) &&
         within(t->running.memory_mb, each.memory_mb, unfenced.memory_mb, limit.memory_mb) &&
         within(t->running.accelerators, each.accelerators, unfenced.accelerators,
                limit.accelerators);
}

bool team_table::BeyondShare(team_index team, double times) const {
  const team_record* t = Find(team);
  return t == nullptr || t->ratio * active_weight_ > times;
}

}  // namespace catkinford
