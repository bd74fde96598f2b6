// In which order waiting work gets room: by what can still be saved.
//
// The load it answers: a floor that is a little more than full. In the order of their objectives, a
// job that is late already comes before one that could still be in time and makes it late too; once
// there is a backlog, everybody waits as long as it is deep. Here those that can still make their
// objective come first, and those that are late use what they leave.
#ifndef CATKINFORD_PROCESS_SCHEDULING_JOB_ORDER_H_
#define CATKINFORD_PROCESS_SCHEDULING_JOB_ORDER_H_

#include <chrono>
#include <compare>
#include <cstdint>

#include "request/job_request.h"

namespace catkinford {

// What callers were promised, and how much of a job is still to be done.
struct job_timing {
  monotonic_time accepted{};
  monotonic_time objective{};           // late after this
  std::chrono::milliseconds remaining;  // its longest chain of work, if nothing waits
};

enum class job_rank : uint8_t {
  kInTime,  // can make its objective
  kLate,
  kTooLate  // can't end before it is of no use
};

// A job is of no use to its caller after this many times its objective.
constexpr int kUsefulFactor = 3;

struct job_order_key {
  job_rank rank = job_rank::kInTime;
  monotonic_time deadline{};  // within a rank

  auto operator<=>(const job_order_key&) const = default;
};
job_order_key OrderKeyOf(const job_timing& job, monotonic_time now);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_JOB_ORDER_H_
