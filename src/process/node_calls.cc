// Calls of callers and operators to an entry.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/node.h"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kRetryAfter{1000};
// Time to wait for the acceptance of a durable job. With the grace period for an owner's last
// answer it ends before the 10 s after which many callers disconnect; they would get no answer at
// all.
constexpr milliseconds kDurableAnswerTimeout{9000};
constexpr milliseconds kUnboundedTimeout{std::chrono::hours{24 * 366}};
constexpr size_t kTimelinePage = 10000;

std::string Dump(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

// The team's contract, found by name; null when the current version has none.
const team_contract* FindTeam(const configuration& config, const key_holder& holder) {
  for (const workspace_contract& workspace : config.workspaces) {
    if (workspace.name != holder.workspace) continue;
    for (const team_contract& team : workspace.teams) {
      if (team.name == holder.team) return &team;
    }
  }
  return nullptr;
}

http_response BusyResponse() {
  http_response busy = ErrorResponse(503, "busy", "the request was not processed");
  busy.retry_after = std::chrono::seconds{1};
  return busy;
}

bool Contains(const std::vector<workload_kind>& kinds, workload_kind kind) {
  return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

}  // namespace

// Runs on the HTTP thread and parses the call, so that the core thread never sees a malformed one.
void node::OnHttp(http_server::token token, http_request request) {
  const auto parsed = request.memory.Reserve(RequestJsonBytes(request.body.size()));
  if (!parsed) return front_.Respond(token, BusyResponse());
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(call, ReadCall(request, {config_.bounds.batch_jobs}));
        PostCall(token, std::move(request.bearer), std::move(call), request.memory);
        return {};
      },
      [&](const call_error& error) { front_.Respond(token, ToResponse(error)); },
      [&] { front_.Respond(token, ErrorResponse(400, "bad_call")); });
}

// The only producer that must not block: a full ring means overload and is answered at once.
void node::PostCall(http_server::token token, std::string key, caller_call call,
                    request_memory memory) {
  if (auto* submit = std::get_if<submit_call>(&call)) submit->memory = memory;
  core_task task = [this, token, key = std::move(key), call = std::move(call),
                    held = std::move(memory)](monotonic_time now) mutable {
    OnCall(token, key, std::move(call), now);
  };
  if (!ring_.TryPush(task)) front_.Respond(token, BusyResponse());
}

void node::OnCall(http_server::token token, const std::string& key, caller_call call,
                  monotonic_time now) {
  std::visit([&](auto& what) { Handle(token, key, std::move(what), now); }, call);
}

std::optional<key_holder> node::HolderOf(const std::string& key, monotonic_time now) const {
  const auto ring = versions_.Order().Ring();
  if (ring == nullptr || !versions_.Order().KeysTrusted(now)) return std::nullopt;
  return ring->Find(key);
}

bool node::RequireOperator(http_server::token token, const std::string& key, monotonic_time now) {
  const std::optional<key_holder> holder = HolderOf(key, now);
  if (holder && holder->is_operator) return true;
  front_.Respond(token, ErrorResponse(401, "unknown_key", "an operator's key is required"));
  return false;
}

// ---- Work ----------------------------------------------------------------------------------

void node::Handle(http_server::token token, const std::string& key, submit_call call,
                  monotonic_time now) {
  const std::optional<key_holder> holder = HolderOf(key, now);
  std::vector<workload_kind> kinds;
  kinds.reserve(call.jobs.size());
  for (const job_spec& job : call.jobs) kinds.push_back(job.kind);
  table_.BeginCall(token, call.is_batch, std::move(kinds), now, call.memory);
  if (!holder || holder->is_operator) {
    table_actions rejected;
    for (size_t slot = 0; slot < call.jobs.size(); ++slot) {
      table_.Settle(token, slot, RejectedOutcome({}, rejection_reason::kUnknownKey, {}, ""),
                    rejected);
    }
    ApplyTableActions(std::move(rejected), now);
    return;
  }
  for (size_t slot = 0; slot < call.jobs.size(); ++slot) {
    SubmitJob(token, slot, *holder, std::move(call.jobs[slot]), now);
  }
}

