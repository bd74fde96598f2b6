#include <algorithm>
#include <cmath>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

constexpr size_t kMaxNotFitting = 32;
// More freed endpoints than this and all blocked lanes are tried again.
constexpr size_t kMaxFreedProbes = 64;
// Room kept free of batch work, as a part of what interactive work uses. Mean interactive wait in
// ms (kitamura, altynsay, both) and packing lost, seed 1: 0 228, 55, 85; 0.1 193, 54, 83; 0.2 178,
// 43, 70, 0.2 points; 0.4 120, 35, 46, 0.8 points; 0.6 105, 20, 27, 1.8 points.
constexpr double kWithheldFraction = 0.4;
// What interactive work uses swings by the root of its tasks, so that a large floor needs a smaller
// part: this many roots, where that is less. `policy --mix both --scale 6 --seed 1`, packing, mean
// and p99 wait of callers in ms: without 0.899, 0.7, 22; 8 0.917, 2.2, 48; 6 0.925, 3.9, 59; 4
// 0.932, 7.1, 86. At the size of today kWithheldFraction is the smaller one.
constexpr double kWithheldStdDevs = 6;
// A team beyond this many times its share leaves room to the callers of others. `policy`, seeds 1
// to 3, p99 wait of five teams within their shares while a sixth asks for three times the floor,
// and goodput at 1.2 times the capacity, where teams of equal shares stand at them: without 27 ms,
// 1,722/s; 1.0 42 ms, 1,658 (those just over their share wait for room kept for the others); 1.25 3
// ms, 1,693; 1.5 4 ms, 1,721. Twice the room: 1 ms at 1.5, for another 7 % of a floor of 136 slots.
constexpr double kOverShareFactor = 1.5;

resources FractionOf(const resources& whole, double part) {
  const auto of = [part](uint32_t amount) { return static_cast<uint32_t>(amount * part); };
  return {of(whole.cpu_milli), of(whole.memory_mb), of(whole.accelerators), of(whole.slots)};
}

}  // namespace

// What fitted nowhere may fit now, where an endpoint has more room than before. Also within a
// round: a start may give up a reservation, and work would be told that it fits nowhere while there
// is room.
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

// Whether the need, or a smaller one, was found to fit nowhere and nothing has come free for it. On
// a full floor nearly all waiting work is answered here, without a search.
bool decision_core::impl::KnownNotToFit(const resources& need) const {
  return std::any_of(not_fitting.begin(), not_fitting.end(),
                     [&need](const resources& failed) { return Fits(failed, need); });
}

void decision_core::impl::AddNotFitting(const resources& need) {
  std::erase_if(not_fitting, [&need](const resources& larger) { return Fits(need, larger); });
  if (not_fitting.size() >= kMaxNotFitting) not_fitting.erase(not_fitting.begin());
  not_fitting.push_back(need);
}

// What the freed endpoints have now, for the look through the blocked lanes: only those that can
// hold the least that any lane needs. Many are joined into one that has the most of each amount.
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

// Makes ready the first of the blocked lanes that freed room can help. One at a time: most often it
// takes the room, and all others would be tried for nothing.
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

// A first, cheap look: whether freed room, or room that is no longer kept, holds the lane's least.
// `kept`: of batch work, the same for all lanes.
bool decision_core::impl::MayUnblock(const blocked_queue& blocked,
                                     const resources& withheld) const {
  if (!blocked.withheld) return FitsFreedCapacity(blocked.min_need);
  const bool is_batch = blocked.ref.kind == queue_class::kBatch;
  const resources room = is_batch ? withheld : WithheldCapacity(blocked.ref.kind, blocked.ref.team);
  return Fits(blocked.min_need + room, endpoints.Open().TotalFree());
}

// The lane to serve next. Urgent work first, then callers who wait for an answer and whose team is
// within its share; all other work goes by share alone, so that a flood of one team's interactive
// work does not take away the share of another's batch work.
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

// Room that is left to callers who wait for an answer: a burst of them then finds room at once, and
// not when some task ends. Batch work leaves it, and so does interactive work of a team far beyond
// its share: one greedy team would else fill the floor, and callers of all others wait for each
// place. Once callers wait for room all the same, none is kept and room goes by share alone: with
// more callers than room, batch work would get nothing.
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
  // As many places as the number of callers usually swings by: its root.
  return FractionOf(endpoints.InteractiveUse() - own.interactive, 1.0 / std::sqrt(others));
}

bool decision_core::impl::IsWithheld(const job_record& job) const {
  const resources withheld = WithheldCapacity(ClassOf(job.request), job.request.team);
  if (withheld == resources{}) return false;
  const resources& free = endpoints.Open().TotalFree();
  return Fits(job.request.each, free) && !Fits(job.request.each + withheld, free);
}

}  // namespace catkinford
