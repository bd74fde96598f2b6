// `catkinford-bench scenario NAME --seed N`: exits 0 only when every promise held.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_split.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/scenario_faults.h"
#include "bench/scenario_run.h"

ABSL_FLAG(bool, list, false, "scenario: print all names");
ABSL_FLAG(bool, fencing, true,
          "scenario: endpoints refuse a lower epoch, and entries are told so; else time protects");
ABSL_FLAG(
    bool, break_fencing, false,
    "scenario: endpoints take any epoch and entries believe that they do not: the scenario is "
    "expected to fail");
ABSL_FLAG(bool, freeze_leases, false, "scenario: leases stand still while the store is down");
ABSL_FLAG(double, scenario_rate, 200, "scenario: requests a second");
ABSL_FLAG(std::string, scenario_mix, "interactive=0.85,batch=0.1,gang=0.05,not_repeatable=0.5",
          "scenario: parts of the requests by kind");
ABSL_FLAG(std::string, daemon_flags, "", "scenario: flags for each entry, separated by blanks");

namespace catkinford {
namespace {

constexpr std::string_view kTwoFaults = "two_faults";
constexpr std::string_view kTwoFaultsHelp = "a seeded pair of the others, the second in the first";
constexpr std::chrono::milliseconds kLongestRun{60000};

int PrintList() {
  for (const scenario_info& scenario : AllScenarios()) {
    std::printf("%-26s %s\n", std::string(scenario.name).c_str(),
                std::string(scenario.help).c_str());
  }
  std::printf("%-26s %s\n", std::string(kTwoFaults).c_str(), std::string(kTwoFaultsHelp).c_str());
  return 0;
}

// The faults of a scenario by its name, of two_faults by its seed, or of several names with "+"
// between them. Null for a name that there is not.
std::vector<const scenario_info*> FaultsOf(const std::string& name, uint64_t seed) {
  std::vector<const scenario_info*> faults;
  if (name == kTwoFaults) {
    const std::span<const std::string_view> all = PairedScenarios();
    std::mt19937_64 random(seed);
    const size_t first = random() % all.size();
    const size_t second = (first + 1 + random() % (all.size() - 1)) % all.size();
    return {FindScenario(all[first]), FindScenario(all[second])};
  }
  const std::vector<std::string> names = absl::StrSplit(name, '+');
  faults.reserve(names.size());
  for (const std::string& one : names) faults.push_back(FindScenario(one));
  return faults;
}

scenario_options OptionsFor(const std::vector<const scenario_info*>& faults) {
  scenario_options options;
  options.seed = absl::GetFlag(FLAGS_seed);
  options.fleet.seed = options.seed;
  options.fleet.entries_trust_fencing = absl::GetFlag(FLAGS_fencing);
  options.fleet.fencing = absl::GetFlag(FLAGS_fencing) && !absl::GetFlag(FLAGS_break_fencing);
  options.fleet.freeze_leases = absl::GetFlag(FLAGS_freeze_leases);
  options.fleet.daemon_flags =
      absl::StrSplit(absl::GetFlag(FLAGS_daemon_flags), ' ', absl::SkipEmpty());
  options.load.rate = absl::GetFlag(FLAGS_scenario_rate);
  options.load.length = kLongestRun;
  for (const scenario_info* fault : faults) {
    if (fault->prepare != nullptr) fault->prepare(options);
  }
  return options;
}

nlohmann::json RunFaults(const std::vector<const scenario_info*>& faults, const load_mix& mix) {
  scenario_options options = OptionsFor(faults);
  options.load.mix = mix;
  scenario_run run(std::move(options));
  if (!run.Begin()) return {{"held", false}, {"error", "fleet_not_ready"}};
  run.MarkFaultBegin();
  // One after the other: the second strikes before the fleet has healed from the first.
  for (const scenario_info* fault : faults) fault->run(run);
  run.MarkFaultEnd();
  return run.End();
}

}  // namespace

int ScenarioMain(int argc, char** argv) {
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_list)) return PrintList();
  const std::string name = words.size() > 1 ? words[1] : "";
  const std::vector<const scenario_info*> faults = FaultsOf(name, absl::GetFlag(FLAGS_seed));
  if (std::find(faults.begin(), faults.end(), nullptr) != faults.end()) {
    std::fputs("scenario NAME[+NAME] --seed N [--json F]; scenario --list names them\n", stderr);
    return 2;
  }
  load_mix mix;
  if (!ParseMix(absl::GetFlag(FLAGS_scenario_mix), mix)) {
    std::fputs("scenario: --scenario_mix is not understood\n", stderr);
    return 2;
  }
  nlohmann::json result = RunFaults(faults, mix);
  result["scenario"] = name;
  for (const scenario_info* fault : faults) result["faults"].push_back(fault->name);
  result["seed"] = absl::GetFlag(FLAGS_seed);
  result["commit"] = absl::GetFlag(FLAGS_commit);
  if (result.contains("violations")) {
    for (const nlohmann::json& broken : result["violations"]) {
      std::printf("broken %s\n", broken.dump().c_str());
    }
  }
  std::printf("%s\n", result.dump().c_str());
  if (const std::string file = absl::GetFlag(FLAGS_json); !file.empty()) {
    std::ofstream(file) << result.dump(1) << '\n';
  }
  return result["held"].get<bool>() ? 0 : 1;
}

}  // namespace catkinford
