#include "process/scheduling/capacity_forecast.h"

#include <algorithm>

namespace catkinford {

void capacity_forecast::Add(amounts& sum, const resources& demand, int sign) {
  sum.cpu_milli += sign * static_cast<int64_t>(demand.cpu_milli);
  sum.memory_mb += sign * static_cast<int64_t>(demand.memory_mb);
  sum.accelerators += sign * static_cast<int64_t>(demand.accelerators);
}

bool capacity_forecast::Covers(const amounts& sum, const resources& demand) {
  return sum.cpu_milli >= demand.cpu_milli && sum.memory_mb >= demand.memory_mb &&
         sum.accelerators >= demand.accelerators;
}

void capacity_forecast::AddEnd(monotonic_time when, const resources& demand) {
  const auto later =
      std::upper_bound(ends_.begin(), ends_.end(), when,
                       [](monotonic_time time, const change& end) { return time < end.when; });
  ends_.insert(later, {when, demand});
}

void capacity_forecast::Start(const resources& demand, monotonic_time until) {
  Add(free_, demand, -1);
  AddEnd(until, demand);
}

void capacity_forecast::Reserve(const resources& demand, monotonic_time from) {
  reservations_.push_back({from, demand});
}

capacity_forecast::amounts capacity_forecast::FreeAt(monotonic_time when) const {
  amounts free = free_;
  for (const change& end : ends_) {
    if (end.when > when) break;
    Add(free, end.demand, 1);
  }
  for (const change& reservation : reservations_) {
    if (reservation.when <= when) Add(free, reservation.demand, -1);
  }
  return free;
}

std::optional<monotonic_time> capacity_forecast::EarliestFor(const resources& demand,
                                                             monotonic_time now) const {
  amounts free = free_;
  for (const change& reservation : reservations_) Add(free, reservation.demand, -1);
  if (Covers(free, demand)) return now;
  for (const change& end : ends_) {
    Add(free, end.demand, 1);
    if (Covers(free, demand)) return std::max(now, end.when);
  }
  return std::nullopt;
}

bool capacity_forecast::MayUse(const resources& demand, monotonic_time until) const {
  return std::all_of(reservations_.begin(), reservations_.end(), [&](const change& reservation) {
    return reservation.when >= until || Covers(FreeAt(reservation.when), demand);
  });
}

}  // namespace catkinford
