// Model of one platform endpoint: capacity, leases, fencing, retention of finished tasks, faults.
//
// Does no I/O and reads no clock: the caller passes the time and sends the replies. Not
// thread-safe; the caller holds a lock.
#ifndef CATKINFORD_STANDIN_ENDPOINT_MODEL_H_
#define CATKINFORD_STANDIN_ENDPOINT_MODEL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "connection/http_server.h"
#include "request/job_request.h"
#include "standin/run_record.h"

namespace catkinford {

enum class endpoint_mode : uint8_t {
  kUp,
  kDead,         // runs nothing, answers nothing; a later kUp starts a new incarnation
  kSilent,       // calls are neither executed nor answered; running tasks continue
  kLoseReplies,  // calls are executed but not answered
  kFailAll,      // every task starts and fails immediately
  kBroken,       // starts no task: each start is answered `broken`
  kLeaving       // reports that it is leaving; still accepts all starts
};

struct endpoint_options {
  std::string name;
  resources shape;
  uint32_t connection_limit = 64;  // with this many waiting syncs, further calls get 503
  bool fencing = true;
  uint64_t incarnation = 1;  // initial value; each restart increments it
};

// Replies to send now: the call's token and its response.
using due_replies = std::vector<std::pair<http_server::token, http_response>>;

class endpoint_model {
 public:
  endpoint_model(endpoint_options options, run_record& record);

  // Handles one call of docs/PROTOCOL.md; `verb` is the last segment of its path.
  void Handle(const std::string& verb, http_server::token token, const nlohmann::json& body,
              monotonic_time now, due_replies& replies);
  // Ends tasks whose run time or lease has expired, and answers syncs whose wait is over.
  void Tick(monotonic_time now, due_replies& replies);
  monotonic_time NextWake() const;
  void SetMode(endpoint_mode mode, monotonic_time now, due_replies& replies);

  size_t RunningTasks() const { return running_.size(); }

 private:
  struct running_task {
    nlohmann::json spec;
    resources amount;
    uint64_t epoch = 0;
    monotonic_time started;
    monotonic_time ends;
    monotonic_time lease_until;
    std::chrono::milliseconds retention{0};
    std::chrono::milliseconds checkpoint{0};  // time that writing a checkpoint takes
    std::string result;                       // reported when the task ends
    std::string answer;
  };
  struct finished_task {
    std::string id;
    uint64_t seq = 0;
    std::string result;
    std::string answer;
    int64_t ran_ms = 0;
    nlohmann::json spec;
    monotonic_time evictable_at;
  };
  struct waiting_sync {
    http_server::token token = 0;
    uint64_t epoch = 0;
    uint64_t cursor = 0;
    monotonic_time until;
  };
  // A call left unanswered on purpose. It gets a late error so that its connection is released.
  struct unanswered_call {
    http_server::token token = 0;
    monotonic_time respond_at;
    int status = 503;
  };

  http_response Dispatch(const std::string& verb, const nlohmann::json& body, monotonic_time now,
                         due_replies& replies);
  bool Fenced(uint64_t epoch) const { return options_.fencing && epoch < epoch_; }
  http_response FencedReply() const;
  void RaiseEpoch(uint64_t epoch, due_replies& replies);
  http_response List(monotonic_time now) const;
  http_response Start(const nlohmann::json& body, monotonic_time now, due_replies& replies);
  std::string StartTask(const nlohmann::json& task, uint64_t epoch, monotonic_time now);
  http_response Stop(const nlohmann::json& body, monotonic_time now);
  http_response Throttle(const nlohmann::json& body);
  void Sync(http_server::token token, const nlohmann::json& body, monotonic_time now,
            due_replies& replies);
  http_response SyncReply(uint64_t cursor, monotonic_time now) const;
  void Acknowledge(uint64_t cursor);
  void AnswerWaitingSyncs(monotonic_time now, due_replies& replies);
  void FinishTask(const std::string& id, const std::string& result, monotonic_time now);
  void EvictFinished(monotonic_time now);
  void HoldUnanswered(http_server::token token, int status, monotonic_time now);
  bool Unresponsive() const {
    return mode_ == endpoint_mode::kDead || mode_ == endpoint_mode::kSilent;
  }
  void Record(monotonic_time now, const char* event, const std::string& id, uint64_t epoch,
              const nlohmann::json& spec, const std::string& result);

  endpoint_options options_;
  run_record& record_;
  endpoint_mode mode_ = endpoint_mode::kUp;
  uint64_t incarnation_;
  uint64_t epoch_ = 0;
  uint64_t last_seq_ = 0;
  uint64_t acknowledged_ = 0;
  resources used_;
  absl::flat_hash_map<std::string, running_task> running_;
  std::deque<finished_task> finished_;                       // in order of seq
  absl::flat_hash_map<std::string, uint64_t> finished_seq_;  // task id to seq
  std::vector<waiting_sync> waiting_;
  std::vector<unanswered_call> unanswered_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_ENDPOINT_MODEL_H_
