#include <algorithm>
#include <cmath>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

constexpr size_t kMostNotFitting = 32;
// More freed endpoints than this and all blocked lanes are tried again.
constexpr size_t kMostFreedLookedAt = 64;
// Room kept free of batch work, as a part of what interactive work uses. Mean interactive wait in
// ms (kitamura, altynsay, both) and packing lost, seed 1: 0 228, 55, 85; 0.1 193, 54, 83; 0.2 178,
// 43, 70, 0.2 points; 0.4 120, 35, 46, 0.8 points; 0.6 105, 20, 27, 1.8 points.
constexpr double kKeptPart = 0.4;
// What interactive work uses swings by the root of its tasks, so that a large floor needs a smaller
// part: this many roots, where that is less. `policy --mix both --scale 6 --seed 1`, packing, mean
// and p99 wait of callers in ms: without 0.899, 0.7, 22; 8 0.917, 2.2, 48; 6 0.925, 3.9, 59; 4
// 0.932, 7.1, 86. At the size of today kKeptPart is the smaller one.
constexpr double kKeptRoots = 6;
// A team beyond this many times its share leaves room to the callers of others. `policy`, seeds 1
// to 3, p99 wait of five teams within their shares while a sixth asks for three times the floor,
// and goodput at 1.2 times the capacity, where teams of equal shares stand at them: without 27 ms,
// 1,722/s; 1.0 42 ms, 1,658 (those just over their share wait for room kept for the others); 1.25 3
// ms, 1,693; 1.5 4 ms, 1,721. Twice the room: 1 ms at 1.5, for another 7 % of a floor of 136 slots.
constexpr double kGreedyTimes = 1.5;

resources PartOf(const resources& whole, double part) {
  const auto of = [part](uint32_t amount) { return static_cast<uint32_t>(amount * part); };
  return {of(whole.cpu_milli), of(whole.memory_mb), of(whole.accelerators), of(whole.slots)};
}

}  // namespace

// What fitted nowhere may fit now, where an endpoint has more room than before. Also within a
// round: a start may give up a reservation, and work would be told that it fits nowhere while there
// is room.
void decision_core::impl::RoomFreed() {
  const std::vector<endpoint_index>& freed = floor.Freed();
  if (freed.size() - freed_seen > kMostFreedLookedAt) {
    not_fitting.clear();
    freed_seen = freed.size();
  }
  for (; freed_seen < freed.size(); ++freed_seen) {
    const resources free = floor[freed[freed_seen]].Free();
    std::erase_if(not_fitting, [&free](const resources& need) { return Fits(need, free); });
  }
}

// Whether the need, or a smaller one, was found to fit nowhere and nothing has come free for it. On
// a full floor nearly all waiting work is answered here, without a search.
bool decision_core::impl::KnownNotToFit(const resources& need) const {
  return std::any_of(not_fitting.begin(), not_fitting.end(),
                     [&need](const resources& failed) { return Fits(failed, need); });
}

void decision_core::impl::NoteNotFitting(const resources& need) {
  std::erase_if(not_fitting, [&need](const resources& larger) { return Fits(need, larger); });
  if (not_fitting.size() >= kMostNotFitting) not_fitting.erase(not_fitting.begin());
  not_fitting.push_back(need);
}

// What the freed endpoints have now, for the look through the blocked lanes: only those that can
// hold the least that any lane needs. Many are joined into one that has the most of each amount.
void decision_core::impl::ListFreedRoom() {
  freed_room.clear();
  if (floor.Freed().empty() || lanes.NoRoom().empty()) return;
  const bool join = floor.Freed().size() > kMostFreedLookedAt;
  for (const endpoint_index endpoint : floor.Freed()) {
    if (!floor.Open().Contains(endpoint)) continue;
    const resources free = floor[endpoint].Free();
    if (!Fits(lanes.LeastNeed(), free)) continue;
    if (join && !freed_room.empty()) {
      freed_room[0] = LargestOf(freed_room[0], free);
    } else {
      freed_room.push_back(free);
    }
  }
}

