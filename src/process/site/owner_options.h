// The scheduler's options of an owner, from its settings.
#ifndef CATKINFORD_PROCESS_SITE_OWNER_OPTIONS_H_
#define CATKINFORD_PROCESS_SITE_OWNER_OPTIONS_H_

#include <algorithm>

#include "process/scheduling/job_scheduler.h"
#include "process/site/site_membership.h"
#include "process/site/site_settings.h"

namespace catkinford {

// `earlier_owner_may_act`: the earlier owner's lease had not ended, so it may act until it does.
inline scheduler_options OwnerOptions(const site_settings& settings, bool earlier_owner_may_act) {
  scheduler_options out;
  out.run_lease = std::min(settings.timing.run_lease, settings.bounds.longest_run_lease);
  out.longest_lease = settings.bounds.longest_run_lease;
  out.stop_limit = settings.bounds.stop_limit;
  out.gang_limit = settings.bounds.gang_limit;
  out.keep_final = settings.bounds.keep_final;
  if (earlier_owner_may_act) out.earlier_owner += settings.timing.owner_lease;
  out.unconfirmed_owner = kIsolatedOwnerLimit;
  out.early_limit = settings.bounds.early_limit;
  out.remote_factor = settings.bounds.remote_factor;
  out.instance_speed = settings.instance_speed.enabled;
  out.copies = settings.copies.enabled;
  out.copies_max_share = settings.copies.max_share;
  return out;
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_OWNER_OPTIONS_H_
