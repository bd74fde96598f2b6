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

// Seconds. Fine around the goal of 1 ms at the half and 5 ms at the 99th of a hundred.
const Histogram::BucketBoundaries kLatencyBounds = {
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1, 5, 20};
// Seconds. Fine around the goal of 100 us.
const Histogram::BucketBoundaries kDecisionBounds = {0.000005, 0.00001, 0.000025, 0.00005,
                                                     0.0001,   0.00025, 0.001,    0.01};

constexpr std::array<std::string_view, kEndpointStates> kEndpointStateNames = {
    "unfenced", "open", "silent", "leaving", "gone"};
constexpr std::array<std::string_view, kPeerDirections> kDirectionNames = {"sent", "received"};
constexpr std::array<std::string_view, kStoreCallKinds> kStoreCallNames = {"get", "range", "write",
                                                                           "lease", "watch"};
constexpr std::array<std::string_view, kStoreCallEnds> kStoreEndNames = {"done", "conflict",
                                                                         "unavailable", "unknown"};

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

// One member of a family for each name, under one label.
template <typename Builder, typename Metric, size_t N>
void MakeEach(Builder builder, Registry& registry, const std::string& name, const std::string& help,
              const std::string& label, const std::array<std::string_view, N>& names,
              std::array<Metric*, N>& out) {
  auto& family = builder.Name(name).Help(help).Register(registry);
  for (size_t i = 0; i < N; ++i) out[i] = &family.Add({{label, std::string(names[i])}});
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
    : endpoint_calls_(MakeCounter(registry_, "catkinford_endpoint_calls_total",
                                  "Calls to endpoints: fences, starts, syncs and stops.")),
      placement_(MakeHistogram(registry_, "catkinford_placement_seconds",
                               "Time from a task's arrival at its owner to its start.",
                               kLatencyBounds)),
      answer_(MakeHistogram(registry_, "catkinford_answer_seconds",
                            "Time from a request's arrival at this entry to its answer.",
                            kLatencyBounds)),
      decision_(MakeHistogram(registry_, "catkinford_decision_seconds",
                              "Time of one run of the decision core.", kDecisionBounds)),
      resident_bytes_(MakeGauge(registry_, "process_resident_memory_bytes",
                                "Resident memory of this process.")),
      cpu_seconds_(MakeCounter(registry_, "process_cpu_seconds_total",
                               "Processor time that this process has used.")),
      waiting_requests(MakeGauge(registry_, "catkinford_waiting_requests",
                                 "Requests in this entry that wait for their answer.")),
      queued_tasks(MakeGauge(registry_, "catkinford_queued_tasks",
                             "Tasks that wait in the shards owned here.")),
      running_tasks(MakeGauge(registry_, "catkinford_running_tasks",
                              "Tasks that run in the shards owned here.")),
      owned_shards(MakeGauge(registry_, "catkinford_owned_shards", "Shards owned here.")),
      highest_epoch(MakeGauge(registry_, "catkinford_highest_epoch",
                              "Highest epoch of the shards owned here.")),
      config_version(MakeGauge(registry_, "catkinford_config_version",
                               "Configuration version in force here.")),
      peers_up(MakeGauge(registry_, "catkinford_peers_up", "Peers that answer heartbeats.")),
      peers_down(MakeGauge(registry_, "catkinford_peers_down", "Peers that do not.")),
      store_up(MakeGauge(registry_, "catkinford_store_up",
                         "1 while the platform's store answers, else 0.")),
      keys_trusted(MakeGauge(registry_, "catkinford_keys_trusted",
                             "0 once cut off for longer than isolation.key_grace, else 1.")),
      ready(MakeGauge(registry_, "catkinford_ready", "1 while this entry takes requests.")),
      grant_moves(MakeCounter(registry_, "catkinford_grant_moves_total",
                              "Changes of the grant ledger by shards owned here.")),
      takeovers(MakeCounter(registry_, "catkinford_takeovers_total", "Shards claimed here.")),
      fenced_off(MakeCounter(registry_, "catkinford_fenced_off_total",
                             "Calls that an endpoint refused for their epoch.")),
      retries(MakeCounter(registry_, "catkinford_retries_total",
                          "Starts that were tried again on another endpoint.")),
      log_lines_dropped(MakeCounter(registry_, "catkinford_log_lines_dropped_total",
                                    "Log lines that found the log thread's ring full.")) {
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
                       .Help("Requests refused here as not run, by reason.")
                       .Register(registry_);
  for (size_t reason = 0; reason < kRefusalReasons; ++reason) {
    refusals_[reason] =
        &refusals.Add({{"reason", std::string(ToText(static_cast<refusal_reason>(reason)))}});
  }
  auto& store_calls = prometheus::BuildCounter()
                          .Name("catkinford_store_calls_total")
                          .Help("Calls to the platform's store, by kind and end.")
                          .Register(registry_);
  for (size_t kind = 0; kind < kStoreCallKinds; ++kind) {
    for (size_t end = 0; end < kStoreCallEnds; ++end) {
      store_calls_[kind][end] = &store_calls.Add({{"kind", std::string(kStoreCallNames[kind])},
                                                  {"end", std::string(kStoreEndNames[end])}});
    }
  }
  MakeEach(prometheus::BuildCounter(), registry_, "catkinford_peer_messages_total",
           "Messages between entries.", "direction", kDirectionNames, peer_messages_);
  MakeEach(prometheus::BuildCounter(), registry_, "catkinford_peer_bytes_total",
           "Bytes of the bodies of messages between entries.", "direction", kDirectionNames,
           peer_bytes_);
  MakeEach(prometheus::BuildCounter(), registry_, "catkinford_endpoint_bytes_total",
           "Bytes of the bodies of calls to endpoints.", "direction", kDirectionNames,
           endpoint_bytes_);
  MakeEach(prometheus::BuildGauge(), registry_, "catkinford_endpoints",
           "Endpoints of the shards owned here, by state.", "state", kEndpointStateNames,
           endpoints);
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

void metrics::CountPeerMessage(peer_direction direction, size_t bytes) {
  peer_messages_[static_cast<size_t>(direction)]->Increment();
  peer_bytes_[static_cast<size_t>(direction)]->Increment(static_cast<double>(bytes));
}

void metrics::CountStoreCall(store_call_kind kind, store_call_end end) {
  store_calls_[static_cast<size_t>(kind)][static_cast<size_t>(end)]->Increment();
}

void metrics::CountEndpointCall(size_t bytes_sent, size_t bytes_received) {
  endpoint_calls_.Increment();
  endpoint_bytes_[0]->Increment(static_cast<double>(bytes_sent));
  endpoint_bytes_[1]->Increment(static_cast<double>(bytes_received));
}

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
