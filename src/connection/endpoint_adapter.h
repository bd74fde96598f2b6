// Calls to endpoints: fence, start, sync, stop, throttle. All knowledge of the endpoints' HTTP
// protocol (docs/PROTOCOL.md) is in this pair.
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

// Where one endpoint answers.
struct endpoint_address {
  std::string base_url;  // of its process, "http://IP:PORT"
  std::string name;
};

struct start_task {
  task_id id;
  resources amount;
  workload_kind kind = workload_kind::kInteractive;
  std::string team;
  std::string payload;
  std::chrono::milliseconds lease{0};   // without a sync for this long the endpoint kills it
  std::chrono::milliseconds retain{0};  // how long the endpoint lists it after its end
  // Relative to the arrival of the call: a start that arrives late is refused. The protection
  // where endpoints do not fence.
  std::optional<std::chrono::milliseconds> not_after;
};

struct sync_call {
  uint64_t epoch = 0;
  uint64_t incarnation = 0;
  uint64_t cursor = 0;                 // acknowledges all ends up to here
  std::chrono::milliseconds wait{0};   // how long the endpoint may hold the call
  std::chrono::milliseconds lease{0};  // renews the lease of every task there to this
};

enum class endpoint_status : uint8_t {
  kDone,
  kFenced,     // a higher epoch was seen: another process owns it; nothing was done
  kNotSent,    // surely not seen by the endpoint
  kMaybeSent,  // the reply is lost: it may have been done
  kRefused,    // the endpoint answered that it did not do it
};

enum class task_result : uint8_t { kNone, kOk, kFailed, kStopped, kCheckpointed, kLeaseExpired };

// The endpoint's word on one task of a start or stop call.
enum class call_result : uint8_t {
  kUnknown,  // a word that this version does not know: it may have started
  kStarted,
  kAlready,  // this id runs or ran here: nothing was started again
  kNoRoom,
  kLate,
  kBroken,    // the endpoint failed to start it
  kStopping,  // from here on: of stop
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
  uint64_t epoch = 0;        // of a fence; of kFenced the epoch that fenced us off
  uint64_t incarnation = 0;  // another one than before: the endpoint restarted, its tasks are gone
  uint64_t cursor = 0;
  resources shape;                        // of a fence
  std::vector<task_status> tasks;         // of a fence or list
  std::vector<finished_task> finished;    // of a sync
  std::vector<task_call_result> results;  // of a start or stop; a task that is not here is unknown
  uint32_t running = 0;                   // of a sync
  endpoint_usage usage;                   // of a sync
  bool leaving = false;                   // of a sync
};

class endpoint_adapter {
 public:
  using callback = std::function<void(endpoint_reply)>;  // on the client's thread

  endpoint_adapter(http_client& http, std::chrono::milliseconds timeout);

  // Raises the endpoint's epoch and lists all that it runs or retains.
  void Fence(const endpoint_address& address, uint64_t epoch, callback done);
  // The same list with nothing raised.
  void List(const endpoint_address& address, callback done);
  void Start(const endpoint_address& address, uint64_t epoch, const std::vector<start_task>& tasks,
             callback done);
  // `fresh_connection`: not on a kept connection, which may have gone silent.
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

// The codec, apart from the transport: for tests and benchmarks.
std::string EncodeStart(uint64_t epoch, const std::vector<start_task>& tasks);
std::string EncodeSync(const sync_call& sync);
endpoint_reply DecodeEndpointReply(const http_result& result);

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_ENDPOINT_ADAPTER_H_
