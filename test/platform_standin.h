// In-process stand-in for the users' platform, for tests with real processes: the store (keys,
// watches, transactions, leases), instances that run tasks under leases, and the service that
// answers queues' advice queries. All speak the platform's wire protocol on loopback.
#ifndef CATKINFORD_TEST_PLATFORM_STANDIN_H_
#define CATKINFORD_TEST_PLATFORM_STANDIN_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "connection/http_server.h"
#include "request/job_request.h"

namespace catkinford {

// The metadata store.
class standin_metadata_store {
 public:
  standin_metadata_store();
  ~standin_metadata_store();

  std::string Address() const;
  uint16_t Port() const;
  // Writes without a condition, as an operator or an instance does.
  void Put(const std::string& key, const std::string& value);
  // The same of several keys, in one transaction.
  void PutAll(const std::vector<std::pair<std::string, std::string>>& puts);
  void Remove(const std::string& key);
  std::optional<std::string> Value(const std::string& key);
  // Answers all watches that wait, and those from before, with 410.
  void DropHistory();
  // While down, every call is answered 503; leases still expire.
  void SetDown(bool down) { down_ = down; }
  // Applies the next `changes` transactions without answering them, so that their callers time out.
  void DropResponses(int changes) { responses_to_drop_ = changes; }
  uint64_t Calls() const { return calls_; }

 private:
  struct stored_item {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  struct key_change {
    uint64_t revision;
    std::string key;
  };
  struct stored_lease {
    std::chrono::milliseconds ttl{0};
    monotonic_time ends{};
  };
  struct waiting_watch {
    http_server::token token;
    std::string prefix;
    uint64_t after;
    monotonic_time ends;
  };

  void Handle(http_server::token token, const http_request& request);
  http_response Change(const nlohmann::json& body);
  nlohmann::json ItemOf(const std::string& key) const;
  nlohmann::json EventsSince(const std::string& prefix, uint64_t after) const;
  // At the revision after the present one, or together with the change before.
  void Write(const std::string& key, const std::optional<std::string>& value, uint64_t lease,
             bool together = false);
  void Tick();

  std::mutex mutex_;
  std::map<std::string, stored_item> items_;
  std::vector<key_change> changes_;
  std::map<uint64_t, stored_lease> leases_;
  std::vector<waiting_watch> watches_;
  uint64_t revision_ = 1;
  uint64_t history_from_ = 0;  // changes up to here are forgotten
  std::atomic<bool> down_{false};
  std::atomic<int> responses_to_drop_{0};
  std::atomic<uint64_t> calls_{0};
  std::atomic<bool> stop_{false};
  std::unique_ptr<http_server> server_;
  std::thread ticker_;
};

// One start that an instance executed.
struct standin_start {
  std::string task;
  uint32_t run = 0;
  std::string instance;
};

// Instances that run every task for `run_time`, those whose payload is kServicePayload until they
// are stopped, and the advice service, which allows every instance.
class standin_instances {
 public:
  static constexpr const char* kServicePayload = "until stopped";

  // `connection_limit`: connections that an instance serves at a time; further ones wait.
  standin_instances(standin_metadata_store& store, size_t count, std::chrono::milliseconds run_time,
                    unsigned connection_limit = http_server_options{}.connection_limit);
  ~standin_instances();

  std::string AdviceAddress() const;
  std::vector<standin_start> Starts();
  // Tasks that had two runs at the same time.
  std::vector<std::string> DuplicateRuns();
  // Tasks that started again after their end `done` had been acknowledged.
  std::vector<std::string> StartsAfterDone();
  // Number of running tasks, of all jobs or of one.
  size_t Running(const std::string& job = {});
  // Tasks that run and are not being stopped.
  std::set<std::string> RunningTasks();
  uint16_t PortOf(size_t at) const { return instances_[at]->server->Port(); }
  // Sets the address that the instance registers, for example that of a proxy in front of it.
  void SetRegisteredAddress(size_t at, const std::string& address);
  // Executes the next `starts` starts and answers them long after their callers' timeout.
  void DropStartResponses(int starts) { responses_to_drop_ = starts; }

 private:
  struct running_task {
    std::string task;
    uint32_t number = 0;
    monotonic_time ends{};
    bool stopping = false;
  };
  struct instance {
    std::string id;
    std::unique_ptr<http_server> server;
    std::string address;
    std::map<std::string, running_task> runs;  // by task
    std::map<std::string, uint32_t> last_ended_run;
    nlohmann::json ended = nlohmann::json::array();
    uint64_t last_end = 0;
    uint64_t fence = 0;
    int64_t lease_until = 0;
    uint64_t heartbeats = 0;
  };
  struct pending_poll {
    size_t at;
    http_server::token token;
    monotonic_time ends;
  };
  struct delayed_response {
    size_t at;
    http_server::token token;
    http_response response;
    monotonic_time due;
  };

  void Handle(size_t at, http_server::token token, const http_request& request);
  nlohmann::json Start(instance& target, const nlohmann::json& body, int& status);
  nlohmann::json Stop(instance& target, const nlohmann::json& body);
  nlohmann::json Listing(instance& target);
  void Advance(instance& target);
  void End(instance& target, const std::string& task, const char* result);
  void Register(instance& target);
  void Tick();

  standin_metadata_store& store_;
  std::chrono::milliseconds run_time_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<pending_poll> pending_polls_;
  std::vector<delayed_response> delayed_responses_;
  std::vector<standin_start> starts_;
  std::vector<std::string> duplicate_runs_;
  std::set<std::string> done_;  // tasks whose end `done` was acknowledged
  std::vector<std::string> starts_after_done_;
  std::atomic<int> responses_to_drop_{0};
  std::atomic<bool> stop_{false};
  std::unique_ptr<http_server> advice_;
  std::thread ticker_;
};

}  // namespace catkinford

#endif  // CATKINFORD_TEST_PLATFORM_STANDIN_H_
