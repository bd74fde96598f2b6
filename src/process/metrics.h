// The numbers that an operator watches: every metric of this process, made in one place with its
// name and help. docs/OPERATING.md lists them; a test holds both together.
#ifndef CATKINFORD_PROCESS_METRICS_H_
#define CATKINFORD_PROCESS_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/decision_core.h"
#include "request/job_request.h"
#include "request/outcome.h"

namespace catkinford {

enum class peer_direction : uint8_t { kSent, kReceived };
enum class store_call_kind : uint8_t { kGet, kRange, kWrite, kLease, kWatch };
enum class store_call_end : uint8_t { kDone, kConflict, kUnavailable, kUnknown };

constexpr size_t kWorkloadKinds = 4;
constexpr size_t kOutcomeKinds = 5;
constexpr size_t kRefusalReasons = 13;
constexpr size_t kEndpointStates = 5;
constexpr size_t kPeerDirections = 2;
constexpr size_t kStoreCallKinds = 5;
constexpr size_t kStoreCallEnds = 4;

struct metric_info {
  std::string name;
  std::string_view type;            // "counter", "gauge", "histogram"
  std::vector<std::string> labels;  // their names
  std::string help;
};

// All writers may be on any thread.
class metrics {
 public:
  metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // Requests.
  void CountOutcome(workload_kind kind, const outcome& result);
  // From a request's arrival at the owner to its start at an endpoint.
  void ObservePlacement(std::chrono::microseconds waited);
  // From a request's arrival at this entry to its answer.
  void ObserveAnswer(std::chrono::microseconds waited);
  // One run of the decision core over its inputs.
  void ObserveDecision(std::chrono::microseconds spent);

  // Peers, store, logs.
  void CountPeerMessage(peer_direction direction, size_t bytes);
  void CountStoreCall(store_call_kind kind, store_call_end end);
  void CountEndpointCall(size_t bytes_sent, size_t bytes_received);

  // Name, type, labels and help of each, in order of names: for the docs.
  std::vector<metric_info> List() const;
  // The Prometheus text format. Reads memory and processor time of the process from the system.
  std::string Text();

 private:
  prometheus::Registry registry_;
  std::array<std::array<prometheus::Counter*, kOutcomeKinds>, kWorkloadKinds> requests_{};
  std::array<prometheus::Counter*, kRefusalReasons> refusals_{};
  std::array<prometheus::Counter*, kPeerDirections> peer_messages_{};
  std::array<prometheus::Counter*, kPeerDirections> peer_bytes_{};
  std::array<std::array<prometheus::Counter*, kStoreCallEnds>, kStoreCallKinds> store_calls_{};
  std::array<prometheus::Counter*, kPeerDirections> endpoint_bytes_{};
  prometheus::Counter& endpoint_calls_;
  prometheus::Histogram& placement_;
  prometheus::Histogram& answer_;
  prometheus::Histogram& decision_;
  prometheus::Gauge& resident_bytes_;
  prometheus::Counter& cpu_seconds_;

 public:
  // State; the owner of each number sets it once a second or when it changes.
  prometheus::Gauge& waiting_requests;  // requests in this entry that wait for their answer
  prometheus::Gauge& queued_tasks;      // in the shards owned here
  prometheus::Gauge& running_tasks;     // in the shards owned here
  std::array<prometheus::Gauge*, kEndpointStates> endpoints{};  // by endpoint_state
  prometheus::Gauge& owned_shards;
  prometheus::Gauge& highest_epoch;  // of the shards owned here
  prometheus::Gauge& config_version;
  prometheus::Gauge& peers_up;
  prometheus::Gauge& peers_down;
  prometheus::Gauge& store_up;       // 1 or 0
  prometheus::Gauge& keys_trusted;   // 0 once cut off for longer than isolation.key_grace
  prometheus::Gauge& ready;          // 1 or 0
  prometheus::Counter& grant_moves;  // changes of the ledger by the shards owned here
  prometheus::Counter& takeovers;    // shards claimed
  prometheus::Counter& fenced_off;   // calls that an endpoint refused for their epoch
  prometheus::Counter& retries;      // starts that were tried again on another endpoint
  prometheus::Counter& log_lines_dropped;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_METRICS_H_
