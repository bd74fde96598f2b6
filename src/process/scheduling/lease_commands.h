// Leases that an instance may hold without its owner's intent.
//
// A command names the instance by an id that a restart keeps, and its deadline is a time on the
// clock of the incarnation that it is meant for. The next incarnation counts its clock anew: it
// takes the deadline for one far ahead and grants the longest lease that it allows.
#ifndef CATKINFORD_PROCESS_SCHEDULING_LEASE_COMMANDS_H_
#define CATKINFORD_PROCESS_SCHEDULING_LEASE_COMMANDS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

// The time that a lease lasts on this process's clock if the instance's is as slow as it may be.
std::chrono::milliseconds OnOwnClock(std::chrono::milliseconds lease);

// The commands to one instance that extend its lease and have no answer yet.
class lease_commands {
 public:
  // Returns the command's number, from 1. `incarnation`: the one that it is meant for.
  uint64_t OnSent(int64_t incarnation, monotonic_time now);
  // From now on the command cannot be executed any more.
  void OnAnswered(uint64_t number);
  size_t Unanswered() const { return sent_.size(); }
  // No lease that `incarnation` got from a command for an earlier one lasts longer. `longest`: the
  // longest lease that the instance grants, on its own clock.
  monotonic_time EndOfMisdirected(int64_t incarnation, std::chrono::milliseconds longest) const;

 private:
  struct command {
    uint64_t number = 0;
    int64_t incarnation = 0;
    monotonic_time sent{};
  };

  std::vector<command> sent_;
  uint64_t last_number_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_LEASE_COMMANDS_H_
