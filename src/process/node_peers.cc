// Peers: heartbeats, liveness, and the teams' usage at other entries.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/node.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStoreMembersInterval{1000};
constexpr milliseconds kHeartbeatReplyInterval{250};
constexpr milliseconds kUsageInterval{250};
constexpr milliseconds kMinAgeLimit{3000};  // for an owner's reports on its shards

}  // namespace

// ---- Heartbeats ----------------------------------------------------------------------------

void node::OnHeartbeat(const std::string& from, const heartbeat_message& heartbeat,
                       monotonic_time now) {
  if (from == config_.name) return;
  const std::vector<std::string> updated = members_.OnHeartbeat(heartbeat, now);
  if (updated.empty()) return;
  UpdatePeers(now);
  ApplyMemberChanges(now);
  for (const std::string& name : updated) OnEntryStatus(*members_.Find(name), now);
  config_version_tracker& order = versions_.Order();
  if (const auto confirmed = DomainsConfirmed()) order.Confirm(order.Version(), *confirmed);
  if (const member* sender = members_.Find(from)) ResendToLagging(*sender, now);
  CheckChanges(now);
}

// Called for a status received from the entry itself or forwarded by another.
void node::OnEntryStatus(const member& of, monotonic_time now) {
  if (std::exchange(peer_states_[of.name].incarnation, of.status.incarnation) !=
      of.status.incarnation) {
    usage_.OnLost(of.name);  // a new process without state
    peer_states_[of.name].lagging_since = now;
  }
  for (const shard_report& report : of.status.shards) {
    const shard_route* route = routes_.Route(report.shard);
    const std::string before = route == nullptr ? "" : route->owner;
    routes_.OnReport(of.name, report, of.last_heard);
    if (route == nullptr || route->owner == before) continue;
    table_.OnNewOwner(report.shard, now);
    for (auto& [number, held] : shards_) held->OnNewOwner(report.shard, now);
  }
  if (!of.status.shards.empty()) routes_.OnRoundTrip(of.name, mailbox_.RoundTrip(of.name));
  versions_.Order().OnPeerVersion(of.name, of.status.config_version);
}

void node::OnSilent(const std::string& peer, monotonic_time now) {
  const member* one = members_.Find(peer);
  if (one == nullptr) return;
  const bool was_up = members_.IsUp(peer);
  members_.OnSilent(peer, now);
  ApplyMemberChanges(now);
  if (!was_up || one->failure_domain != config_.failure_domain) return;
  const silent_message silent{peer, one->status.incarnation, one->status.heartbeat};
  for (const std::string& name : members_.LiveNeighbours()) Send(name, silent, now);
}

void node::OnSilent(const silent_message& silent, monotonic_time now) {
  if (members_.OnSilent(silent, now)) ApplyMemberChanges(now);
}

// Applies state changes of members: up, suspect, down.
void node::ApplyMemberChanges(monotonic_time now) {
  std::vector<member_change> changes;
  members_.Tick(now, changes);
  for (const member_change& change : changes) {
    const bool up = change.state == member_state::kUp;
    if (!up && change.before != member_state::kUp) continue;  // was suspect, is now down
    log_.Emit(up ? event_code::kPeerUp : event_code::kPeerDown, now, {}, 0, change.name);
    usage_.OnLost(change.name);
    if (up) {
      ownership_.OnPeerAlive(change.name, now);
    } else {
      ownership_.OnPeerSilent(change.name, now);
      routes_.OnOwnerDown(change.name);
      next_ownership_tick_ = now;
    }
  }
}

entry_status node::OwnStatus() {
  entry_status status;
  status.name = config_.name;
  status.address = absl::StrCat("http://", config_.listen.address, ":", config_.listen.peer_port);
  status.incarnation = incarnation_;
  status.heartbeat = ++heartbeat_seq_;
  status.config_version = versions_.Order().Version();
  status.leaving = shutting_down_;
  for (const auto& [number, held] : shards_) status.shards.push_back(held->Report());
  return status;
}

void node::Announce(monotonic_time now) {
  const heartbeat_message heartbeat{config_.failure_domain, false, {OwnStatus()}};
  for (const auto& [name, one] : members_.Members()) Send(name, heartbeat, now);
}

void node::SendHeartbeats(monotonic_time now) {
  const std::vector<heartbeat_target> targets = members_.DueHeartbeats(now);
  if (targets.empty()) return;
  heartbeat_message heartbeat = members_.Heartbeat(OwnStatus(), now);
  for (const heartbeat_target& target : targets) {
    heartbeat.wants_reply = !target.near;
    Send(target.name, heartbeat, now);
  }
}

void node::PrepareHeartbeatReply(monotonic_time now) {
  heartbeat_message heartbeat_reply = members_.Heartbeat(OwnStatus(), now);
  const std::lock_guard lock(heartbeat_reply_mutex_);
  heartbeat_reply_ = std::move(heartbeat_reply);
  heartbeat_reply_time_ = now;
}

