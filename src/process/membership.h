// The entries of the whole fleet: from the platform's lagging list, from the store's members of
// the own failure domain, and from heartbeats. Pure: words and time in, due heartbeats out.
//
// Every entry cannot tell every other one four times a second that it is alive: at the size we aim
// for that alone would cost many times what a node may spend. So each entry sends to a few
// successors on a ring inside its domain and to the other domains in turn, as many as a budget of
// bytes allows, and passes on what it has heard of its domain.
//
// Each word of an entry is numbered by its incarnation and beat. What comes late or by a second way
// is no news, so entries cannot keep a dead one alive by telling each other of it.
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
  std::chrono::milliseconds heartbeat{250};       // inside the failure domain
  std::chrono::milliseconds far_heartbeat{1000};  // to an entry of another one, at the fastest
  uint32_t bytes_per_second = 7800;               // for heartbeats sent and received together
};

enum class member_state : uint8_t {
  kUp,
  kSuspect,  // overdue, or a call to it has failed
  kDown,     // long overdue, or never heard of but in the list
};

struct member {
  std::string name;
  std::string failure_domain;
  std::string address;  // as the platform's list says, else as the entry itself says
  entry_status status;  // its last; incarnation zero: not heard of yet
  member_state state = member_state::kDown;
  monotonic_time last_heard{};  // when it said its last word, first or second hand
  bool listed = false;          // in the platform's list
  bool listed_leaving = false;  // the platform's list says that it is leaving

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
  bool near = false;  // of the own failure domain
};

class membership {
 public:
  explicit membership(membership_options options);

  void OnInstances(const std::vector<instance>& instances, monotonic_time now);
  void OnStoreMembers(const absl::btree_map<std::string, member_record>& members,
                      monotonic_time now);
  // A heartbeat, or the reply to one. Returns the names of those whose words are news.
  std::vector<std::string> OnHeartbeat(const heartbeat_message& heartbeat, monotonic_time now);
  // A call to it could not be sent, or a heartbeat got no answer.
  void OnSilent(const std::string& name, monotonic_time now);
  // Another entry says so. False when we have heard of it since.
  bool OnSilent(const silent_message& silent, monotonic_time now);

  // Changes of state since the last call.
  void Tick(monotonic_time now, std::vector<member_change>& out);
  // Whom to send a heartbeat to now.
  std::vector<heartbeat_target> DueHeartbeats(monotonic_time now);
  // This entry's own word with what it has heard of its domain.
  heartbeat_message Heartbeat(entry_status own, monotonic_time now) const;

  // All but this entry, by name.
  const absl::btree_map<std::string, member>& Members() const { return members_; }
  const member* Find(const std::string& name) const;
  bool IsUp(const std::string& name) const;
  // Those that are up and stay, by name.
  std::vector<std::string> LiveNeighbours() const;
  // By failure domain, those of other ones.
  absl::btree_map<std::string, std::vector<std::string>> LiveFar() const;

  // How the budget is spent at the present size.
  size_t NearTargets() const;
  std::chrono::milliseconds NearPeriod() const;
  uint32_t NearBytes() const;  // of one exchange
  uint32_t FarBytes() const;
  std::chrono::milliseconds FarPeriod() const;  // between heartbeats to any far entry
  std::chrono::milliseconds NearTimeout() const;
  std::chrono::milliseconds FarTimeout() const;

 private:
  member& FindOrAdd(const std::string& name, const std::string& failure_domain,
                    const std::string& address);
  bool ApplyStatus(const entry_status& status, const std::string& failure_domain,
                   monotonic_time now);
  // How long a sign of life may be overdue, worked out once for all members.
  struct silence_limits {
    std::chrono::milliseconds predecessor;  // sends to us itself
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
