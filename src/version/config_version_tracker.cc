#include "version/config_version_tracker.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

namespace catkinford {

config_version_tracker::config_version_tracker(std::chrono::milliseconds key_grace)
    : key_grace_(key_grace),
      config_(std::make_shared<configuration>()),
      ring_(std::make_shared<key_ring>(*config_)) {}

bool config_version_tracker::Offer(uint64_t version, std::string text, monotonic_time now) {
  // A late reply or a lagging peer may deliver an old version: an accepted change would disappear.
  // Versions only rise.
  if (version <= version_) return false;
  if (refused_ && refused_->version == version) return false;
  std::variant<configuration, contract_error> parsed = ParseConfiguration(text);
  if (const auto* error = std::get_if<contract_error>(&parsed)) {
    refused_ = rejected_version{version, *error};
    return false;
  }
  if (version_ != 0) last_delta_ = version_delta{version_, version, MakeDelta(text_, text)};
  version_ = version;
  text_ = std::move(text);
  config_ = std::make_shared<configuration>(std::move(std::get<configuration>(parsed)));
  ring_ = std::make_shared<key_ring>(*config_);
  refused_.reset();
  confirmed_ = now;
  return true;
}

void config_version_tracker::Confirm(uint64_t version, monotonic_time now) {
  if (version_ != 0 && version <= version_) confirmed_ = std::max(confirmed_.value_or(now), now);
}

std::optional<std::string> config_version_tracker::TextAfter(const version_delta& delta) const {
  if (version_ == 0 || delta.base != version_) return std::nullopt;
  return ApplyDelta(text_, delta.change);
}

void config_version_tracker::OnPeerVersion(std::string_view peer, uint64_t version) {
  peers_[std::string(peer)] = version;
}

void config_version_tracker::ForgetPeer(std::string_view peer) { peers_.erase(std::string(peer)); }

std::optional<std::string> config_version_tracker::NewerPeer() const {
  const std::string* newest = nullptr;
  uint64_t highest = version_;
  for (const auto& [name, version] : peers_) {
    if (version < highest || version <= version_) continue;
    if (version == highest && newest != nullptr && *newest < name) continue;
    newest = &name;
    highest = version;
  }
  if (newest == nullptr) return std::nullopt;
  return *newest;
}

propagation_report config_version_tracker::Propagation(
    uint64_t version, std::string_view own_domain,
    const std::vector<version_member>& members) const {
  std::map<std::string, bool> confirmed;
  confirmed[std::string(own_domain)] = version_ >= version;
  for (const version_member& member : members) {
    const auto peer = peers_.find(member.name);
    const bool has_it = peer != peers_.end() && peer->second >= version;
    const auto [domain, added] = confirmed.try_emplace(member.failure_domain, has_it);
    if (!added) domain->second = domain->second && has_it;
  }
  propagation_report report;
  for (const auto& [domain, all] : confirmed) {
    (all ? report.in_effect : report.pending).push_back(domain);
  }
  return report;
}

bool config_version_tracker::ConfirmedByAll(const std::vector<std::string>& other_domains,
                                            const std::vector<version_member>& reachable) const {
  return std::all_of(
      other_domains.begin(), other_domains.end(), [&](const std::string& other_domain) {
        return std::any_of(reachable.begin(), reachable.end(), [&](const version_member& member) {
          const auto peer = peers_.find(member.name);
          return member.failure_domain == other_domain && peer != peers_.end() &&
                 peer->second == version_;
        });
      });
}

bool config_version_tracker::KeysTrusted(monotonic_time now) const {
  return confirmed_ && now - *confirmed_ <= key_grace_;
}

bool IsWatcher(std::string_view own, const std::vector<std::string>& live) {
  return std::all_of(live.begin(), live.end(),
                     [own](const std::string& other) { return own < other; });
}

}  // namespace catkinford
