// The commands of catkinford-bench. Each takes its own name as argv[0] and returns an exit code.
#ifndef CATKINFORD_BENCH_COMMANDS_H_
#define CATKINFORD_BENCH_COMMANDS_H_

namespace catkinford {

// Writes the tables of the pages from the code: `tables [ROOT]`.
int TablesMain(int argc, char** argv);

// Times of decisions: `decisions [--endpoints N] [--running M] [--seed S] [--json F]`.
int DecisionsMain(int argc, char** argv);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_COMMANDS_H_
