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

#include "absl/flags/declare.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/fleet.h"
#include "bench/wire_bytes.h"
#include "connection/http_client.h"

ABSL_DECLARE_FLAG(double, settle);
ABSL_FLAG(uint32_t, domains, 3, "control: failure domains");
ABSL_FLAG(uint32_t, domain_entries, 2, "control: entries in each, a shard for each above two");
ABSL_FLAG(uint32_t, domain_endpoints, 17, "control: endpoints in each");
ABSL_FLAG(uint32_t, control_teams, 6, "control: teams");
ABSL_FLAG(bool, changes, true, "control: also with 24 changes of configuration a minute");
ABSL_FLAG(std::string, timing, "{}", "control: settings below \"timing\", as JSON");

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStartLimit{60000};
constexpr milliseconds kWatch{15000};
constexpr milliseconds kChangeEvery{2500};  // 24 changes a minute

struct readings {
  double cpu_ms = 0;
  double resident_kb = 0;  // of the largest entry
  double peer_bytes = 0;   // on the wire, of all entries, as both ends see them
  double all_bytes = 0;    // the same, with store, instance list and endpoints
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
            {"wire_kb_s", (after.all_bytes - before.all_bytes) / 1000 / seconds / entries},
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
    }
    now.peer_bytes = 2 * running_.PeerBytes();
    now.all_bytes = now.peer_bytes + running_.PlatformBytes();
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
      "%-22s cpu %.2f %%  memory %.0f MB  on the wire: peers %.1f KB/s, all %.1f KB/s  store %.1f "
      "reads/s %.1f writes/s\n",
      when, figures["cpu_percent"].get<double>(), figures["resident_mb"].get<double>(),
      figures["peer_kb_s"].get<double>(), figures["wire_kb_s"].get<double>(),
      figures["store_reads_s"].get<double>(), figures["store_writes_s"].get<double>());
  std::fflush(stdout);
}

fleet_options Options() {
  fleet_options options;
  options.entries_per_domain = absl::GetFlag(FLAGS_domain_entries);
  options.endpoints_per_domain = absl::GetFlag(FLAGS_domain_endpoints);
  options.teams = absl::GetFlag(FLAGS_control_teams);
  options.timing = json::parse(absl::GetFlag(FLAGS_timing));
  if (options.entries_per_domain > 2) {
    options.shards_per_domain = static_cast<uint32_t>(options.entries_per_domain);
  }
  for (size_t i = options.domains.size(); i < absl::GetFlag(FLAGS_domains); ++i) {
    options.domains.push_back(absl::StrCat("domain-", i));
  }
  return options;
}

}  // namespace

int ControlMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  fleet running(Options());
  if (!running.Start(kStartLimit)) return 1;
  std::this_thread::sleep_for(std::chrono::duration<double>(absl::GetFlag(FLAGS_settle)));
  control_run run(running);
  json result = {{"at_rest", run.Watch(false)}};
  Print("at rest, an entry", result["at_rest"]);
  if (absl::GetFlag(FLAGS_changes)) {
    result["24_changes_a_minute"] = run.Watch(true);
    Print("24 changes a minute", result["24_changes_a_minute"]);
  }
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) std::ofstream(file) << result.dump(2) << "\n";
  return 0;
}

}  // namespace catkinford
