// `catkinford-bench load`: the whole path under an open loop, over a fleet of real processes.
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/fleet.h"
#include "bench/load.h"
#include "standin/json_fields.h"

ABSL_FLAG(double, rate, 3000, "load: arrivals a second");
ABSL_FLAG(double, seconds, 20, "load: how long");
ABSL_FLAG(std::string, entries, "",
          "load: URLs of entries that run already, separated by commas; empty: a fleet is started");
ABSL_FLAG(std::string, keys, "", "load: TEAM:SECRET[,TEAM:SECRET...] for --entries");
ABSL_FLAG(double, warm_up, 2, "load: seconds of load before the figures are taken");
ABSL_FLAG(uint32_t, clients, 3, "load: threads that send");
ABSL_FLAG(uint32_t, region_delay_ms, 0,
          "load: each failure domain is a region, so far from the others each way");
ABSL_FLAG(bool, idempotency_keys, true,
          "load: each request has one; if not, load chooses its shard");
ABSL_FLAG(int32_t, at_domain, -1,
          "load: all callers ask at the entries of this failure domain; -1: at all");
ABSL_FLAG(uint32_t, run_ms, 20, "load: usual run time; each takes from half of it to half more");

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStartLimit{30000};
constexpr milliseconds kDrainLimit{15000};
constexpr uint32_t kEndpointsInDomain = 17;
constexpr char kMix[] = "interactive=1";

// The mix asked for, or all interactive work.
std::string MixFromFlags() {
  const std::string mix = absl::GetFlag(FLAGS_mix);
  return mix.empty() ? kMix : mix;
}

struct load_setup {
  std::vector<load_target> targets;
  std::vector<team_access> teams;
};

milliseconds MillisecondsFrom(double seconds) {
  return milliseconds{static_cast<int64_t>(seconds * 1000)};
}

load_options OptionsFromFlags() {
  load_options options;
  options.rate = absl::GetFlag(FLAGS_rate);
  options.length = MillisecondsFrom(absl::GetFlag(FLAGS_seconds));
  options.seed = absl::GetFlag(FLAGS_seed);
  options.keyed = absl::GetFlag(FLAGS_idempotency_keys);
  options.shortest_run = milliseconds{absl::GetFlag(FLAGS_run_ms) / 2};
  options.longest_run = milliseconds{absl::GetFlag(FLAGS_run_ms) * 3 / 2};
  return options;
}

load_setup SetupFromFlags() {
  load_setup setup;
  const std::vector<std::string> urls =
      absl::StrSplit(absl::GetFlag(FLAGS_entries), ',', absl::SkipEmpty());
  for (const std::string& url : urls) setup.targets.push_back({url, url});
  const std::vector<std::string> keys =
      absl::StrSplit(absl::GetFlag(FLAGS_keys), ',', absl::SkipEmpty());
  for (const std::string& key : keys) {
    const std::vector<std::string> sides = absl::StrSplit(key, absl::MaxSplits(':', 1));
    if (sides.size() == 2) setup.teams.push_back({sides[0], "given", sides[1]});
  }
  return setup;
}

load_setup SetupOf(fleet& running) {
  load_setup setup;
  const int domain = absl::GetFlag(FLAGS_at_domain);
  const std::vector<std::string>& domains = running.Options().domains;
  for (size_t slot = 0; slot < running.Entries(); ++slot) {
    const bool asked =
        domain < 0 || running.Entry(slot).domain == domains[static_cast<size_t>(domain)];
    if (asked) setup.targets.push_back({running.Entry(slot).name, running.UrlOf(slot)});
  }
  setup.teams = running.Contract().teams;
  return setup;
}

load_figures Measure(const load_options& options, const load_setup& setup) {
  const target_source targets = [&] { return setup.targets; };
  const size_t clients = absl::GetFlag(FLAGS_clients);
  if (absl::GetFlag(FLAGS_warm_up) > 0) {
    load_options warm_up = options;
    warm_up.length = MillisecondsFrom(absl::GetFlag(FLAGS_warm_up));
    warm_up.prefix = "warm";
    caller callers(clients);
    RunLoad(warm_up, callers, setup.teams, targets);
    callers.WaitIdle(kDrainLimit);
  }
  caller callers(clients);
  RunLoad(options, callers, setup.teams, targets);
  callers.WaitIdle(kDrainLimit);
  return FiguresOf(callers.Records());
}

struct entry_usage {
  std::string name;
  double cores = 0;
  uint64_t resident_kb = 0;
  uint64_t peak_resident_kb = 0;
};

