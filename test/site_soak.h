// Soak test of complete sites: real entry processes, a stand-in of the platform, a fault proxy on
// the link of each entry to the store and on the link to each instance, and random consecutive and
// overlapping faults, while the configuration changes and grows beyond what a narrow link transfers
// in time. Instances serve few connections and still count those of entries that lost power. All
// checks are made from outside: as seen by callers and by instances.
#ifndef CATKINFORD_TEST_SITE_SOAK_H_
#define CATKINFORD_TEST_SITE_SOAK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "bench/child_process.h"
#include "connection/http_client.h"
#include "platform_standin.h"
#include "standin/fault_proxy.h"

namespace catkinford {

class site_soak {
 public:
  // `name` is part of the names of log and settings files, so that runs do not share them.
  site_soak(uint64_t seed, const std::string& name);
  ~site_soak();

  // Runs faults and work for `time`, then clears the faults and waits until all accepted jobs have
  // ended. Returns the violations found.
  std::vector<std::string> Run(std::chrono::milliseconds time);

  size_t Accepted() const;
  size_t Faults() const { return faults_; }

 private:
  struct entry {
    std::string name;
    uint16_t callers = 0;
    link_index store_link = 0;
    std::string settings_file;
    std::string log_file;
    child_process process;
    bool paused = false;
    bool running = false;
    bool stopping = false;  // told to stop, and not started again yet
    std::optional<std::chrono::steady_clock::time_point> power_returns;  // after a loss
  };
  struct job {
    bool accepted = false;
    bool outcome_unknown = false;  // some try was neither accepted nor rejected
    bool cancelled = false;        // or may have been
    std::string state;
  };
  // Presence of the transient queue in one version of the configuration.
  struct queue_change {
    bool present = false;
    std::chrono::steady_clock::time_point sent;
    std::chrono::steady_clock::time_point acknowledged;
  };

  void ChangeVersion();
  bool AnswerAllowed(bool present, std::chrono::steady_clock::time_point asked,
                     std::chrono::steady_clock::time_point answered) const;
  // Whether the entry reports the transient queue as present; nothing if it does not say.
  std::optional<bool> QueryTransientQueue(size_t at);
  bool AllAtNewestVersion();
  uint32_t PickForVersions(uint32_t bound) {
    return static_cast<uint32_t>(version_random_() % bound);
  }
  uint32_t PickForPower(uint32_t bound) { return static_cast<uint32_t>(power_random_() % bound); }
  uint32_t Pick(uint32_t bound) { return static_cast<uint32_t>(random_() % bound); }
  void WriteSettings(entry& added, const std::string& domain);
  void StartEntry(entry& one);
  http_result Call(size_t at, const std::string& method, const std::string& path,
                   const std::string& body, std::chrono::milliseconds timeout);
  void Submit();
  void SubmitServices();
  void CancelOne();
  void QueryJobStates();
  void InjectFault();
  void InjectProcessFault(entry& one);
  void InjectStoreLinkFault(entry& one);
  void InjectInstanceFault();
  void InjectStoreFault();
  bool ResumePaused();  // false: none was paused
  // The first and the third loss of power do, so that another entry becomes the owner in between.
  bool NextLossHitsAll() const { return power_losses_ == 0 || power_losses_ == 2; }
  void LosePower();
  void LosePowerOfAll();
  void ReturnPower();
  void ClearFaults();
  bool AllEnded();
  bool AllServicesRun();
  void CheckAtEnd();

  std::mt19937_64 random_;
  std::mt19937_64
      version_random_;  // separate, so that the sequence of other faults does not depend on it
  std::mt19937_64 power_random_;  // likewise, for losses of power and services
  bool busy_owner_;               // so that starts are forwarded through other entries
  std::string name_;
  standin_metadata_store store_;
  standin_instances instances_;
  fault_proxy proxy_;
  http_client http_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<link_index> instance_links_;
  std::map<std::string, job> jobs_;
  uint32_t next_job_ = 0;
  uint64_t version_ = 0;
  std::vector<queue_change> queue_changes_;
  size_t faults_ = 0;
  size_t power_losses_ = 0;
  bool services_accepted_ = false;
  std::vector<std::string> violations_;
};

}  // namespace catkinford

#endif  // CATKINFORD_TEST_SITE_SOAK_H_
