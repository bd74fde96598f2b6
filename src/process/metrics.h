// All metrics of this process, created in one place with name and help. docs/OPERATING.md lists
// them; a test checks that both agree.
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

#include "connection/connection_budget.h"
#include "process/decision_core.h"
#include "request/job_request.h"
#include "request/outcome.h"

namespace catkinford {

// Counts since the start of the process.
struct peer_totals {
  uint64_t calls_sent = 0;
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t refused = 0;
};

constexpr size_t kWorkloadKinds = 4;
constexpr size_t kOutcomeKinds = 5;
constexpr size_t kRefusalReasons = 13;

struct metric_info {
  std::string name;
  std::string_view type;            // "counter", "gauge", "histogram"
  std::vector<std::string> labels;  // their names
  std::string help;
};

// Metrics may be updated from any thread.
class metrics {
 public:
  metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // Requests.
  void CountOutcome(workload_kind kind, const outcome& result);
  // From a job's arrival at the owner to its first start.
  void ObservePlacement(std::chrono::microseconds waited);
  // From a request's arrival at this entry to its answer.
  void ObserveAnswer(std::chrono::microseconds waited);
  // One round of the core thread: reading its inputs, the decisions and the actions that follow.
  void ObserveDecision(std::chrono::microseconds spent);

  // Totals counted elsewhere; set from one thread.
  void SetPeerTotals(const peer_totals& totals);
  void SetLogLinesDropped(uint64_t lines);
  void SetConnections(const budget_counts& counts);
  // Changes of the grant ledger by the shards owned here.
  void SetGrantMoves(uint64_t moves);

  // Name, type, labels and help of each metric, sorted by name, for the documentation.
  std::vector<metric_info> List() const;
  // Returns all metrics in Prometheus text format, with the current memory and processor time of
  // the process.
  std::string Text();

 private:
  prometheus::Registry registry_;
  std::array<std::array<prometheus::Counter*, kOutcomeKinds>, kWorkloadKinds> requests_{};
  std::array<prometheus::Counter*, kRefusalReasons> refusals_{};
  prometheus::Counter& peer_calls_;
  prometheus::Counter& peer_messages_;
  prometheus::Counter& peer_bytes_sent_;
  prometheus::Counter& peer_bytes_received_;
  prometheus::Counter& peer_refused_;
  prometheus::Counter& grant_moves_;
  prometheus::Counter& log_lines_dropped_;
  prometheus::Gauge& request_bytes_;
  prometheus::Counter& connections_closed_;
  prometheus::Counter& requests_without_room_;
  prometheus::Histogram& placement_;
  prometheus::Histogram& answer_;
  prometheus::Histogram& decision_;
  prometheus::Gauge& resident_bytes_;
  prometheus::Counter& cpu_seconds_;

 public:
  // Gauges and counters set by their users, once a second or on change.
  prometheus::Gauge& waiting_requests;  // requests waiting for their answer
  prometheus::Gauge& queued_tasks;      // in the shards owned here
  prometheus::Gauge& running_tasks;     // in the shards owned here
  prometheus::Gauge& endpoints;         // of the shards owned here
  prometheus::Gauge& open_endpoints;    // endpoints that accept work
  prometheus::Gauge& owned_shards;
  prometheus::Gauge& highest_epoch;  // of the shards owned here
  prometheus::Gauge& config_version;
  prometheus::Gauge& peers_up;
  prometheus::Gauge& peers_down;
  prometheus::Gauge& store_up;      // 1 or 0
  prometheus::Gauge& keys_trusted;  // 0 after isolation for longer than isolation.key_grace
  prometheus::Gauge& ready;         // 1 or 0
  prometheus::Counter& takeovers;   // shards claimed
  prometheus::Counter& instance_reads;
  prometheus::Counter& fenced_off;  // calls rejected by an endpoint for their epoch
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_METRICS_H_
