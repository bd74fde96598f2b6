// Client for endpoints: fence, list, start, sync, stop, throttle. The endpoints' HTTP protocol
// (docs/PROTOCOL.md) is implemented only here and in endpoint_adapter.cc.
#ifndef CATKINFORD_CONNECTION_ENDPOINT_ADAPTER_H_
#define CATKINFORD_CONNECTION_ENDPOINT_ADAPTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "connection/http_client.h"
#include "request/identity.h"
#include "request/job_request.h"

namespace catkinford {

// Network address of one endpoint.
struct endpoint_address {
  std::string base_url;  // of the endpoint's process, "http://IP:PORT"
  std::string name;
};

struct start_task {
  task_id id;
  resources amount;
  workload_kind kind = workload_kind::kInteractive;
  std::string team;
  std::string payload;
  std::chrono::milliseconds lease{0};  // the endpoint kills the task after this long without a sync
  std::chrono::milliseconds retain{0};  // how long the endpoint lists the task after it ended
  // Deadline relative to the arrival of the call; the endpoint rejects a start that arrives later.
  // Protects against duplicate runs where endpoints do not support fencing.
  std::optional<std::chrono::milliseconds> not_after;
};

struct sync_call {
  uint64_t epoch = 0;
  uint64_t incarnation = 0;
  uint64_t cursor = 0;                 // acknowledges all finished tasks up to here
  std::chrono::milliseconds wait{0};   // how long the endpoint may delay its reply
  std::chrono::milliseconds lease{0};  // new lease of every task on the endpoint
};

enum class endpoint_status : uint8_t {
  kDone,
  kFenced,     // the endpoint has seen a higher epoch, so another owner exists; not executed
  kNotSent,    // the call did not reach the endpoint
  kMaybeSent,  // the reply was lost or unreadable: the call may have been executed
  kRefused,    // the endpoint replied that it did not execute the call
};

enum class task_result : uint8_t { kNone, kOk, kFailed, kStopped, kCheckpointed, kLeaseExpired };

// The endpoint's result for one task of a start or stop call.
enum class call_result : uint8_t {
  kUnknown,  // value not known to this version: the task may have started
  kStarted,
  kAlready,  // this id runs or ran here: not started again
  kNoRoom,
  kLate,
  kBroken,    // the endpoint failed to start the task
  kStopping,  // this and the following are results of a stop
  kFinished,
  kAbsent,
};

struct task_status {
  task_id id;
  bool finished = false;
  resources amount;
  workload_kind kind = workload_kind::kInteractive;
  std::string team;
  std::chrono::milliseconds ran{0};
  task_result result = task_result::kNone;
  std::string answer;
};

struct finished_task {
  task_id id;
  uint64_t seq = 0;
  task_result result = task_result::kNone;
  std::chrono::milliseconds ran{0};
  std::string answer;
};

struct task_call_result {
  task_id id;
  call_result result = call_result::kUnknown;
};

struct endpoint_usage {
  uint64_t cpu_milli = 0;
  uint64_t memory_mb = 0;
  std::chrono::milliseconds age{0};
};

struct endpoint_reply {
  endpoint_status status = endpoint_status::kNotSent;
  uint64_t epoch = 0;        // of a fence; with kFenced the higher epoch that was seen
  uint64_t incarnation = 0;  // changes when the endpoint restarts, which loses its tasks
  uint64_t cursor = 0;
  resources shape;                        // of a fence
  std::vector<task_status> tasks;         // of a fence or list
  std::vector<finished_task> finished;    // of a sync
  std::vector<task_call_result> results;  // of a start or stop; a missing task counts as kUnknown
  uint32_t running = 0;                   // of a sync
  endpoint_usage usage;                   // of a sync
  bool leaving = false;                   // of a sync
};

class endpoint_adapter {
 public:
  using callback = std::function<void(endpoint_reply)>;  // runs on the HTTP client's thread

  endpoint_adapter(http_client& http, std::chrono::milliseconds timeout);

  // Raises the endpoint's epoch and lists all tasks that it runs or retains.
  void Fence(const endpoint_address& address, uint64_t epoch, callback done);
  // Returns the same list without raising the epoch.
  void List(const endpoint_address& address, callback done);
  void Start(const endpoint_address& address, uint64_t epoch, const std::vector<start_task>& tasks,
             callback done);
  // `fresh_connection`: bypasses pooled connections, which may be dead.
  void Sync(const endpoint_address& address, const sync_call& sync, callback done,
            bool fresh_connection = false);
  void Stop(const endpoint_address& address, uint64_t epoch, const std::vector<task_id>& ids,
            bool checkpoint, callback done);
  void Throttle(const endpoint_address& address, uint64_t epoch, const task_id& id,
                uint32_t cpu_milli, callback done);

 private:
  void Post(const endpoint_address& address, const char* operation, std::string body,
            std::chrono::milliseconds timeout, bool fresh_connection, callback done);

  http_client& http_;
  std::chrono::milliseconds timeout_;
};

// The codec without the transport, for tests and benchmarks.
std::string EncodeStart(uint64_t epoch, const std::vector<start_task>& tasks);
std::string EncodeSync(const sync_call& sync);
endpoint_reply DecodeEndpointReply(const http_result& result);

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_ENDPOINT_ADAPTER_H_