std::vector<process_usage> UsageOf(fleet& running) {
  std::vector<process_usage> usage;
  for (size_t slot = 0; slot < running.Entries(); ++slot) {
    usage.push_back(running.Entry(slot).process.Usage());
  }
  return usage;
}

nlohmann::json Print(const load_figures& figures, const std::vector<entry_usage>& entries) {
  std::fputs(
      absl::StrCat("sent ", figures.sent, "  completed ", figures.completed, "  accepted ",
                   figures.accepted, "  refused ", figures.refused, "  failed ", figures.failed,
                   "  unknown ", figures.unknown, "  no answer ", figures.no_answer, "\n")
          .c_str(),
      stdout);
  std::printf("achieved %.0f/s  over run time p50 %.2f ms  p99 %.2f ms  p99.9 %.2f ms\n",
              figures.achieved_rate, figures.p50_ms, figures.p99_ms, figures.p999_ms);
  std::printf("accepted after p50 %.2f ms  p99 %.2f ms\n", figures.accepted_p50_ms,
              figures.accepted_p99_ms);
  nlohmann::json all = ToJson(figures);
  all["entries"] = nlohmann::json::array();
  for (const entry_usage& entry : entries) {
    std::printf("  %-16s %.2f cores  %.0f MB (peak %.0f MB)\n", entry.name.c_str(), entry.cores,
                static_cast<double>(entry.resident_kb) / 1024,
                static_cast<double>(entry.peak_resident_kb) / 1024);
    all["entries"].push_back({{"name", entry.name},
                              {"cores", entry.cores},
                              {"resident_kb", entry.resident_kb},
                              {"peak_resident_kb", entry.peak_resident_kb}});
  }
  return all;
}

void Write(nlohmann::json all) {
  const std::string file = absl::GetFlag(FLAGS_json);
  if (file.empty()) return;
  all["rate"] = absl::GetFlag(FLAGS_rate);
  all["seconds"] = absl::GetFlag(FLAGS_seconds);
  all["mix"] = MixFromFlags();
  all["run_ms"] = absl::GetFlag(FLAGS_run_ms);
  all["seed"] = absl::GetFlag(FLAGS_seed);
  all["commit"] = absl::GetFlag(FLAGS_commit);
  std::ofstream(file) << all.dump(1) << '\n';
}

int MeasureFleet(const load_options& options) {
  fleet_options fleet_options;
  const uint32_t endpoints = absl::GetFlag(FLAGS_endpoints);
  fleet_options.endpoints_per_domain = endpoints == 0 ? kEndpointsInDomain : endpoints;
  fleet_options.seed = options.seed;
  fleet_options.region_delay = milliseconds{absl::GetFlag(FLAGS_region_delay_ms)};
  fleet_options.proxied = fleet_options.region_delay.count() > 0;
  fleet running(fleet_options);
  if (!running.Start(kStartLimit)) return 1;
  const std::vector<process_usage> before = UsageOf(running);
  const int64_t writes_before = IntOf(running.StoreCounters(), "writes", 0);
  const auto begun = std::chrono::steady_clock::now();
  const load_figures figures = Measure(options, SetupOf(running));
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
  const std::vector<process_usage> after = UsageOf(running);
  std::vector<entry_usage> entries;
  for (size_t slot = 0; slot < running.Entries(); ++slot) {
    const std::chrono::duration<double> cpu = after[slot].cpu - before[slot].cpu;
    entries.push_back({running.Entry(slot).name, cpu / took, after[slot].resident_kb,
                       after[slot].peak_resident_kb});
  }
  nlohmann::json all = Print(figures, entries);
  const int64_t writes = IntOf(running.StoreCounters(), "writes", 0) - writes_before;
  std::printf("store: %.1f writes a second\n", static_cast<double>(writes) / took.count());
  all["store_writes"] = writes;
  Write(std::move(all));
  return 0;
}

}  // namespace

int LoadMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  load_options options = OptionsFromFlags();
  if (!ParseMix(MixFromFlags(), options.mix) || options.rate <= 0) {
    std::fputs("load: a --rate over 0 and a --mix such as interactive=0.9,batch=0.1, please\n",
               stderr);
    return 2;
  }
  if (absl::GetFlag(FLAGS_at_domain) >= static_cast<int>(fleet_options{}.domains.size())) {
    std::fputs("load: there is no such --at_domain\n", stderr);
    return 2;
  }
  if (absl::GetFlag(FLAGS_entries).empty()) return MeasureFleet(options);
  const load_setup setup = SetupFromFlags();
  if (setup.teams.empty()) {
    std::fputs("load: --entries needs --keys TEAM:SECRET, please\n", stderr);
    return 2;
  }
  Write(Print(Measure(options, setup), {}));
  return 0;
}

}  // namespace catkinford
