#include "process/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMissedHeartbeats = 4;        // overdue by this many heartbeats: suspect
constexpr int kMissedRounds = 2;            // of the other domains, both ways: suspect
constexpr int kDownFactor = 2;              // overdue by this many times that: down
constexpr milliseconds kHopAllowance{5};    // age that a status gains on its way
constexpr seconds kForgetAfter{60};         // silent and not listed
constexpr size_t kMaxMembers = 1024;        // limits what a faulty peer can make this entry store
constexpr uint32_t kNearShareOfBudget = 2;  // near heartbeats take at most one part in two
constexpr uint32_t kMinFarShare = 8;        // far heartbeats get at least one part in eight
constexpr int64_t kMillisPerSecond = 1000;
// Bytes on the wire, measured with real processes: a call and its reply over the JSON-RPC library
// with the message headers, and the status of an owner of one shard.
constexpr uint32_t kExchangeBytes = 472 + 120;
constexpr uint32_t kEntryStatusBytes = 125;

}  // namespace

membership::membership(membership_options options) : options_(std::move(options)) {}

member& membership::FindOrAdd(const std::string& name, const std::string& failure_domain,
                              const std::string& address) {
  member& one = members_[name];
  one.name = name;
  if (!failure_domain.empty()) one.failure_domain = failure_domain;
  if (!address.empty()) one.address = address;
  return one;
}

// The address in the platform's list is the one that is reachable from here, so it takes precedence
// over the one that the entry reports.
bool membership::ApplyStatus(const entry_status& status, const std::string& failure_domain,
                             monotonic_time now) {
  if (status.name == options_.name || status.name.empty() || status.incarnation == 0) return false;
  const auto known = members_.find(status.name);
  if (known == members_.end() && members_.size() >= kMaxMembers) return false;
  if (known != members_.end()) {
    const entry_status& last = known->second.status;
    const auto number = [](const entry_status& one) {
      return std::pair(one.incarnation, one.heartbeat);
    };
    if (number(status) <= number(last)) return false;
  }
  const bool listed = known != members_.end() && known->second.listed;
  member& one = FindOrAdd(status.name, failure_domain, listed ? "" : status.address);
  const bool is_new_process = one.status.incarnation != status.incarnation;
  const monotonic_time at = status.age.count() == 0 ? now : now - status.age - kHopAllowance;
  one.last_heard = is_new_process ? at : std::max(one.last_heard, at);
  one.status = status;
  const auto silent = silent_.find(status.name);
  if (silent != silent_.end() && (at > silent->second || is_new_process)) silent_.erase(silent);
  return true;
}

void membership::OnInstances(const std::vector<instance>& instances, monotonic_time now) {
  for (auto& [name, one] : members_) one.listed = false;
  for (const instance& listed : instances) {
    if (listed.role != instance_role::kEntry || listed.name == options_.name) continue;
    member& one = FindOrAdd(listed.name, listed.failure_domain, listed.address);
    one.listed = true;
    one.listed_leaving = listed.leaving;
  }
  Forget(now);
}

void membership::OnStoreMembers(const absl::btree_map<std::string, member_record>& members,
                                monotonic_time now) {
  for (const auto& [name, record] : members) {
    if (name == options_.name) continue;
    const member* known = Find(name);
    const bool is_unknown = known == nullptr || known->status.incarnation == 0;
    if (!is_unknown || (known != nullptr && known->listed)) continue;
    FindOrAdd(name, options_.failure_domain, record.address).last_heard = now;  // not forgotten
  }
  Forget(now);
}

std::vector<std::string> membership::OnHeartbeat(const heartbeat_message& heartbeat,
                                                 monotonic_time now) {
  std::vector<std::string> updated;
  for (const entry_status& status : heartbeat.entries) {
    if (ApplyStatus(status, heartbeat.failure_domain, now)) updated.push_back(status.name);
    // The sender has already sent a later status: the network delayed this message, and the ages in
    // it are too low. An entry of its domain that was lost meanwhile would look alive.
    if (updated.empty()) break;
  }
  return updated;
}

void membership::OnSilent(const std::string& name, monotonic_time now) {
  if (members_.contains(name)) silent_.insert_or_assign(name, now);
}

bool membership::OnSilent(const silent_message& silent, monotonic_time now) {
  const member* one = Find(silent.name);
  if (one == nullptr) return false;
  const auto number = std::pair(one->status.incarnation, one->status.heartbeat);
  if (number > std::pair(silent.incarnation, silent.heartbeat)) return false;
  OnSilent(silent.name, now);
  return true;
}

const member* membership::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

