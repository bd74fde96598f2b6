// Configuration changes, and where a version is in effect.
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

// Time an operator waits for the last failure domain before it is listed as pending.
constexpr milliseconds kInEffectWait{2000};

// Time before a version is sent again to a peer that still has an older one.
constexpr milliseconds kConfigResendInterval{500};
constexpr milliseconds kWatcherResendDelay{1000};
constexpr milliseconds kOtherResendDelay{3000};
// Store calls for one change, including the write of the past version and the retry after a lost
// reply.
constexpr int kStoreCallsPerChange = 8;

std::string Dump(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_response ContractResponse(const contract_error& error) {
  return {422, Dump({{"error", "contract"},
                     {"fault", ToText(error.fault)},
                     {"path", error.path},
                     {"value", error.value}})};
}

int64_t WallMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(since).count();
}

std::vector<std::string> WarningTexts(const configuration& current, const configuration& next) {
  std::vector<std::string> texts;
  for (const contract_warning& warning : WarningsOf(current, next, {})) {
    texts.push_back(ToText(warning));
  }
  return texts;
}

http_response ConflictResponse(uint64_t version, const std::string& text) {
  return {409,
          Dump({{"error", "conflict"}, {"version", version}, {"text", WithoutSignature(text)}})};
}

http_response ConfigResponse(uint64_t version, const std::string& text) {
  return {200, Dump({{"version", version}, {"text", WithoutSignature(text)}})};
}

}  // namespace

// A new version is in effect here; shards apply it at once. Only the entry that made the change
// sends it to all peers; the others only resend it to lagging peers. When every entry that read the
// version from the store passed it on as well, a change was sent 16 times where 5 were enough
// (catkinford-bench spread).
void node::OnVersion(version_origin origin, monotonic_time now) {
  const config_version_tracker& order = versions_.Order();
  for (auto& [number, held] : shards_) held->SetConfiguration(*order.Config(), now);
  for (const auto& [name, other] : members_.Members()) {
    if (other.status.config_version >= order.Version()) continue;
    peer_state& state = peer_states_[name];
    state.lagging_since = now;
    if (origin == version_origin::kOwnChange) {
      SendVersion(other, std::max(other.status.config_version, state.config_sent), now);
    }
  }
  log_.Emit(event_code::kVersionInForce, now, {}, 0, absl::StrCat(order.Version()));
}

// A step based on a version other than ours is ignored; our heartbeat shows that we lag.
void node::OnVersionStep(const version_delta& step, monotonic_time now) {
  const std::optional<std::string> text = versions_.Order().TextAfter(step);
  if (text) versions_.Offer(step.version, *text, version_origin::kPeer, now);
}

void node::ConfirmVersion(const std::string& to, monotonic_time now) {
  Send(to, heartbeat_message{config_.failure_domain, false, {OwnStatus()}}, now);
}

void node::SendVersion(const member& to, uint64_t known, monotonic_time now) {
  const config_version_tracker& order = versions_.Order();
  peer_state& state = peer_states_[to.name];
  state.next_config_send = now + kConfigResendInterval;
  state.config_sent = order.Version();
  if (order.LastDelta() && order.LastDelta()->base == known) {
    Send(to.name, config_step_message{*order.LastDelta()}, now);
  } else {
    Send(to.name, config_message{order.Version(), order.Text()}, now);
  }
}

void node::ResendToLagging(const member& other, monotonic_time now) {
  if (other.status.config_version >= versions_.Order().Version()) return;
  const peer_state& state = peer_states_[other.name];
  if (now < state.next_config_send || now < state.lagging_since + ResendDelay(other)) return;
  SendVersion(other, other.status.config_version, now);
}

// A lagging peer is updated by its own failure domain, and by others only when that fails: sent by
// all at once, a replaced entry of a large fleet would receive the document 53 times.
milliseconds node::ResendDelay(const member& other) const {
  if (other.failure_domain == config_.failure_domain) {
    return other.status.config_version == 0 ? milliseconds{0} : kConfigResendInterval;
  }
  return IsWatcher(config_.name, members_.LiveNeighbours()) ? kWatcherResendDelay
                                                            : kOtherResendDelay;
}

void node::Handle(http_server::token token, const std::string& key, const get_config_call& call,
                  monotonic_time now) {
  if (!RequireOperator(token, key, now)) return;
  const config_version_tracker& order = versions_.Order();
  if (call.version == 0) {
    front_.Respond(token, ConfigResponse(order.Version(), order.Text()));
    return;
  }
  versions_.TextOf(
      call.version,
      [this, token, version = call.version](store_status status, const std::string& text,
                                            monotonic_time /*at*/) {
        if (status == store_status::kDone) {
          front_.Respond(token, ConfigResponse(version, text));
        } else if (status == store_status::kAbsent) {
          front_.Respond(token,
                         ErrorResponse(404, "unknown_version", "the version is no longer stored"));
        } else {
          front_.Respond(token, ErrorResponse(503, "store_unavailable"));
        }
      },
      now);
}

