// One failure scenario: a fleet of real processes under load, a fault in the middle, and the
// verdict of the checker over what callers, endpoints and operators wrote down.
#ifndef CATKINFORD_BENCH_SCENARIO_RUN_H_
#define CATKINFORD_BENCH_SCENARIO_RUN_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "bench/caller.h"
#include "bench/checker.h"
#include "bench/fleet.h"
#include "bench/load.h"
#include "bench/scenario_figures.h"

namespace catkinford {

struct scenario_options {
  fleet_options fleet;
  load_options load;
  std::chrono::milliseconds before{3000};  // undisturbed
  std::chrono::milliseconds after{3000};   // healed
  size_t services = 4;                     // that run from the beginning to the end
  uint32_t replicas = 2;                   // of each
  uint64_t seed = 1;
};

class scenario_run {
 public:
  explicit scenario_run(scenario_options options);
  ~scenario_run();
  scenario_run(const scenario_run&) = delete;
  scenario_run& operator=(const scenario_run&) = delete;

  // Brings the fleet up, starts the load, and lets it run undisturbed.
  bool Begin();
  // Ends the load, waits for all that is under way, collects the records and judges.
  nlohmann::json End();

  // For the faults.
  fleet& Fleet() { return fleet_; }
  caller& Callers() { return callers_; }
  std::mt19937_64& Random() { return random_; }
  const std::vector<team_access>& Teams() const { return fleet_.Contract().teams; }
  void Sleep(std::chrono::milliseconds time);
  // The slot whose entry owns the first shard of a domain, as any entry tells an operator; the
  // first slot of the domain when nobody says.
  size_t OwnerSlot(size_t domain);
  std::vector<size_t> SlotsOf(size_t domain) const;
  std::vector<load_target> InBalancer() const;

  void KillEntry(size_t slot);
  void ReplaceEntry(size_t slot);
  void PauseEntry(size_t slot);
  void ResumeEntry(size_t slot);
  void StopGracefully(size_t slot);
  // Excuses of the checker for entries that a fault cuts off from news, until `Healed`.
  void CutFromNews(size_t slot);
  void Healed(size_t slot);

  // Operators' calls. The present version and document as the entry gives them.
  struct read_config {
    uint64_t version = 0;
    configuration config;
  };
  std::optional<read_config> ReadConfig(size_t slot);
  // The version, when it was accepted.
  std::optional<uint64_t> PutConfig(size_t slot, uint64_t expect, const configuration& config);
  void WithdrawKey(const team_access& team);
  void LowerLimit(const std::string& team, uint32_t running, std::chrono::milliseconds settled);
  void Drain(const std::string& endpoint);
  // Asks an entry to move the jobs of a domain, and keeps what it says for the figures.
  void Evacuate(size_t slot, size_t domain);
  // Marks the domain whose next placement under a new owner is timed from now.
  void TimeNextPlacement(size_t domain);
  void MarkFaultBegin();
  // The first mark counts: a fault that heals itself before it returns marks its own end.
  void MarkFaultEnd();

 private:
  void RunWatcher();
  void PollEntry(size_t slot, const std::string& name, const std::string& url);
  http_result Operate(const std::string& method, const std::string& url, const std::string& body);
  void SubmitServices();
  bool WaitForAccepted(std::chrono::milliseconds limit);
  void AskForEnds(history& seen);
  void AddLimits();

  scenario_options options_;
  fleet fleet_;
  caller callers_{2};
  http_client http_{0};
  std::mt19937_64 random_;
  std::thread load_;
  std::thread watcher_;
  std::atomic<bool> stopping_ = false;

  mutable std::mutex mutex_;  // guards all below
  history seen_;
  std::map<size_t, std::pair<std::string, std::string>> watched_;  // slot to name and URL
  std::set<size_t> ready_;
  std::map<size_t, monotonic_time> cut_since_;
  scenario_times times_;
  nlohmann::json evacuations_ = nlohmann::json::array();
  bool came_up_ = false;
};

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_SCENARIO_RUN_H_
