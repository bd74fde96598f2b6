// Requests that callers of this entry wait for: sent to the owner of their shard, sent again when
// the owner changes or does not answer, and answered by their time limit in any case. Pure.
#ifndef CATKINFORD_PROCESS_REQUEST_TABLE_H_
#define CATKINFORD_PROCESS_REQUEST_TABLE_H_

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "connection/http_server.h"
#include "process/message.h"
#include "process/router.h"
#include "request/outcome.h"

namespace catkinford {

struct table_options {
  std::chrono::milliseconds resend{1000};           // while no outcome has arrived
  std::chrono::milliseconds resend_accepted{5000};  // while a caller waits for a durable job
  std::chrono::milliseconds retry_send{50};         // after a send that is known to have failed
  std::chrono::milliseconds owner_wait{5000};       // how long a shard may have no owner
  std::chrono::milliseconds answer_grace{250};      // for the owner's answer after the deadline
  uint32_t max_hops = 3;                            // shards that one request may try
  uint64_t first_ask = 1;  // first `ask` number; higher than any of an earlier process
};

// Pending actions: messages to send, and calls with all outcomes complete.
struct place_to_send {
  std::string owner;
  place_message place;
};
struct answered_call {
  http_server::token token = 0;
  bool is_batch = false;
  std::vector<outcome> outcomes;  // in the order of the jobs
  std::vector<workload_kind> kinds;
  monotonic_time begun{};
};
struct table_actions {
  std::vector<place_to_send> sends;
  std::vector<answered_call> answers;
};

// One job of a call, with its team resolved and its identity assigned.
struct table_entry {
  place_message place;  // `shard` is chosen here
  bool keyed = false;   // its caller may send the same identity to another entry
  bool first_ask = false;
  std::chrono::milliseconds answer_timeout{0};  // the caller is answered by then at the latest
};

class request_table {
 public:
  request_table(table_options options, router& routes);

  // `memory` is held until the call is answered.
  void BeginCall(http_server::token token, bool is_batch, std::vector<workload_kind> kinds,
                 monotonic_time now, request_memory memory = {});
  // Adds one job of the call; several callers may wait for one identity.
  void Add(http_server::token token, size_t slot, table_entry entry, monotonic_time now,
           table_actions& out);
  // Answers one job without sending it.
  void Settle(http_server::token token, size_t slot, outcome result, table_actions& out);

  void OnOutcome(const outcome& result, monotonic_time now, table_actions& out);
  // A place message was not delivered. `undelivered`: the owner certainly has not received it.
  void OnSendFailed(const request_id& id, bool undelivered, monotonic_time now);
  // A shard has a new owner: requests waiting for it are sent again at once.
  void OnNewOwner(const std::string& shard, monotonic_time now);
  void Tick(monotonic_time now, table_actions& out);
  monotonic_time NextWake() const;

  size_t Pending() const { return pending_.size(); }
  // The shard that a waiting request was sent to; null when unknown.
  const std::string* ShardOf(const request_id& id) const;

 private:
  struct waiter {
    http_server::token token = 0;
    size_t slot = 0;
  };
  struct pending_request {
    table_entry entry;
    std::vector<waiter> waiters;
    monotonic_time answer_by{};
    monotonic_time deadline{};         // sent to the owner; epoch of the clock: none
    monotonic_time ownerless_since{};  // since its shard has no owner; zero: it has one
    monotonic_time next{};
    uint32_t sends = 0;  // messages that the owner may have received
    uint32_t hops = 0;
    bool accepted = false;
    std::vector<std::string> tried;
  };
  struct call_state {
    bool is_batch = false;
    size_t open = 0;
    std::vector<outcome> outcomes;
    std::vector<workload_kind> kinds;
    monotonic_time begun{};
    request_memory memory;
  };

  void Step(const request_id& id, pending_request& request, monotonic_time now, table_actions& out);
  void Send(pending_request& request, const std::string& owner, monotonic_time now,
            table_actions& out);
  bool ChooseNextShard(pending_request& request, monotonic_time now);
  void Schedule(const request_id& id, pending_request& request, monotonic_time when);
  void Resolve(const request_id& id, const outcome& result, table_actions& out);
  outcome TimeoutOutcome(const pending_request& request) const;

  table_options options_;
  router& routes_;
  uint64_t next_ask_;
  absl::flat_hash_map<request_id, pending_request> pending_;
  std::set<std::pair<monotonic_time, request_id>> schedule_;
  absl::flat_hash_map<http_server::token, call_state> calls_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_REQUEST_TABLE_H_
