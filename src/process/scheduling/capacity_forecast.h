// What an instance will have free, and the room in it that is held for work next in line.
//
// The load it answers: wide tasks, which need most of an instance, and narrow ones that fit
// anywhere share a service. Each time a narrow task ends another one takes its place, no instance
// is ever empty enough, and the wide ones wait for ever though they come first. Here those next in
// line hold the instance that will have room for them soonest; others start there only if they fit
// beside or will have ended by then.
#ifndef CATKINFORD_PROCESS_SCHEDULING_CAPACITY_FORECAST_H_
#define CATKINFORD_PROCESS_SCHEDULING_CAPACITY_FORECAST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

class capacity_forecast {
 public:
  explicit capacity_forecast(const resources& free) { Add(free_, free, 1); }

  // A run is expected to end at `when`. Runs that last have no end.
  void AddEnd(monotonic_time when, const resources& demand);
  // Work that starts now and is expected to end at `until`.
  void Start(const resources& demand, monotonic_time until);
  // When `room` is free beside all that is held, `now` at the earliest; nothing: never.
  std::optional<monotonic_time> EarliestFor(const resources& demand, monotonic_time now) const;
  void Reserve(const resources& demand, monotonic_time from);
  // True if `room`, taken now and given back at `until`, delays nothing that holds room here.
  bool MayUse(const resources& demand, monotonic_time until) const;

 private:
  // Signed: what is held may exceed what is free until its time comes.
  struct amounts {
    int64_t cpu_milli = 0;
    int64_t memory_mb = 0;
    int64_t accelerators = 0;
  };
  struct change {
    monotonic_time when;
    resources demand;
  };

  static void Add(amounts& sum, const resources& demand, int sign);
  static bool Covers(const amounts& sum, const resources& demand);
  // What is free at `when` less all that is held from then or earlier.
  amounts FreeAt(monotonic_time when) const;

  amounts free_;  // now
  std::vector<change> ends_;
  std::vector<change> reservations_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_CAPACITY_FORECAST_H_
