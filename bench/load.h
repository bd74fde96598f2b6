// An open loop of requests: arrivals at a given rate, whatever becomes of those before.
#ifndef CATKINFORD_BENCH_LOAD_H_
#define CATKINFORD_BENCH_LOAD_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "bench/caller.h"
#include "bench/contract_maker.h"

namespace catkinford {

// Parts of the arrivals by kind; they need not add up to anything.
struct load_mix {
  double interactive = 1;
  double service = 0;
  double batch = 0;
  double gang = 0;
  double not_repeatable = 0;  // part of the interactive ones
};
// "interactive=0.9,batch=0.08,gang=0.02,not_repeatable=0.5"; false for anything else.
bool ParseMix(const std::string& text, load_mix& mix);

struct load_target {
  std::string entry;
  std::string url;
};

struct load_options {
  double rate = 100;  // arrivals a second
  std::chrono::milliseconds length{10000};
  load_mix mix;
  std::chrono::milliseconds shortest_run{10};
  std::chrono::milliseconds longest_run{30};
  resources each{1000, 1024, 0, 0};
  std::chrono::milliseconds deadline{5000};
  uint64_t seed = 1;
  std::string prefix = "w";  // of the marks
  bool keyed = true;         // each request has an idempotency key
};

// The requests of one load, in order; the same seed gives the same ones.
class load_source {
 public:
  explicit load_source(const load_options& options);
  call_spec Next();
  // From one arrival to the next: exponential.
  std::chrono::nanoseconds NextGap();

 private:
  workload_kind PickKind();

  load_options options_;
  std::mt19937_64 random_;
  uint64_t next_ = 0;
};

// Sends for `length`, each arrival to the next target in turn as a balancer would, and returns when
// the last was sent. `targets` is asked anew for each arrival; nullopt ends the load.
using target_source = std::function<std::optional<std::vector<load_target>>()>;
void RunLoad(const load_options& options, caller& callers, const std::vector<team_access>& teams,
             const target_source& targets);

// Times over the run time that was asked for, from the time that the arrival was due.
struct load_figures {
  uint64_t sent = 0;
  uint64_t completed = 0;
  uint64_t accepted = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t unknown = 0;
  uint64_t no_answer = 0;
  double achieved_rate = 0;  // completed and accepted a second
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double accepted_p50_ms = 0;  // until a job that nobody waits for is accepted
  double accepted_p99_ms = 0;
  double refused_p99_ms = 0;
};
load_figures FiguresOf(const std::vector<call_record>& records);
nlohmann::json ToJson(const load_figures& figures);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_LOAD_H_
