// `catkinford-bench overload`: more load than the floor can hold, over real processes.
#include <cstdio>
#include <fstream>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/overload.h"

ABSL_FLAG(std::string, loads, "0.5,1,1.5,2,3", "overload: loads in turn, times the capacity");
ABSL_FLAG(double, each_seconds, 10, "overload: length of each load; figures count after 3 s");
ABSL_FLAG(std::string, part, "loads", "overload: loads, returns, greedy or urgent");
ABSL_FLAG(double, ignoring, 0, "overload: part of the batch tasks that never write a checkpoint");

namespace catkinford {

int OverloadMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  overload_options options;
  options.seed = absl::GetFlag(FLAGS_seed);
  options.length =
      std::chrono::milliseconds{static_cast<int64_t>(absl::GetFlag(FLAGS_each_seconds) * 1000)};
  options.loads.clear();
  const std::vector<std::string> loads =
      absl::StrSplit(absl::GetFlag(FLAGS_loads), ',', absl::SkipEmpty());
  for (const std::string& text : loads) {
    double load = 0;
    if (absl::SimpleAtod(text, &load) && load > 0) options.loads.push_back(load);
  }
  const std::string part = absl::GetFlag(FLAGS_part);
  const bool known = part == "loads" || part == "returns" || part == "greedy" || part == "urgent";
  if (options.loads.size() != loads.size() || loads.empty() || !known ||
      options.length <= options.settle) {
    std::fputs(
        "overload: --loads 0.5,1,3 --part loads|returns|greedy|urgent --each_seconds over 3\n",
        stderr);
    return 2;
  }
  nlohmann::json report;
  if (part == "loads") report = MeasureLoads(options);
  if (part == "returns") report = MeasureReturns(options);
  if (part == "greedy") report = MeasureGreedyTeam(options);
  if (part == "urgent") report = MeasureUrgent(options, absl::GetFlag(FLAGS_ignoring));
  if (report.empty()) return 1;
  report["seed"] = options.seed;
  report["commit"] = absl::GetFlag(FLAGS_commit);
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) std::ofstream(file) << report.dump(1) << '\n';
  return 0;
}

}  // namespace catkinford
