// The part of an entry that knows its peers: heartbeats, who is up, the teams' use elsewhere.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/node.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStoreMembersInterval{1000};
constexpr milliseconds kReplyInterval{250};
constexpr milliseconds kUsageInterval{250};
constexpr milliseconds kLeastAgeLimit{3000};  // of what an owner says of its shards

}  // namespace

// ---- Heartbeats ----------------------------------------------------------------------------

void node::OnHeartbeat(const std::string& from, const heartbeat_message& beat, monotonic_time now) {
  if (from == config_.name) return;
  const std::vector<std::string> news = members_.OnHeartbeat(beat, now);
  if (news.empty()) return;
  FollowMembers(now);
  TakeChanges(now);
  for (const std::string& name : news) OnWord(*members_.Find(name), now);
  config_version_tracker& order = versions_.Order();
  if (const auto confirmed = DomainsConfirmed()) order.Confirm(order.Version(), *confirmed);
  if (const member* sender = members_.Find(from)) HelpLagging(*sender, now);
  CheckChanges(now);
}

// First or second hand.
void node::OnWord(const member& of, monotonic_time now) {
  if (std::exchange(notes_[of.name].incarnation, of.word.incarnation) != of.word.incarnation) {
    usage_.OnLost(of.name);  // a new process, which knows nothing
    notes_[of.name].lags_since = now;
  }
  for (const shard_report& report : of.word.shards) {
    const shard_route* route = routes_.Route(report.shard);
    const std::string before = route == nullptr ? "" : route->owner;
    routes_.OnReport(of.name, report, of.heard);
    if (route == nullptr || route->owner == before) continue;
    table_.OnNewOwner(report.shard, now);
    for (auto& [number, held] : shards_) held->OnNewOwner(report.shard, now);
  }
  if (!of.word.shards.empty()) routes_.OnRoundTrip(of.name, mailbox_.RoundTrip(of.name));
  versions_.Order().OnPeerVersion(of.name, of.word.config_version);
}

void node::OnSilent(const std::string& peer, monotonic_time now) {
  const member* one = members_.Find(peer);
  if (one == nullptr) return;
  const bool was_up = members_.IsUp(peer);
  members_.OnSilent(peer, now);
  TakeChanges(now);
  if (!was_up || one->failure_domain != config_.failure_domain) return;
  const silent_message silent{peer, one->word.incarnation, one->word.beat};
  for (const std::string& name : members_.LiveNeighbours()) Send(name, silent, now);
}

void node::OnSilent(const silent_message& silent, monotonic_time now) {
  if (members_.OnSilent(silent, now)) TakeChanges(now);
}

