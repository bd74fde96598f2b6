#include "process/metrics.h"

#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace catkinford {
namespace {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

// Seconds; fine-grained around the targets of 1 ms for the median and 5 ms for the 99th percentile.
const Histogram::BucketBoundaries kLatencyBounds = {
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1, 5, 20};
// Seconds; fine-grained around the target of 100 us.
const Histogram::BucketBoundaries kDecisionBounds = {0.000005, 0.00001, 0.000025, 0.00005,
                                                     0.0001,   0.00025, 0.001,    0.01};

Gauge& MakeGauge(Registry& registry, const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

Counter& MakeCounter(Registry& registry, const std::string& name, const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

Histogram& MakeHistogram(Registry& registry, const std::string& name, const std::string& help,
                         const Histogram::BucketBoundaries& bounds) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
}

// Raises the counter to `total`, which never decreases.
void AdvanceTo(Counter& counter, uint64_t total) {
  counter.Increment(static_cast<double>(total) - counter.Value());
}

std::string_view TypeText(prometheus::MetricType type) {
  switch (type) {
    case prometheus::MetricType::Counter:
      return "counter";
    case prometheus::MetricType::Gauge:
      return "gauge";
    default:
      return "histogram";
  }
}

double Seconds(std::chrono::microseconds time) {
  return std::chrono::duration<double>(time).count();
}

double ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  double pages = 0;
  double resident = 0;
  in >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec);
  const auto microseconds = static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
  return seconds + microseconds / 1e6;
}

}  // namespace

metrics::metrics()
    : peer_calls_(MakeCounter(registry_, "catkinford_peer_calls_total",
                              "Calls to other entries; each carries a batch of messages.")),
      peer_messages_(MakeCounter(registry_, "catkinford_peer_messages_total",
                                 "Messages sent to other entries.")),
      peer_bytes_sent_(MakeCounter(registry_, "catkinford_peer_bytes_sent_total",
                                   "Bytes of the messages sent to other entries.")),
      peer_bytes_received_(MakeCounter(registry_, "catkinford_peer_bytes_received_total",
                                       "Bytes of the messages received from other entries.")),
      peer_refused_(MakeCounter(registry_, "catkinford_peer_refused_total",
                                "Calls to the peer port without a valid signature.")),
      grant_moves_(MakeCounter(registry_, "catkinford_grant_moves_total",
                               "Changes of the grant ledger by shards owned here.")),
      log_lines_dropped_(MakeCounter(registry_, "catkinford_log_lines_dropped_total",
                                     "Log lines dropped because the log thread's ring was full.")),
      request_bytes_(MakeGauge(registry_, "catkinford_request_bytes",
                               "Bytes held by requests and their answers.")),
      connections_closed_(
          MakeCounter(registry_, "catkinford_connections_closed_total",
                      "Connections closed because they held too much, or took too long.")),
      requests_without_room_(
          MakeCounter(registry_, "catkinford_requests_without_room_total",
                      "Requests and connections rejected because others held too much.")),
      placement_(MakeHistogram(registry_, "catkinford_placement_seconds",
                               "Time from a job's arrival at its owner to its first start.",
                               kLatencyBounds)),
      answer_(MakeHistogram(registry_, "catkinford_answer_seconds",
                            "Time from a request's arrival at this entry to its answer.",
                            kLatencyBounds)),
      decision_(MakeHistogram(registry_, "catkinford_decision_seconds",
                              "Duration of one round of the core thread.", kDecisionBounds)),
      resident_bytes_(MakeGauge(registry_, "process_resident_memory_bytes",
                                "Resident memory of this process.")),
      cpu_seconds_(MakeCounter(registry_, "process_cpu_seconds_total",
                               "Processor time used by this process.")),
      waiting_requests(MakeGauge(registry_, "catkinford_waiting_requests",
                                 "Requests in this entry waiting for their answer.")),
      queued_tasks(MakeGauge(registry_, "catkinford_queued_tasks",
                             "Tasks waiting in the shards owned here.")),
      running_tasks(MakeGauge(registry_, "catkinford_running_tasks",
                              "Tasks running in the shards owned here.")),
      endpoints(
          MakeGauge(registry_, "catkinford_endpoints", "Endpoints of the shards owned here.")),
      open_endpoints(MakeGauge(registry_, "catkinford_open_endpoints",
                               "Endpoints of the shards owned here that accept work.")),
      owned_shards(MakeGauge(registry_, "catkinford_owned_shards", "Shards owned here.")),
      highest_epoch(MakeGauge(registry_, "catkinford_highest_epoch",
                              "Highest epoch of the shards owned here.")),
      config_version(MakeGauge(registry_, "catkinford_config_version",
                               "Configuration version in effect here.")),
      peers_up(MakeGauge(registry_, "catkinford_peers_up", "Peers that answer heartbeats.")),
      peers_down(
          MakeGauge(registry_, "catkinford_peers_down", "Peers that do not answer heartbeats.")),
      store_up(MakeGauge(registry_, "catkinford_store_up",
                         "1 while the platform's store answers, else 0.")),
      keys_trusted(
          MakeGauge(registry_, "catkinford_keys_trusted",
                    "0 after being isolated for longer than isolation.key_grace, else 1.")),
      ready(MakeGauge(registry_, "catkinford_ready", "1 while this entry accepts requests.")),
      takeovers(MakeCounter(registry_, "catkinford_takeovers_total", "Shards claimed here.")),
      instance_reads(MakeCounter(registry_, "catkinford_instance_reads_total",
                                 "Reads of the platform's instance list by this entry.")),
      fenced_off(MakeCounter(registry_, "catkinford_fenced_off_total",
                             "Calls that an endpoint rejected for their epoch.")) {
  auto& requests = prometheus::BuildCounter()
                       .Name("catkinford_requests_total")
                       .Help("Requests answered here, by workload kind and outcome.")
                       .Register(registry_);
  for (size_t kind = 0; kind < kWorkloadKinds; ++kind) {
    for (size_t end = 0; end < kOutcomeKinds; ++end) {
      requests_[kind][end] =
          &requests.Add({{"kind", std::string(ToText(static_cast<workload_kind>(kind)))},
                         {"outcome", std::string(ToText(static_cast<outcome_kind>(end)))}});
    }
  }
  auto& refusals = prometheus::BuildCounter()
                       .Name("catkinford_refusals_total")
                       .Help("Requests rejected here without running, by reason.")
                       .Register(registry_);
  for (size_t reason = 0; reason < kRefusalReasons; ++reason) {
    refusals_[reason] =
        &refusals.Add({{"reason", std::string(ToText(static_cast<rejection_reason>(reason)))}});
  }
}

