#include "process/scheduling/room_forecast.h"

#include <algorithm>

namespace catkinford {

void room_forecast::Add(amounts& sum, const resources& room, int sign) {
  sum.cpu_milli += sign * static_cast<int64_t>(room.cpu_milli);
  sum.memory_mb += sign * static_cast<int64_t>(room.memory_mb);
  sum.accelerators += sign * static_cast<int64_t>(room.accelerators);
}

bool room_forecast::Covers(const amounts& sum, const resources& room) {
  return sum.cpu_milli >= room.cpu_milli && sum.memory_mb >= room.memory_mb &&
         sum.accelerators >= room.accelerators;
}

void room_forecast::AddEnd(monotonic_time when, const resources& room) {
  const auto later =
      std::upper_bound(ends_.begin(), ends_.end(), when,
                       [](monotonic_time time, const change& end) { return time < end.when; });
  ends_.insert(later, {when, room});
}

void room_forecast::Start(const resources& room, monotonic_time until) {
  Add(free_, room, -1);
  AddEnd(until, room);
}

void room_forecast::Hold(const resources& room, monotonic_time from) {
  holds_.push_back({from, room});
}

room_forecast::amounts room_forecast::LeftAt(monotonic_time when) const {
  amounts left = free_;
  for (const change& end : ends_) {
    if (end.when > when) break;
    Add(left, end.room, 1);
  }
  for (const change& hold : holds_) {
    if (hold.when <= when) Add(left, hold.room, -1);
  }
  return left;
}

std::optional<monotonic_time> room_forecast::EarliestFor(const resources& room,
                                                         monotonic_time now) const {
  amounts left = free_;
  for (const change& hold : holds_) Add(left, hold.room, -1);
  if (Covers(left, room)) return now;
  for (const change& end : ends_) {
    Add(left, end.room, 1);
    if (Covers(left, room)) return std::max(now, end.when);
  }
  return std::nullopt;
}

bool room_forecast::MayUse(const resources& room, monotonic_time until) const {
  return std::all_of(holds_.begin(), holds_.end(), [&](const change& hold) {
    return hold.when >= until || Covers(LeftAt(hold.when), room);
  });
}

}  // namespace catkinford
