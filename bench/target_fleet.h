// The fleet of letter 1, and how this project would cut it into entries and shards.
#ifndef CATKINFORD_BENCH_TARGET_FLEET_H_
#define CATKINFORD_BENCH_TARGET_FLEET_H_

#include "process/settings.h"

namespace catkinford {

struct target_fleet {
  // Letter 1.
  double endpoints = 4200;
  double failure_domains = 9;
  double jobs_per_day = 77000;
  double starts_per_second = 1100;
  double running_tasks = 120000;
  double service_tasks = 24000;
  double teams = 170;
  double changes_per_day = 2100;
  double replacements_per_day = 670;
  // What a node may spend on control.
  double cpu_us_per_second = 14000;  // 1.4 % of a core
  double memory_bytes = 256e6;
  double bytes_per_second = 13000;
  // The platform's store: "several hundred" writes and about 2,000 reads a second.
  double store_writes = 300;
  double store_reads = 2000;
  double store_value_bytes = 1e6;
  // Ours.
  double entries_per_domain = 6;
  double shards_per_domain = 6;
  double keys_per_team = 4;
  double peak_over_mean = 10;   // of jobs in a second
  double queued_tasks = 20000;  // the bound of the queues of one entry
  double payload_bytes = 200;   // of a request, and of its answer
  double scrapes_per_second = 1.0 / 15;

  double Entries() const { return failure_domains * entries_per_domain; }
  double Shards() const { return failure_domains * shards_per_domain; }
  double ShardsPerEntry() const { return Shards() / Entries(); }
  double EndpointsPerShard() const { return endpoints / Shards(); }
  double EndpointsPerEntry() const { return endpoints / Entries(); }
  double RunningPerEntry() const { return running_tasks / Entries(); }
  double StartsPerEntry() const { return starts_per_second / Entries(); }
  double Keys() const { return teams * keys_per_team; }
};

// The intervals that a fleet of that size would be run with, where they differ from the defaults.
settings TargetSettings();

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_TARGET_FLEET_H_
