// Leases: how long runs may go on at an instance that cannot be reached.
#include <algorithm>

#include "process/scheduling/job_scheduler.h"

namespace catkinford {

using std::chrono::milliseconds;

void job_scheduler::SetRestarted(fleet_instance& instance, monotonic_time now) const {
  instance.report.restarted = true;
  instance.restart_matters_until = now + kMaxCommandDelay + OnOwnClock(options_.longest_lease);
}

bool job_scheduler::LeaseExpired(const fleet_instance& instance, monotonic_time now) const {
  if (instance.replaced) return true;
  if (now < instance.earlier_commands_until) return false;
  const int64_t incarnation = instance.report.incarnation;
  if (now < instance.leases.EndOfMisdirected(incarnation, options_.longest_lease)) return false;
  if (!instance.lease_unknown) return instance.LeaseSurelyExpired(now);
  if (instance.earlier_leases_until) return now > *instance.earlier_leases_until;
  // An earlier owner's commands are refused only once this owner has listed the instance.
  const milliseconds arrives = instance.report.restarted ? kMaxCommandDelay : milliseconds{0};
  return now > EarlierOwnerUntil() + arrives + OnOwnClock(EarlierOwnerLease(instance, now));
}

monotonic_time job_scheduler::LeaseEnd(const fleet_instance& instance, monotonic_time now) const {
  if (LeaseExpired(instance, now)) return now;
  monotonic_time end = std::max(
      instance.earlier_commands_until,
      instance.leases.EndOfMisdirected(instance.report.incarnation, options_.longest_lease));
  if (!instance.lease_unknown) return std::max(end, instance.LeaseSurelyExpiresAt());
  if (instance.earlier_leases_until) return std::max(end, *instance.earlier_leases_until);
  const milliseconds arrives = instance.report.restarted ? kMaxCommandDelay : milliseconds{0};
  return std::max(end, EarlierOwnerUntil() + arrives +
                           OnOwnClock(EarlierOwnerLease(instance, EarlierOwnerUntil())));
}

void job_scheduler::OnLeaseWaits(const std::map<std::string, lease_wait>& waits,
                                 monotonic_time since) {
  for (const auto& [id, wait] : waits) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) continue;
    fleet_instance& instance = *found->second;
    // Of another incarnation the earlier owner may have known nothing.
    if (!instance.lease_unknown || instance.report.incarnation != wait.incarnation) continue;
    instance.earlier_leases_until = since + wait.left;
  }
}

milliseconds job_scheduler::EarlierOwnerLease(const fleet_instance& instance,
                                              monotonic_time now) const {
  const bool commands_arrive = epoch_ > 1 && now <= EarlierOwnerUntil() + kMaxCommandDelay;
  const bool misdirected = instance.report.restarted && (instance.lease_unknown || commands_arrive);
  return misdirected ? options_.longest_lease : options_.run_lease;
}

void job_scheduler::NoteGrantedLease(fleet_instance& instance, const list_command& request,
                                     const instance_listing& listing) const {
  if (!request.lease_until_ms) return;
  const int64_t granted =
      std::min(*request.lease_until_ms, listing.clock_ms + options_.longest_lease.count());
  instance.lease_until_ms = std::max(instance.lease_until_ms, granted);
}

// The answer to a start does not name the incarnation, but a clock that is behind the one that the
// deadline was made with is another one's.
void job_scheduler::NoteStartLease(fleet_instance& instance, const start_command& request,
                                   const command_answer& answer, monotonic_time now) const {
  if (answer.result == command_result::kUnknown) return;
  instance.leases.OnAnswered(request.lease_command);
  if (!answer.clock_ms) return;
  if (*answer.clock_ms >= request.lease_until_ms - options_.run_lease.count()) return;
  instance.earlier_commands_until =
      std::max(instance.earlier_commands_until, now + OnOwnClock(options_.longest_lease));
}

}  // namespace catkinford
