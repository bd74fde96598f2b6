// What the owner of a shard keeps of one job, from its arrival until its identity is evicted.
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
  kSent,              // a start is in flight
  kStartUnconfirmed,  // the reply to its start was lost; the next listing of the endpoint decides
  kRunning,
  kDone,
  kFailed,
  kRemote,  // of a split job: it belongs to another shard
};

inline bool IsFinished(task_phase phase) {
  return phase == task_phase::kDone || phase == task_phase::kFailed;
}
// Started, or possibly started, and not finished.
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
  bool has_spec =
      false;  // false: known from a listing only; its caller has not contacted this owner yet
  bool durable = false;   // its record is stored
  bool accepted = false;  // the decision core has it
  bool cancelled = false;
  bool awaits_listings = false;  // from an earlier owner: whether it runs is not known yet
  bool ever_ran = false;
  std::vector<std::string> entries;  // that wait for its outcome
  std::vector<uint64_t> asks;        // numbers of its submissions, all rejected if the job is
  std::vector<task_progress> tasks;
  std::string answer;  // of the last task that succeeded
  std::string fault;   // of the first task that failed
  monotonic_time deadline = monotonic_time::max();
  monotonic_time arrived{};  // until its first start
  // Of a split job that waits for its parts' records: when its acceptance is reported anyway.
  monotonic_time report_accepted_by = monotonic_time::max();
  std::optional<outcome> ended;
  uint32_t unrecorded_plans = 0;  // changes of `spec.parts` not yet in the store
  monotonic_time forget_at{};     // once it has finished
  bool end_unreported = false;    // its outcome is reported once it is stored
};

job_progress ProgressOf(const job_state& job);
// Whether any task of the job, or of `part`, belongs to another shard.
bool HasRemoteTasks(const job_state& job);
bool HasRemoteTasks(const job_state& job, const job_part& part);
// Indices of the tasks that wait in this shard.
std::vector<uint32_t> WaitingTasks(const job_state& job);
// The outcome, once no task waits or runs; a service ends only when it is cancelled.
std::optional<outcome> FinalOutcome(const job_state& job);
// Kinds that are accepted only once their record is stored.
inline bool IsDurable(workload_kind kind) { return kind != workload_kind::kInteractive; }

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_JOB_STATE_H_
