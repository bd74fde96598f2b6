// Moves parts of the teams' limits to the shards owned here: plans on the ledger, swaps it in the
// store, and says what each shard may use meanwhile.
#ifndef CATKINFORD_PROCESS_GRANT_KEEPER_H_
#define CATKINFORD_PROCESS_GRANT_KEEPER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "connection/store_adapter.h"
#include "process/shard.h"
#include "version/contract.h"
#include "version/grant_ledger.h"

namespace catkinford {

class grant_keeper {
 public:
  using poster = std::function<void(std::function<void(monotonic_time)>)>;

  grant_keeper(store_adapter& store, poster post);

  // `owned`: the shards of this entry. Usable grants are set on them.
  void Tick(const std::vector<shard*>& owned, const std::shared_ptr<const configuration>& config,
            monotonic_time now);
  // A shard was gained or lost. The grants of a gained shard count once the ledger was written by
  // us: a swap that its earlier owner has still under way could otherwise return parts that we use,
  // and the sum of all grants would pass the limit. Our write makes that swap fail.
  void OnGained(const std::string& shard_name);
  void OnLost(const std::string& shard_name);
  uint64_t Moves() const { return moves_; }

 private:
  void Read(monotonic_time now);
  void Swap(const std::vector<shard*>& owned, monotonic_time now);
  void OnReply(const store_reply& reply, monotonic_time now);
  void Apply(const std::vector<shard*>& owned, monotonic_time now);

  store_adapter& store_;
  poster post_;
  ledger_value ledger_;
  uint64_t revision_ = 0;
  // A swap under way or with its reply lost. Until it is decided the lower of both values counts,
  // since either may stand in the store.
  ledger_value pending_;
  bool has_pending_ = false;
  bool known_ = false;       // the ledger was read
  bool busy_ = false;        // a call is under way
  bool changed_ = true;      // usable grants must be set again
  bool reply_lost_ = false;  // of some try of the pending swap
  // Shards whose grants stand in a ledger that we wrote after we gained them, and those that the
  // swap under way will add.
  std::set<std::string> confirmed_;
  std::set<std::string> confirming_;
  uint64_t moves_ = 0;
  uint64_t writes_ = 0;
  monotonic_time next_{};
  monotonic_time next_read_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_GRANT_KEEPER_H_
