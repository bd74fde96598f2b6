#include "process/membership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMissedBeats = 3;             // overdue by this many: suspect
constexpr int kDownFactor = 3;              // overdue by this many times that: down
constexpr milliseconds kHopAllowance{5};    // age that a sighting gains on its way
constexpr seconds kForgetAfter{60};         // silent and not in the list
constexpr size_t kMaxMembers = 1024;        // bounds what a faulty peer can make us keep
constexpr uint32_t kNearShareOfBudget = 2;  // near heartbeats take at most one part in two
constexpr size_t kFarNews = 3;              // sightings of other domains in a near heartbeat
constexpr int64_t kMillisPerSecond = 1000;
// Bytes on the wire, measured on an otherwise silent loopback device: a call and its reply over the
// JSON-RPC library without their texts, the sender's name in both, and one sighting.
constexpr uint32_t kExchangeBytes = 472 + 80;
constexpr uint32_t kSightingBytes = 34;

}  // namespace

membership::membership(membership_options options) : options_(std::move(options)) {}

member& membership::Find(const std::string& name, const std::string& failure_domain,
                         const std::string& address) {
  member& one = members_[name];
  one.name = name;
  if (!failure_domain.empty()) one.failure_domain = failure_domain;
  if (!address.empty()) one.address = address;
  return one;
}

// The platform's list says how an entry is reached from here, so its address goes before the one
// that the entry gives itself. A later process of the same name counts from its first sign of life;
// news of an earlier one is no news.
void membership::Heard(const std::string& name, const std::string& failure_domain,
                       const std::string& address, uint64_t incarnation, monotonic_time at) {
  if (name == options_.name || name.empty()) return;
  const auto known = members_.find(name);
  if (known == members_.end() && members_.size() >= kMaxMembers) return;
  if (known != members_.end() && incarnation < known->second.incarnation) return;
  const bool later = known != members_.end() && at <= known->second.heard &&
                     incarnation == known->second.incarnation;
  if (later) return;
  const bool listed = known != members_.end() && known->second.listed;
  member& one = Find(name, failure_domain, listed ? "" : address);
  one.incarnation = incarnation;
  one.heard = at;
  const auto silent = silent_.find(name);
  if (silent != silent_.end() && at > silent->second) silent_.erase(silent);
}

void membership::OnInstances(const std::vector<instance>& instances, monotonic_time now) {
  for (auto& [name, one] : members_) one.listed = false;
  for (const instance& listed : instances) {
    if (listed.role != instance_role::kEntry || listed.name == options_.name) continue;
    member& one = Find(listed.name, listed.failure_domain, listed.address);
    one.listed = true;
    one.leaving = listed.leaving;
  }
  Forget(now);
}

void membership::OnStoreMembers(const absl::btree_map<std::string, member_record>& members,
                                monotonic_time /*now*/) {
  for (const auto& [name, record] : members) {
    const auto known = members_.find(name);
    const bool news = known == members_.end() || known->second.incarnation < record.incarnation;
    if (name != options_.name && news) Find(name, options_.failure_domain, record.address);
  }
}

void membership::OnHeartbeat(const std::string& name, const std::string& failure_domain,
                             const std::string& address, uint64_t incarnation, monotonic_time now) {
  Heard(name, failure_domain, address, incarnation, now);
}

// Two entries could keep a dead third alive for each other by passing on each other's news. A
// sighting therefore keeps the age that it has, and grows a little older with each hop.
void membership::OnSightings(const std::vector<sighting>& sightings, monotonic_time now) {
  for (const sighting& seen : sightings) {
    const monotonic_time at = now - seen.age - kHopAllowance;
    Heard(seen.name, seen.failure_domain, seen.address, seen.incarnation, at);
  }
}

void membership::OnSilent(const std::string& name, monotonic_time now) {
  if (members_.contains(name)) silent_.emplace(name, now);
}

member_state membership::StateOf(const member& one, bool sends_to_us, const patience& silences,
                                 monotonic_time now) const {
  if (one.incarnation == 0) return member_state::kDown;
  const milliseconds near = sends_to_us ? silences.predecessor : silences.near;
  const milliseconds silence = IsNear(one) ? near : silences.far;
  const auto overdue = now - one.heard;
  if (overdue >= silence * kDownFactor) return member_state::kDown;
  if (overdue >= silence || silent_.contains(one.name)) return member_state::kSuspect;
  return member_state::kUp;
}

void membership::Tick(monotonic_time now, std::vector<member_change>& out) {
  const member* predecessor = Predecessor();
  const patience silences{NearPeriod() * kMissedBeats, NearSilence(), FarSilence()};
  for (auto& [name, one] : members_) {
    const member_state state = StateOf(one, &one == predecessor, silences, now);
    if (state == one.state) continue;
    one.state = state;
    out.push_back({name, one.failure_domain, state});
  }
}

bool membership::IsUp(const std::string& name) const {
  const auto found = members_.find(name);
  return found != members_.end() && found->second.state == member_state::kUp;
}

void membership::Forget(monotonic_time now) {
  absl::erase_if(members_, [&](const auto& item) {
    const member& one = item.second;
    const bool forgotten = !one.listed && now - one.heard >= kForgetAfter;
    if (forgotten) silent_.erase(one.name);
    return forgotten;
  });
}

// Spending the budget.

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
  const size_t far = members_.size() - CountNear();
  const size_t sightings = CountNear() + std::min(far, kFarNews);
  return kExchangeBytes + options_.payload_bytes +
         static_cast<uint32_t>(sightings) * kSightingBytes;
}

uint32_t membership::FarBytes() const {
  const auto sightings = static_cast<uint32_t>(2 * CountNear());
  return kExchangeBytes + options_.payload_bytes + sightings * kSightingBytes;
}