member_state membership::StateOf(const member& one, bool sends_to_us, const silence_limits& limits,
                                 monotonic_time now) const {
  if (one.status.incarnation == 0) return member_state::kDown;
  const milliseconds near = sends_to_us ? limits.predecessor : limits.near;
  const milliseconds silence = IsNear(one) ? near : limits.far;
  const auto overdue = now - one.last_heard;
  if (overdue >= silence * kDownFactor) return member_state::kDown;
  if (overdue >= silence || silent_.contains(one.name)) return member_state::kSuspect;
  return member_state::kUp;
}

void membership::Tick(monotonic_time now, std::vector<member_change>& out) {
  const member* predecessor = Predecessor();
  const silence_limits limits{NearPeriod() * kMissedHeartbeats, NearTimeout(), FarTimeout()};
  for (auto& [name, one] : members_) {
    const member_state state = StateOf(one, &one == predecessor, limits, now);
    if (state == one.state) continue;
    out.push_back({name, one.failure_domain, state, one.state});
    one.state = state;
  }
}

bool membership::IsUp(const std::string& name) const {
  const member* one = Find(name);
  return one != nullptr && one->state == member_state::kUp;
}

std::vector<std::string> membership::LiveNeighbours() const {
  std::vector<std::string> live;
  for (const auto& [name, one] : members_) {
    if (IsNear(one) && one.state == member_state::kUp && !one.Leaving()) live.push_back(name);
  }
  return live;
}

absl::btree_map<std::string, std::vector<std::string>> membership::LiveFar() const {
  absl::btree_map<std::string, std::vector<std::string>> live;
  for (const auto& [name, one] : members_) {
    const bool is_live = one.state == member_state::kUp && !one.Leaving();
    if (!IsNear(one) && is_live) live[one.failure_domain].push_back(name);
  }
  return live;
}

void membership::Forget(monotonic_time now) {
  absl::erase_if(members_, [&](const auto& item) {
    const member& one = item.second;
    const bool forgotten = !one.listed && now - one.last_heard >= kForgetAfter;
    if (forgotten) silent_.erase(one.name);
    return forgotten;
  });
}

// Spending the byte budget.

size_t membership::CountNear() const {
  return static_cast<size_t>(std::count_if(
      members_.begin(), members_.end(), [this](const auto& item) { return IsNear(item.second); }));
}

size_t membership::CountFarDomains() const {
  std::set<std::string> domains;
  for (const auto& [name, one] : members_) {
    if (!IsNear(one)) domains.insert(one.failure_domain);
  }
  return domains.size();
}

uint32_t membership::NearBytes() const {
  return kExchangeBytes + static_cast<uint32_t>(CountNear() + 1) * kEntryStatusBytes;
}

uint32_t membership::FarBytes() const {
  return kExchangeBytes + 2 * static_cast<uint32_t>(CountNear() + 1) * kEntryStatusBytes;
}

// Number of ring successors that get each heartbeat: at least one, and all in a small domain. As
// many bytes are received as sent, so half of the budget is for sending.
size_t membership::NearTargets() const {
  const uint32_t sending = options_.bytes_per_second / 2 / kNearShareOfBudget;
  const auto heartbeats = kMillisPerSecond / options_.heartbeat.count();
  const auto fit = static_cast<size_t>(sending / (heartbeats * NearBytes()));
  return std::min(CountNear(), std::max<size_t>(fit, 1));
}

// A domain of two entries needs few bytes for the rest and keeps the full rate.
milliseconds membership::NearPeriod() const {
  if (CountNear() <= 1) return options_.heartbeat;
  const uint32_t sending = options_.bytes_per_second / 2 / kNearShareOfBudget;
  const auto targets = static_cast<int64_t>(std::max<size_t>(NearTargets(), 1));
  const milliseconds affordable{targets * NearBytes() * kMillisPerSecond / sending};
  return std::max(affordable, options_.heartbeat);
}

// The rest of the budget goes to the other domains, one entry at a time and the domains in turn. A
// domain of two keeps its full inner rate even where little is left, so the other domains still get
// a minimum share.
milliseconds membership::FarPeriod() const {
  const auto far = static_cast<int64_t>(members_.size() - CountNear());
  if (far == 0) return options_.far_heartbeat;
  const int64_t near =
      static_cast<int64_t>(NearTargets()) * NearBytes() * kMillisPerSecond / NearPeriod().count();
  const int64_t half = options_.bytes_per_second / 2;
  const int64_t left = std::max<int64_t>(half - near, half / kMinFarShare);
  const milliseconds affordable{FarBytes() * kMillisPerSecond / left};
  return std::max(affordable, options_.far_heartbeat / far);
}

