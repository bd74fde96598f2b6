// Which shard runs which tasks of a job that is split over several shards.
#ifndef CATKINFORD_REQUEST_JOB_PART_H_
#define CATKINFORD_REQUEST_JOB_PART_H_

#include <cstdint>
#include <string>

namespace catkinford {

// The tasks [first, first + tasks) belong to `shard` only.
struct job_part {
  std::string shard;
  uint32_t first = 0;
  uint32_t tasks = 0;

  bool operator==(const job_part&) const = default;
};

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_JOB_PART_H_
