#include "process/scheduling/job_order.h"

namespace catkinford {

job_place PlaceOf(const job_outlook& job, monotonic_time now) {
  const monotonic_time useless = job.accepted + (job.objective - job.accepted) * kUsefulFactor;
  if (now + job.remaining <= job.objective) return {job_rank::kInTime, job.objective};
  if (now + job.remaining > useless) return {job_rank::kHopeless, useless};
  return {job_rank::kLate, useless};
}

}  // namespace catkinford
