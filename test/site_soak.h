// A soak of whole sites: real entry processes, a stand-in of the platform, a fault proxy on each
// entry's way to the store and on the way to each instance, and random faults that come in series
// and overlap. What is checked is seen from outside: by callers and by the instances.
#ifndef CATKINFORD_TEST_SITE_SOAK_H_
#define CATKINFORD_TEST_SITE_SOAK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
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
  // `name` goes into the names of logs and settings files, so that runs do not share them.
  site_soak(uint64_t seed, const std::string& name);
  ~site_soak();

  // Faults and work for `time`, then calm until all accepted jobs have ended. Returns what broke.
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
  };
  struct job {
    bool accepted = false;
    bool unsure = false;     // some try got neither a yes nor a no
    bool cancelled = false;  // or may be
    std::string state;
  };

  uint32_t Pick(uint32_t bound) { return static_cast<uint32_t>(random_() % bound); }
  void WriteSettings(entry& made, const std::string& domain);
  void StartEntry(entry& one);
  http_result Call(size_t at, const std::string& method, const std::string& path,
                   const std::string& body);
  void Submit();
  void CancelOne();
  void Ask();
  void BringFault();
  void FaultOfProcess(entry& one);
  void FaultOfStoreLink(entry& one);
  void FaultOfInstance();
  void FaultOfStore();
  void Mend();
  bool AllEnded();
  void CheckAtEnd();

  std::mt19937_64 random_;
  std::string name_;
  standin_metadata_store store_;
  standin_instances instances_;
  fault_proxy proxy_;
  http_client http_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<link_index> instance_links_;
  std::map<std::string, job> jobs_;
  uint32_t next_job_ = 0;
  size_t faults_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace catkinford

#endif  // CATKINFORD_TEST_SITE_SOAK_H_
