// An open loop of requests by team, from callers who come back when they are told to.
#ifndef CATKINFORD_BENCH_RETURNING_CALLERS_H_
#define CATKINFORD_BENCH_RETURNING_CALLERS_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bench/caller.h"
#include "bench/load.h"

namespace catkinford {

// The arrivals of one team.
struct team_stream {
  team_access access;
  double rate = 0;  // a second
};

struct returning_options {
  std::vector<team_stream> streams;
  std::chrono::milliseconds length{10000};
  uint32_t most_returns = 0;  // how often a refused caller comes back; 0: never
  call_spec like;             // size, deadline and mean run time of each request
  uint64_t seed = 1;
  std::string prefix = "r";  // of the marks
};

class returning_callers {
 public:
  returning_callers(returning_options options, std::vector<load_target> targets, size_t clients);

  // Sends fresh requests for the length, and then only those that come back. False when some have
  // no answer `patience` after the last fresh one.
  bool Run(std::chrono::milliseconds patience);
  // In order of answers; all tries of one request carry the same mark.
  std::vector<call_record> Records() const { return callers_.Records(); }

 private:
  struct request {
    size_t stream = 0;
    uint32_t tries = 0;
    call_spec spec;
  };
  struct arrival {
    monotonic_time due;
    size_t request = 0;
    bool operator>(const arrival& other) const { return due > other.due; }
  };

  request Draw();
  void Answered(size_t number, const call_record& record);
  void Send(size_t number, monotonic_time due);
  // Sends those whose time to come back is before `until`, waiting for each; false when nobody is
  // left who could come back.
  bool ServeReturns(monotonic_time until);

  returning_options options_;
  std::vector<load_target> targets_;
  std::mt19937_64 random_;
  std::discrete_distribution<size_t> pick_stream_;
  std::mutex mutex_;  // guards all below
  std::condition_variable changed_;
  std::vector<request> requests_;
  std::priority_queue<arrival, std::vector<arrival>, std::greater<>> returns_;
  size_t open_ = 0;  // sent and not answered
  uint64_t sent_ = 0;
  caller callers_;  // last: its threads end before what they use
};

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_RETURNING_CALLERS_H_
