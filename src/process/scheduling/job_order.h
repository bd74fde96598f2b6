// The order in which waiting jobs get capacity.
//
// With a plain earliest-objective order, under a load slightly above capacity, a job that is
// already late comes before one that could still be in time and makes it late too; once there is a
// backlog, every job waits for as long as it is deep. Here jobs that can still meet their objective
// come first, and late ones use the capacity that is left.
#ifndef CATKINFORD_PROCESS_SCHEDULING_JOB_ORDER_H_
#define CATKINFORD_PROCESS_SCHEDULING_JOB_ORDER_H_

#include <chrono>
#include <compare>
#include <cstdint>

#include "request/job_request.h"

namespace catkinford {

// The objective that callers were promised, and the work that is left.
struct job_timing {
  monotonic_time accepted{};
  monotonic_time objective{};           // late after this
  std::chrono::milliseconds remaining;  // longest chain of work left, without waiting
};

enum class job_rank : uint8_t {
  kInTime,  // can meet its objective
  kLate,
  kTooLate  // can't end while the result is still useful
};

// A job's result is useless to its caller after this many times the time to its objective.
constexpr int kUsefulFactor = 3;

struct job_order_key {
  job_rank rank = job_rank::kInTime;
  monotonic_time deadline{};  // earlier first within a rank

  auto operator<=>(const job_order_key&) const = default;
};
monotonic_time UsefulUntil(const job_timing& job);
job_order_key OrderKeyOf(const job_timing& job, monotonic_time now);
// When that key changes if nothing else does; max() if it does not.
monotonic_time KeyChangesAt(const job_timing& job, monotonic_time now);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SCHEDULING_JOB_ORDER_H_
