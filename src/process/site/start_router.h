// Chooses which entry sends a start to its instance: the owner itself, or another one that holds
// the job's payload.
//
// It serves jobs of many tasks. A call costs the owner more processor time than the decision behind
// it, and each start carries its job's payload over the owner's link: on a narrow link these copies
// fill it first, and listings, records and liveness checks wait behind them. The entry that
// accepted the job has the payload, a processor and a link of its own; the owner sends it, for all
// tasks that start together, which one starts where.
#ifndef CATKINFORD_PROCESS_SITE_START_ROUTER_H_
#define CATKINFORD_PROCESS_SITE_START_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

class start_router {
 public:
  // The other registered entries.
  void SetEntries(std::vector<std::string> names) { entries_ = std::move(names); }

  // The entry that should send starts of `job`, which `accepted_by` accepted; empty: this entry.
  // `group`: index of a group of tasks, from 0; each group takes another way, since a wide job
  // would fill the link of a single entry too. `busy`: whether this entry is.
  std::optional<std::string> ForwarderFor(const std::string& job, const std::string& accepted_by,
                                          uint32_t group, bool busy, monotonic_time now) const;
  // Records a message to a forwarder; returns the number to pass to OnAnswer().
  uint64_t Sent(const std::string& forwarder, monotonic_time now);
  // `accepted`: the forwarder accepted the message.
  void OnAnswer(uint64_t message, bool accepted, monotonic_time now);
  // The forwarder accepted a start and never reported its result.
  void OnResultMissing(const std::string& forwarder, monotonic_time now);

 private:
  struct sent_message {
    std::string forwarder;
    monotonic_time sent{};
  };
  bool Usable(const std::string& forwarder, monotonic_time now) const;

  std::vector<std::string> entries_;
  std::map<uint64_t, sent_message> unanswered_;
  std::map<std::string, monotonic_time> avoided_until_;
  uint64_t last_message_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_START_ROUTER_H_
