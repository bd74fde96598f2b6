// What callers, endpoints and operators wrote down themselves about a run. The checker judges from
// this alone; nothing in it is the scheduler's opinion.
//
// All processes are on one machine and all times are its monotonic clock's, which they share. By
// the wall clock a run would be torn apart where that clock is set or slewed meanwhile: a task
// would seem to start before it was asked for, and a promise look broken that held.
#ifndef CATKINFORD_BENCH_HISTORY_H_
#define CATKINFORD_BENCH_HISTORY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "request/job_request.h"
#include "request/outcome.h"

namespace catkinford {

// One call of a caller. `work` is the caller's own mark on its request: the endpoint returns it as
// the answer and writes it into its record.
struct call_record {
  std::string work;
  std::string team;
  std::string key;    // name of the key
  std::string entry;  // that was asked
  workload_kind kind = workload_kind::kInteractive;
  bool repeatable = true;
  bool cancelled = false;  // its caller cancelled it
  bool is_cancel = false;  // this call was the cancel itself
  uint32_t tasks = 1;
  std::chrono::milliseconds run_time{0};
  monotonic_time scheduled;  // when an open loop meant to send it
  monotonic_time sent;
  monotonic_time answered;  // or given up
  bool has_answer = false;
  bool surely_not_sent = false;  // no connection
  int status = 0;                // of HTTP
  outcome_kind outcome = outcome_kind::kUnknown;
  rejection_reason reason = rejection_reason::kNone;
  std::chrono::milliseconds retry_after{0};  // when to come back, as the entry said
  std::string answer;
  std::string id;  // as the entry named it in its answer
  // Of an accepted job, what its caller was told when it asked for the job's state in the end.
  std::optional<outcome_kind> ended;
};

// One line of an endpoint's record.
struct run_event {
  monotonic_time at;
  std::string endpoint;
  std::string event;  // start, end, refuse, leaving, mode
  std::string id;     // JOB/INDEX/ATTEMPT
  uint64_t epoch = 0;
  std::string team;
  std::string work;
  std::string result;
  resources amount;
};

struct endpoint_capacity {
  std::string endpoint;
  resources capacity;
};

// A team's upper limit from `from` on. A lowered one holds once `settled` has passed.
struct limit_record {
  std::string team;
  resources limit;
  uint32_t running = 0;
  monotonic_time from;
  std::chrono::milliseconds settled{0};
};

struct key_withdrawal {
  std::string team;
  std::string key;
  monotonic_time accepted;
};

struct config_acceptance {
  uint64_t version = 0;
  std::string text;
  monotonic_time accepted;
};

// What an entry gave to an operator who asked it for its configuration.
struct config_reading {
  std::string entry;
  uint64_t version = 0;
  std::string text;
  monotonic_time at;
};

struct graceful_stop {
  std::string entry;
  monotonic_time signalled;
  monotonic_time ended;
  int exit_code = 0;
};

// A time in which an entry was killed, paused or cut off by the scenario: it may hear of no new
// version, and with `no_answers` callers there may be left without one. Nothing else is excused.
struct fault_window {
  std::string entry;
  monotonic_time from;
  monotonic_time to;
  bool no_answers = true;
};

struct history {
  std::vector<call_record> calls;
  std::vector<run_event> events;
  std::vector<endpoint_capacity> endpoints;
  std::vector<limit_record> limits;
  std::vector<key_withdrawal> withdrawals;
  std::vector<config_acceptance> acceptances;
  std::vector<config_reading> readings;
  std::vector<graceful_stop> stops;
  std::vector<fault_window> faults;
  bool all_work_over = false;  // the run waited for the end: accepted jobs must have run by now
};

// Appends the lines of an endpoint process's `GET /record`. False when a line is not understood.
bool AppendRecord(const std::string& text, std::vector<run_event>& events);

// The history as lines of text for people: each run and each call with its times, in order.
std::string ToLines(const history& seen);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_HISTORY_H_
