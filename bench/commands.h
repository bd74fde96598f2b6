// The commands of catkinford-bench. Each takes its own name as argv[0] and returns an exit code.
#ifndef CATKINFORD_BENCH_COMMANDS_H_
#define CATKINFORD_BENCH_COMMANDS_H_

namespace catkinford {

// The product on one machine, with a fault: `demo --seed N`.
int DemoMain(int argc, char** argv);
// Writes the tables of the pages from the code: `tables [ROOT]`.
int TablesMain(int argc, char** argv);
// How state, messages and processor time grow with size: `slopes --json F`.
int SlopesMain(int argc, char** argv);
// docs/CAPACITY.md from measured slopes: `capacity --slopes F --page docs/CAPACITY.md`.
int CapacityMain(int argc, char** argv);
// Calls between two processes, JSON-RPC against our HTTP pair: `rpc --json F`.
int RpcMain(int argc, char** argv);
// What a call to an instance costs an owner: `instance_calls --call_count N --call_rate R`.
int InstanceCallsMain(int argc, char** argv);

// Raise, read the jobs, fence and list: `takeover --shard_endpoints 467 --shard_tasks 13000`.
int TakeoverMain(int argc, char** argv);

// Load in an open loop over a fleet of real processes: `load --rate R --seconds S`.
int LoadMain(int argc, char** argv);

// What each team gets of a full floor, beside its share: `shares --teams 6 --seconds 30`.
int SharesMain(int argc, char** argv);

// More load than the floor can hold: `overload --part loads|returns|greedy|urgent`.
int OverloadMain(int argc, char** argv);

// Writes to the grant ledger for each size of a step: `grants --grant_teams 6 --grant_shards 3`.
int GrantsMain(int argc, char** argv);

// What control costs an entry at rest and under changes of configuration: `control --json F`.
int ControlMain(int argc, char** argv);

// A withdrawn key until it stops everywhere, and bytes of a change: `spread --document_bytes N`.
int SpreadMain(int argc, char** argv);

// Failure scenarios: `scenario NAME --seed N`, `scenario --list`.
int ScenarioMain(int argc, char** argv);

// Times of decisions: `decisions [--endpoints N] [--running M] [--seed S] [--json F]`.
int DecisionsMain(int argc, char** argv);

// Policies in virtual time: `policy --mix kitamura|altynsay|both [--seed S] [--json F]`.
int PolicyMain(int argc, char** argv);

// The platform's job scheduler at the size of a large site: `site --endpoints 350 --seed S`.
int SiteMain(int argc, char** argv);

// Closeness to share over many shards: `cell --cell_shards 18 --news_ms 1000`.
int CellMain(int argc, char** argv);

// Regression bounds: `bounds [--file F] [--out DIR]`.
int BoundsMain(int argc, char** argv);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_COMMANDS_H_
