// `catkinford-bench cell`: closeness to share where many shards hear of each other late.
#include <array>
#include <cstdio>
#include <fstream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "bench/cell.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "nlohmann/json.hpp"

ABSL_FLAG(uint32_t, cell_shards, 18, "cell: shards");
ABSL_FLAG(uint32_t, news_ms, 1000, "cell: from one report of use to the next");
ABSL_FLAG(bool, uneven, false, "cell: every other team's work goes to a third of the shards");

namespace catkinford {

int CellMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  cell_options options;
  options.shards = absl::GetFlag(FLAGS_cell_shards);
  options.news = std::chrono::milliseconds{absl::GetFlag(FLAGS_news_ms)};
  options.uneven = absl::GetFlag(FLAGS_uneven);
  options.seed = absl::GetFlag(FLAGS_seed);
  if (options.shards == 0 || options.news.count() == 0) {
    std::fputs("cell: --cell_shards and --news_ms over 0, please\n", stderr);
    return 2;
  }
  constexpr std::array kNames = {"all present", "largest away", "largest back"};
  const std::vector<cell_phase> phases = RunCell(options);
  nlohmann::json report = {{"shards", options.shards},
                           {"news_ms", options.news.count()},
                           {"seed", options.seed},
                           {"phases", nlohmann::json::array()}};
  for (size_t i = 0; i < phases.size(); ++i) {
    const cell_phase& phase = phases[i];
    std::printf("%-13s within 2 points after %4.0f s, from 10 s on %5.2f points, by 5 s:",
                kNames[i], phase.settled_s, phase.worst_after_10s);
    for (const double window : phase.windows) std::printf(" %.2f", window);
    std::puts("");
    report["phases"].push_back({{"phase", kNames[i]},
                                {"settled_s", phase.settled_s},
                                {"worst_after_10s", phase.worst_after_10s},
                                {"windows", phase.windows}});
  }
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) std::ofstream(file) << report.dump(1) << '\n';
  return 0;
}

}  // namespace catkinford
