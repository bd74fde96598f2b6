// The part of an entry that drains endpoints on an operator's word. The word is a change of the
// configuration like any other: it lasts, spreads, and is answered with where it is in force.
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

constexpr int kEditTries = 8;
// Domains forget one after the other, so that usually one writes and the others find it done.
constexpr milliseconds kForgetStep{5000};

}  // namespace

void node::Handle(http_server::token token, const std::string& key, const drain_call& call,
                  monotonic_time now) {
  if (!IsOperator(token, key, now)) return;
  const std::vector<std::string>& drained = versions_.Order().Config()->drained_endpoints;
  const bool is_drained = std::binary_search(drained.begin(), drained.end(), call.endpoint);
  if (!is_drained && !endpoint_names_.contains(call.endpoint)) {
    front_.Respond(token, ErrorResponse(404, "unknown_endpoint", "it is not in the instance list"));
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

// An endpoint that is gone for good leaves its name behind; a new one of that name would get no
// work, and nobody would remember why.
void node::ForgetDrains(monotonic_time now) {
  const auto& domains = config_.failure_domains;
  const auto place = std::find(domains.begin(), domains.end(), config_.failure_domain);
  const milliseconds wait =
      config_.timing.forget_drain + kForgetStep * std::distance(domains.begin(), place);
  const std::vector<std::string> gone =
      gone_.Update(versions_.Order().Config()->drained_endpoints, endpoint_names_, wait, now);
  if (gone.empty() || !IsWatcher(config_.name, members_.LiveNeighbours())) return;
  const bool under_way = std::any_of(changes_.begin(), changes_.end(),
                                     [](const auto& each) { return !each.second.token; });
  if (under_way) return;
  open_change open;
  open.by = absl::StrCat("entry:", config_.name);
  open.edit = [gone](configuration& config) {
    bool changed = false;
    for (const std::string& name : gone) changed |= UndrainEndpoint(config, name);
    return changed;
  };
  EditConfig(std::move(open), now);
}

void node::EditConfig(open_change open, monotonic_time now) {
  open.tries = kEditTries;
  open.give_up = now + GiveUpOfChange();
  const uint64_t change = next_query_++;
  changes_[change] = std::move(open);
  MakeEdit(change, now);
}

void node::MakeEdit(uint64_t change, monotonic_time now) {
  open_change& open = changes_[change];
  const config_version_tracker& order = versions_.Order();
  configuration next = *order.Config();
  if (!open.edit(next)) {
    open.version = order.Version();  // it is so already
    CheckChanges(now);
    return;
  }
  MakeChange(change, order.Version(), ToText(next), next);
}

}  // namespace catkinford
