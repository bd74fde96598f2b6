#include "bench/flags.h"

#include "absl/flags/flag.h"

ABSL_FLAG(std::string, json, "", "file for the figures as JSON; empty: none");
ABSL_FLAG(uint64_t, seed, 1, "seed of everything that is drawn at random");
ABSL_FLAG(std::string, commit, "unknown", "commit that the figures are taken at");