void node::SubmitJob(http_server::token token, size_t slot, const key_holder& holder, job_spec spec,
                     monotonic_time now) {
  table_entry entry;
  place_message& place = entry.place;
  entry.keyed = !spec.idempotency_key.empty();
  entry.first_ask = spec.first_ask;
  place.id = entry.keyed ? DeriveRequestId(holder.team, spec.idempotency_key) : NewRequestId();
  table_actions actions;
  const auto reject = [&](rejection_reason reason, milliseconds retry, std::string detail) {
    table_.Settle(token, slot, RejectedOutcome(place.id, reason, retry, std::move(detail)),
                  actions);
    ApplyTableActions(std::move(actions), now);
  };
  const team_contract* team = FindTeam(*versions_.Order().Config(), holder);
  if (team == nullptr || !Contains(team->kinds, spec.kind)) {
    reject(rejection_reason::kKindNotAllowed, {}, std::string(ToText(spec.kind)));
    return;
  }
  // A job with an idempotency key may already run; its caller gets the outcome from the shard that
  // knows it.
  if (shutting_down_ && !entry.keyed) {
    reject(rejection_reason::kShuttingDown, kRetryAfter, "retry at another entry");
    return;
  }
  if (table_.Pending() >= config_.bounds.waiting_requests) {
    reject(rejection_reason::kQueueFull, kRetryAfter,
           "too many requests are waiting in this entry");
    return;
  }
  const bool waits = spec.kind == workload_kind::kInteractive;
  milliseconds deadline = spec.deadline;
  if (waits && deadline.count() == 0) deadline = config_.timing.default_deadline;
  if (waits) deadline = std::min(deadline, config_.timing.max_deadline);
  place.team = holder.team;
  place.kind = spec.kind;
  place.urgent = spec.urgent && Contains(team->urgent_kinds, spec.kind);
  place.repeatable = spec.repeatable;
  place.wait = waits || spec.wait;
  place.tasks = spec.tasks;
  place.each = spec.each;
  place.run_time = spec.run_time;
  place.deadline_left = deadline;
  place.payload = std::move(spec.payload);
  entry.answer_timeout = waits ? deadline : kDurableAnswerTimeout;
  if (!waits && spec.wait)
    entry.answer_timeout = deadline.count() > 0 ? deadline : kUnboundedTimeout;
  log_.Emit(event_code::kRequestReceived, now, place.id, 0, holder.team);
  table_.Add(token, slot, std::move(entry), now, actions);
  ApplyTableActions(std::move(actions), now);
}

void node::ApplyTableActions(table_actions actions, monotonic_time now) {
  for (place_to_send& send : actions.sends) {
    log_.Emit(event_code::kRequestForwarded, now, send.place.id, 0, send.owner);
    Send(send.owner, std::move(send.place), now);
  }
  for (answered_call& answer : actions.answers) {
    CountAnswer(answer, now);
    for (const outcome& result : answer.outcomes) {
      log_.Emit(event_code::kRequestAnswered, now, result.id, 0, std::string(ToText(result.kind)),
                std::string(ToText(result.reason)));
    }
    front_.Respond(answer.token, answer.is_batch ? ToResponse(answer.outcomes)
                                                 : ToResponse(answer.outcomes.front()));
  }
}

void node::OnOutcome(const outcome& result, monotonic_time now) {
  table_actions actions;
  table_.OnOutcome(result, now, actions);
  ApplyTableActions(std::move(actions), now);
  const auto found = cancels_.find(result.id);
  if (found == cancels_.end() || result.kind == outcome_kind::kAccepted) return;
  for (const open_cancel& open : found->second) front_.Respond(open.token, ToResponse(result));
  cancels_.erase(found);
}

