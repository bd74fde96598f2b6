#include "bench/flags.h"

#include "absl/flags/flag.h"

ABSL_FLAG(std::string, json, "", "file for the figures as JSON; empty: none");
ABSL_FLAG(uint64_t, seed, 1, "seed of everything that is drawn at random");
ABSL_FLAG(std::string, commit, "unknown", "commit that the figures are taken at");
ABSL_FLAG(uint32_t, endpoints, 0,
          "decisions: of the shard, 0 for 50, 467 and 4,200 in turn; load: in each failure domain");
ABSL_FLAG(std::string, mix, "",
          "policy: kitamura, altynsay or both; load: parts, such as "
          "interactive=0.9,batch=0.08,gang=0.02,not_repeatable=0.5");
