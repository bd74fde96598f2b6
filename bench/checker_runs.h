// The runs that an endpoint record tells of: a start and its end.
#ifndef CATKINFORD_BENCH_CHECKER_RUNS_H_
#define CATKINFORD_BENCH_CHECKER_RUNS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "bench/history.h"

namespace catkinford {

struct task_run {
  std::string endpoint;
  std::string id;
  std::string place;  // JOB/INDEX: the same for all attempts
  uint32_t index = 0;
  uint64_t epoch = 0;
  std::string team;
  std::string work;
  std::string result;  // empty: still running at the end of the record
  resources amount;
  monotonic_time start;
  monotonic_time end = monotonic_time::max();
};

// In order of start.
std::vector<task_run> RunsOf(const std::vector<run_event>& events);

// All runs and all calls with one caller's mark.
struct work_history {
  std::vector<const task_run*> runs;
  std::vector<const call_record*> calls;
};
using work_index = absl::flat_hash_map<std::string, work_history>;
work_index IndexByWork(const std::vector<task_run>& runs, const std::vector<call_record>& calls);

// Whether the endpoints' records show that an accepted job is over: each of its tasks ran to an
// end, or must not start again, or is a service and serves; or the job is a gang of which one
// failed.
bool IsOver(const call_record& accepted, const work_history& all);

// A change of what runs at one time: ends come before starts of the same instant, but for the end
// of a run that began in it, which would otherwise give back room that it has not taken.
struct load_step {
  monotonic_time at;
  bool is_start = false;
  const task_run* run = nullptr;

  int Rank() const {
    if (is_start) return 1;
    return run->start == at ? 2 : 0;
  }
  bool operator<(const load_step& other) const {
    return at != other.at ? at < other.at : Rank() < other.Rank();
  }
};

// In order of time.
std::vector<load_step> StepsOf(const std::vector<const task_run*>& runs);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_CHECKER_RUNS_H_
