// The entries of the whole fleet, as known from the platform's lagging list, the store's members of
// the own failure domain, and heartbeats. Pure: takes messages and time, returns due heartbeats.
//
// All-to-all heartbeats four times a second would, at the target fleet size, cost many times a
// node's byte budget. So each entry sends to a few successors on a ring inside its domain and to
// the other domains in turn, as many as the budget allows, and forwards the status of the entries
// of its domain.
//
// Each status is ordered by its incarnation and heartbeat sequence number. One that arrives late or
// by a second path changes nothing, so entries can't keep a lost one alive by forwarding its
// status.
#ifndef CATKINFORD_PROCESS_MEMBERSHIP_H_
#define CATKINFORD_PROCESS_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "connection/instance_adapter.h"
#include "process/message.h"
#include "process/ownership_record.h"
#include "request/job_request.h"

namespace catkinford {

struct membership_options {
  std::string name;
  std::string failure_domain;
  std::string address;
  uint64_t incarnation = 0;
  std::chrono::milliseconds heartbeat{250};       // period inside the failure domain
  std::chrono::milliseconds far_heartbeat{1000};  // shortest period to an entry of another domain
  uint32_t bytes_per_second = 7800;               // for heartbeats sent and received together
};

enum class member_state : uint8_t {
  kUp,
  kSuspect,  // overdue, or a call to it has failed
  kDown,     // long overdue, or listed but never heard from
};

struct member {
  std::string name;
  std::string failure_domain;
  std::string address;  // from the platform's list, else as reported by the entry itself
  entry_status status;  // its latest; incarnation zero: nothing received yet
  member_state state = member_state::kDown;
  monotonic_time last_heard{};  // when it sent its latest status, directly or forwarded
  bool listed = false;          // in the platform's list
  bool listed_leaving = false;  // leaving according to the platform's list

  bool Leaving() const { return status.leaving || listed_leaving; }
};

struct member_change {
  std::string name;
  std::string failure_domain;
  member_state state = member_state::kDown;
  member_state before = member_state::kDown;
};

struct heartbeat_target {
  std::string name;
  std::string address;
  bool near = false;  // in the own failure domain
};

class membership {
 public:
  explicit membership(membership_options options);

  void OnInstances(const std::vector<instance>& instances, monotonic_time now);
  void OnStoreMembers(const absl::btree_map<std::string, member_record>& members,
                      monotonic_time now);
  // Handles a heartbeat or the reply to one. Returns the names of entries whose status was updated.
  std::vector<std::string> OnHeartbeat(const heartbeat_message& heartbeat, monotonic_time now);
  // A call to the entry could not be sent, or a heartbeat got no answer.
  void OnSilent(const std::string& name, monotonic_time now);
  // Another entry reports it silent. False when a later status has been received.
  bool OnSilent(const silent_message& silent, monotonic_time now);

  // Returns the changes of state since the last call.
  void Tick(monotonic_time now, std::vector<member_change>& out);
  // Returns the targets of the heartbeats that are due now.
  std::vector<heartbeat_target> DueHeartbeats(monotonic_time now);
  // A heartbeat with this entry's own status and the latest statuses of its domain.
  heartbeat_message Heartbeat(entry_status own, monotonic_time now) const;

  // All entries but this one, by name.
  const absl::btree_map<std::string, member>& Members() const { return members_; }
  const member* Find(const std::string& name) const;
  bool IsUp(const std::string& name) const;
  // Names of the entries of the own domain that are up and not leaving.
  std::vector<std::string> LiveNeighbours() const;
  // The same for other failure domains, by domain.
  absl::btree_map<std::string, std::vector<std::string>> LiveFar() const;

  // How the byte budget is spent at the current fleet size.
  size_t NearTargets() const;
  std::chrono::milliseconds NearPeriod() const;
  uint32_t NearBytes() const;  // of one call and its reply
  uint32_t FarBytes() const;
  std::chrono::milliseconds FarPeriod() const;  // between heartbeats to any entry of another domain
  std::chrono::milliseconds NearTimeout() const;
  std::chrono::milliseconds FarTimeout() const;

 private:
  member& FindOrAdd(const std::string& name, const std::string& failure_domain,
                    const std::string& address);
  bool ApplyStatus(const entry_status& status, const std::string& failure_domain,
                   monotonic_time now);
  // How long a status may be overdue before its entry is suspect; computed once for all members.
  struct silence_limits {
    std::chrono::milliseconds predecessor;  // the entry that sends to this one directly
    std::chrono::milliseconds near;
    std::chrono::milliseconds far;
  };
  member_state StateOf(const member& one, bool sends_to_us, const silence_limits& limits,
                       monotonic_time now) const;
  const member* Predecessor() const;
  std::vector<const member*> Ring() const;
  bool IsNear(const member& one) const { return one.failure_domain == options_.failure_domain; }
  size_t CountNear() const;
  size_t CountFarDomains() const;
  void AddNear(std::vector<heartbeat_target>& out) const;
  void AddNextFar(std::vector<heartbeat_target>& out);
  void Forget(monotonic_time now);

  membership_options options_;
  absl::btree_map<std::string, member> members_;
  absl::btree_map<std::string, monotonic_time> silent_;  // since when calls fail
  monotonic_time next_near_{};
  monotonic_time next_far_{};
  std::string last_far_domain_;
  absl::btree_map<std::string, std::string> last_far_entry_;  // by domain
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_MEMBERSHIP_H_