// Successors on the ring of the domain that get each heartbeat: at least one, all in a small
// domain. What we send others send to us, so half of the budget is for sending.
size_t membership::NearTargets() const {
  const uint32_t sending = options_.bytes_per_second / 2 / kNearShareOfBudget;
  const auto beats = kMillisPerSecond / options_.heartbeat.count();
  const auto fit = static_cast<size_t>(sending / (beats * NearBytes()));
  return std::min(CountNear(), std::max<size_t>(fit, 1));
}

// A domain of two needs few bytes for all else and keeps the full rate.
milliseconds membership::NearPeriod() const {
  if (CountNear() <= 1) return options_.heartbeat;
  const uint32_t sending = options_.bytes_per_second / 2 / kNearShareOfBudget;
  const auto targets = static_cast<int64_t>(std::max<size_t>(NearTargets(), 1));
  const milliseconds affordable{targets * NearBytes() * kMillisPerSecond / sending};
  return std::max(affordable, options_.heartbeat);
}

// The rest of the budget goes to the other domains, one entry at a time, the domains in turn.
milliseconds membership::FarPeriod() const {
  const auto far = static_cast<int64_t>(members_.size() - CountNear());
  if (far == 0) return options_.far_heartbeat;
  const int64_t near =
      static_cast<int64_t>(NearTargets()) * NearBytes() * kMillisPerSecond / NearPeriod().count();
  const int64_t left = std::max<int64_t>(options_.bytes_per_second / 2 - near, 1);
  const milliseconds affordable{FarBytes() * kMillisPerSecond / left};
  return std::clamp(affordable, options_.far_heartbeat / far, options_.far_heartbeat);
}

// News of a neighbour that does not send to us comes round the ring.
milliseconds membership::NearSilence() const {
  const size_t targets = std::max<size_t>(NearTargets(), 1);
  const auto hops = static_cast<int>((CountNear() + targets - 1) / targets);
  return NearPeriod() * (kMissedBeats + std::max(hops - 1, 0));
}

// Each exchange with a domain brings news of all its entries, so a far entry is overdue when its
// domain's turn has come round without it.
milliseconds membership::FarSilence() const {
  const auto domains = static_cast<int>(std::max<size_t>(CountFarDomains(), 1));
  const milliseconds turn = std::max(options_.far_heartbeat, FarPeriod() * domains);
  return turn * kMissedBeats + NearSilence();
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

// The neighbours in the order of their names, beginning after this entry.
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

// The last neighbour before us that may be alive: the one that sends to us.
const member* membership::Predecessor() const {
  const std::vector<const member*> ring = Ring();
  const auto found = std::find_if(ring.rbegin(), ring.rend(), [](const member* one) {
    return one->state != member_state::kDown;
  });
  return found == ring.rend() ? nullptr : *found;
}

// The next ones on the ring that are not known to be down, and in any case the very next, which
// may have come back.
void membership::AddNear(std::vector<heartbeat_target>& out) const {
  const std::vector<const member*> ring = Ring();
  size_t wanted = NearTargets();
  for (size_t i = 0; i < ring.size() && wanted > 0; ++i) {
    const bool down = ring[i]->state == member_state::kDown;
    if (down && i != 0 && ring[i]->incarnation != 0) continue;
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

std::vector<sighting> membership::News(monotonic_time now, bool near) const {
  std::vector<const member*> chosen;
  std::vector<const member*> far;
  for (const auto& [name, one] : members_) {
    if (one.incarnation == 0 || one.state != member_state::kUp) continue;
    (IsNear(one) ? chosen : far).push_back(&one);
  }
  if (near) {
    const size_t count = std::min(kFarNews, far.size());
    const auto end = far.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(far.begin(), end, far.end(),
                      [](const member* a, const member* b) { return a->heard > b->heard; });
    chosen.insert(chosen.end(), far.begin(), end);
  }
  std::vector<sighting> news;
  for (const member* one : chosen) {
    const auto age = std::chrono::ceil<milliseconds>(now - one->heard);
    news.push_back(
        {one->name, one->failure_domain, one->listed ? "" : one->address, one->incarnation, age});
  }
  return news;
}

// {"domain":[["name",incarnation,age in ms,"address"?],...]}: these texts are most of what a node
// sends for control.
std::string EncodeSightings(const std::vector<sighting>& sightings) {
  nlohmann::json domains = nlohmann::json::object();
  for (const sighting& seen : sightings) {
    nlohmann::json item = {seen.name, seen.incarnation, std::max<int64_t>(seen.age.count(), 0)};
    if (!seen.address.empty()) item.push_back(seen.address);
    domains[seen.failure_domain].push_back(std::move(item));
  }
  return domains.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::vector<sighting>> DecodeSightings(const std::string& text) {
  const nlohmann::json domains = nlohmann::json::parse(text, nullptr, false);
  if (!domains.is_object()) return std::nullopt;
  std::vector<sighting> result;
  for (const auto& [domain, items] : domains.items()) {
    for (const nlohmann::json& item : items) {
      const bool whole = item.is_array() && (item.size() == 3 || item.size() == 4) &&
                         item[0].is_string() && item[1].is_number_unsigned() &&
                         item[2].is_number_integer() &&
                         item.back().is_string() == (item.size() == 4);
      if (!whole) return std::nullopt;
      const std::string address = item.size() == 4 ? item[3].get<std::string>() : std::string{};
      const milliseconds age{std::max<int64_t>(item[2].get<int64_t>(), 0)};
      result.push_back({item[0], domain, address, item[1], age});
    }
  }
  return result;
}

}  // namespace catkinford
