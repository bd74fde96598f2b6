// Propagates the usage of each team across the fleet through one relay in each failure domain.
//
// Every owner reports to its relay, the live entry of its domain with the lowest name. A relay
// sends the sum of its own domain to the relays of the other domains, and the sum of all other
// entries to each neighbour. Only changes are sent, the largest first, within a byte budget; an
// idle fleet sends nothing. Pure: messages and time in, due messages out.
#ifndef CATKINFORD_PROCESS_USAGE_PROPAGATION_H_
#define CATKINFORD_PROCESS_USAGE_PROPAGATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "process/message.h"
#include "request/job_request.h"

namespace catkinford {

using team_usage_map = absl::btree_map<std::string, resources>;

struct usage_propagation_options {
  std::string name;
  uint64_t incarnation = 0;
  std::chrono::milliseconds period{500};  // minimum interval between two messages to the same entry
  uint32_t bytes_per_second = 3900;       // sent
  size_t largest_message = 32;            // teams
};

// The membership as seen by this entry. All listed members are up and not leaving.
struct usage_view {
  std::vector<std::string> neighbours;
  absl::btree_map<std::string, std::vector<std::string>> far;  // by failure domain
  resources cell;  // changes are measured against this capacity
};

struct due_usage {
  std::string to;
  usage_message message;
};

class usage_propagation {
 public:
  explicit usage_propagation(usage_propagation_options options);

  // Sets what runs in the shards of this entry.
  void SetOwn(team_usage_map own) { own_ = std::move(own); }
  void OnUsage(const std::string& from, const usage_message& message, monotonic_time now);
  // A message to `to` may have been lost: everything is sent to it again.
  void OnLost(const std::string& to);

  void Due(const usage_view& view, monotonic_time now, std::vector<due_usage>& out);
  // Returns what runs in the shards of all other entries.
  team_usage_map Elsewhere(const usage_view& view) const;
  // Approximate time for a change to reach the whole fleet.
  std::chrono::milliseconds PropagationPeriod(const usage_view& view) const;

 private:
  struct reported_usage {
    resources running;  // none: reported as ended
    uint64_t sequence = 0;
  };
  // An entry that reports to us. Several messages may be in flight at once and overtake each other.
  struct source {
    uint64_t incarnation = 0;
    uint64_t whole = 0;  // sequence number of the last full report
    monotonic_time last_report{};
    absl::btree_map<std::string, reported_usage> uses;
  };
  // An entry that we report to.
  struct destination {
    team_usage_map reported;
    bool whole = true;  // the next message is a full report
    uint64_t sequence = 0;
    monotonic_time next{};
  };

  bool IsRelay(const usage_view& view) const;
  const std::string& RelayOf(const usage_view& view) const;
  // The entry of a remote domain that reports for it.
  const std::string& FarRelayOf(const std::vector<std::string>& entries) const;
  void AddUsage(const std::string& from, team_usage_map& sum) const;
  team_usage_map DomainUsage(const usage_view& view, const std::string& without) const;
  team_usage_map FarUsage(const usage_view& view) const;
  std::vector<std::string> Destinations(const usage_view& view) const;
  team_usage_map UsageFor(const usage_view& view, const std::string& to) const;
  std::vector<team_report> Changes(const destination& to, const team_usage_map& uses,
                                   const resources& cell) const;

  usage_propagation_options options_;
  team_usage_map own_;
  absl::btree_map<std::string, source> sources_;
  absl::btree_map<std::string, destination> destinations_;
  std::string last_relay_;  // its reports are used until the current relay has sent one
  monotonic_time next_send_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_USAGE_PROPAGATION_H_
