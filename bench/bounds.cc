#include "bench/bounds.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "bench/baselines.h"
#include "bench/cell.h"
#include "bench/commands.h"
#include "bench/decisions.h"
#include "bench/flags.h"
#include "bench/latency.h"
#include "bench/overload.h"
#include "bench/policy.h"

ABSL_FLAG(std::string, file, "bench/bounds.json", "bounds: the bounds to hold");
ABSL_FLAG(std::string, out, "out", "bounds: folder for figures and curves");

namespace catkinford {
namespace {

using std::chrono::nanoseconds;

constexpr std::array<uint32_t, 3> kSizes = {50, 467, 4200};
constexpr uint32_t kRunningEach = 28;
constexpr uint32_t kSteps = 5000;
constexpr int kRepeats = 3;  // of timed runs; the lowest counts, since others share the machine

double Microseconds(nanoseconds time) { return static_cast<double>(time.count()) / 1000.0; }

// The time of a look at each of 4,200 full endpoints: the unit of the machine.
double ScanMicroseconds() {
  const std::vector<baseline_endpoint> floor(4200, {{16000, 32768, 0, 8}, {16000, 32768, 0, 8}});
  first_fit scan(1);
  latency_samples<nanoseconds> samples;
  uint32_t found = 0;
  for (int i = 0; i < 2000; ++i) {
    endpoint_index chosen = 0;
    const auto begin = std::chrono::steady_clock::now();
    found += scan.Choose(floor, {1000, 1024, 0, 1}, chosen) ? 1 : 0;
    samples.Add(std::chrono::steady_clock::now() - begin);
  }
  return found == 0 ? Microseconds(samples.Percentile(0.5)) : 0;
}

// The lowest p99 of each phase over some repeats, in microseconds.
figure_map DecisionTimes(uint32_t endpoints, uint64_t seed) {
  figure_map lowest;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const decision_bench_result result =
        RunDecisionBench({endpoints, endpoints * kRunningEach, 170, kSteps, seed});
    for (const decision_figure& f : result.figures) {
      const double p99 = Microseconds(f.p99);
      const auto [place, fresh] = lowest.emplace(f.phase, p99);
      if (!fresh) place->second = std::min(place->second, p99);
    }
  }
  return lowest;
}

double Worst(const figure_map& times) {
  double worst = 0;
  for (const auto& [phase, time] : times) worst = std::max(worst, time);
  return worst;
}

void AddDecisionFigures(uint64_t seed, const std::string& out, figure_map& figures) {
  std::ofstream curve(out + "/decisions.dat");
  std::map<uint32_t, figure_map> by_size;
  for (const uint32_t size : kSizes) {
    by_size[size] = DecisionTimes(size, seed);
    curve << size;
    for (const auto& [phase, time] : by_size[size]) curve << ' ' << time;
    curve << '\n';
  }
  const figure_map& middle = by_size[467];
  figures["decisions.p99_467_us"] = Worst(middle);
  figures["decisions.p99_467_over_scan"] = Worst(middle) / ScanMicroseconds();
  figures["decisions.p99_4200_over_467"] = Worst(by_size[4200]) / Worst(middle);
  figures["decisions.cancel_wave_over_full_floor"] =
      middle.at("cancel_wave") / middle.at("full_floor");
  figures["decisions.retry_storm_over_full_floor"] =
      middle.at("retry_storm") / middle.at("full_floor");
}

void AddMixFigures(const std::string& mix, uint64_t seed, figure_map& figures) {
  const nlohmann::json run = RunMix(mix, seed);
  const nlohmann::json& core = run["core"];
  const nlohmann::json& first = run["first_fit"];
  const auto mean = [](const nlohmann::json& result, const char* kind) {
    return result["waits"][kind]["mean_ms"].get<double>();
  };
  figures["policy." + mix + ".interactive_wait_over_first_fit"] =
      mean(core, "interactive") / mean(first, "interactive");
  figures["policy." + mix + ".urgent_p99_ms"] = core["waits"]["urgent"]["p99_ms"].get<double>();
  figures["policy." + mix + ".never_started"] = core["never_started"].get<double>();
  figures["policy." + mix + ".over_capacity"] = core["over_capacity"].get<double>();
  figures["policy." + mix + ".packing_over_first_fit"] =
      core["packing"].get<double>() / first["packing"].get<double>();
}

void AddFocusedFigures(uint64_t seed, const std::string& out, figure_map& figures) {
  const nlohmann::json run = RunFocused(seed);
  figures["policy.packing"] = run["packing"]["core"].get<double>();
  figures["policy.packing_over_first_fit"] =
      run["packing"]["core"].get<double>() / run["packing"]["first_fit"].get<double>();
  figures["policy.share_error"] = run["share_error"].get<double>();
  figures["policy.storm_served_at_first_return"] =
      run["storm"]["served_at_first_return"].get<double>();
  figures["policy.storm_tries_each"] = run["storm"]["tries_each"].get<double>();
  figures["policy.greedy_others_p99_ms"] = run["greedy"]["greedy"]["p99_ms"].get<double>();
  for (const nlohmann::json& line : run["urgent"]) {
    double& worst = figures["policy.urgent_checkpoints_ignored_most_ms"];
    worst = std::max(worst, line["most_ms"].get<double>());
  }
  std::ofstream curve(out + "/goodput.dat");
  double peak = 0;
  double last = 0;
  for (const nlohmann::json& point : run["goodput"]) {
    last = point["core"].get<double>();
    peak = std::max(peak, last);
    curve << point["load"].get<double>() << ' ' << last << ' ' << point["first_fit"].get<double>()
          << '\n';
  }
  figures["policy.goodput_3x_over_peak"] = last / peak;
}

// Closeness to share where news of other shards are a second old.
void AddCellFigures(uint64_t seed, figure_map& figures) {
  for (const uint32_t shards : {3U, 18U, 54U}) {
    cell_options options;
    options.shards = shards;
    options.seed = seed;
    double worst = 0;
    for (const cell_phase& phase : RunCell(options)) {
      worst = std::max(worst, phase.worst_after_10s);
    }
    figures[absl::StrCat("cell.worst_points_", shards)] = worst;
  }
}

// Real processes; figures that are ratios within one run, or far from what a busy machine adds.
void AddOverloadFigures(uint64_t seed, figure_map& figures) {
  overload_options options;
  options.seed = seed;
  options.loads = {1, 3};
  const nlohmann::json run = MeasureLoads(options);
  if (run.empty()) return;  // the figures are missing, which breaks their bounds
  figures["overload.goodput_3x_over_peak"] = run["goodput_over_peak"].get<double>();
  figures["overload.refused_p99_ms"] = run["refused_p99_ms"].get<double>();
}

// Draws the curves; without gnuplot the figures stand all the same.
void Draw(const std::string& out) {
  const std::string script = out + "/curves.gp";
  std::ofstream(script) << "set terminal svg size 900,420\n"
                        << "set key left top\nset grid\n"
                        << "set output '" << out << "/decisions.svg'\n"
                        << "set logscale x\nset xlabel 'endpoints'\nset ylabel 'p99, us'\n"
                        << "plot for [i=2:8] '" << out << "/decisions.dat' using 1:i with "
                        << "linespoints title word('batch cancel_wave full_floor gang "
                        << "interactive retry_storm service', i-1)\n"
                        << "unset logscale x\nset output '" << out << "/goodput.svg'\n"
                        << "set xlabel 'load, times capacity'\nset ylabel 'ended in time, 1/s'\n"
                        << "plot '" << out << "/goodput.dat' using 1:2 with linespoints title "
                        << "'catkinford', '' using 1:3 with linespoints title 'first fit'\n";
  const std::string call = "gnuplot " + script;
  if (std::system(call.c_str()) != 0) std::fputs("bounds: gnuplot drew no curves\n", stderr);
}

}  // namespace

