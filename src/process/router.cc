#include "process/router.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {

using std::chrono::milliseconds;

std::string ShardName(const std::string& failure_domain, uint32_t number) {
  return absl::StrCat(failure_domain, "/", number);
}

router::router(router_options options) : options_(std::move(options)) {
  for (const std::string& domain : options_.failure_domains) {
    for (uint32_t i = 0; i < options_.shards_per_domain; ++i) {
      shard_route route;
      route.failure_domain = domain;
      names_.push_back(ShardName(domain, i));
      routes_.emplace(names_.back(), std::move(route));
    }
  }
}

void router::OnReport(const std::string& owner, const shard_report& report, monotonic_time at) {
  const auto found = routes_.find(report.shard);
  if (found == routes_.end()) return;
  shard_route& route = found->second;
  const bool is_disowned = report.epoch <= route.disowned_epoch && at <= route.disowned_at;
  if (report.epoch < route.epoch || is_disowned) return;
  route.owner = owner;
  route.epoch = report.epoch;
  route.summary = report.summary;
  route.endpoints = report.endpoints;
  route.last_report = std::max(route.last_report, at);
}

void router::SetAgeLimits(milliseconds near, milliseconds far) {
  options_.near_age_limit = near;
  options_.far_age_limit = far;
}

void router::OnRoundTrip(const std::string& owner, std::chrono::microseconds round_trip) {
  for (auto& [name, route] : routes_) {
    if (route.owner == owner) route.round_trip = std::chrono::ceil<milliseconds>(round_trip);
  }
}

void router::OnOwnerDown(const std::string& owner) {
  for (auto& [name, route] : routes_) {
    if (route.owner == owner) route.owner.clear();
  }
}

void router::OnNotOwner(const std::string& owner, const std::string& shard, monotonic_time now) {
  const auto found = routes_.find(shard);
  if (found == routes_.end() || found->second.owner != owner) return;
  found->second.owner.clear();
  found->second.disowned_epoch = found->second.epoch;
  found->second.disowned_at = now;
}

const std::string& router::Home(const request_id& id) const {
  size_t best = 0;
  request_id highest;
  const std::string text = ToHex(id);
  for (size_t i = 0; i < names_.size(); ++i) {
    const request_id weight = DeriveRequestId(names_[i], text);
    if (i > 0 && weight < highest) continue;
    highest = weight;
    best = i;
  }
  return names_[best];
}

bool router::IsLive(const shard_route& route, monotonic_time now) const {
  const bool is_near = route.failure_domain == options_.failure_domain;
  const milliseconds limit = is_near ? options_.near_age_limit : options_.far_age_limit;
  return !route.owner.empty() && now - route.last_report <= limit;
}

milliseconds router::Cost(const shard_route& route) const {
  const milliseconds wait = route.summary.queue_delay;
  if (route.failure_domain == options_.failure_domain) return wait;
  return wait + std::max(options_.far_penalty, route.round_trip);
}

const std::string* router::Choose(const resources& each, uint64_t seed, monotonic_time now) const {
  std::vector<const std::string*> able;
  std::vector<const std::string*> live;
  for (const std::string& name : names_) {
    const shard_route& route = routes_.at(name);
    if (!IsLive(route, now)) continue;
    live.push_back(&name);
    if (Fits(each, route.summary.largest_capacity)) able.push_back(&name);
  }
  // If no shard is known to hold it, any owner will reject it with the reason.
  const std::vector<const std::string*>& from = able.empty() ? live : able;
  if (from.empty()) return nullptr;
  const std::string* best = from[seed % from.size()];
  const std::string* second = from[(seed / from.size()) % from.size()];
  if (Cost(routes_.at(*second)) < Cost(routes_.at(*best))) best = second;
  for (const std::string* name : from) {
    const shard_route& route = routes_.at(*name);
    if (route.failure_domain != options_.failure_domain) continue;
    if (Cost(route) < Cost(routes_.at(*best))) best = name;
  }
  return best;
}

bool router::AllDomainsReported() const {
  return std::all_of(options_.failure_domains.begin(), options_.failure_domains.end(),
                     [&](const std::string& domain) {
                       return std::any_of(routes_.begin(), routes_.end(), [&](const auto& route) {
                         return route.second.failure_domain == domain &&
                                route.second.last_report != monotonic_time{};
                       });
                     });
}

const shard_route* router::Route(const std::string& shard) const {
  const auto found = routes_.find(shard);
  return found == routes_.end() ? nullptr : &found->second;
}

std::optional<std::string> router::OwnerOf(const std::string& shard, monotonic_time now) const {
  const shard_route* route = Route(shard);
  if (route == nullptr || !IsLive(*route, now)) return std::nullopt;
  return route->owner;
}

std::vector<std::string> router::ShardsOfDomain(const std::string& failure_domain) const {
  std::vector<std::string> shards;
  for (const auto& [name, route] : routes_) {
    if (route.failure_domain == failure_domain) shards.push_back(name);
  }
  return shards;
}

}  // namespace catkinford
