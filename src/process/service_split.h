// Distributes the replicas of a service over failure domains. Pure.
#ifndef CATKINFORD_PROCESS_SERVICE_SPLIT_H_
#define CATKINFORD_PROCESS_SERVICE_SPLIT_H_

#include <string>
#include <vector>

#include "process/message.h"
#include "process/router.h"
#include "request/job_part.h"

namespace catkinford {

// Whether the tasks of a job may be placed in several shards. A service that is not repeatable
// stays in one, since only one owner records its identity; so does one with a deadline, which could
// pass in one shard only.
bool MaySpread(const place_message& job);

// The parts of a service whose home shard is `home`: as evenly over the failure domains that have
// reported and can hold a replica as their free capacity allows, in as few shards of each as
// possible. Replicas that fit nowhere are spread evenly and wait. Empty when all of it belongs to
// its home shard.
std::vector<job_part> SplitService(const place_message& job, const std::string& home,
                                   const router& routes, monotonic_time now);

// Where `tasks` tasks of a job go that cannot stay in their shard: a service is split as above, any
// other job goes undivided to the shard with the most free capacity. Empty when no shard can hold
// them.
std::vector<job_part> SplitElsewhere(const place_message& job, uint32_t tasks, const router& routes,
                                     monotonic_time now);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SERVICE_SPLIT_H_