std::vector<broken_bound> BrokenBounds(const nlohmann::json& bounds, const figure_map& figures) {
  std::vector<broken_bound> broken;
  for (const nlohmann::json& bound : bounds) {
    broken_bound b;
    b.figure = bound.value("figure", "");
    b.is_least = bound.contains("least");
    b.bound = bound.value(b.is_least ? "least" : "most", 0.0);
    const auto found = figures.find(b.figure);
    b.missing = found == figures.end();
    if (!b.missing) b.value = found->second;
    const bool holds = !b.missing && (b.is_least ? b.value >= b.bound : b.value <= b.bound);
    if (!holds) broken.push_back(b);
  }
  return broken;
}

int BoundsMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::string out = absl::GetFlag(FLAGS_out);
  std::error_code error;
  std::filesystem::create_directories(out, error);
  std::ifstream file(absl::GetFlag(FLAGS_file));
  const nlohmann::json document = nlohmann::json::parse(file, nullptr, false, true);
  if (!document.is_object() || !document.contains("bounds")) {
    std::fputs("bounds: no such file, or not the JSON of bounds\n", stderr);
    return 2;
  }
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  figure_map figures;
  AddDecisionFigures(seed, out, figures);
  for (const char* mix : {"kitamura", "altynsay", "both"}) AddMixFigures(mix, seed, figures);
  AddFocusedFigures(seed, out, figures);
  AddCellFigures(seed, figures);
  AddOverloadFigures(seed, figures);
  for (const auto& [name, value] : figures) std::printf("%-50s %10.4f\n", name.c_str(), value);
  std::ofstream(out + "/figures.json") << nlohmann::json(figures).dump(2) << '\n';
  Draw(out);
  const std::vector<broken_bound> broken = BrokenBounds(document["bounds"], figures);
  for (const broken_bound& b : broken) {
    std::printf("BOUND PASSED %s: %.4f, %s %.4f%s\n", b.figure.c_str(), b.value,
                b.is_least ? "least" : "most", b.bound, b.missing ? " (no such figure)" : "");
  }
  std::printf("%zu bounds, %zu broken\n", document["bounds"].size(), broken.size());
  return broken.empty() ? 0 : 1;
}

}  // namespace catkinford
