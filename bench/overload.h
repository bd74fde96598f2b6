// Real processes under more load than their endpoints can hold: what is served and what callers are
// told.
#ifndef CATKINFORD_BENCH_OVERLOAD_H_
#define CATKINFORD_BENCH_OVERLOAD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/history.h"

namespace catkinford {

// What callers were told in a window of time; each try counts.
struct load_answers {
  uint64_t sent = 0;
  double completed_rate = 0;  // a second, those answered in the window
  std::map<std::string, uint64_t> ends;
  std::map<std::string, double> parts;        // of the completed ones, by team
  std::map<std::string, double> wait_p99_ms;  // by team: over the run time, of completed ones
  double others_wait_p99_ms = 0;              // of all teams but the first, together
  double refused_p99_ms = 0;                  // until a caller heard that it was refused
  double late_p99_ms = 0;                     // the same, of those whose deadline passed in a queue
};
load_answers AnswersIn(const std::vector<call_record>& records, monotonic_time from,
                       monotonic_time to);

// What became of callers who were refused and came back when they were told to.
struct return_figures {
  uint64_t requests = 0;
  uint64_t first_returns = 0;
  uint64_t served_at_first_return = 0;
  uint64_t tries = 0;
  uint64_t served = 0;
  double last_served_s = 0;  // from the first request
};
return_figures ReturnsOf(const std::vector<call_record>& records);

struct overload_options {
  std::vector<double> loads{0.5, 1, 1.5, 2, 3};  // of the capacity
  std::chrono::milliseconds length{10000};       // of each load
  std::chrono::milliseconds settle{3000};        // before its figures are taken
  uint64_t seed = 1;
};
// {"loads": [...], "goodput_3x_over_peak": X, ...}; empty when the fleet does not start.
nlohmann::json MeasureLoads(const overload_options& options);
// Callers who come back after an overload: {"served_at_first_return": X, ...}.
nlohmann::json MeasureReturns(const overload_options& options);
// Urgent callers on a floor full of batch work, part of which takes very long over a checkpoint.
nlohmann::json MeasureUrgent(const overload_options& options, double ignoring);
// One team that asks for more than the floor while all others stay within their shares.
nlohmann::json MeasureGreedyTeam(const overload_options& options);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_OVERLOAD_H_
