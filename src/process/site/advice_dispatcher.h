// Spreads questions to the queues' policies over the entries: the service behind them takes one
// question at a time from each machine, and most of the wait is its own.
#ifndef CATKINFORD_PROCESS_SITE_ADVICE_DISPATCHER_H_
#define CATKINFORD_PROCESS_SITE_ADVICE_DISPATCHER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/scheduling/scheduler_messages.h"

namespace catkinford {

class advice_dispatcher {
 public:
  // The entries that may ask; one that is gone gets nothing new.
  void SetEntries(const std::vector<std::string>& names);
  void Add(advice_order order);
  // The next question and the entry that asks it; nothing while no entry is free for one.
  std::optional<std::pair<advice_order, std::string>> Next();
  void OnAnswered(const std::string& entry);
  size_t Waiting() const { return urgent_.size() + slow_.size(); }

 private:
  size_t FreeEntries() const;

  std::map<std::string, bool> busy_;  // by entry
  std::map<std::string, bool> entries_;
  std::deque<advice_order> urgent_;
  std::deque<advice_order> slow_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_ADVICE_DISPATCHER_H_
