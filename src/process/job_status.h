// The answers of several owners to one question about a job, put together: a spread job is whole
// only with the parts in other shards. Pure.
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
  // The shards whose owners are asked now; what was heard before is forgotten.
  void Start(std::set<std::string> shards);
  // Of the caller's own job, or of a shard that does not know it.
  void OnAnswer(const status_answer& answer);

  // Nothing is missing: the home has answered and so have the shards of all its parts that were
  // asked, or nobody is left who could.
  bool IsComplete() const;
  // The word of the shard that answers for the whole job; null until it is heard.
  const status_answer* Home() const;
  bool IsKnown() const { return !answers_.empty(); }

  http_response Response(const request_id& id) const;

 private:
  std::vector<job_part> Parts() const;

  std::set<std::string> unanswered_;              // asked, and not answered
  std::map<std::string, status_answer> answers_;  // by shard, of those that know the job
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_JOB_STATUS_H_
