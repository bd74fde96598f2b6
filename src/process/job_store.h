// The durable jobs of the shards that this entry owns: one job log for each shard, read before the
// shard opens, whose notices are passed to the shard.
//
// A takeover reads the log first and the endpoints' listings after it. In the other order a task
// could end, be recorded and be forgotten by its endpoint between the two reads: it would be in
// neither, and run again. The order of token and queue in "From 6 Hours to 1 Minute: Checkpointing
// Kubernetes-style Controllers" rests on the same idea: what is read second may only be newer than
// what is read first.
#ifndef CATKINFORD_PROCESS_JOB_STORE_H_
#define CATKINFORD_PROCESS_JOB_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "connection/store_adapter.h"
#include "process/job_log.h"
#include "process/message.h"
#include "process/registration.h"
#include "process/shard.h"

namespace catkinford {

// A log that has been read, so that its shard may open.
struct opened_log {
  uint32_t number = 0;
  uint64_t epoch = 0;
  std::vector<restored_job> jobs;
};

class job_store {
 public:
  // Sends a call to the store; the reply arrives on the core thread.
  using sender =
      std::function<void(const store_request&, std::function<void(store_reply, monotonic_time)>)>;

  job_store(std::string writer, sender send);

  void OnGained(uint32_t number, const std::string& shard_name, uint64_t epoch);
  void OnLost(uint32_t number);
  // Sends the calls of the logs; returns the logs that became ready.
  std::vector<opened_log> Tick(monotonic_time now);
  // Passes the log's notices to the shard. True when there were any.
  bool TakeNotices(uint32_t number, shard& to, monotonic_time now);

  // Requests of a shard. What the log can't accept now is answered at once as not durable.
  void Record(uint32_t number, const record_action& what, shard& from, monotonic_time now);
  // Answers the job as not durable if its record can still be withdrawn.
  void Withdraw(uint32_t number, const request_id& job, shard& from, monotonic_time now);
  void Complete(uint32_t number, const complete_action& what, shard& from, monotonic_time now);

 private:
  struct held_log {
    uint64_t epoch = 0;
    uint64_t generation = 0;
    bool opened = false;
    std::unique_ptr<job_log> log;
  };

  std::string writer_;
  sender send_;
  call_tags tags_;
  uint64_t generation_ = 0;
  std::map<uint32_t, held_log> logs_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_JOB_STORE_H_