void metrics::CountOutcome(workload_kind kind, const outcome& result) {
  requests_[static_cast<size_t>(kind)][static_cast<size_t>(result.kind)]->Increment();
  if (result.kind == outcome_kind::kRefused) {
    refusals_[static_cast<size_t>(result.reason)]->Increment();
  }
}

void metrics::ObservePlacement(std::chrono::microseconds waited) {
  placement_.Observe(Seconds(waited));
}

void metrics::ObserveAnswer(std::chrono::microseconds waited) { answer_.Observe(Seconds(waited)); }

void metrics::ObserveDecision(std::chrono::microseconds spent) {
  decision_.Observe(Seconds(spent));
}

void metrics::SetPeerTotals(const peer_totals& totals) {
  AdvanceTo(peer_calls_, totals.calls_sent);
  AdvanceTo(peer_messages_, totals.messages_sent);
  AdvanceTo(peer_bytes_sent_, totals.bytes_sent);
  AdvanceTo(peer_bytes_received_, totals.bytes_received);
  AdvanceTo(peer_refused_, totals.refused);
}

void metrics::SetLogLinesDropped(uint64_t lines) { AdvanceTo(log_lines_dropped_, lines); }

void metrics::SetConnections(const budget_counts& counts) {
  request_bytes_.Set(static_cast<double>(counts.bytes));
  AdvanceTo(connections_closed_, counts.closed_for_room + counts.closed_late);
  AdvanceTo(requests_without_room_, counts.rejected);
}

void metrics::SetGrantMoves(uint64_t moves) { AdvanceTo(grant_moves_, moves); }

std::vector<metric_info> metrics::List() const {
  std::vector<metric_info> list;
  for (const prometheus::MetricFamily& family : registry_.Collect()) {
    metric_info info{family.name, TypeText(family.type), {}, family.help};
    for (const auto& label : family.metric.front().label) info.labels.push_back(label.name);
    list.push_back(std::move(info));
  }
  std::sort(list.begin(), list.end(),
            [](const metric_info& a, const metric_info& b) { return a.name < b.name; });
  return list;
}

std::string metrics::Text() {
  resident_bytes_.Set(ResidentBytes());
  cpu_seconds_.Increment(CpuSeconds() - cpu_seconds_.Value());
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry_.Collect());
  return out.str();
}

}  // namespace catkinford