bool decision_core::impl::FreedRoomHolds(const resources& need) const {
  return std::any_of(freed_room.begin(), freed_room.end(),
                     [&need](const resources& free) { return Fits(need, free); });
}

// Makes ready the first of the blocked lanes that freed room can help. One at a time: most often it
// takes the room, and all others would be tried for nothing.
void decision_core::impl::WakeBest() {
  RoomFreed();
  ListFreedRoom();
  if (freed_room.empty() && lanes.KeptLanes() == 0) return;
  const resources kept = KeptRoom(lane_class::kBatch, 0);
  std::optional<lane_rank> best;
  for (const blocked_lane& blocked : lanes.NoRoom()) {
    if (blocked.tried == round || !MayHelp(blocked, kept)) continue;
    const lane_rank rank = RankOf(blocked.ref);
    if (best && *best < rank) continue;
    const lane_needs& needs = lanes.Peek(blocked.ref).needs;
    const bool helps =
        blocked.kept || std::any_of(needs.begin(), needs.end(),
                                    [this](const resources& need) { return FreedRoomHolds(need); });
    if (helps) best = rank;
  }
  if (best) lanes.Unblock(best->ref);
}

// A first, cheap look: whether freed room, or room that is no longer kept, holds the lane's least.
// `kept`: of batch work, the same for all lanes.
bool decision_core::impl::MayHelp(const blocked_lane& blocked, const resources& kept) const {
  if (!blocked.kept) return FreedRoomHolds(blocked.least);
  const bool is_batch = blocked.ref.kind == lane_class::kBatch;
  const resources room = is_batch ? kept : KeptRoom(blocked.ref.kind, blocked.ref.team);
  return Fits(blocked.least + room, floor.Open().TotalFree());
}

// The lane to serve next. Urgent work first, then callers who wait for an answer and whose team is
// within its share; all other work goes by share alone, so that a flood of one team's interactive
// work does not take away the share of another's batch work.
lane_rank decision_core::impl::RankOf(const lane_ref& ref) const {
  lane_rank rank{2, teams.Find(ref.team)->ratio, ref};
  if (ref.kind == lane_class::kUrgent) rank.first = 0;
  if (ref.kind == lane_class::kInteractive && teams.WithinShare(ref.team)) rank.first = 1;
  return rank;
}

std::optional<lane_ref> decision_core::impl::Pick() const {
  std::optional<lane_rank> best;
  for (size_t kind = 0; kind < kLaneClasses; ++kind) {
    const std::optional<lane_ref> first = lanes.First(static_cast<lane_class>(kind));
    if (!first) continue;
    const lane_rank rank = RankOf(*first);
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
resources decision_core::impl::KeptRoom(lane_class kind, team_index team) const {
  if (lanes.NoRoomOf(lane_class::kInteractive) > 0) return {};
  if (kind == lane_class::kBatch) {
    const double root = std::sqrt(std::max(1U, floor.InteractiveTasks()));
    return PartOf(floor.InteractiveUse(), std::min(kKeptPart, kKeptRoots / root));
  }
  if (kind != lane_class::kInteractive || !teams.BeyondShare(team, kGreedyTimes)) return {};
  const team_record& own = *teams.Find(team);
  const uint32_t others = floor.InteractiveTasks() - own.interactive_tasks;
  if (others == 0) return {};
  // As many places as the number of callers usually swings by: its root.
  return PartOf(floor.InteractiveUse() - own.interactive, 1.0 / std::sqrt(others));
}

bool decision_core::impl::KeptForCallers(const job_record& job) const {
  const resources kept = KeptRoom(ClassOf(job.request), job.request.team);
  if (kept == resources{}) return false;
  const resources& free = floor.Open().TotalFree();
  return Fits(job.request.each, free) && !Fits(job.request.each + kept, free);
}

}  // namespace catkinford
