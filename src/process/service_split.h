// How the replicas of one service are spread over failure domains. Pure.
#ifndef CATKINFORD_PROCESS_SERVICE_SPLIT_H_
#define CATKINFORD_PROCESS_SERVICE_SPLIT_H_

#include <string>
#include <vector>

#include "process/message.h"
#include "process/router.h"
#include "request/job_part.h"

namespace catkinford {

// Whether the tasks of a job may live in several shards. A service that is not to be repeated stays
// in one, since its identity is remembered by one owner; and so does one with a deadline, which
// could pass in one shard only.
bool MaySpread(const place_message& job);

// The parts of a service whose home is `home`: as even over the failure domains that are heard of
// and can hold a replica as their free room allows, in as few shards of each as hold them. What
// finds no room anywhere is spread evenly and waits. Empty when all of it belongs to its home.
std::vector<job_part> SplitService(const place_message& job, const std::string& home,
                                   const router& routes, monotonic_time now);

// Where `tasks` tasks of a job go that cannot stay in their shard: a service as above, any other
// job as a whole to the shard with the most room. Empty when no shard can hold them.
std::vector<job_part> SplitElsewhere(const place_message& job, uint32_t tasks, const router& routes,
                                     monotonic_time now);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SERVICE_SPLIT_H_
