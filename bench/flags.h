// Flags that more than one command of catkinford-bench takes; each is defined once, since Abseil
// ends a program in which a flag is defined twice.
#ifndef CATKINFORD_BENCH_FLAGS_H_
#define CATKINFORD_BENCH_FLAGS_H_

#include <cstdint>
#include <string>

#include "absl/flags/declare.h"

ABSL_DECLARE_FLAG(std::string, json);
ABSL_DECLARE_FLAG(uint64_t, seed);
ABSL_DECLARE_FLAG(std::string, commit);

#endif  // CATKINFORD_BENCH_FLAGS_H_