// The status of a neighbour that does not send to this entry is forwarded around the ring.
milliseconds membership::NearTimeout() const {
  const size_t targets = std::max<size_t>(NearTargets(), 1);
  const auto hops = static_cast<int>((CountNear() + targets - 1) / targets);
  return NearPeriod() * (kMissedHeartbeats + std::max(hops - 1, 0));
}

// Each exchange with a domain returns the status of all its entries, so an entry of another domain
// is overdue when a round over the domains passes without it.
milliseconds membership::FarTimeout() const {
  const auto domains = static_cast<int>(std::max<size_t>(CountFarDomains(), 1));
  const milliseconds round = std::max(options_.far_heartbeat, FarPeriod() * domains);
  return round * kMissedRounds + NearTimeout();
}

std::vector<heartbeat_target> membership::DueHeartbeats(monotonic_time now) {
  std::vector<heartbeat_target> due;
  if (now >= next_near_) {
    next_near_ = now + NearPeriod();
    AddNear(due);
  }
  if (now >= next_far_) {
    next_far_ = now + FarPeriod();
    AddNextFar(due);
  }
  return due;
}

// The neighbours in order of name, starting after this entry.
std::vector<const member*> membership::Ring() const {
  std::vector<const member*> ring;
  const auto start = members_.lower_bound(options_.name);
  for (auto at = start; at != members_.end(); ++at) {
    if (IsNear(at->second) && !at->second.address.empty()) ring.push_back(&at->second);
  }
  for (auto at = members_.begin(); at != start; ++at) {
    if (IsNear(at->second) && !at->second.address.empty()) ring.push_back(&at->second);
  }
  return ring;
}

// The last neighbour before this entry that may be alive: the one that sends to it.
const member* membership::Predecessor() const {
  const std::vector<const member*> ring = Ring();
  const auto found = std::find_if(ring.rbegin(), ring.rend(), [](const member* one) {
    return one->state != member_state::kDown;
  });
  return found == ring.rend() ? nullptr : *found;
}

// The next entries on the ring that are not known to be down, and always the direct successor,
// which may have restarted.
void membership::AddNear(std::vector<heartbeat_target>& out) const {
  const std::vector<const member*> ring = Ring();
  size_t wanted = NearTargets();
  for (size_t i = 0; i < ring.size() && wanted > 0; ++i) {
    const bool down = ring[i]->state == member_state::kDown;
    if (down && i != 0 && ring[i]->status.incarnation != 0) continue;
    out.push_back({ring[i]->name, ring[i]->address, true});
    if (!down) --wanted;
  }
}

void membership::AddNextFar(std::vector<heartbeat_target>& out) {
  absl::btree_map<std::string, std::vector<const member*>> domains;
  for (const auto& [name, one] : members_) {
    if (!IsNear(one) && !one.address.empty()) domains[one.failure_domain].push_back(&one);
  }
  if (domains.empty()) return;
  // A heartbeat to an entry that is lost but still listed returns no status of its domain. Where no
  // entry is up, all are tried.
  for (auto& [name, entries] : domains) {
    const auto is_up = [](const member* one) { return one->state == member_state::kUp; };
    if (std::none_of(entries.begin(), entries.end(), is_up)) continue;
    std::erase_if(entries, [&](const member* one) { return !is_up(one); });
  }
  auto domain = domains.upper_bound(last_far_domain_);
  if (domain == domains.end()) domain = domains.begin();
  last_far_domain_ = domain->first;
  std::string& last = last_far_entry_[domain->first];
  const auto after_last = [&last](const member* one) { return one->name > last; };
  const auto& entries = domain->second;
  if (last.empty()) last = entries[StableHash(options_.name) % entries.size()]->name;
  auto next = std::find_if(entries.begin(), entries.end(), after_last);
  if (next == entries.end()) next = entries.begin();
  last = (*next)->name;
  out.push_back({(*next)->name, (*next)->address, false});
}

// Carries the latest statuses of the own domain, to neighbours and other domains alike. The
// statuses of other domains are not forwarded: each exchange with a domain returns all of its
// entries.
heartbeat_message membership::Heartbeat(entry_status own, monotonic_time now) const {
  heartbeat_message heartbeat;
  heartbeat.failure_domain = options_.failure_domain;
  heartbeat.entries.push_back(std::move(own));
  for (const auto& [name, one] : members_) {
    if (!IsNear(one) || one.state != member_state::kUp) continue;
    entry_status status = one.status;
    status.age = std::chrono::ceil<milliseconds>(now - one.last_heard);
    status.address = one.listed ? "" : one.address;
    heartbeat.entries.push_back(std::move(status));
  }
  return heartbeat;
}

}  // namespace catkinford
