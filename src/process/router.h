// Selects the shard of a request and the entry that owns the shard. Pure.
#ifndef CATKINFORD_PROCESS_ROUTER_H_
#define CATKINFORD_PROCESS_ROUTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "process/message.h"

namespace catkinford {

struct router_options {
  std::string failure_domain;                // of this entry
  std::vector<std::string> failure_domains;  // all
  uint32_t shards_per_domain = 1;
  // Owners whose last report is older count as unknown. The node sets both limits from how long
  // reports take to arrive.
  std::chrono::milliseconds near_age_limit{3000};
  std::chrono::milliseconds far_age_limit{3000};
  // Minimum cost of a call to another failure domain, compared with the wait in the own domain.
  std::chrono::milliseconds far_penalty{6};
};

struct shard_route {
  std::string owner;  // entry; empty: unknown
  uint64_t epoch = 0;
  uint64_t disowned_epoch = 0;   // epoch in which its owner disowned the shard
  monotonic_time disowned_at{};  // when
  std::string failure_domain;
  shard_summary summary;
  uint32_t endpoints = 0;
  std::chrono::milliseconds round_trip{0};  // measured round trip to its owner
  monotonic_time last_report{};
};

class router {
 public:
  explicit router(router_options options);

  // An owner's report on its shard, made at `at`. A report with an epoch below the highest seen is
  // stale and ignored; so is a report older than the owner's answer that it no longer owns the
  // shard: it may have been forwarded slowly and would direct requests to the old owner.
  void OnReport(const std::string& owner, const shard_report& report, monotonic_time at);
  void SetAgeLimits(std::chrono::milliseconds near, std::chrono::milliseconds far);
  // Sets the duration of a call to this owner. Between regions it exceeds most queue delays, and
  // requests must not leave their region for a queue that is shorter than the round trip.
  void OnRoundTrip(const std::string& owner, std::chrono::microseconds round_trip);
  // The owner left or is unreachable.
  void OnOwnerDown(const std::string& owner);

  // `owner` answered that it does not own the shard (any more).
  void OnNotOwner(const std::string& owner, const std::string& shard, monotonic_time now);

  // The shard of an identity that its caller may send again to any entry: the same at every entry
  // and any load; otherwise the same job could start on two shards.
  const std::string& Home(const request_id& id) const;
  // The shard with the lowest cost among two picked by `seed` and those of the own domain, of the
  // shards whose endpoints can hold `each`. Two random choices rather than the best of all:
  // summaries lag, and all entries would choose the same emptiest shard. Null when no owner is
  // known.
  const std::string* Choose(const resources& each, uint64_t seed, monotonic_time now) const;
  // Whether an owner in every failure domain has reported at least once.
  bool AllDomainsReported() const;
  const shard_route* Route(const std::string& shard) const;
  // The owner of a shard, if it has reported recently.
  std::optional<std::string> OwnerOf(const std::string& shard, monotonic_time now) const;
  const std::map<std::string, shard_route>& Routes() const { return routes_; }
  std::vector<std::string> ShardsOfDomain(const std::string& failure_domain) const;

 private:
  bool IsLive(const shard_route& route, monotonic_time now) const;
  std::chrono::milliseconds Cost(const shard_route& route) const;

  router_options options_;
  std::map<std::string, shard_route> routes_;
  std::vector<std::string> names_;
};

std::string ShardName(const std::string& failure_domain, uint32_t number);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ROUTER_H_
