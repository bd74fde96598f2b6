// What the owner of a shard keeps of one job, from its arrival until its identity is forgotten.
#ifndef CATKINFORD_REQUEST_JOB_STATE_H_
#define CATKINFORD_REQUEST_JOB_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "process/message.h"
#include "request/job_request.h"
#include "request/outcome.h"

namespace catkinford {

enum class task_phase : uint8_t {
  kWaiting,
  kSent,              // a start is under way
  kStartUnconfirmed,  // the reply to its start is lost; the next list of the endpoint decides
  kRunning,
  kDone,
  kFailed,
  kRemote,  // of a spread job: it lives in another shard
};

inline bool IsFinished(task_phase phase) {
  return phase == task_phase::kDone || phase == task_phase::kFailed;
}
// Started, or perhaps started, and not over.
inline bool IsInFlight(task_phase phase) {
  return phase != task_phase::kWaiting && !IsFinished(phase);
}

struct task_progress {
  uint32_t attempt = 0;
  uint32_t endpoint = 0;
  task_phase phase = task_phase::kWaiting;
};

struct job_state {
  place_message spec;
  bool has_spec = false;  // false: known from a list only, its caller has not asked us yet
  bool durable = false;   // its record is in the store
  bool accepted = false;  // the core has it
  bool cancelled = false;
  bool awaits_listings = false;  // of an earlier owner: whether it runs is not known yet
  bool ever_ran = false;
  std::vector<std::string> entries;  // which wait for an outcome
  std::vector<uint64_t> asks;        // that were taken in, to be refused together
  std::vector<task_progress> tasks;
  std::string answer;  // of the last task that ended well
  std::string fault;   // of the first task that failed
  monotonic_time deadline = monotonic_time::max();
  monotonic_time arrived{};  // until its first start
  // Of a spread job that waits for its parts' records: when its caller is told all the same.
  monotonic_time report_accepted_by = monotonic_time::max();
  std::optional<outcome> ended;
  uint32_t unrecorded_plans = 0;  // changes of `spec.parts` that the store does not have yet
  monotonic_time forget_at{};     // once it has ended
  bool end_unreported = false;    // its end is told once the store has it
};

job_progress ProgressOf(const job_state& job);
// Whether any task, or any of a part, is another shard's.
bool HasRemoteTasks(const job_state& job);
bool HasRemoteTasks(const job_state& job, const job_part& part);
// Tasks that wait here.
std::vector<uint32_t> WaitingTasks(const job_state& job);
// The job's end, once no task waits or runs; a service ends only when it is cancelled.
std::optional<outcome> FinalOutcome(const job_state& job);
// Kinds whose acceptance means that their record is in the store.
inline bool IsDurable(workload_kind kind) { return kind != workload_kind::kInteractive; }

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_JOB_STATE_H_
