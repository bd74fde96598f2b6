// The part of an entry that knows its peers: heartbeats, the instance list, who is up.
#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/node.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A peer counts as down after this many of its heartbeats were missed. With the heartbeat of
// 250 ms inside a domain that is 1 s: short against the member lease, long against a pause.
constexpr int kMissedBeats = 4;

}  // namespace

void node::OnHeartbeat(const std::string& from, const heartbeat_message& beat, monotonic_time now) {
  if (from == config_.name) return;
  peer_state& peer = peers_[from];
  // Two processes may send under one name for a moment while one replaces the other.
  if (beat.incarnation < peer.incarnation) return;
  peer.failure_domain = beat.failure_domain;
  peer.incarnation = beat.incarnation;
  peer.config_version = beat.config_version;
  peer.leaving = beat.leaving;
  peer.heard = now;
  peer.teams = beat.teams;
  // The platform's list says how a peer is reached from here; its own word serves until then.
  if (peer.address.empty()) {
    peer.address = beat.address;
    mailbox_.SetPeer(from, beat.address);
  }
  SetPeerUp(from, peer, true, now);
  for (const shard_report& report : beat.shards) {
    const shard_route* route = routes_.Route(report.shard);
    const bool is_new = route != nullptr && route->owner != from && report.epoch >= route->epoch;
    routes_.OnReport(from, report, now);
    routes_.OnRoundTrip(from, mailbox_.RoundTrip(from));
    if (is_new) table_.OnNewOwner(report.shard, now);
  }
  version_order& order = versions_.Order();
  order.OnPeerVersion(from, beat.config_version);
  if (beat.failure_domain != config_.failure_domain && DomainsConfirm()) {
    order.Confirm(order.Version(), now);
  }
  if (beat.config_version < order.Version() && now >= peer.next_config) {
    peer.next_config = now + kConfigResend;
    Send(from, config_message{order.Version(), order.Text()}, now);
  }
  CheckChanges(now);
}

void node::SetPeerUp(const std::string& name, peer_state& peer, bool up, monotonic_time now) {
  if (peer.up == up) return;
  peer.up = up;
  log_.Emit(up ? event_code::kPeerUp : event_code::kPeerDown, now, {}, 0, name);
  if (up) {
    ownership_.OnPeerAlive(name, now);
  } else {
    ownership_.OnPeerSilent(name, now);
    routes_.OnOwnerDown(name);
    next_ownership_tick_ = now;
  }
}

void node::CheckPeers(monotonic_time now) {
  for (auto& [name, peer] : peers_) {
    const bool is_near = peer.failure_domain == config_.failure_domain;
    const milliseconds beat = is_near ? config_.timing.heartbeat : config_.timing.far_heartbeat;
    if (peer.up && now - peer.heard > kMissedBeats * beat) SetPeerUp(name, peer, false, now);
  }
}

heartbeat_message node::Heartbeat() const {
  heartbeat_message beat;
  beat.failure_domain = config_.failure_domain;
  beat.address = absl::StrCat("http://", config_.listen.address, ":", config_.listen.peer_port);
  beat.incarnation = incarnation_;
  beat.config_version = versions_.Order().Version();
  beat.leaving = shutting_down_;
  for (const auto& [number, held] : shards_) {
    beat.shards.push_back(held->Report());
    for (team_report& team : held->TeamReports()) beat.teams.push_back(std::move(team));
  }
  return beat;
}

void node::SendHeartbeats(monotonic_time now) {
  for (const auto& [number, held] : shards_) {
    routes_.OnReport(config_.name, held->Report(), now);
  }
  std::optional<heartbeat_message> beat;
  for (auto& [name, peer] : peers_) {
    if (now < peer.next_beat) continue;
    const bool is_near = peer.failure_domain == config_.failure_domain;
    peer.next_beat = now + (is_near ? config_.timing.heartbeat : config_.timing.far_heartbeat);
    if (!beat) beat = Heartbeat();
    Send(name, *beat, now);
  }
  if (beat) ShareUsage(now);
}

std::vector<std::string> node::LiveDomainPeers() const {
  std::vector<std::string> live;
  for (const auto& [name, peer] : peers_) {
    if (peer.up && !peer.leaving && peer.failure_domain == config_.failure_domain) {
      live.push_back(name);
    }
  }
  return live;
}

// Whether all other failure domains can be reached and have the version that is in force here.
bool node::DomainsConfirm() const {
  std::vector<std::string> others;
  for (const std::string& domain : config_.failure_domains) {
    if (domain != config_.failure_domain) others.push_back(domain);
  }
  std::vector<version_member> reachable;
  for (const auto& [name, peer] : peers_) {
    if (peer.up) reachable.push_back({name, peer.failure_domain});
  }
  return versions_.Order().ConfirmedByAll(others, reachable);
}

std::vector<version_member> node::VersionMembers() const {
  std::vector<version_member> members;
  for (const auto& [name, peer] : peers_) {
    if (peer.listed && !peer.leaving) members.push_back({name, peer.failure_domain});
  }
  return members;
}

void node::PollInstances(monotonic_time now) {
  if (now < next_instance_poll_) return;
  next_instance_poll_ = now + config_.timing.instance_poll;
  instances_.List([this](instance_reply reply) {
    Post([this, reply = std::move(reply)](monotonic_time at) { OnInstances(reply, at); });
  });
}

void node::OnInstances(const instance_reply& reply, monotonic_time now) {
  if (!reply.ok) return;
  has_instances_ = true;
  own_endpoints_.clear();
  endpoint_names_.clear();
  cell_capacity_ = {};
  for (auto& [name, peer] : peers_) peer.listed = false;
  for (const instance& from : reply.instances) {
    if (from.role == instance_role::kEndpoint) {
      cell_capacity_ += from.shape;
      endpoint_names_.insert(from.name);
      if (from.failure_domain == config_.failure_domain) own_endpoints_.push_back(from);
      continue;
    }
    if (from.name == config_.name) continue;
    peer_state& peer = peers_[from.name];
    peer.listed = true;
    peer.failure_domain = from.failure_domain;
    if (peer.address == from.address) continue;
    peer.address = from.address;
    mailbox_.SetPeer(from.name, from.address);
  }
  // Gone from the list and silent: replaced. A new process joins under its own name.
  for (auto at = peers_.begin(); at != peers_.end();) {
    const bool is_gone = !at->second.listed && !at->second.up;
    if (is_gone) {
      mailbox_.RemovePeer(at->first);
      versions_.Order().ForgetPeer(at->first);
    }
    at = is_gone ? peers_.erase(at) : std::next(at);
  }
  ForgetDrains(now);
  for (auto& [number, held] : shards_) {
    held->SetCellCapacity(cell_capacity_);
    GiveEndpoints(*held, now);
  }
}

}  // namespace catkinford
