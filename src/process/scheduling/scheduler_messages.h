// Input and output of the job scheduler.
#ifndef CATKINFORD_PROCESS_SCHEDULING_SCHEDULER_MESSAGES_H_
#define CATKINFORD_PROCESS_SCHEDULING_SCHEDULER_MESSAGES_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/scheduling/copy_policy.h"
#include "process/scheduling/graph_state.h"

namespace catkinford {

// Recipient of a command. Another incarnation of the instance must reject it.
struct command_target {
  std::string instance;
  std::string address;
  int64_t incarnation = 0;
};

struct start_command {
  command_target to;
  task_key key;
  uint32_t run = 0;
  std::string payload;
  int64_t lease_until_ms = 0;  // on the instance's clock
  std::string checkpoint;
  std::string ticket;
  uint64_t lease_command = 0;  // its number among the lease_commands of the instance
};

struct stop_command {
  command_target to;
  task_key key;
  uint32_t run = 0;
  bool one_of_many = false;  // more stops than usual are in flight at the instance
};

struct speed_command {
  command_target to;
  task_key key;
  uint32_t run = 0;
  uint32_t percent = 100;
};

// Lists running and ended runs and extends the lease of all runs.
struct list_command {
  command_target to;
  std::optional<int64_t> lease_until_ms;
  uint64_t ends_seen = 0;             // the instance may forget ends up to this number
  std::chrono::milliseconds wait{0};  // for an end
  bool check = false;                 // sent beside a waiting listing
  uint64_t number = 0;                // increases with each listing that is not a check
  uint64_t lease_command = 0;         // as in start_command; 0: extends no lease
};

// Asks a queue's policy which of these instances may run a step.
struct advice_query {
  std::string job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  std::vector<std::string> instances;
  std::chrono::milliseconds expected{0};  // duration of the policy's answer
  bool urgent = false;
};

struct scheduler_commands {
  std::vector<start_command> starts;
  std::vector<stop_command> stops;
  std::vector<speed_command> speeds;
  std::vector<list_command> listings;
  std::vector<advice_query> advice;
};

enum class command_result : uint8_t {
  kDone,
  kNotDone,  // certainly not executed: not sent, or rejected
  kFenced,   // a higher epoch was seen: another process owns the site
  kStale,    // a run with this or a higher number was stopped or has ended there
  kLate,     // the lease in the command has expired
  kNoRoom,
  kNoTicket,
  kOtherIncarnation,  // the instance is not the intended incarnation
  kMalformed,
  kUnknown  // no answer: it may have been executed, or be executed later
};
std::string_view ToText(command_result result);

struct command_answer {
  command_result result = command_result::kUnknown;
  std::optional<int64_t> clock_ms;  // of the instance
};

enum class run_end : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,  // its lease expired
  kBroken,  // another member of its gang ended
  kAlone,   // it waited too long for its gang
  kUnknown
};
std::string_view ToText(run_end how);

struct running_row {
  task_key key;
  uint32_t run = 0;
  std::string checkpoint;
  uint32_t percent = 0;
  uint32_t load = 0;  // tail latency in ms of a serving task, processors in use otherwise
};

struct ended_row {
  uint64_t number = 0;
  task_key key;
  uint32_t run = 0;
  run_end how = run_end::kUnknown;
  std::string checkpoint;
};

struct instance_listing {
  int64_t clock_ms = 0;
  int64_t incarnation = 0;
  std::vector<running_row> running;
  std::vector<ended_row> ended;
};

struct advice_answer {
  bool answered = false;  // false: no verdict
  bool overloaded = false;
  std::vector<std::pair<std::string, std::string>> allowed;  // instance and ticket
  std::chrono::milliseconds valid{0};                        // 0: use the queue's validity
};

// Copies of tasks since they were last taken.
struct copy_counts {
  std::array<uint64_t, kCopyReasons> started{};  // by reason
  uint64_t won = 0;
  uint64_t lost = 0;
  std::chrono::duration<double> wasted{0};  // processor time of runs that lost, copies or not
};

// An event for the log: a decision on a job, or a change in the view of an instance.
struct scheduler_event {
  enum class kind : uint8_t {
    kJobAdded,
    kJobFinal,
    kTaskStart,
    kTaskRefused,
    kTaskEnd,
    kTaskStop,
    kRunVanished,
    kInstanceJoined,
    kInstanceReborn,
    kInstanceAbsent,
    kInstanceSilent,
    kInstanceBack,
    kInstanceDraining,
    kInstanceShunned,
    kInstanceDoubted,
    kDomainEvacuated,
    kRunAdopted,
    kRunUnidentified,
    kAdvice,
    kInstanceSpeed,
    kCopyDecided,
  };
  kind what = kind::kJobAdded;
  std::string subject;  // job or instance
  std::string detail;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_SCHEDULER_MESSAGES_H_