void node::Handle(http_server::token token, const std::string& key, const put_config_call& call,
                  monotonic_time now) {
  if (!RequireOperator(token, key, now)) return;
  const auto parsed = ParseConfiguration(call.text);
  if (const auto* error = std::get_if<contract_error>(&parsed)) {
    front_.Respond(token, ContractResponse(*error));
    return;
  }
  const config_version_tracker& order = versions_.Order();
  std::vector<std::string> warnings =
      WarningTexts(*order.Config(), std::get<configuration>(parsed));
  if (call.dry_run) {
    if (call.expect != order.Version()) {
      front_.Respond(token, ConflictResponse(order.Version(), order.Text()));
      return;
    }
    const propagation_report report =
        order.Propagation(order.Version(), config_.failure_domain, VersionMembers());
    front_.Respond(token, {200, Dump({{"version", order.Version()},
                                      {"dry_run", true},
                                      {"in_force", report.in_effect},
                                      {"pending", report.pending},
                                      {"warnings", warnings}})});
    return;
  }
  const uint64_t change = next_query_++;
  open_change& open = changes_[change];
  open.token = token;
  open.deadline = now + ChangeTimeout();
  open.warnings = std::move(warnings);
  open.by = HolderOf(key, now).value_or(key_holder{}).key_name;
  SubmitChange(change, call.expect, call.text, std::get<configuration>(parsed));
}

milliseconds node::ChangeTimeout() const {
  return kInEffectWait + config_.timing.call_timeout * kStoreCallsPerChange;
}

void node::SubmitChange(uint64_t change, uint64_t expect, const std::string& text,
                        const configuration& next) {
  const config_signature signature{ToHex(NewRequestId()), changes_[change].by,
                                   milliseconds(WallMs()),
                                   SummarizeChanges(*versions_.Order().Config(), next)};
  versions_.Change(expect, text, signature,
                   [this, change](const change_result& result, monotonic_time at) {
                     OnChanged(change, result, at);
                   });
}

void node::OnChanged(uint64_t change, const change_result& result, monotonic_time now) {
  const auto found = changes_.find(change);
  if (found == changes_.end()) return;
  open_change& open = found->second;
  if (result.end == change_outcome::kDone) {
    open.version = result.version;
    open.deadline = now + kInEffectWait;
    CheckChanges(now);
    return;
  }
  // An entry's own edits commute with changes of operators and are idempotent.
  const bool may_be_lost =
      result.end == change_outcome::kConflict || result.end == change_outcome::kUnknown;
  if (open.edit && may_be_lost && --open.attempts_left > 0) {
    SubmitEdit(change, now);
    return;
  }
  http_response response;
  if (result.end == change_outcome::kConflict) {
    response = ConflictResponse(result.version, result.text);
  } else if (result.end == change_outcome::kUnavailable) {
    response = ErrorResponse(503, "store_unavailable", "the configuration was not changed");
  } else {
    response = ErrorResponse(504, "unknown", "the change may have been accepted; read it back");
  }
  Respond(open, std::move(response));
  changes_.erase(found);
}

void node::Respond(const open_change& open, http_response response) {
  if (open.token) front_.Respond(*open.token, std::move(response));
}

void node::CheckChanges(monotonic_time now) {
  for (auto at = changes_.begin(); at != changes_.end();) {
    const open_change& open = at->second;
    bool done = now >= open.deadline;
    propagation_report report;
    if (open.version > 0) {
      report =
          versions_.Order().Propagation(open.version, config_.failure_domain, VersionMembers());
      done |= report.pending.empty();
    }
    if (!done) {
      ++at;
      continue;
    }
    if (open.version > 0) {
      Respond(open, {200, Dump({{"version", open.version},
                                {"in_force", report.in_effect},
                                {"pending", report.pending},
                                {"warnings", open.warnings}})});
    } else {
      Respond(open, ErrorResponse(504, "unknown", "the store did not answer"));
    }
    at = changes_.erase(at);
  }
}

void node::Handle(http_server::token token, const std::string& key,
                  const config_history_call& /*call*/, monotonic_time now) {
  if (!RequireOperator(token, key, now)) return;
  versions_.History(
      [this, token](std::optional<std::vector<past_version>> versions, monotonic_time /*at*/) {
        if (!versions) {
          front_.Respond(token, ErrorResponse(503, "store_unavailable"));
          return;
        }
        json list = json::array();
        for (const past_version& past : *versions) {
          list.push_back({{"version", past.version},
                          {"at_ms", past.changed_at.count()},
                          {"by", past.by},
                          {"what", past.summary}});
        }
        front_.Respond(token, {200, Dump({{"versions", std::move(list)}})});
      });
}

}  // namespace catkinford
