// Tracks the parts of spread jobs in other shards for their home: each part is placed by a message
// that is repeated until it is answered, and cancelled in the same way. Pure.
//
// A part must never run in two shards. So a rejection counts only when it answers the last
// placement that was sent: an earlier placement may have been rejected by a former owner and a
// later one accepted by its successor, and the home would run the same replicas a second time.
#ifndef CATKINFORD_PROCESS_PART_TRACKER_H_
#define CATKINFORD_PROCESS_PART_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "process/message.h"
#include "request/identity.h"

namespace catkinford {

// One message to the owner of a part's shard.
struct part_call {
  request_id id;
  std::string shard;
  uint64_t send = 0;
  bool is_cancel = false;
};

enum class part_event : uint8_t {
  kNone,     // not about a tracked part, known already, or an answer to an earlier message
  kPlaced,   // its record is durable there
  kRefused,  // it is not in that shard and never will be: it may be placed elsewhere
  kOver,     // nothing of it runs any more
};

class part_tracker {
 public:
  // `resend`: how long to wait for an answer before the message is sent again. The time doubles
  // with each round up to a limit, since an answer that always arrives after the next sending would
  // never count.
  explicit part_tracker(std::chrono::milliseconds resend) : resend_(resend) {}

  // Places the parts in these shards; parts that are placed already are placed again with the
  // current content of the job's record. `first_send`: the first send number of this owner; numbers
  // of an earlier owner must not be reused.
  void Open(const request_id& id, const std::vector<std::string>& shards, uint64_t first_send,
            monotonic_time now);
  void Cancel(const request_id& id, monotonic_time now);
  // The shard has a new owner: each part there is placed again. Usually the new owner has read its
  // record, but one that gave the part up because its domain is evacuated reports that only then.
  void OnNewOwner(const std::string& shard, monotonic_time now);
  part_event OnAnswer(const part_answer_message& answer);
  void Close(const request_id& id);

  bool Has(const request_id& id) const { return jobs_.contains(id); }
  bool AllOver(const request_id& id) const;
  // Shards that have not confirmed their part yet; empty when all parts are placed.
  std::vector<std::string> Unplaced(const request_id& id) const;

  void Tick(monotonic_time now, std::vector<part_call>& out);
  monotonic_time NextWake() const;

 private:
  enum class part_state : uint8_t { kUnplaced, kPlaced, kOver };
  struct part {
    std::string shard;
    part_state state = part_state::kUnplaced;
    uint64_t first_send = 0;  // the first one with the current content
    uint64_t last_send = 0;
  };
  struct tracked_job {
    std::vector<part> parts;
    uint64_t sends = 0;
    bool cancelled = false;
    uint32_t rounds = 0;  // without all answers
    monotonic_time next = monotonic_time::max();
  };

  static bool NeedsSend(const tracked_job& job, const part& one);
  void Schedule(const request_id& id, tracked_job& job, monotonic_time when);

  std::chrono::milliseconds resend_;
  absl::flat_hash_map<request_id, tracked_job> jobs_;
  std::set<std::pair<monotonic_time, request_id>> schedule_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_PART_TRACKER_H_
