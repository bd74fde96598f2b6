// Combines the answers of several owners to one status query: the status of a spread job is
// complete only with its parts in other shards. Pure.
#ifndef CATKINFORD_PROCESS_JOB_STATUS_H_
#define CATKINFORD_PROCESS_JOB_STATUS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "connection/http_server.h"
#include "process/message.h"

namespace catkinford {

class job_status {
 public:
  // Starts a query of these shards' owners; earlier answers are dropped.
  void Start(std::set<std::string> shards);
  // Must be an answer about the caller's own job, or from a shard that does not know the job.
  void OnAnswer(const status_answer& answer);

  // Whether nothing is missing: the home and all queried shards of its parts have answered, or no
  // query is open.
  bool IsComplete() const;
  // The answer of the shard that answers for the whole job; null until it is received.
  const status_answer* Home() const;
  bool IsKnown() const { return !answers_.empty(); }

  http_response Response(const request_id& id) const;

 private:
  std::vector<job_part> Parts() const;

  std::set<std::string> unanswered_;              // queried shards
  std::map<std::string, status_answer> answers_;  // by shard, of those that know the job
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_JOB_STATUS_H_
