// Drains endpoints on request of an operator. A drain is a configuration change like any other: it
// is durable, propagated, and answered with the domains where it is in effect.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/node.h"
#include "version/contract_edit.h"

namespace catkinford {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kEditAttempts = 8;
// Delay between failure domains when they remove stale drains, so that usually one writes and the
// others find it done.
constexpr milliseconds kRemoveDrainsStagger{5000};

}  // namespace

void node::Handle(http_server::token token, const std::string& key, const drain_call& call,
                  monotonic_time now) {
  if (!RequireOperator(token, key, now)) return;
  const std::vector<std::string>& drained = versions_.Order().Config()->drained_endpoints;
  const bool is_drained = std::binary_search(drained.begin(), drained.end(), call.endpoint);
  if (!is_drained && !endpoint_names_.contains(call.endpoint)) {
    front_.Respond(token, ErrorResponse(404, "unknown_endpoint", "not in the instance list"));
    return;
  }
  if (!call.dry_run) {
    SetDrained(token, key, call, now);
    return;
  }
  json body = {{"endpoint", call.endpoint},
               {"dry_run", true},
               {"drained", is_drained},
               {"version", versions_.Order().Version()}};
  for (const auto& [number, held] : shards_) {
    if (held->Has(call.endpoint)) body["running"] = held->RunningAt(call.endpoint);
  }
  front_.Respond(token, {200, body.dump(-1, ' ', false, json::error_handler_t::replace)});
}

void node::SetDrained(http_server::token token, const std::string& key, const drain_call& call,
                      monotonic_time now) {
  open_change open;
  open.token = token;
  open.by = HolderOf(key, now).value_or(key_holder{}).key_name;
  open.edit = [call](configuration& config) {
    return call.undo ? UndrainEndpoint(config, call.endpoint)
                     : DrainEndpoint(config, call.endpoint);
  };
  EditConfig(std::move(open), now);
}

// Removes drains of endpoints that left the instance list. Otherwise a new endpoint with the same
// name would get no work for no visible reason.
void node::RemoveStaleDrains(monotonic_time now) {
  const auto& domains = config_.failure_domains;
  const auto domain_index = std::find(domains.begin(), domains.end(), config_.failure_domain);
  const milliseconds wait = config_.timing.forget_drain +
                            kRemoveDrainsStagger * std::distance(domains.begin(), domain_index);
  const std::vector<std::string> removed = removed_endpoints_.Update(
      versions_.Order().Config()->drained_endpoints, endpoint_names_, wait, now);
  if (removed.empty() || !IsWatcher(config_.name, members_.LiveNeighbours())) return;
  const bool in_flight = std::any_of(changes_.begin(), changes_.end(),
                                     [](const auto& each) { return !each.second.token; });
  if (in_flight) return;
  open_change open;
  open.by = absl::StrCat("entry:", config_.name);
  open.edit = [removed](configuration& config) {
    bool changed = false;
    for (const std::string& name : removed) changed |= UndrainEndpoint(config, name);
    return changed;
  };
  EditConfig(std::move(open), now);
}

void node::EditConfig(open_change open, monotonic_time now) {
  open.attempts_left = kEditAttempts;
  open.deadline = now + ChangeTimeout();
  const uint64_t change = next_query_++;
  changes_[change] = std::move(open);
  SubmitEdit(change, now);
}

void node::SubmitEdit(uint64_t change, monotonic_time now) {
  open_change& open = changes_[change];
  const config_version_tracker& order = versions_.Order();
  configuration next = *order.Config();
  if (!open.edit(next)) {
    open.version = order.Version();  // already in the requested state
    CheckChanges(now);
    return;
  }
  SubmitChange(change, order.Version(), ToText(next), next);
}

}  // namespace catkinford
