// Stand-ins of the platform, as its pages describe it: the metadata store, workers and the service
// at `advice`.
#ifndef CATKINFORD_REVIEW_STANDINS_2_PLATFORM_H_
#define CATKINFORD_REVIEW_STANDINS_2_PLATFORM_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "record.h"

namespace review {

using nlohmann::json;

std::string ToBase64(const std::string& bytes);
std::string FromBase64(const std::string& text);

// Keys, pages, watches, transactions and leases. Answers after 4 ms.
class store {
 public:
  store();
  ~store();
  std::string Address() const { return server_->Address(); }
  // Writes of the operator and of workers.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::optional<std::string> Value(const std::string& key);

 private:
  struct item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct change {
    uint64_t revision = 0;
    std::string key;
    std::optional<item> now;  // nothing: deleted
  };
  struct lease {
    milliseconds ttl{0};
    steady::time_point ends;
  };

  std::optional<response> Handle(const request& asked);
  response Transact(const json& body);
  response Range(const request& asked);
  response Watch(const request& asked);
  response Lease(const request& asked);
  void Apply(const std::string& key, std::optional<item> now);
  void EndLeases();
  static json ToJson(const std::string& key, const item& of);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<change> changes_;
  std::map<uint64_t, lease> leases_;
  uint64_t revision_ = 1;
  uint64_t last_lease_ = 100;
  bool stopping_ = false;
  std::thread expiry_;
  std::unique_ptr<server> server_;
};

struct worker_options {
  std::string id;
  std::string service;
  std::string zone;
  int64_t cpu = 16000;
  int64_t memory_mb = 32768;
  std::string kind = "a";
  std::string rack = "r1-1";
  bool wants_ticket = true;
};

// One start that a worker has begun.
struct started_run {
  int64_t at = 0;  // milliseconds of the record
  std::string task;
  uint64_t run = 0;
  std::string worker;
  std::string kind;  // of the worker's boot
};

// The text of a task says what it does: {"ms":N} works for N milliseconds and ends done,
// {"lasts":true} works until it is stopped.
class worker {
 public:
  worker(worker_options options, store& registry, record& log);
  ~worker();

  const worker_options& Options() const { return options_; }
  // The process is gone: connections end and nothing answers.
  void Crash();
  bool Up();

  struct running_task {
    std::string task;
    uint64_t run = 0;
  };
  std::vector<running_task> Running();
  std::vector<started_run> Starts();

 private:
  struct run {
    uint64_t number = 0;
    steady::time_point begun;
    std::optional<steady::time_point> ends;  // nothing: lasts
    bool stopping = false;
    steady::time_point stopped_at;
  };
  struct end {
    uint64_t number = 0;
    std::string task;
    uint64_t run = 0;
    std::string how;
  };

  std::optional<response> Handle(const request& asked);
  response Start(const json& body);
  response Stop(const json& body);
  response Hold(const json& body, std::unique_lock<std::mutex>& lock);
  response Answer(int status, json body);
  static int64_t PercentOf(const run& of);
  int64_t Clock() const;
  void ExtendLease(const json& body);
  void Advance();
  void Register();
  void Work();

  worker_options options_;
  store& registry_;
  record& log_;
  std::mutex mutex_;
  std::condition_variable ended_something_;
  bool up_ = true;
  bool stopping_ = false;
  int64_t born_ = 0;
  uint64_t boot_ = 0;
  steady::time_point booted_;
  int64_t lease_until_ = 0;
  uint64_t fence_ = 0;
  uint64_t last_end_ = 0;
  uint64_t beats_ = 0;
  std::map<std::string, run> runs_;
  std::map<std::string, uint64_t> over_;  // by task: the highest run that was stopped or ended
  std::vector<end> ends_;
  std::vector<started_run> starts_;
  std::unique_ptr<server> server_;
  std::thread working_;
};

// Allows every worker that it is asked about.
class advice_service {
 public:
  advice_service(milliseconds decision, double per_item_ms);
  std::string Address() const { return server_->Address(); }

 private:
  milliseconds decision_;
  double per_item_ms_;
  std::unique_ptr<server> server_;
};

}  // namespace review

#endif  // CATKINFORD_REVIEW_STANDINS_2_PLATFORM_H_
