// Moves parts of the teams' limits to the shards owned by this entry: one grant_holder for each
// shard, fed with the shard's demands; its writes go to the store.
#ifndef CATKINFORD_PROCESS_GRANT_STORE_H_
#define CATKINFORD_PROCESS_GRANT_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "connection/store_adapter.h"
#include "process/shard.h"
#include "version/contract.h"
#include "version/grant_holder.h"

namespace catkinford {

class grant_store {
 public:
  using poster = std::function<void(std::function<void(monotonic_time)>)>;

  grant_store(store_adapter& store, poster post);

  void OnGained(const std::string& shard_name, uint64_t epoch);
  void OnLost(const std::string& shard_name);
  // Reads the parts of shards that are not open yet and stamps them with the owner's epoch.
  void Prepare(monotonic_time now);
  // Whether the shard may open: no earlier owner can change its parts any more.
  bool Ready(const std::string& shard_name) const;
  // Plans for the shards owned by this entry and updates their usable grants.
  void Tick(const std::vector<shard*>& owned, const std::shared_ptr<const configuration>& config,
            monotonic_time now);
  uint64_t Moves() const { return moves_; }

 private:
  struct held_shard {
    explicit held_shard(grant_holder of_shard) : holder(std::move(of_shard)) {}

    grant_holder holder;
    std::vector<grant_demand> planned;  // the demands of the last plan
    std::shared_ptr<const configuration> config;
    bool all_listed = false;  // at the last plan
    // Keys of the ledger that are to be planned again, with all their teams, and when.
    std::map<std::string, monotonic_time> replan_at;
    monotonic_time next_plan{};
    monotonic_time next_full_plan{};
    bool changed = true;  // usable grants must be updated
    bool read = false;
    bool reading = false;
    monotonic_time next_prepare{};
  };

  // Returns the demands for which something has changed since the last plan.
  static std::vector<grant_demand> Changed(held_shard& held, std::vector<grant_demand> demands,
                                           const std::shared_ptr<const configuration>& config,
                                           bool all_listed, monotonic_time now);
  void Plan(shard& of, held_shard& held, const std::shared_ptr<const configuration>& config,
            monotonic_time now);
  void Send(const std::string& shard_name, uint64_t generation, const grant_write& write);
  void Read(const std::string& shard_name, held_shard& held);
  void Watch(monotonic_time now);

  store_adapter& store_;
  poster post_;
  std::map<std::string, held_shard> held_;
  std::map<std::string, uint64_t> generations_;
  uint64_t moves_ = 0;
  bool watching_ = false;
  uint64_t watched_ = 0;  // the highest revision seen
  monotonic_time next_watch_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_GRANT_STORE_H_
