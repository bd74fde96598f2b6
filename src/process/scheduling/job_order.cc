#include "process/scheduling/job_order.h"

namespace catkinford {

job_order_key OrderKeyOf(const job_timing& job, monotonic_time now) {
  const monotonic_time useful_until = job.accepted + (job.objective - job.accepted) * kUsefulFactor;
  if (now + job.remaining <= job.objective) return {job_rank::kInTime, job.objective};
  if (now + job.remaining > useful_until) return {job_rank::kTooLate, useful_until};
  return {job_rank::kLate, useful_until};
}

}  // namespace catkinford
