// The program under review as separate processes, with the stand-ins around it, and the calls of
// its consumers.
#ifndef CATKINFORD_REVIEW_STANDINS_2_SITE_H_
#define CATKINFORD_REVIEW_STANDINS_2_SITE_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform.h"

namespace review {

struct entry {
  std::string name;
  std::string zone;
  uint16_t callers = 0;
  uint16_t ready = 0;
  uint16_t peers = 0;
  uint16_t metrics = 0;
  std::string settings;
  std::string log;
  pid_t process = -1;
  int starts = 0;
};

struct queue {
  std::string name;
  int priority = 0;
  bool advice = true;
  int max_attempts = 4;
};

struct tenant {
  std::string name;
  std::string key;
  double weight = 10;
  int64_t maximum_cpu = 0;  // 0: no limit
};

constexpr char kService[] = "booking";

// Runs one script: its main function makes one, sets the site up and returns Finish().
class site {
 public:
  // The program and the folder for its files come from the environment, see run.sh.
  explicit site(const std::string& folder);
  ~site();

  // Without it the script does the same without the disruption.
  bool Trouble() const { return trouble_; }
  record& Log() { return log_; }
  store& Store() { return store_; }

  worker& AddWorker(worker_options options);
  std::vector<std::unique_ptr<worker>>& Workers() { return workers_; }
  // Writes the first or a further desired state, of all queues and tenants.
  void PutDesiredState(const std::vector<queue>& queues, const std::vector<tenant>& tenants);
  // Starts the entries, one in each of three zones in turn, and waits until all are ready.
  bool StartEntries(int count);
  std::vector<entry>& Entries() { return entries_; }
  void StartProcess(entry& of);
  void Kill(entry& of);
  // Whether the process has ended by itself; if so it is started again, as the platform does.
  bool EndedByItself(entry& of);
  // The name of the owner, as the store holds it; empty: none.
  std::string Owner();

  // At any entry that answers; status 0: none does.
  response Consumer(const std::string& method, const std::string& queue, const std::string& id,
                    const std::string& key, const std::string& body = "");
  // Submits as a consumer does, again after an answer that is no final one.
  bool Submit(const std::string& queue, const std::string& id, const std::string& key,
              const json& job);
  std::string State(const std::string& queue, const std::string& id, const std::string& key);

  // 1 if the rule is broken, 0 if not.
  int Finish(bool broken, const std::string& what);
  // The case could not run.
  int CouldNotRun(const std::string& why);

 private:
  std::string folder_;
  std::string program_;
  std::string scratch_;
  bool trouble_ = true;
  record log_;
  store store_;
  advice_service advice_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<entry> entries_;
  uint64_t version_ = 0;
  size_t turn_ = 0;
};

// Of the id `number`, 16 hexadecimal digits.
std::string JobId(uint64_t number);
// The job of a task's name.
std::string JobOf(const std::string& task);
json Step(int count, int cpu, int memory_mb, int estimate_ms);
json JobOfSteps(const json& spec, const std::vector<json>& steps);

}  // namespace review

#endif  // CATKINFORD_REVIEW_STANDINS_2_SITE_H_
