// Distributes advice queries (calls to the policies of queues) over the entries of the site. The
// advice service handles one query at a time per calling machine, and most of the latency is its
// own, so queries from several entries run in parallel.
#ifndef CATKINFORD_PROCESS_SITE_ADVICE_DISPATCHER_H_
#define CATKINFORD_PROCESS_SITE_ADVICE_DISPATCHER_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/scheduling/scheduler_messages.h"

namespace catkinford {

struct dispatched_query {
  advice_query query;
  std::string entry;                    // that sends it
  std::chrono::milliseconds queued{0};  // how long it waited for the entry

  // Its instances were chosen so recently that they still suit its step.
  bool Fresh() const { return queued < std::chrono::milliseconds(200); }
};

class advice_dispatcher {
 public:
  // The entries that may send queries; an entry that is no longer listed gets no new ones.
  void SetEntries(const std::vector<std::string>& names);
  void Add(advice_query query, monotonic_time now);
  // The next query and the entry to send it; urgent queries first. Empty while no entry is free.
  std::optional<dispatched_query> Next(monotonic_time now);
  void OnAnswered(const std::string& entry);
  size_t Waiting() const { return urgent_.size() + slow_.size(); }

 private:
  struct waiting_query {
    advice_query query;
    monotonic_time since{};
  };

  struct entry_state {
    bool busy = false;    // a query is in flight
    bool listed = false;  // by the latest SetEntries()
  };

  std::map<std::string, entry_state> entries_;
  size_t listed_ = 0;
  size_t free_ = 0;         // listed and not busy
  std::string last_entry_;  // that got a query
  std::deque<waiting_query> urgent_;
  std::deque<waiting_query> slow_;
  monotonic_time last_urgent_{};  // when one was added
  monotonic_time last_slow_{};    // when one was sent
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_ADVICE_DISPATCHER_H_
