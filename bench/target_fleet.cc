#include "bench/target_fleet.h"

namespace catkinford {

settings TargetSettings() {
  using std::chrono::milliseconds;
  settings config;
  config.timing.sync_wait = milliseconds{15000};
  config.timing.task_lease = milliseconds{60000};
  config.timing.instance_poll = milliseconds{60000};
  config.bounds.peer_bytes = 4000;
  config.timing.member_lease = milliseconds{3000};
  config.shards.per_domain = 6;
  return config;
}

}  // namespace catkinford
