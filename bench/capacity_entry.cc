// What one entry of the target fleet holds, spends and sends.
//
// The intervals that stand here as constants are those of the code that spends them; where a
// setting gives the interval, the setting is used.
#include <chrono>
#include <string>
#include <vector>

#include "bench/capacity.h"
#include "process/membership.h"

namespace catkinford {
namespace {

constexpr double kDay = 86400;
constexpr double kKeepalivesPerLease = 3;  // process/registration
constexpr double kOwnerPolls = 1;          // process/ownership: a second, each of two ranges
constexpr double kGrantPlans = 1.0 / 60;   // process/grant_store: of all teams, a second and shard
constexpr double kConfigReads = 0.2;       // process/config_store: a second
constexpr double kConfigHistory = 2;       // process/config_history_store: on the way to the store
constexpr double kLedgerCopies = 3;        // process/grant_store: in force, pending, text
constexpr double kEventsPerTask = 8;       // docs/EVENTS.md: a request's way

double Seconds(std::chrono::milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

capacity_term State(const char* slope, double size, double copies = 1) {
  return {slope, size, term_part::kEach, true, copies};
}
capacity_term Rate(const char* slope, double per_second) {
  return {slope, per_second, term_part::kEach, false};
}
capacity_term Fixed(const char* slope, double count) {
  return {slope, count, term_part::kFixed, false};
}

// Heartbeats that one entry sends a second, as process/membership spends its budget at that size;
// it receives as many. Each carries a word of each entry of the domain, and so does the answer to
// one for another domain.
struct beat_rates {
  double near = 0;
  double far = 0;

  double Calls() const { return near + far; }
  double Messages() const { return near + 2 * far; }
};

beat_rates BeatsOf(const target_fleet& fleet, const settings& config) {
  membership_options options;
  options.name = "d0-e0";
  options.failure_domain = "d0";
  options.heartbeat = config.timing.heartbeat;
  options.far_heartbeat = config.timing.far_heartbeat;
  options.bytes_per_second = config.bounds.peer_bytes;
  std::vector<instance> list;
  for (int domain = 0; domain < static_cast<int>(fleet.failure_domains); ++domain) {
    for (int entry = 0; entry < static_cast<int>(fleet.entries_per_domain); ++entry) {
      instance one;
      one.failure_domain = "d" + std::to_string(domain);
      one.name = one.failure_domain + "-e" + std::to_string(entry);
      one.role = instance_role::kEntry;
      one.address = "http://127.0.0.1:1";
      list.push_back(one);
    }
  }
  membership members(options);
  members.OnInstances(list, {});
  return {static_cast<double>(members.NearTargets()) / Seconds(members.NearPeriod()),
          1 / Seconds(members.FarPeriod())};
}

double Syncs(const target_fleet& fleet, const settings& config) {
  return fleet.EndpointsPerEntry() / Seconds(config.timing.sync_wait);
}

double Keepalives(const settings& config) {
  return kKeepalivesPerLease / Seconds(config.timing.member_lease);
}

double LedgerEntries(const target_fleet& fleet) { return fleet.teams * fleet.Shards(); }

double Instances(const target_fleet& fleet) { return fleet.endpoints + fleet.Entries(); }

// The entries of a domain read the list in turns; each tells its neighbours.
double ListReads(const target_fleet& fleet, const settings& config) {
  return 1 / Seconds(config.timing.instance_poll) / fleet.entries_per_domain;
}
double ListCalls(const target_fleet& fleet, const settings& config) {
  return (fleet.entries_per_domain - 1) * ListReads(fleet, config);
}

capacity_sum Memory(const target_fleet& fleet, const settings& config) {
  // An entry that has taken a dead peer's shard over holds two.
  const double shards = 2 * fleet.ShardsPerEntry();
  capacity_sum sum{"memory of an entry that holds two shards, bytes", capacity_limit::kMemory, {}};
  sum.lines = {
      {"the program itself: code, threads, buffers",
       "catkinfordd at rest",
       {Fixed("entry.memory", 1)}},
      {"endpoints",
       "decision_core, free index",
       {State("core.endpoint_memory", shards * fleet.EndpointsPerShard())}},
      {"running tasks",
       "decision_core, job table",
       {State("core.running_memory", 2 * fleet.RunningPerEntry())}},
      {"queued tasks, at the bound",
       "bounded queues of each team",
       {State("core.queued_memory", fleet.queued_tasks)}},
      {"teams", "decision_core, team table", {State("core.team_memory", fleet.teams, shards)}},
      {"configuration and keys",
       "version_order: one version in force",
       {State("config.memory", fleet.Keys()), State("key_ring.memory", fleet.Keys())}},
      {"earlier configurations",
       "history_keeper: texts on their way to the store; it keeps the rest",
       {State("config.text_per_key", fleet.Keys(), kConfigHistory),
        Fixed("config.text_per_key", kConfigHistory)}},
      {"grant ledger",
       "grant_keeper: in force, pending, text",
       {State("ledger.text", LedgerEntries(fleet), kLedgerCopies)}},
      {"rings and senders of peers",
       "peer_mailbox: one for each other entry",
       {State("peer.memory", fleet.Entries() - 1)}},
      {"links and connections to endpoints, in a real process",
       "endpoint_link, http_client",
       {State("entry.memory", shards * fleet.EndpointsPerShard())}},
      {"time line",
       "bounded ring of `logs.timeline_events`",
       {State("timeline.memory", config.logs.timeline_events)}},
      {"identities of requests",
       "identity_memory for `timing.identity_window`",
       {State("identity.memory", fleet.StartsPerEntry() * Seconds(config.timing.identity_window))}},
  };
  return sum;
}

capacity_sum CpuAtRest(const target_fleet& fleet, const settings& config) {
  const beat_rates beats = BeatsOf(fleet, config);
  const double changes = fleet.changes_per_day / kDay;
  capacity_sum sum{"processor time of an entry at rest, us a second", capacity_limit::kCpu, {}};
  sum.lines = {
      {"syncs that renew the leases of all tasks of an endpoint at once",
       "endpoint_link: one long poll for each endpoint",
       {Rate("sync.cpu", Syncs(fleet, config))}},
      {"heartbeats, sent and received",
       "membership: a ring in the domain, other domains in turn",
       {Rate("rpc.caller_cpu", beats.Calls()), Rate("rpc.server_cpu", beats.Calls()),
        Rate("heartbeat.codec_cpu", beats.Messages() * fleet.entries_per_domain),
        Fixed("heartbeat.codec_cpu", beats.Messages())}},
      {"own lease, owners and members",
       "registration, ownership: one lease for any number of shards",
       {Rate("http.caller_cpu", Keepalives(config) + 2 * kOwnerPolls)}},
      {"instance list",
       "instance_turns: the whole list at each read, one entry of the domain at a time",
       {Rate("instances.cpu", Instances(fleet) * ListReads(fleet, config)),
        Rate("rpc.caller_cpu", ListCalls(fleet, config)),
        Rate("rpc.server_cpu", ListCalls(fleet, config))}},
      {"plans of grants",
       "grant_keeper: all teams once a minute, between that what has news",
       {Rate("ledger.plan_alone_cpu",
             LedgerEntries(fleet) * kGrantPlans * fleet.ShardsPerEntry())}},
      {"new configuration versions",
       "version_order, key_ring built anew",
       {Rate("config.take_over_cpu", fleet.Keys() * changes),
        Fixed("config.take_over_cpu", changes)}},
      {"scrapes of /metrics",
       "prometheus-cpp text",
       {Rate("metrics.scrape_cpu", fleet.scrapes_per_second)}},
  };
  return sum;
}

capacity_sum BytesAtRest(const target_fleet& fleet, const settings& config) {
  const beat_rates beats = BeatsOf(fleet, config);
  const double changes = fleet.changes_per_day / kDay;
  const double records = fleet.entries_per_domain + fleet.shards_per_domain;
  capacity_sum sum{"bytes of an entry at rest, both ways, a second", capacity_limit::kBytes, {}};
  sum.lines = {
      {"syncs", "endpoint_link", {Rate("sync.bytes", Syncs(fleet, config))}},
      {"heartbeats, sent and received",
       "membership: a ring in the domain, other domains in turn",
       {Fixed("heartbeat.bytes", 2 * beats.Calls()),
        Rate("heartbeat.bytes", 2 * beats.Messages() * fleet.entries_per_domain)}},
      {"own lease", "registration", {Rate("store.keep_bytes", Keepalives(config))}},
      {"owners and members",
       "ownership: two ranges of the own failure domain a second",
       {Rate("store.range_bytes", kOwnerPolls * records),
        Fixed("store.range_bytes", 2 * kOwnerPolls)}},
      {"instance list",
       "instance_turns: the whole list at each read, one entry of the domain at a time",
       {Rate("instances.bytes", Instances(fleet) * ListReads(fleet, config)),
        Fixed("rpc.bytes", 2 * ListCalls(fleet, config))}},
      {"reads that confirm the configuration",
       "config_keeper: a watch that does not wait; the document comes only when it is newer",
       {Fixed("store.range_bytes", kConfigReads)}},
      {"new configuration versions",
       "config_message: the whole document, once to each entry",
       {Rate("config.text_per_key", fleet.Keys() * changes),
        Fixed("config.text_per_key", changes)}},
  };
  return sum;
}

capacity_sum CpuOfWork(const target_fleet& fleet) {
  const double starts = fleet.StartsPerEntry();
  capacity_sum sum{"processor time of an entry for its part of 1,100 starts a second, us a second",
                   capacity_limit::kNone,
                   {}};
  sum.lines = {
      {"the caller's request and answer", "http_server", {Rate("http.server_cpu", starts)}},
      {"the key's check", "key_ring", {Rate("key_ring.check_cpu", starts)}},
      {"to the owner and back, each way a call of its own",
       "peer_mailbox, nothing batched",
       {Rate("rpc.caller_cpu", 2 * starts), Rate("rpc.server_cpu", 2 * starts),
        Rate("place.codec_cpu", starts), Rate("outcome.codec_cpu", starts)}},
      {"the decision", "decision_core", {Rate("core.placement_cpu", starts)}},
      {"the start", "endpoint_adapter", {Rate("start.cpu", starts)}},
      {"the sync that brings the end", "endpoint_link", {Rate("sync.cpu", starts)}},
      {"events", "timeline", {Rate("timeline.record_cpu", kEventsPerTask * starts)}},
  };
  return sum;
}

capacity_sum BytesOfWork(const target_fleet& fleet) {
  const double starts = fleet.StartsPerEntry();
  capacity_sum sum{"bytes of an entry for its part of 1,100 starts a second, both ways",
                   capacity_limit::kNone,
                   {}};
  sum.lines = {
      {"to the owner and back",
       "peer_mailbox, nothing batched; both ends count",
       {Fixed("place.bytes", 2 * starts), Rate("place.bytes", 2 * starts),
        Fixed("outcome.bytes", 2 * starts), Rate("outcome.bytes", 2 * starts)}},
      {"the start", "endpoint_adapter", {Rate("start.bytes", starts)}},
      {"the sync that brings the end", "endpoint_link", {Rate("sync.bytes", starts)}},
  };
  return sum;
}

}  // namespace

std::vector<capacity_sum> EntrySums(const target_fleet& fleet, const settings& config) {
  return {Memory(fleet, config), CpuAtRest(fleet, config), BytesAtRest(fleet, config),
          CpuOfWork(fleet), BytesOfWork(fleet)};
}

}  // namespace catkinford
