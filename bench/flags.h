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
ABSL_DECLARE_FLAG(uint32_t, endpoints);  // 0: the command's own default
ABSL_DECLARE_FLAG(std::string, mix);     // empty: the command's own default

#endif  // CATKINFORD_BENCH_FLAGS_H_
