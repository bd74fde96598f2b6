#include "process/scheduling/job_order.h"

namespace catkinford {

monotonic_time UsefulUntil(const job_timing& job) {
  return job.accepted + (job.objective - job.accepted) * kUsefulFactor;
}

job_order_key OrderKeyOf(const job_timing& job, monotonic_time now) {
  const monotonic_time useful_until = UsefulUntil(job);
  if (now + job.remaining <= job.objective) return {job_rank::kInTime, job.objective};
  if (now + job.remaining > useful_until) return {job_rank::kTooLate, useful_until};
  return {job_rank::kLate, useful_until};
}

monotonic_time KeyChangesAt(const job_timing& job, monotonic_time now) {
  constexpr monotonic_time::duration kTick{1};
  switch (OrderKeyOf(job, now).rank) {
    case job_rank::kInTime:
      return job.objective - job.remaining + kTick;
    case job_rank::kLate:
      return UsefulUntil(job) - job.remaining + kTick;
    case job_rank::kTooLate:
      break;
  }
  return monotonic_time::max();
}

}  // namespace catkinford
