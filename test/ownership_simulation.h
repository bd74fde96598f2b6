// Simulates a failure domain in one thread: entries that run the real ownership state machine, a
// store with leases, one endpoint for each shard, and messages that are delayed, lost or held for a
// paused process. Time is simulated; nothing here waits or reads a clock.
#ifndef CATKINFORD_TEST_OWNERSHIP_SIMULATION_H_
#define CATKINFORD_TEST_OWNERSHIP_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "connection/store_adapter.h"
#include "process/ownership.h"

namespace catkinford {

// Keys, revisions and leases as docs/PROTOCOL.md describes them.
class fake_store {
 public:
  store_reply Apply(const store_request& call, monotonic_time now);
  void LapseAll() { leases_.clear(); }
  const std::map<std::string, store_item>& Items(monotonic_time now);
  void Put(const std::string& key, const std::string& value);

 private:
  store_reply Swap(const store_request& call);
  void Lapse(monotonic_time now);

  uint64_t revision_ = 0;
  uint64_t next_lease_ = 1;
  std::map<std::string, store_item> items_;
  std::map<std::string, std::string> lease_of_key_;
  std::map<std::string, std::pair<monotonic_time, std::chrono::milliseconds>> leases_;
};

struct accepted_start {
  monotonic_time at{};
  std::string entry;  // with its incarnation
  uint32_t shard = 0;
  uint64_t epoch = 0;
};

struct ownership_simulation_options {
  uint32_t shards = 1;
  bool endpoints_fence = true;
  std::chrono::milliseconds delay{1};   // of every message, one way
  std::chrono::milliseconds jitter{0};  // up to this much more for a start
};

class ownership_simulation {
 public:
  explicit ownership_simulation(ownership_simulation_options options) : options_(options) {}

  // Faults.
  void Add(const std::string& name);  // also a new process of an existing name
  void Kill(const std::string& name) { entries_.erase(name); }
  void Pause(const std::string& name) { At(name).paused = true; }
  void Resume(const std::string& name);
  void CutFromStore(const std::string& name, bool cut) { At(name).cut_from_store = cut; }
  void CutPeers(bool cut) { peers_cut_ = cut; }
  void SetStoreDown(bool down) { store_down_ = down; }
  // The replies of the next `count` writes are lost; the writes take effect.
  void LoseReplies(int count) { replies_to_lose_ = count; }
  void Release(const std::string& name);

  void Run(std::chrono::milliseconds duration);
  // False when the condition was not met within `limit`.
  bool RunUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);

  // Observation.
  monotonic_time Now() const { return now_; }
  bool Has(const std::string& name) const { return entries_.contains(name); }
  ownership& Owner(const std::string& name) { return *At(name).machine; }
  fake_store& Store() { return store_; }
  // The only entry that owns the shard and may start there; empty when there is none or several.
  std::string OwnerOf(uint32_t shard) const;
  const std::vector<accepted_start>& Starts() const { return starts_; }
  // Starts since `since`, of one shard.
  std::vector<accepted_start> StartsSince(uint32_t shard, monotonic_time since) const;
  int Claims() const { return claims_; }
  uint64_t StoreCalls() const { return store_calls_; }
  // Describes a violation of the ownership guarantees; empty when there is none.
  std::string Violation() const;

 private:
  struct entry {
    std::string label;  // name and incarnation
    uint64_t incarnation = 0;
    std::unique_ptr<ownership> machine;
    bool paused = false;
    bool cut_from_store = false;
    std::map<std::string, monotonic_time> heard;
    std::set<std::string> silent;
    std::map<uint32_t, uint64_t> listed;         // shard, epoch under which its endpoint was listed
    std::vector<std::function<void()>> waiting;  // messages that arrived while it was paused
  };
  using message = std::function<void()>;

  entry& At(const std::string& name) { return *entries_.at(name); }
  void Step();
  void Later(message action) { After(options_.delay, std::move(action)); }
  void After(std::chrono::milliseconds delay, message action);
  std::chrono::milliseconds StartDelay();
  // Delivers to the process with this incarnation, now or when it resumes; drops the message if
  // that process is lost.
  void DeliverTo(const std::string& name, uint64_t incarnation,
                 const std::function<void(entry&)>& action);
  void Heartbeats(const std::string& name, entry& receiver);
  void Act(const std::string& name, entry& from, const ownership_actions& actions);
  void CallStore(const std::string& name, const entry& from, const store_request& call);
  void OnEvent(const std::string& name, const entry& from, const ownership_event& event);
  void QueryOwner(const std::string& name, const entry& from, const ownership_event& event);
  void Fence(const std::string& name, const entry& from, const ownership_event& event);
  void SendStarts(const std::string& name, const entry& from);

  ownership_simulation_options options_;
  monotonic_time now_{std::chrono::hours{1}};
  fake_store store_;
  std::map<std::string, std::unique_ptr<entry>> entries_;
  std::multimap<monotonic_time, message> messages_;
  std::map<uint32_t, uint64_t> endpoint_epoch_;
  std::vector<accepted_start> starts_;
  uint64_t next_incarnation_ = 1;
  bool store_down_ = false;
  bool peers_cut_ = false;
  int replies_to_lose_ = 0;
  int claims_ = 0;
  uint64_t store_calls_ = 0;
  uint64_t sent_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_TEST_OWNERSHIP_SIMULATION_H_