// Runs on a mailbox thread. Adds the time since the reply was prepared to the age of each status.
std::optional<heartbeat_message> node::HeartbeatReply() {
  const monotonic_time now = std::chrono::steady_clock::now();
  const std::lock_guard lock(heartbeat_reply_mutex_);
  if (heartbeat_reply_.entries.empty()) return std::nullopt;
  heartbeat_message reply = heartbeat_reply_;
  const auto since = std::chrono::ceil<milliseconds>(now - heartbeat_reply_time_);
  for (entry_status& status : reply.entries) status.age += since;
  return reply;
}

// ---- Members -------------------------------------------------------------------------------

void node::TickMembers(monotonic_time now) {
  for (const auto& [number, held] : shards_) {
    routes_.OnReport(config_.name, held->Report(), now);
  }
  if (now >= next_store_members_) {
    next_store_members_ = now + kStoreMembersInterval;
    members_.OnStoreMembers(ownership_.Members(), now);
    UpdatePeers(now);
    if (instance_polling_.HasList()) RemoveStaleDrains(now);
    routes_.SetAgeLimits(std::max(kMinAgeLimit, members_.NearTimeout()),
                         std::max(kMinAgeLimit, members_.FarTimeout()));
  }
  ApplyMemberChanges(now);
  SendHeartbeats(now);
  if (now >= next_heartbeat_reply_) {
    next_heartbeat_reply_ = now + kHeartbeatReplyInterval;
    PrepareHeartbeatReply(now);
  }
  if (now >= next_usage_) {
    next_usage_ = now + kUsageInterval;
    PropagateUsage(now);
  }
}

// Keeps one sender for each member that has an address and removes those of forgotten members. A
// member known only from the store, without a heartbeat yet, is sent our status at once and asked
// for a reply: on the heartbeat schedule that would take many seconds, in which nobody would know
// that a version is in effect there.
void node::UpdatePeers(monotonic_time now) {
  std::vector<std::string> unheard;
  for (const auto& [name, one] : members_.Members()) {
    if (one.address.empty()) continue;
    mailbox_.SetPeer(name, one.address);
    const bool is_new = peer_states_.try_emplace(name).second;
    if (is_new && one.status.incarnation == 0) unheard.push_back(name);
  }
  if (!unheard.empty()) {
    const heartbeat_message heartbeat{config_.failure_domain, true, {OwnStatus()}};
    for (const std::string& name : unheard) Send(name, heartbeat, now);
  }
  std::erase_if(peer_states_, [this](const auto& item) {
    const bool is_gone = members_.Find(item.first) == nullptr;
    if (is_gone) {
      mailbox_.RemovePeer(item.first);
      versions_.Order().ForgetPeer(item.first);
    }
    return is_gone;
  });
}

std::vector<version_member> node::VersionMembers() const {
  std::vector<version_member> members;
  for (const auto& [name, one] : members_.Members()) {
    if (one.listed && !one.Leaving()) members.push_back({name, one.failure_domain});
  }
  return members;
}

// The oldest of the domains' latest confirmations: a domain that was cut off since then cannot
// confirm any later time.
std::optional<monotonic_time> node::DomainsConfirmed() const {
  std::optional<monotonic_time> confirmed;
  for (const std::string& domain : config_.failure_domains) {
    if (domain == config_.failure_domain) continue;
    std::optional<monotonic_time> latest;
    for (const auto& [name, one] : members_.Members()) {
      const bool has_it = one.failure_domain == domain && members_.IsUp(name) &&
                          one.status.config_version == versions_.Order().Version();
      if (has_it) latest = std::max(latest.value_or(one.last_heard), one.last_heard);
    }
    if (!latest) return std::nullopt;
    confirmed = std::min(confirmed.value_or(*latest), *latest);
  }
  return confirmed;
}

// ---- Usage of teams ------------------------------------------------------------------------

usage_view node::UsageView() const {
  return {members_.LiveNeighbours(), members_.LiveFar(), cell_capacity_};
}

// Sends and applies the usage of each team at other entries, for shares over the whole cell.
void node::PropagateUsage(monotonic_time now) {
  team_usage_map own;
  for (const auto& [number, held] : shards_) {
    for (const team_report& team : held->TeamReports()) own[team.team] += team.running;
  }
  const usage_view view = UsageView();
  usage_.SetOwn(own);
  std::vector<due_usage> due;
  usage_.Due(view, now, due);
  for (due_usage& one : due) Send(one.to, std::move(one.message), now);
  if (shards_.empty()) return;
  // The age of a report ranges from zero to one period; use the mean.
  const milliseconds age = usage_.PropagationPeriod(view) / 2;
  const team_usage_map others = usage_.Elsewhere(view);
  for (auto& [number, held] : shards_) {
    team_usage_map elsewhere = others;
    for (const auto& [team, running] : own) elsewhere[team] += running;
    for (const team_report& team : held->TeamReports()) elsewhere[team.team] -= team.running;
    for (team_index team = 0; team < teams_.Size(); ++team) {
      const std::string& name = teams_.NameOf(team);
      const auto found = elsewhere.find(name);
      const resources latest = found == elsewhere.end() ? resources{} : found->second;
      held->SetUsageElsewhere(name, latest, age, now);
    }
  }
}

}  // namespace catkinford
