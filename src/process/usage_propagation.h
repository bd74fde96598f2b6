// What each team runs in other shards, told over the fleet by one relay in each failure domain.
//
// Every owner tells its relay, the live entry of its domain with the lowest name. A relay tells the
// relays of the other domains the sum of its own, and each neighbour the sum of all the others.
// Only changes are told, the largest first, within a budget of bytes: a fleet at rest tells
// nothing. Pure: messages and time in, due messages out.
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
  std::chrono::milliseconds period{500};  // between two messages to the same entry
  uint32_t bytes_per_second = 3900;       // sent
  size_t largest_message = 32;            // teams
};

// Who is there, as the membership has it. The members are up and stay.
struct usage_view {
  std::vector<std::string> neighbours;
  absl::btree_map<std::string, std::vector<std::string>> far;  // by failure domain
  resources cell;  // a change is worth telling when it shows in a share of this
};

struct due_usage {
  std::string to;
  usage_message message;
};

class usage_propagation {
 public:
  explicit usage_propagation(usage_propagation_options options);

  // What runs in the shards of this entry.
  void SetOwn(team_usage_map own) { own_ = std::move(own); }
  void OnUsage(const std::string& from, const usage_message& message, monotonic_time now);
  // A message to it may be lost: it is told everything again.
  void OnLost(const std::string& to);

  void Due(const usage_view& view, monotonic_time now, std::vector<due_usage>& out);
  // What runs in the shards of all other entries.
  team_usage_map Elsewhere(const usage_view& view) const;
  // How long a change takes to be told all over the fleet, about.
  std::chrono::milliseconds PropagationPeriod(const usage_view& view) const;

 private:
  struct reported_usage {
    resources running;  // none: told to have ended
    uint64_t sequence = 0;
  };
  // An entry that tells us. Several messages may be under way at once and overtake each other.
  struct source {
    uint64_t incarnation = 0;
    uint64_t whole = 0;  // the last message that told everything
    monotonic_time heard{};
    absl::btree_map<std::string, reported_usage> uses;
  };
  // An entry that we tell.
  struct destination {
    team_usage_map reported;
    bool whole = true;  // it knows nothing of us yet
    uint64_t sequence = 0;
    monotonic_time next{};
  };

  bool IsRelay(const usage_view& view) const;
  const std::string& RelayOf(const usage_view& view) const;
  // The one of a far domain that speaks for it.
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
  std::string last_relay_;  // whose word we go by until the present one has spoken
  monotonic_time next_send_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_USAGE_PROPAGATION_H_
