// A site of many entries and its store in virtual time: the project's own site_membership, one for
// each entry, against a store that takes time for each call and each item, and serves calls one
// after the other.
#ifndef CATKINFORD_TEST_SITE_SIMULATION_H_
#define CATKINFORD_TEST_SITE_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "connection/store_types.h"
#include "process/site/site_membership.h"

namespace catkinford {

// Virtual time, and work that is due at points of it.
class virtual_clock {
 public:
  monotonic_time Now() const { return now_; }
  void At(monotonic_time due, std::function<void()> work);
  void RunUntil(monotonic_time end);

 private:
  struct timed_work {
    monotonic_time due;
    uint64_t order;
    std::function<void()> work;
    bool operator<(const timed_work& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  monotonic_time now_{std::chrono::hours(1)};
  uint64_t last_order_ = 0;
  std::priority_queue<timed_work> queue_;
};

// The event loop of one entry. A process that has ended does nothing more.
class virtual_loop {
 public:
  explicit virtual_loop(virtual_clock& clock) : clock_(clock) {}
  monotonic_time Now() const { return clock_.Now(); }
  void Post(std::function<void()> work) { After(std::chrono::milliseconds{0}, std::move(work)); }
  void After(std::chrono::milliseconds delay, std::function<void()> work);
  void End() { ended_ = true; }
  bool Ended() const { return ended_; }

 private:
  virtual_clock& clock_;
  bool ended_ = false;
};

struct store_terms {
  double calls_per_s = 16000;             // how many it serves; more calls wait
  std::chrono::microseconds per_item{5};  // of an answer, in addition
  size_t items_per_page = 500;
  std::chrono::milliseconds call_timeout{1000};
};

class virtual_store {
 public:
  virtual_store(virtual_clock& clock, const store_terms& terms) : clock_(clock), terms_(terms) {}

  // key_value_store.
  void Get(const std::string& key, store_callback done, const read_options& way = {});
  void Range(const std::string& prefix, const std::string& after, store_callback done,
             const read_options& way = {});
  void Watch(const std::string& prefix, uint64_t after, std::chrono::milliseconds wait,
             store_callback done, const read_options& way = {});
  void Commit(const store_write& write, store_callback done);
  void GrantLease(std::chrono::milliseconds ttl, store_callback done);
  void RenewLease(const std::string& lease, store_callback done);
  void RevokeLease(const std::string& lease, store_callback done);
  std::chrono::microseconds CpuTime() const { return {}; }

  // Answers all watches that wait, and those from before, with "history compacted".
  void DropHistory();
  void SetDown(bool down) { down_ = down; }
  // Refuses each second call.
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  // Calls and items of answers since the last time.
  uint64_t TakeCalls() { return std::exchange(calls_, 0); }
  uint64_t TakeItems() { return std::exchange(items_sent_, 0); }
  size_t Leases() const { return leases_.size(); }

 private:
  struct stored_item {
    std::string value;
    uint64_t revision = 0;
    std::string lease;
  };
  struct stored_lease {
    std::chrono::milliseconds ttl{0};
    monotonic_time ends{};
  };
  struct waiting_watch {
    std::string prefix;
    uint64_t after = 0;
    monotonic_time ends{};
    store_callback done;
  };

  // Serves the call in its turn: `execute` makes the answer.
  void Serve(std::function<store_reply()> execute, store_callback done);
  // Sends the answer in its turn.
  void Answer(store_reply reply, store_callback done, monotonic_time give_up);
  monotonic_time Occupy(size_t items);
  void Write(const std::string& key, const std::string& value, const std::string& lease);
  void Remove(const std::string& key);
  void TellWatches();
  void ExpireAt(const std::string& lease, monotonic_time due);
  void EndLease(const std::string& lease);

  virtual_clock& clock_;
  store_terms terms_;
  monotonic_time free_at_{};
  bool down_ = false;
  bool refusing_ = false;
  uint64_t calls_ = 0;
  uint64_t items_sent_ = 0;
  uint64_t revision_ = 1;
  uint64_t history_from_ = 0;
  uint64_t last_lease_ = 0;
  std::map<std::string, stored_item> items_;
  std::vector<store_item> changes_;
  std::map<std::string, stored_lease> leases_;
  std::vector<waiting_watch> watches_;
  bool telling_ = false;
};

class site_simulation {
 public:
  site_simulation(size_t entries, const store_terms& terms);

  void Run(std::chrono::milliseconds time) { clock_.RunUntil(clock_.Now() + time); }
  // The time, from now on, until some living entry owns the site; `limit` if none does.
  std::chrono::milliseconds TimeToOwner(std::chrono::milliseconds limit);
  bool Owned() const { return OwnerAt() < members_.size(); }
  void KillOwner();
  // Ends each third entry and starts it again at once as another process.
  void RestartThird();
  // Calls a second to the store over the next ten seconds.
  double CallsPerSecond();
  virtual_store& Store() { return store_; }

 private:
  static constexpr std::chrono::milliseconds kLease{1500};
  static constexpr std::chrono::milliseconds kWatchWait{2500};

  struct member {
    member(virtual_clock& clock, virtual_store& store, site_log& log, const std::string& name,
           uint64_t nonce);
    virtual_loop loop;
    store_health health;
    site_membership<virtual_store, virtual_loop> membership;
  };

  size_t OwnerAt() const;
  void StartEntry(size_t at);

  virtual_clock clock_;
  virtual_store store_;
  site_log log_{"simulation", 1};
  std::vector<std::unique_ptr<member>> members_;
  std::vector<std::unique_ptr<member>> ended_;  // their callbacks may still run
  uint64_t last_nonce_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_TEST_SITE_SIMULATION_H_
