// What a process that owned the site tells its successor: the progress that the store may lack and
// whether, with it, the records name all runs that may exist.
//
// It also tells how long runs may go on at the instances that it could not reach, so that the time
// that it has waited for them counts.
//
// All runs of the former owner are in it or in the store: a start is in the progress of its job
// before it is sent, also while the store is down. A command that is delivered late belongs to such
// a run. Nothing is started any more once the ownership ended, which is why nothing is told before.
#ifndef CATKINFORD_PROCESS_SITE_HANDOVER_EXCHANGE_H_
#define CATKINFORD_PROCESS_SITE_HANDOVER_EXCHANGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "process/scheduling/job_scheduler.h"

namespace catkinford {

inline constexpr char kPeerHandoverPath[] = "/peer/handover";

struct peer_handover {
  uint64_t nonce = 0;                      // of the former owner's process
  uint64_t epoch = 0;                      // of the ownership that ended; 0: none to tell of
  std::chrono::milliseconds ended_age{0};  // time since it ended
  scheduler_handover knowledge;
};

// Returns nothing for malformed bytes.
std::string PeerHandoverToText(const peer_handover& handover);
std::optional<peer_handover> PeerHandoverFromText(std::string_view bytes);

enum class handover_outcome : uint8_t {
  kTaken,
  kNoAnswer,  // refused, not reachable, or the process is another one
  kUnreadable,
  kOtherEpoch,  // not of the ownership directly before
  kIncomplete,  // the former owner did not know all runs either
  kOverlap,     // it acted for longer after this ownership began than the scheduler waits for
  kLate         // the answer came after scheduling had begun
};
std::string_view ToText(handover_outcome outcome);

// Of the former owner: keeps what its last ownership knew.
class kept_handover {
 public:
  // The ownership of this epoch ended.
  void Keep(uint64_t epoch, scheduler_handover knowledge, monotonic_time now);
  // An ownership of this epoch begins. Returns what the one directly before it knew, if that was
  // this process's too. Nothing is kept from now on.
  scheduler_handover Begin(uint64_t epoch);
  // The answer to the successor of `epoch`: of epoch 0 and empty, unless that ownership is the last
  // that ended.
  peer_handover AnswerTo(uint64_t epoch, uint64_t nonce, monotonic_time now) const;

 private:
  uint64_t epoch_ = 0;  // 0: nothing is kept
  scheduler_handover knowledge_;
  monotonic_time ended_{};
};

// Of the new owner: judges the one answer that it asks for.
class handover_request {
 public:
  // `epoch` of this ownership, which began at `began`; `nonce` of the process asked.
  handover_request(uint64_t epoch, uint64_t nonce, monotonic_time began)
      : former_epoch_(epoch - 1), nonce_(nonce), began_(began) {}

  uint64_t FormerEpoch() const { return former_epoch_; }
  // `bytes`: the answer, nothing if there was none. `out` is set for kTaken, and for kIncomplete
  // without progress.
  handover_outcome Judge(const std::optional<std::string>& bytes, monotonic_time now,
                         scheduler_handover& out) const;

 private:
  // Shorter than scheduler_options::earlier_owner, after which the scheduler takes leases of an
  // earlier owner to be renewed no more.
  static constexpr std::chrono::milliseconds kMaxOverlap{600};

  uint64_t former_epoch_;
  uint64_t nonce_;
  monotonic_time began_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_HANDOVER_EXCHANGE_H_
