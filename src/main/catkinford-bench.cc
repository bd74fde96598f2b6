// Benchmarks, load and failure scenarios. Each command has its code in bench/.
#include <array>
#include <cstdio>
#include <string_view>

#include "bench/commands.h"

namespace {

struct bench_command {
  std::string_view name;
  int (*run)(int argc, char** argv);
  std::string_view help;
};

constexpr std::array kCommands = std::to_array<bench_command>({
    {"help", [](int, char**) { return 2; }, "this list"},
    {"slopes", catkinford::SlopesMain, "how each cost grows with size: slopes --json F"},
    {"capacity", catkinford::CapacityMain,
     "write docs/CAPACITY.md from slopes: capacity --slopes F"},
    {"rpc", catkinford::RpcMain, "calls between two processes: rpc --json F"},
    {"takeover", catkinford::TakeoverMain, "an owner's first moments: takeover --json F"},
    {"load", catkinford::LoadMain, "open-loop load: load --rate 3000 --seconds 20 --json F"},
    {"shares", catkinford::SharesMain, "parts of a full floor: shares --teams 6 --seconds 30"},
    {"overload", catkinford::OverloadMain,
     "more load than the floor holds: overload --part loads|returns|greedy|urgent"},
    {"grants", catkinford::GrantsMain, "writes to the grant ledger by size of step: grants"},
    {"control", catkinford::ControlMain, "what control costs an entry: control --json F"},
    {"spread", catkinford::SpreadMain,
     "a withdrawn key until it stops everywhere: spread --document_bytes N"},
    {"scenario", catkinford::ScenarioMain, "a failure scenario: scenario NAME --seed N, --list"},
    {"demo", catkinford::DemoMain, "a fleet, all workloads, one entry killed: what make demo runs"},
    {"tables", catkinford::TablesMain, "write the tables of docs/ from the code: tables [ROOT]"},
    {"decisions", catkinford::DecisionsMain, "times of decisions: decisions --endpoints N"},
    {"cell", catkinford::CellMain, "shares over many shards: cell --cell_shards 18"},
    {"bounds", catkinford::BoundsMain, "hold figures to bench/bounds.json: bounds --out DIR"},
    {"site", catkinford::SiteMain,
     "the platform's job scheduler in virtual time: site --endpoints 350"},
    {"policy", catkinford::PolicyMain, "policies in virtual time: policy --mix both"},
});

int Usage() {
  std::puts("catkinford-bench COMMAND [--flag value ...]");
  for (const bench_command& command : kCommands) {
    std::printf("  %-12s %s\n", command.name.data(), command.help.data());
  }
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return Usage();
  for (const bench_command& command : kCommands) {
    if (command.name == argv[1]) return command.run(argc - 1, argv + 1);
  }
  return Usage();
}
