// `catkinford-bench slopes`: runs every question and prints and writes the lines.
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/slope.h"

ABSL_FLAG(std::string, only, "", "slopes: run only those whose name begins so");
ABSL_FLAG(int, repeats, 3, "slopes: runs of each size");

namespace catkinford {
namespace {

std::vector<slope_question> AllQuestions() {
  std::vector<slope_question> all;
  for (const auto part : {VersionSlopes, ProcessSlopes, CoreSlopes, PeerSlopes, EndpointSlopes,
                          StoreSlopes, MessageSlopes, InstanceSlopes, FleetSlopes}) {
    for (slope_question& question : part()) all.push_back(std::move(question));
  }
  return all;
}

void Print(const slope& line) {
  std::printf("%-24s %10.3f +- %.3f %s a %s  (fixed %.1f, r2 %.4f, largest %.0f)\n",
              line.name.c_str(), line.each, line.spread, line.unit.c_str(), line.per.c_str(),
              line.fixed, line.r_squared, line.Largest());
  std::fflush(stdout);
}

}  // namespace

int SlopesMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  slope_report report;
  report.commit = absl::GetFlag(FLAGS_commit);
  for (const slope_question& question : AllQuestions()) {
    if (!question.name.starts_with(absl::GetFlag(FLAGS_only))) continue;
    report.slopes.push_back(Measure(question, absl::GetFlag(FLAGS_repeats)));
    Print(report.slopes.back());
  }
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) std::ofstream(file) << ToJson(report) << "\n";
  return 0;
}

}  // namespace catkinford
