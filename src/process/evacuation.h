// Evacuation of a failure domain that an operator has declared lost: another entry takes over its
// shards.
//
// First it checks that no member of the domain holds a lease in the store. Then it raises the epoch
// of each shard, so that nothing more is written under the old one, and waits for the leases of all
// tasks that an owner may have renewed until then. Only after that the logs are taken over and the
// jobs moved. Neither the store nor a clock can reveal an owner that is cut off from everything but
// its endpoints and keeps renewing their leases: the operator's declaration has to rule that out.
// Pure: takes replies and time, returns store calls.
#ifndef CATKINFORD_PROCESS_EVACUATION_H_
#define CATKINFORD_PROCESS_EVACUATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "connection/store_adapter.h"
#include "process/ownership_record.h"
#include "process/registration.h"
#include "request/job_request.h"

namespace catkinford {

struct evacuation_options {
  std::string failure_domain;
  std::string entry;  // that runs the evacuation
  uint64_t incarnation = 0;
  uint32_t shards = 1;  // of the domain
  bool dry_run = false;
  // From raising the epochs until no task of the domain can still run.
  std::chrono::milliseconds lease_wait{13000};
  std::chrono::milliseconds retry_after{250};
};

enum class evacuation_state : uint8_t {
  kReadingMembers,
  kReadingJobs,
  kReadingShards,
  kRaisingEpochs,
  kWaiting,  // for the leases of the tasks to expire
  kReady,    // the logs may be taken over
  kCounted,  // a dry run has ended
  kStopped,  // the domain is not lost; see StopReason()
};

// Content of the domain's logs.
struct evacuation_size {
  uint32_t jobs = 0;     // not over
  uint32_t unknown = 0;  // of these: may have run, and may not run again
};
// `items`: the segments of all logs of the domain, in order of their keys.
evacuation_size CountJobs(const std::vector<store_item>& items);

class evacuation {
 public:
  evacuation(evacuation_options options, call_tags& tags);

  void Tick(monotonic_time now, std::vector<store_request>& out);
  // False when the tag does not belong to this object.
  bool OnReply(uint64_t tag, const store_reply& reply, monotonic_time now);
  // Stops the evacuation: an entry of the domain is alive, or owns a shard of it.
  void Stop(std::string reason);

  evacuation_state State() const { return state_; }
  bool IsOver() const {
    return state_ == evacuation_state::kCounted || state_ == evacuation_state::kStopped;
  }
  const std::string& StopReason() const { return stop_reason_; }
  const evacuation_size& Size() const { return size_; }
  std::chrono::milliseconds TimeLeft(monotonic_time now) const;
  // Our epoch of the shard with that number; valid from kWaiting on.
  uint64_t Epoch(uint32_t shard) const { return shards_[shard].epoch; }
  const evacuation_options& Options() const { return options_; }

 private:
  struct shard_state {
    uint64_t revision = 0;
    uint64_t epoch = 0;  // to be written, then ours
  };

  void Range(const std::string& prefix, std::vector<store_request>& out);
  void RaiseEpoch(std::vector<store_request>& out);
  void OnMembers(const store_reply& reply);
  void OnShards(const store_reply& reply);
  void OnEpochRaised(const store_reply& reply, monotonic_time now);

  evacuation_options options_;
  call_tags& tags_;
  evacuation_state state_ = evacuation_state::kReadingMembers;
  std::string stop_reason_;
  evacuation_size size_;
  std::vector<shard_state> shards_;
  uint32_t next_shard_ = 0;  // whose record is being written
  store_request call_;       // the last one; sent again unchanged when its reply is lost
  uint64_t call_tag_ = 0;
  bool resend_ = false;
  monotonic_time next_try_{};
  monotonic_time ready_at_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_EVACUATION_H_
