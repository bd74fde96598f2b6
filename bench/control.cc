// `catkinford-bench control`: what control costs each entry, at rest and under a steady flow of
// configuration changes.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/fleet.h"
#include "connection/http_client.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStartLimit{30000};
constexpr milliseconds kSettle{4000};
constexpr milliseconds kWatch{15000};
constexpr milliseconds kChangeEvery{2500};  // 24 changes a minute

// The sum of a counter over its labels, in the Prometheus text format.
double CounterIn(const std::string& metrics, const std::string& name) {
  double sum = 0;
  for (size_t at = metrics.find("\n" + name); at != std::string::npos;
       at = metrics.find("\n" + name, at + 1)) {
    const size_t end = metrics.find('\n', at + 1);
    const std::string line = metrics.substr(at + 1, end - at - 1);
    sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
  }
  return sum;
}

struct readings {
  double cpu_ms = 0;
  double resident_kb = 0;  // of the largest entry
  double peer_bytes = 0;
  double store_reads = 0;
  double store_writes = 0;
};

class control_run {
 public:
  explicit control_run(fleet& running) : running_(running) { http_.Start(); }

  json Watch(bool with_changes) {
    const readings before = Read();
    const auto until = std::chrono::steady_clock::now() + kWatch;
    int changes = 0;
    while (std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(kChangeEvery);
      if (with_changes && Change()) ++changes;
    }
    const readings after = Read();
    const double seconds = std::chrono::duration<double>(kWatch).count();
    const auto entries = static_cast<double>(running_.Entries());
    return {{"changes", changes},
            {"cpu_percent", (after.cpu_ms - before.cpu_ms) / 10 / seconds / entries},
            {"resident_mb", after.resident_kb / 1024},
            {"peer_kb_s", (after.peer_bytes - before.peer_bytes) / 1000 / seconds / entries},
            {"store_reads_s", (after.store_reads - before.store_reads) / seconds},
            {"store_writes_s", (after.store_writes - before.store_writes) / seconds}};
  }

 private:
  readings Read() {
    readings now;
    for (size_t slot = 0; slot < running_.Entries(); ++slot) {
      const process_usage usage = running_.Entry(slot).process.Usage();
      now.cpu_ms += static_cast<double>(usage.cpu.count());
      now.resident_kb = std::max(now.resident_kb, static_cast<double>(usage.resident_kb));
      const http_result metrics = http_.SendAndWait({"GET", running_.UrlOf(slot) + "/metrics"});
      now.peer_bytes += CounterIn(metrics.body, "catkinford_peer_bytes");
    }
    const json counters = running_.StoreCounters();
    now.store_reads = counters.value("reads", 0.0);
    now.store_writes = counters.value("writes", 0.0);
    return now;
  }

  // One accepted change, by the operator's key.
  bool Change() {
    const std::string& key = running_.Contract().operator_secret;
    const std::string url = running_.UrlOf(0) + "/v1/config";
    const http_result read = http_.SendAndWait({"GET", url, "", key});
    const json present = json::parse(read.body, nullptr, false);
    if (!present.is_object()) return false;
    auto parsed = ParseConfiguration(present.value("text", ""));
    auto* config = std::get_if<configuration>(&parsed);
    if (config == nullptr) return false;
    ++config->workspaces[0].teams[0].queue_limit;
    const json body = {{"expect", present.value("version", uint64_t{0})},
                       {"text", ToText(*config)}};
    return http_.SendAndWait({"PUT", url, body.dump(), key}).code == 200;
  }

  fleet& running_;
  http_client http_{0};
};

void Print(const char* when, const json& figures) {
  std::printf(
      "%-22s cpu %.2f %%  memory %.0f MB  peers %.1f KB/s  store %.1f reads/s %.1f writes/s\n",
      when, figures["cpu_percent"].get<double>(), figures["resident_mb"].get<double>(),
      figures["peer_kb_s"].get<double>(), figures["store_reads_s"].get<double>(),
      figures["store_writes_s"].get<double>());
}

}  // namespace

int ControlMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  fleet running(fleet_options{});
  if (!running.Start(kStartLimit)) return 1;
  std::this_thread::sleep_for(kSettle);
  control_run run(running);
  const json result = {{"at_rest", run.Watch(false)}, {"24_changes_a_minute", run.Watch(true)}};
  Print("at rest, an entry", result["at_rest"]);
  Print("24 changes a minute", result["24_changes_a_minute"]);
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) std::ofstream(file) << result.dump(2) << "\n";
  return 0;
}

}  // namespace catkinford
