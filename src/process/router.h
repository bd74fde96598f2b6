// Which shard a request goes to, and which entry owns that shard. Pure.
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
  // An owner not heard for longer is unknown. The node sets both to how long news takes.
  std::chrono::milliseconds near_age_limit{3000};
  std::chrono::milliseconds far_age_limit{3000};
  // What the way to another failure domain costs at the least, against waiting in the own one.
  std::chrono::milliseconds far_penalty{6};
};

struct shard_route {
  std::string owner;  // entry; empty: not known
  uint64_t epoch = 0;
  uint64_t disowned_epoch = 0;   // its owner said that it no longer has it
  monotonic_time disowned_at{};  // when
  std::string failure_domain;
  shard_summary summary;
  uint32_t endpoints = 0;
  std::chrono::milliseconds round_trip{0};  // to its owner and back, as measured
  monotonic_time heard{};
};

class router {
 public:
  explicit router(router_options options);

  // An owner's word on its shard, said at `at`. A lower epoch than the highest heard is old news
  // and ignored; so is an earlier word of an owner that has said since that it has the shard no
  // more: it may have been passed on slowly, and would send requests back to the old owner.
  void OnReport(const std::string& owner, const shard_report& report, monotonic_time at);
  void SetAgeLimits(std::chrono::milliseconds near, std::chrono::milliseconds far);
  // How long a call to this owner takes. Between regions that is more than most queues, and work
  // must not leave its region for a queue that is shorter than the way there.
  void OnRoundTrip(const std::string& owner, std::chrono::microseconds round_trip);
  // The owner left or cannot be reached.
  void OnOwnerDown(const std::string& owner);

  // `owner` says that the shard is not its own (any more).
  void OnNotOwner(const std::string& owner, const std::string& shard, monotonic_time now);

  // The one shard for an identity that its caller may present again anywhere: the same at every
  // entry, whatever the load, or the same work could start on two shards.
  const std::string& Home(const request_id& id) const;
  // The shard with the least wait among two picked by `seed` and the own domain's, of those whose
  // endpoints can hold `each`. Two picks and not the best of all: summaries lag, and all entries
  // would choose the same emptiest shard. Null when no owner is known.
  const std::string* Choose(const resources& each, uint64_t seed, monotonic_time now) const;
  // Whether an owner in every failure domain was heard of at some time.
  bool AllDomainsReported() const;
  const shard_route* Route(const std::string& shard) const;
  // The owner of a shard, if it was heard of lately.
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
