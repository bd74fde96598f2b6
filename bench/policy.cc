#include "bench/policy.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "bench/baselines.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/simulation.h"
#include "bench/workload.h"

ABSL_FLAG(uint32_t, scale, 1,
          "policy: times the workers of today; without the focused parts over 1");

namespace catkinford {
namespace {

constexpr uint32_t kMostReturns = 30;
constexpr std::array<double, 5> kLoads = {0.5, 0.9, 1.2, 2.0, 3.0};

nlohmann::json WaitsToJson(const wait_samples& waits) {
  const double mean = waits.Count() == 0 ? 0
                                         : static_cast<double>(waits.Sum().count()) /
                                               static_cast<double>(waits.Count());
  return {{"count", waits.Count()},
          {"mean_ms", mean},
          {"p50_ms", waits.Percentile(0.5).count()},
          {"p99_ms", waits.Percentile(0.99).count()}};
}

nlohmann::json ToJson(const simulation_result& result) {
  nlohmann::json waits;
  for (size_t kind = 0; kind < result.waits.size(); ++kind) {
    if (result.waits[kind].Count() == 0) continue;
    waits[std::string(ToText(static_cast<workload_kind>(kind)))] = WaitsToJson(result.waits[kind]);
  }
  if (result.urgent_waits.Count() > 0) waits["urgent"] = WaitsToJson(result.urgent_waits);
  return {{"waits", waits},
          {"started", result.started},
          {"in_time", result.in_time},
          {"refused", result.refused},
          {"preempted", result.preempted},
          {"never_started", result.never_started},
          {"over_capacity", result.over_capacity},
          {"packing", result.packing},
          {"signature", result.signature}};
}

template <simulated_scheduler scheduler>
nlohmann::json RunOne(const workload& work, uint64_t seed) {
  simulation_options options;
  options.seed = seed;
  return ToJson(Simulate<scheduler>(work, options));
}

double ShareError(const workload& work, uint64_t seed) {
  simulation_options options;
  options.seed = seed;
  options.measure_share = true;
  return Simulate<decision_core>(work, options).share_error;
}

// Interactive work that ended by its deadline, in a second, at each load.
nlohmann::json Goodput(uint64_t seed) {
  nlohmann::json curve = nlohmann::json::array();
  for (const double load : kLoads) {
    const workload work = OverloadWorkload(load, seed);
    const simulation_result core = Simulate<decision_core>(work, {seed});
    const simulation_result first = Simulate<baseline_scheduler<first_fit>>(work, {seed});
    const double length = std::chrono::duration<double>(work.length).count();
    curve.push_back({{"load", load},
                     {"core", static_cast<double>(core.in_time) / length},
                     {"core_refused", core.refused},
                     {"core_waits", WaitsToJson(core.waits[0])},
                     {"first_fit", static_cast<double>(first.in_time) / length}});
  }
  return curve;
}

// Three times the floor for a while, callers coming back when they were told to.
nlohmann::json Storm(uint64_t seed) {
  simulation_options options;
  options.seed = seed;
  options.most_returns = kMostReturns;
  const workload work = StormWorkload(seed);
  const simulation_result core = Simulate<decision_core>(work, options);
  const auto jobs = static_cast<double>(work.jobs.size());
  return {{"served_in_time", static_cast<double>(core.in_time) / jobs},
          {"tries_each", 1 + static_cast<double>(core.refused) / jobs},
          {"served_at_first_return", static_cast<double>(core.served_at_first_return) /
                                         std::max(1.0, static_cast<double>(core.first_returns))},
          {"waits", WaitsToJson(core.waits[0])}};
}

// Urgent work on a full floor, where a part of the batch tasks never writes a checkpoint.
nlohmann::json Urgent(uint64_t seed) {
  const workload work = UrgentWorkload(seed);
  nlohmann::json lines = nlohmann::json::array();
  for (const double ignoring : {0.0, 0.2, 1.0}) {
    simulation_options options;
    options.seed = seed;
    options.ignoring = ignoring;
    const simulation_result run = Simulate<decision_core>(work, options);
    lines.push_back({{"ignoring", ignoring},
                     {"waits", WaitsToJson(run.urgent_waits)},
                     {"most_ms", run.urgent_waits.Percentile(1).count()},
                     {"refused", run.refused},
                     {"preempted", run.preempted},
                     {"cut_short", run.cut_short}});
  }
  return lines;
}

// The p99 wait of the teams within their shares, without and with a team far beyond its own.
nlohmann::json Greedy(uint64_t seed) {
  const auto others = [seed](bool greedy) {
    const simulation_result run = Simulate<decision_core>(GreedyWorkload(greedy, seed), {seed});
    wait_samples waits;
    for (size_t team = 1; team < run.caller_waits.size(); ++team) {
      waits.AddAll(run.caller_waits[team]);
    }
    return WaitsToJson(waits);
  };
  return {{"modest", others(false)}, {"greedy", others(true)}};
}

void PrintMix(const nlohmann::json& figures) {
  for (const auto& [scheduler, result] : figures.items()) {
    std::printf("%-14s started %7d refused %6d preempted %4d never started %4d packing %.3f\n",
                scheduler.c_str(), result["started"].get<int>(), result["refused"].get<int>(),
                result["preempted"].get<int>(), result["never_started"].get<int>(),
                result["packing"].get<double>());
    for (const auto& [kind, waits] : result["waits"].items()) {
      std::printf("    %-12s %7d waits  mean %9.1f ms  p50 %7d  p99 %7d\n", kind.c_str(),
                  waits["count"].get<int>(), waits["mean_ms"].get<double>(),
                  waits["p50_ms"].get<int>(), waits["p99_ms"].get<int>());
    }
  }
}

}  // namespace

nlohmann::json RunMix(std::string_view mix, uint64_t seed, uint32_t scale) {
  const workload work = MixedWorkload(mix, seed, scale);
  return {{"core", RunOne<decision_core>(work, seed)},
          {"first_fit", RunOne<baseline_scheduler<first_fit>>(work, seed)},
          {"random_of_two", RunOne<baseline_scheduler<random_of_two>>(work, seed)}};
}

nlohmann::json RunFocused(uint64_t seed) {
  const workload packing = PackingWorkload(seed);
  return {
      {"packing",
       {{"core", Simulate<decision_core>(packing, {seed}).packing},
        {"first_fit", Simulate<baseline_scheduler<first_fit>>(packing, {seed}).packing},
        {"random_of_two", Simulate<baseline_scheduler<random_of_two>>(packing, {seed}).packing}}},
      {"share_error", ShareError(ShareWorkload(seed), seed)},
      {"goodput", Goodput(seed)},
      {"storm", Storm(seed)},
      {"greedy", Greedy(seed)},
      {"urgent", Urgent(seed)}};
}

int PolicyMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::string asked = absl::GetFlag(FLAGS_mix);
  const std::string mix = asked.empty() ? "both" : asked;
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  nlohmann::json figures = {{"mix", mix}, {"seed", seed}};
  const uint32_t scale = std::max(1U, absl::GetFlag(FLAGS_scale));
  figures["schedulers"] = RunMix(mix, seed, scale);
  if (scale == 1) figures["focused"] = RunFocused(seed);
  std::printf("mix %s, seed %llu\n", mix.c_str(), static_cast<unsigned long long>(seed));
  PrintMix(figures["schedulers"]);
  if (scale == 1) std::printf("focused %s\n", figures["focused"].dump(1).c_str());
  if (const std::string file = absl::GetFlag(FLAGS_json); !file.empty()) {
    std::ofstream(file) << figures.dump(2) << "\n";
  }
  return 0;
}

}  // namespace catkinford
