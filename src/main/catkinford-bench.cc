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
    {"slopes", catkinford::SlopesMain, "growth of each cost with size: slopes --json F"},
    {"capacity", catkinford::CapacityMain,
     "write docs/CAPACITY.md from slopes: capacity --slopes F"},
    {"rpc", catkinford::RpcMain, "calls between two processes: rpc --json F"},
    {"instance_calls", catkinford::InstanceCallsMain,
     "what a call to an instance costs an owner: instance_calls --call_rate 2000"},
    {"takeover", catkinford::TakeoverMain, "shard takeover by a new owner: takeover --json F"},
    {"load", catkinford::LoadMain, "open-loop load: load --rate 3000 --seconds 20 --json F"},
    {"shares", catkinford::SharesMain,
     "shares of teams at full capacity: shares --teams 6 --seconds 30"},
    {"overload", catkinford::OverloadMain,
     "load above capacity: overload --part loads|returns|greedy|urgent"},
    {"grants", catkinford::GrantsMain, "writes to the grant ledger by step size: grants"},
    {"control", catkinford::ControlMain, "cost of control per entry: control --json F"},
    {"spread", catkinford::SpreadMain,
     "time until a withdrawn key stops everywhere: spread --document_bytes N"},
    {"scenario", catkinford::ScenarioMain, "a failure scenario: scenario NAME --seed N, --list"},
    {"demo", catkinford::DemoMain, "a fleet, all workloads, one entry killed: run by make demo"},
    {"tables", catkinford::TablesMain, "write the tables of docs/ from the code: tables [ROOT]"},
    {"decisions", catkinford::DecisionsMain, "decision times: decisions --endpoints N"},
    {"cell", catkinford::CellMain, "shares over many shards: cell --cell_shards 18"},
    {"bounds", catkinford::BoundsMain, "check figures against bench/bounds.json: bounds --out DIR"},
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