// ---- Operators -----------------------------------------------------------------------------

void node::Handle(http_server::token token, const std::string& key, const members_call& /*call*/,
                  monotonic_time now) {
  if (!RequireOperator(token, key, now)) return;
  json entries = json::array();
  json shards = json::array();
  const auto owned = [&](const std::string& entry) {
    json names = json::array();
    for (const auto& [name, route] : routes_.Routes()) {
      if (route.owner == entry) names.push_back(name);
    }
    return names;
  };
  entries.push_back({{"name", config_.name},
                     {"failure_domain", config_.failure_domain},
                     {"address", OwnStatus().address},
                     {"state", shutting_down_ ? "leaving" : "up"},
                     {"config_version", versions_.Order().Version()},
                     {"owns", owned(config_.name)}});
  for (const auto& [name, one] : members_.Members()) {
    const char* state = members_.IsUp(name) ? "up" : "down";
    entries.push_back({{"name", name},
                       {"failure_domain", one.failure_domain},
                       {"address", one.address},
                       {"state", one.Leaving() ? "leaving" : state},
                       {"config_version", one.status.config_version},
                       {"owns", owned(name)}});
  }
  for (const auto& [name, route] : routes_.Routes()) {
    shards.push_back({{"name", name},
                      {"owner", route.owner},
                      {"epoch", route.epoch},
                      {"endpoints", route.endpoints},
                      {"open", route.summary.open_endpoints},
                      {"running", route.summary.running_tasks},
                      {"queued", route.summary.queued_tasks}});
  }
  front_.Respond(token, {200, Dump({{"entries", std::move(entries)},
                                    {"shards", std::move(shards)},
                                    {"drained", versions_.Order().Config()->drained_endpoints}})});
}

void node::Handle(http_server::token token, const std::string& key, const timeline_call& call,
                  monotonic_time now) {
  if (!RequireOperator(token, key, now)) return;
  const auto micros = [](auto since) {
    return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
  };
  json events = json::array();
  uint64_t next = call.since;
  // Read both clocks together. `now` is as old as this round of the loop: with it, every event of
  // this process would appear some milliseconds late in the merged timeline, and an answer would
  // precede the end of its task.
  const auto wall = std::chrono::system_clock::now();
  const monotonic_time mono = steady_clock::now();
  for (const timeline_event& event : timeline_.Since(call.since, kTimelinePage)) {
    next = event.seq + 1;
    events.push_back({{"seq", event.seq},
                      {"mono_us", micros(event.at.time_since_epoch())},
                      {"code", static_cast<int>(event.code)},
                      {"name", InfoOf(event.code).name},
                      {"id", event.id == request_id{} ? "" : ToHex(event.id)},
                      {"epoch", event.epoch},
                      {"subject", event.subject},
                      {"detail", event.detail}});
  }
  front_.Respond(token, {200, Dump({{"process", config_.name},
                                    {"failure_domain", config_.failure_domain},
                                    {"mono_us", micros(mono.time_since_epoch())},
                                    {"wall_us", micros(wall.time_since_epoch())},
                                    {"next", next},
                                    {"events", std::move(events)}})});
}

void node::Handle(http_server::token token, const std::string& /*key*/, const health_call& /*call*/,
                  monotonic_time /*now*/) {
  front_.Respond(token, {200, R"({"healthy":true})"});
}

void node::Handle(http_server::token token, const std::string& /*key*/, const ready_call& /*call*/,
                  monotonic_time /*now*/) {
  const bool ready = IsReady();
  front_.Respond(token, {ready ? 200 : 503, Dump({{"ready", ready}})});
}

void node::Handle(http_server::token token, const std::string& /*key*/,
                  const metrics_call& /*call*/, monotonic_time now) {
  UpdateGauges(now);
  front_.Respond(token, {200, metrics_.Text(), "text/plain; version=0.0.4"});
}

}  // namespace catkinford
