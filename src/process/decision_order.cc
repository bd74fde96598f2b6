#include <algorithm>
#include <cmath>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

constexpr size_t kMaxNotFitting = 32;
// Above this number of freed endpoints, all blocked queues are tried again.
constexpr size_t kMaxFreedProbes = 64;
// Capacity withheld from batch jobs, as a fraction of interactive usage. Mean interactive wait in
// ms (two workload mixes and their union) and loss of packing, seed 1: 0 228, 55, 85; 0.1 193, 54,
// 83; 0.2 178, 43, 70, 0.2 points; 0.4 120, 35, 46, 0.8 points; 0.6 105, 20, 27, 1.8 points.
constexpr double kWithheldFraction = 0.4;
// Interactive usage fluctuates by the square root of its task count, so a large fleet needs a
// smaller fraction: this many square roots, if that is less. At 6 times the fleet size, seed 1,
// packing and the mean and p99 interactive wait in ms: without 0.899, 0.7, 22; 8 0.917, 2.2, 48; 6
// 0.925, 3.9, 59; 4 0.932, 7.1, 86. At the present fleet size kWithheldFraction gives the smaller
// value.
constexpr double kWithheldStdDevs = 6;
// A team above this multiple of its share leaves capacity for the interactive requests of others.
// p99 wait of five teams within their shares while a sixth requests three times the total capacity,
// and goodput at 1.2 times the capacity with teams of equal shares at their shares (seeds 1 to 3):
// without 27 ms, 1,722/s; 1.0 42 ms, 1,658 (teams just over their share wait for capacity withheld
// for others); 1.25 3 ms, 1,693; 1.5 4 ms, 1,721. Withholding twice as much gives 1 ms at 1.5 and
// costs another 7 % of 136 slots.
constexpr double kOverShareFactor = 1.5;

resources FractionOf(const resources& whole, double part) {
  const auto of = [part](uint32_t amount) { return static_cast<uint32_t>(amount * part); };
  return {of(whole.cpu_milli), of(whole.memory_mb), of(whole.accelerators), of(whole.slots)};
}

}  // namespace

// Requests that fitted nowhere may fit on endpoints that gained free capacity. Also called within a
// round: a start may drop a reservation, and jobs would be recorded as fitting nowhere although
// capacity is free.
void decision_core::impl::CapacityFreed() {
  const std::vector<endpoint_index>& freed = endpoints.Freed();
  if (freed.size() - freed_seen > kMaxFreedProbes) {
    not_fitting.clear();
    freed_seen = freed.size();
  }
  for (; freed_seen < freed.size(); ++freed_seen) {
    const resources free = endpoints[freed[freed_seen]].Free();
    std::erase_if(not_fitting, [&free](const resources& need) { return Fits(need, free); });
  }
}

// Whether this request, or a smaller one, was found to fit nowhere and no capacity has been freed
// for it since. At full capacity this answers for nearly all waiting jobs without a search.
bool decision_core::impl::KnownNotToFit(const resources& need) const {
  return std::any_of(not_fitting.begin(), not_fitting.end(),
                     [&need](const resources& failed) { return Fits(failed, need); });
}

void decision_core::impl::AddNotFitting(const resources& need) {
  std::erase_if(not_fitting, [&need](const resources& larger) { return Fits(need, larger); });
  if (not_fitting.size() >= kMaxNotFitting) not_fitting.erase(not_fitting.begin());
  not_fitting.push_back(need);
}

// Collects the free capacity of the freed endpoints that can hold at least the smallest need of any
// blocked queue. If there are many, they are merged into one entry with the maximum of each amount.
void decision_core::impl::CollectFreedCapacity() {
  freed_capacity.clear();
  if (endpoints.Freed().empty() || queues.CapacityBlocked().empty()) return;
  const bool join = endpoints.Freed().size() > kMaxFreedProbes;
  for (const endpoint_index endpoint : endpoints.Freed()) {
    if (!endpoints.Open().Contains(endpoint)) continue;
    const resources free = endpoints[endpoint].Free();
    if (!Fits(queues.MinNeed(), free)) continue;
    if (join && !freed_capacity.empty()) {
      freed_capacity[0] = LargestOf(freed_capacity[0], free);
    } else {
      freed_capacity.push_back(free);
    }
  }
}

bool decision_core::impl::FitsFreedCapacity(const resources& need) const {
  return std::any_of(freed_capacity.begin(), freed_capacity.end(),
                     [&need](const resources& free) { return Fits(need, free); });
}

