// The use of teams in other shards, averaged over time.
//
// News of it is a round of messages old. Shards that each make up for all that a team lacked a
// round ago make up for it several times over, and in the next round take it back: the parts swing,
// and a team that wants little of the floor gains by it, since it can swing up further than down.
// It is seen as large teams getting too little. Averaged over as many rounds as there are shards,
// the correction of all together is about the lack.
#ifndef CATKINFORD_PROCESS_USAGE_AVERAGE_H_
#define CATKINFORD_PROCESS_USAGE_AVERAGE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "request/job_request.h"

namespace catkinford {

class usage_average {
 public:
  // `time_constant`: after it two thirds of a change are taken in.
  explicit usage_average(std::chrono::milliseconds time_constant);
  void SetTimeConstant(std::chrono::milliseconds time_constant) { time_constant_ = time_constant; }

  // What `shard` should take as the team's use elsewhere, when `running` is the latest news of it.
  resources Update(uint32_t shard, const std::string& team, const resources& running,
                   monotonic_time now);

 private:
  struct average {
    std::array<double, 4> amounts{};
    monotonic_time at{};
  };

  std::chrono::duration<double> time_constant_;
  absl::flat_hash_map<std::pair<uint32_t, std::string>, average> averages_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_USAGE_AVERAGE_H_
