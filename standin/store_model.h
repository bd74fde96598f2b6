// Model of the platform's store: compare-and-swap, leases, watches, rate limits and outages.
//
// Does no I/O and reads no clock: the caller passes the time and sends the replies. Not
// thread-safe; the caller holds a lock.
#ifndef CATKINFORD_STANDIN_STORE_MODEL_H_
#define CATKINFORD_STANDIN_STORE_MODEL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "connection/http_server.h"
#include "request/job_request.h"

namespace catkinford {

enum class store_mode : uint8_t {
  kUp,
  kDown,        // every call is answered 503
  kSlow,        // each call is executed after `delay`, even if its caller has given up
  kLoseReplies  // a share of the writes is executed but not answered
};

struct store_options {
  double read_rate = 2000;  // calls per second; a waiting watch is one call
  double write_rate = 500;
  // True: lease time does not advance while the store is down. False: it does, so all leases may
  // have expired when the store is back. Platforms differ; false is the harder case.
  bool freeze_leases_while_down = false;
  uint64_t seed = 1;
};

// Token bucket: refills at `rate` calls per second and holds at most one second's worth.
class token_bucket {
 public:
  explicit token_bucket(double rate) : rate_(rate), tokens_(rate) {}
  bool TryTake(monotonic_time now);

 private:
  double rate_;
  double tokens_;
  monotonic_time last_{};
};

struct store_call {
  std::string method;
  std::string path;
  std::string key;              // or prefix, for ranges and watches
  uint64_t after_revision = 0;  // last revision that a watch has seen
  std::chrono::milliseconds wait{0};
  nlohmann::json body;
};

class store_model {
 public:
  using due_replies = std::vector<std::pair<http_server::token, http_response>>;

  explicit store_model(store_options options);

  void Handle(http_server::token token, store_call call, monotonic_time now, due_replies& replies);
  void SetMode(store_mode mode, std::chrono::milliseconds delay, double lost_reply_ratio,
               monotonic_time now, due_replies& replies);
  void Tick(monotonic_time now, due_replies& replies);
  monotonic_time NextWake() const;
  nlohmann::json Counters() const;

 private:
  struct stored_value {
    std::string value;
    uint64_t revision = 0;
    std::string lease;
  };
  struct stored_lease {
    std::chrono::milliseconds ttl{0};
    monotonic_time expires_at;
  };
  struct waiting_watch {
    http_server::token token = 0;
    std::string prefix;
    uint64_t after_revision = 0;
    monotonic_time expires_at;
  };
  struct delayed_call {
    monotonic_time due;
    http_server::token token = 0;
    store_call call;
  };
  struct unanswered_call {
    monotonic_time respond_at;
    http_server::token token = 0;
  };

  void Execute(http_server::token token, const store_call& call, monotonic_time now,
               due_replies& replies);
  http_response Get(const std::string& key) const;
  http_response Range(const std::string& prefix, uint64_t after_revision) const;
  bool ChangedUnderPrefix(const std::string& prefix, uint64_t after_revision) const;
  http_response CompareAndSwap(const nlohmann::json& body);
  http_response GrantLease(const nlohmann::json& body, monotonic_time now);
  http_response RenewLease(const nlohmann::json& body, monotonic_time now);
  void ExpireLeases(monotonic_time now);
  void AnswerWatches(monotonic_time now, due_replies& replies);

  store_options options_;
  store_mode mode_ = store_mode::kUp;
  std::chrono::milliseconds call_delay_{0};
  double lost_reply_ratio_ = 0;
  monotonic_time down_since_{};
  token_bucket read_bucket_;
  token_bucket write_bucket_;
  std::mt19937_64 random_;
  uint64_t revision_ = 0;
  uint64_t next_lease_ = 1;
  std::map<std::string, stored_value> values_;
  std::map<std::string, uint64_t> deletion_revisions_;  // revision of each key's latest deletion
  std::map<std::string, stored_lease> leases_;
  std::vector<waiting_watch> watches_;
  std::vector<delayed_call> delayed_;
  std::vector<unanswered_call> unanswered_;
  std::map<std::string, uint64_t> counters_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_STORE_MODEL_H_