// Unblocks the first of the blocked queues that freed capacity can help. One at a time: usually it
// takes the capacity, and trying all others would be wasted.
void decision_core::impl::UnblockBest() {
  CapacityFreed();
  CollectFreedCapacity();
  if (freed_capacity.empty() && queues.WithheldQueues() == 0) return;
  const resources withheld = WithheldCapacity(queue_class::kBatch, 0);
  std::optional<queue_rank> best;
  for (const blocked_queue& blocked : queues.CapacityBlocked()) {
    if (blocked.tried == round || !MayUnblock(blocked, withheld)) continue;
    const queue_rank rank = RankOf(blocked.ref);
    if (best && *best < rank) continue;
    const queue_needs& needs = queues.Peek(blocked.ref).needs;
    const bool helps =
        blocked.withheld || std::any_of(needs.begin(), needs.end(), [this](const resources& need) {
          return FitsFreedCapacity(need);
        });
    if (helps) best = rank;
  }
  if (best) queues.Unblock(best->ref);
}

// Cheap pre-check: whether freed capacity, or capacity that is no longer withheld, covers the
// queue's smallest need. `withheld`: the amount withheld from batch jobs, the same for all queues.
bool decision_core::impl::MayUnblock(const blocked_queue& blocked,
                                     const resources& withheld) const {
  if (!blocked.withheld) return FitsFreedCapacity(blocked.min_need);
  const bool is_batch = blocked.ref.kind == queue_class::kBatch;
  const resources own_withheld =
      is_batch ? withheld : WithheldCapacity(blocked.ref.kind, blocked.ref.team);
  return Fits(blocked.min_need + own_withheld, endpoints.Open().TotalFree());
}

// Service order of a queue. Urgent jobs first, then interactive requests of teams within their
// share; all other jobs by share alone, so that a burst of one team's interactive requests does not
// take the share of another team's batch jobs.
queue_rank decision_core::impl::RankOf(const queue_ref& ref) const {
  queue_rank rank{2, teams.Find(ref.team)->ratio, ref};
  if (ref.kind == queue_class::kUrgent) rank.first = 0;
  if (ref.kind == queue_class::kInteractive && teams.WithinShare(ref.team)) rank.first = 1;
  return rank;
}

std::optional<queue_ref> decision_core::impl::PickQueue() const {
  std::optional<queue_rank> best;
  for (size_t kind = 0; kind < kQueueClasses; ++kind) {
    const std::optional<queue_ref> first = queues.First(static_cast<queue_class>(kind));
    if (!first) continue;
    const queue_rank rank = RankOf(*first);
    if (!best || rank < *best) best = rank;
  }
  if (!best) return std::nullopt;
  return best->ref;
}

// Capacity withheld for interactive requests, so that a burst of them starts at once and does not
// wait for a running task to end. It is withheld from batch jobs, and from interactive requests of
// a team far above its share: otherwise one team would fill the fleet, and requests of all others
// would wait for each slot. Once interactive requests wait for capacity, none is withheld and
// capacity goes by share alone: with more interactive load than capacity, batch jobs would never
// start.
resources decision_core::impl::WithheldCapacity(queue_class kind, team_index team) const {
  if (queues.CapacityBlockedCount(queue_class::kInteractive) > 0) return {};
  if (kind == queue_class::kBatch) {
    const double root = std::sqrt(std::max(1U, endpoints.InteractiveTasks()));
    return FractionOf(endpoints.InteractiveUse(),
                      std::min(kWithheldFraction, kWithheldStdDevs / root));
  }
  if (kind != queue_class::kInteractive || !teams.BeyondShare(team, kOverShareFactor)) return {};
  const team_record& own = *teams.Find(team);
  const uint32_t others = endpoints.InteractiveTasks() - own.interactive_tasks;
  if (others == 0) return {};
  // As many slots as the number of interactive tasks usually fluctuates by: its square root.
  return FractionOf(endpoints.InteractiveUse() - own.interactive, 1.0 / std::sqrt(others));
}

bool decision_core::impl::IsWithheld(const job_record& job) const {
  const resources withheld = WithheldCapacity(ClassOf(job.request), job.request.team);
  if (withheld == resources{}) return false;
  const resources& free = endpoints.Open().TotalFree();
  return Fits(job.request.each, free) && !Fits(job.request.each + withheld, free);
}

}  // namespace catkinford
