// One endpoint as the platform would offer it: capacity, leases, fencing, retention, faults.
//
// Pure: the present time comes in, answers go out. One lock outside guards it.
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
  kDead,         // nothing runs, nothing is answered; kUp afterwards is a new incarnation
  kSilent,       // calls are neither done nor answered; what runs goes on
  kLoseReplies,  // calls are done and not answered
  kFailAll,      // starts everything, and everything fails at once
  kBroken,       // starts nothing: each start is answered `broken`
  kLeaving       // says that it is leaving; takes whatever it is given
};

struct endpoint_options {
  std::string name;
  resources shape;
  uint32_t connections = 64;  // calls open at once, waiting syncs included
  bool fencing = true;
  uint64_t incarnation = 1;  // of the first life; each restart adds one
};

// Answers that became due: a waiting call and what it gets.
using due_replies = std::vector<std::pair<http_server::token, http_response>>;

class endpoint_model {
 public:
  endpoint_model(endpoint_options options, run_record& record);

  // One call of docs/PROTOCOL.md; `verb` is the last part of its path.
  void Handle(const std::string& verb, http_server::token token, const nlohmann::json& body,
              monotonic_time now, due_replies& replies);
  // Ends tasks whose run time or lease is over, answers syncs that waited long enough.
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
    std::chrono::milliseconds checkpoint{0};  // how long it would write at one
    std::string result;                       // with which it will end
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
  // A call that is never answered in time: held so that its connection can be freed later.
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
  std::deque<finished_task> finished_;                       // by seq
  absl::flat_hash_map<std::string, uint64_t> finished_seq_;  // id to seq
  std::vector<waiting_sync> waiting_;
  std::vector<unanswered_call> unanswered_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_ENDPOINT_MODEL_H_