// What the membership has changed its mind of.
void node::TakeChanges(monotonic_time now) {
  std::vector<member_change> changes;
  members_.Tick(now, changes);
  for (const member_change& change : changes) {
    const bool up = change.state == member_state::kUp;
    if (!up && change.before != member_state::kUp) continue;  // suspect, now down
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

entry_word node::OwnWord() {
  entry_word word;
  word.name = config_.name;
  word.address = absl::StrCat("http://", config_.listen.address, ":", config_.listen.peer_port);
  word.incarnation = incarnation_;
  word.beat = ++beat_;
  word.config_version = versions_.Order().Version();
  word.leaving = shutting_down_;
  for (const auto& [number, held] : shards_) word.shards.push_back(held->Report());
  return word;
}

void node::Announce(monotonic_time now) {
  const heartbeat_message beat{config_.failure_domain, false, {OwnWord()}};
  for (const auto& [name, one] : members_.Members()) Send(name, beat, now);
}

void node::SendHeartbeats(monotonic_time now) {
  const std::vector<heartbeat_target> targets = members_.DueHeartbeats(now);
  if (targets.empty()) return;
  heartbeat_message beat = members_.Heartbeat(OwnWord(), now);
  for (const heartbeat_target& target : targets) {
    beat.wants_reply = !target.near;
    Send(target.name, beat, now);
  }
}

void node::PrepareReply(monotonic_time now) {
  heartbeat_message made = members_.Heartbeat(OwnWord(), now);
  const std::lock_guard lock(reply_mutex_);
  reply_ = std::move(made);
  reply_made_ = now;
}

// On a thread of the mailbox. The words have grown older since they were put together.
std::optional<heartbeat_message> node::Reply() {
  const monotonic_time now = std::chrono::steady_clock::now();
  const std::lock_guard lock(reply_mutex_);
  if (reply_.words.empty()) return std::nullopt;
  heartbeat_message reply = reply_;
  const auto since = std::chrono::ceil<milliseconds>(now - reply_made_);
  for (entry_word& word : reply.words) word.age += since;
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
    FollowMembers(now);
    if (turns_.HasList()) ForgetDrains(now);
    routes_.SetAgeLimits(std::max(kLeastAgeLimit, members_.NearSilence()),
                         std::max(kLeastAgeLimit, members_.FarSilence()));
  }
  TakeChanges(now);
  SendHeartbeats(now);
  if (now >= next_reply_) {
    next_reply_ = now + kReplyInterval;
    PrepareReply(now);
  }
  if (now >= next_usage_) {
    next_usage_ = now + kUsageInterval;
    ShareUsage(now);
  }
}

// A sender for each member that has an address, none for those that were forgotten. One that we
// have read of and not heard is told of us at once and asked for news: by turns that would take
// many seconds, in which nobody would know that a version is in force there.
void node::FollowMembers(monotonic_time now) {
  std::vector<std::string> strangers;
  for (const auto& [name, one] : members_.Members()) {
    if (one.address.empty()) continue;
    mailbox_.SetPeer(name, one.address);
    const bool is_new = notes_.try_emplace(name).second;
    if (is_new && one.word.incarnation == 0) strangers.push_back(name);
  }
  if (!strangers.empty()) {
    const heartbeat_message beat{config_.failure_domain, true, {OwnWord()}};
    for (const std::string& name : strangers) Send(name, beat, now);
  }
  std::erase_if(notes_, [this](const auto& item) {
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

// As old as the oldest of the domains' latest words: a domain that was cut off since then cannot
// vouch for the time after.
std::optional<monotonic_time> node::DomainsConfirmed() const {
  std::optional<monotonic_time> confirmed;
  for (const std::string& domain : config_.failure_domains) {
    if (domain == config_.failure_domain) continue;
    std::optional<monotonic_time> latest;
    for (const auto& [name, one] : members_.Members()) {
      const bool has_it = one.failure_domain == domain && members_.IsUp(name) &&
                          one.word.config_version == versions_.Order().Version();
      if (has_it) latest = std::max(latest.value_or(one.heard), one.heard);
    }
    if (!latest) return std::nullopt;
    confirmed = std::min(confirmed.value_or(*latest), *latest);
  }
  return confirmed;
}

// ---- Use of teams --------------------------------------------------------------------------

usage_view node::UsageView() const {
  return {members_.LiveNeighbours(), members_.LiveFar(), cell_capacity_};
}

// What each team runs elsewhere, for shares over the whole cell.
void node::ShareUsage(monotonic_time now) {
  team_uses own;
  for (const auto& [number, held] : shards_) {
    for (const team_report& team : held->TeamReports()) own[team.team] += team.running;
  }
  const usage_view view = UsageView();
  usage_.SetOwn(own);
  std::vector<due_usage> due;
  usage_.Due(view, now, due);
  for (due_usage& one : due) Send(one.to, std::move(one.message), now);
  if (shards_.empty()) return;
  // News grow from fresh to one period old.
  const milliseconds age = usage_.NewsPeriod(view) / 2;
  const team_uses others = usage_.Elsewhere(view);
  for (auto& [number, held] : shards_) {
    team_uses elsewhere = others;
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
