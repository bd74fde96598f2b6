// What the home of a spread job knows of its parts in other shards: each is placed by a message
// that is sent until it is answered, and cancelled in the same way. Pure.
//
// A part must never live in two shards. So a refusal counts only when it answers the last placement
// that was sent: an earlier one may have been refused by an owner that is none any more, and the
// later one be taken by its successor; the home would run the same replicas a second time.
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
  kNone,     // not of a part that is open, known already, or an answer to an earlier message
  kPlaced,   // its record is durable there
  kRefused,  // it surely does not live there and never will: free to live elsewhere
  kOver,     // nothing of it runs any more
};

class part_tracker {
 public:
  // How long an answer is waited for before the message is sent again; each time twice as long, to
  // a limit, since an answer that always comes after the next sending would never count.
  explicit part_tracker(std::chrono::milliseconds resend) : resend_(resend) {}

  // Parts in these shards are to be placed; those that are placed already are placed again, with
  // what the job's record says of them now. `first_send`: of this owner; the numbers of an earlier
  // owner must not come again.
  void Open(const request_id& id, const std::vector<std::string>& shards, uint64_t first_send,
            monotonic_time now);
  void Cancel(const request_id& id, monotonic_time now);
  // A shard has changed hands: each part there is placed again. Mostly the new owner has read its
  // record; but one that has given the part up, since its domain is evacuated, says so only then.
  void OnNewOwner(const std::string& shard, monotonic_time now);
  part_event OnAnswer(const part_answer_message& answer);
  void Close(const request_id& id);

  bool Has(const request_id& id) const { return jobs_.contains(id); }
  bool AllOver(const request_id& id) const;
  // Shards whose word on their part is still missing; empty when all are placed.
  std::vector<std::string> Unplaced(const request_id& id) const;

  void Tick(monotonic_time now, std::vector<part_call>& out);
  monotonic_time NextWake() const;

 private:
  enum class part_state : uint8_t { kUnplaced, kPlaced, kOver };
  struct part {
    std::string shard;
    part_state state = part_state::kUnplaced;
    uint64_t first_send = 0;  // that carries what is owed now
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
