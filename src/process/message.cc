#include "process/message.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "request/bounded_json.h"

namespace catkinford {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

// Of a batch's value, beyond its texts.
constexpr size_t kMaxBatchJsonBytes = size_t{16} << 20;

// Fields are read with a default: a peer of another version may leave one out.
template <typename T>
T Read(const json& from, const char* name, T fallback = {}) {
  const auto found = from.find(name);
  if (found == from.end()) return fallback;
  if constexpr (std::is_same_v<T, std::string>) {
    return found->is_string() ? found->get<std::string>() : fallback;
  } else if constexpr (std::is_same_v<T, bool>) {
    return found->is_boolean() ? found->get<bool>() : fallback;
  } else {
    return found->is_number() ? found->get<T>() : fallback;
  }
}

milliseconds ReadMs(const json& from, const char* name) {
  return milliseconds(Read<int64_t>(from, name));
}

request_id ReadId(const json& from, const char* name) {
  return ParseRequestId(Read<std::string>(from, name)).value_or(request_id{});
}

json Encode(const resources& amount) {
  return json::array({amount.cpu_milli, amount.memory_mb, amount.accelerators, amount.slots});
}

resources DecodeResources(const json& from, const char* name) {
  const auto found = from.find(name);
  if (found == from.end() || !found->is_array() || found->size() != 4) return {};
  const auto amount = [&](size_t i) {
    return (*found)[i].is_number_unsigned() ? (*found)[i].get<uint32_t>() : 0U;
  };
  return {amount(0), amount(1), amount(2), amount(3)};
}

json Encode(const outcome& result) {
  return {{"id", ToHex(result.id)},          {"kind", ToText(result.kind)},
          {"reason", ToText(result.reason)}, {"retry", result.retry_after.count()},
          {"answer", result.answer},         {"detail", result.detail}};
}

outcome DecodeOutcome(const json& from) {
  outcome result;
  result.id = ReadId(from, "id");
  result.kind = ParseOutcomeKind(Read<std::string>(from, "kind")).value_or(outcome_kind::kUnknown);
  result.reason =
      ParseRejectionReason(Read<std::string>(from, "reason")).value_or(rejection_reason::kNone);
  result.retry_after = ReadMs(from, "retry");
  result.answer = Read<std::string>(from, "answer");
  result.detail = Read<std::string>(from, "detail");
  return result;
}

json Encode(const std::vector<job_part>& parts) {
  json list = json::array();
  for (const job_part& part : parts) {
    list.push_back(json::array({part.shard, part.first, part.tasks}));
  }
  return list;
}

std::vector<job_part> DecodeParts(const json& from) {
  std::vector<job_part> parts;
  for (const json& part : from.value("parts", json::array())) {
    const bool whole = part.is_array() && part.size() == 3 && part[0].is_string() &&
                       part[1].is_number_unsigned() && part[2].is_number_unsigned();
    if (!whole) continue;
    parts.push_back({part[0].get<std::string>(), part[1].get<uint32_t>(), part[2].get<uint32_t>()});
  }
  return parts;
}

// Arrays without field names, and only the amounts that another entry uses: with 54 entries these
// texts are most of a node's control traffic. A shard of another domain, which an entry answers for
// after an evacuation, is written with its full name.
json Encode(const shard_report& report, const std::string& failure_domain) {
  const shard_summary& summary = report.summary;
  const resources& largest = summary.largest_capacity;
  const resources& free = summary.free;
  const size_t slash = report.shard.rfind('/');
  const bool is_own = slash != std::string::npos && report.shard.substr(0, slash) == failure_domain;
  return json::array({is_own ? report.shard.substr(slash + 1) : report.shard, report.epoch,
                      report.endpoints, largest.cpu_milli, largest.memory_mb, largest.accelerators,
                      largest.slots, summary.open_endpoints, summary.queued_tasks,
                      summary.running_tasks, summary.queue_delay.count(), free.cpu_milli,
                      free.memory_mb, free.accelerators, free.slots});
}

std::optional<shard_report> DecodeReport(const json& from, const std::string& failure_domain) {
  constexpr size_t kFields = 15;
  if (!from.is_array() || from.size() != kFields || !from[0].is_string()) return std::nullopt;
  for (size_t i = 1; i < kFields; ++i) {
    if (!from[i].is_number_integer()) return std::nullopt;
  }
  shard_report report;
  report.shard = from[0].get<std::string>();
  if (report.shard.find('/') == std::string::npos) {
    report.shard = failure_domain + "/" + report.shard;
  }
  report.epoch = from[1];
  report.endpoints = from[2];
  report.summary.largest_capacity = {from[3], from[4], from[5], from[6]};
  report.summary.open_endpoints = from[7];
  report.summary.queued_tasks = from[8];
  report.summary.running_tasks = from[9];
  report.summary.queue_delay = milliseconds(from[10].get<int64_t>());
  report.summary.free = {from[11], from[12], from[13], from[14]};
  return report;
}

json Encode(const entry_status& status, const std::string& failure_domain) {
  json shards = json::array();
  for (const shard_report& report : status.shards) shards.push_back(Encode(report, failure_domain));
  const int64_t age = std::max<int64_t>(status.age.count(), 0);
  json item = json::array({status.name, status.incarnation, status.heartbeat, age,
                           status.config_version, status.leaving ? 1 : 0, std::move(shards)});
  if (!status.address.empty()) item.push_back(status.address);
  return item;
}

std::optional<entry_status> DecodeEntryStatus(const json& from, const std::string& failure_domain) {
  constexpr size_t kFields = 7;
  const bool has_address =
      from.is_array() && from.size() == kFields + 1 && from[kFields].is_string();
  const bool whole = from.is_array() && (from.size() == kFields || has_address) &&
                     from[0].is_string() && from[1].is_number_unsigned() &&
                     from[2].is_number_unsigned() && from[3].is_number_unsigned() &&
                     from[4].is_number_unsigned() && from[5].is_number_unsigned() &&
                     from[6].is_array();
  if (!whole) return std::nullopt;
  entry_status status{from[0], "",           from[1], from[2], milliseconds(from[3].get<int64_t>()),
                      from[4], from[5] != 0, {}};
  if (has_address) status.address = from[kFields];
  for (const json& item : from[6]) {
    if (auto report = DecodeReport(item, failure_domain))
      status.shards.push_back(*std::move(report));
  }
  return status;
}

json EncodeBody(const place_message& place) {
  json body = {{"type", "place"},
               {"id", ToHex(place.id)},
               {"shard", place.shard},
               {"team", place.team},
               {"kind", ToText(place.kind)},
               {"urgent", place.urgent},
               {"repeatable", place.repeatable},
               {"wait", place.wait},
               {"fresh", place.fresh},
               {"tasks", place.tasks},
               {"each", Encode(place.each)},
               {"run", place.run_time.count()},
               {"left", place.deadline_left.count()},
               {"payload", place.payload}};
  if (!place.parts.empty()) body["parts"] = Encode(place.parts);
  if (!place.home.empty()) body["home"] = place.home;
  if (place.send != 0) body["send"] = place.send;
  if (place.ask != 0) body["ask"] = place.ask;
  if (place.plan != 0) body["plan"] = place.plan;
  return body;
}

place_message DecodePlace(const json& from) {
  place_message place;
  place.id = ReadId(from, "id");
  place.shard = Read<std::string>(from, "shard");
  place.team = Read<std::string>(from, "team");
  place.kind = ParseWorkloadKind(Read<std::string>(from, "kind")).value_or(place.kind);
  place.urgent = Read<bool>(from, "urgent");
  place.repeatable = Read<bool>(from, "repeatable");
  place.wait = Read<bool>(from, "wait");
  place.fresh = Read<bool>(from, "fresh");
  place.tasks = Read<uint32_t>(from, "tasks", 1);
  place.each = DecodeResources(from, "each");
  place.run_time = ReadMs(from, "run");
  place.deadline_left = ReadMs(from, "left");
  place.payload = Read<std::string>(from, "payload");
  place.parts = DecodeParts(from);
  place.home = Read<std::string>(from, "home");
  place.send = Read<uint64_t>(from, "send");
  place.ask = Read<uint64_t>(from, "ask");
  place.plan = Read<uint64_t>(from, "plan");
  return place;
}

json EncodeBody(const outcome_message& message) {
  return {{"type", "outcome"}, {"result", Encode(message.result)}};
}

json EncodeBody(const cancel_message& cancel) {
  json body = {{"type", "cancel"}, {"id", ToHex(cancel.id)}, {"shard", cancel.shard}};
  if (!cancel.home.empty()) body["home"] = cancel.home;
  if (cancel.send != 0) body["send"] = cancel.send;
  return body;
}

cancel_message DecodeCancel(const json& from) {
  return {ReadId(from, "id"), Read<std::string>(from, "shard"), Read<std::string>(from, "home"),
          Read<uint64_t>(from, "send")};
}

json EncodeBody(const part_answer_message& answer) {
  return {{"type", "part_answer"}, {"id", ToHex(answer.id)},  {"home", answer.home},
          {"shard", answer.shard}, {"send", answer.send},     {"cancelled", answer.cancelled},
          {"ran", answer.ran},     {"failed", answer.failed}, {"result", Encode(answer.result)}};
}

part_answer_message DecodePartAnswer(const json& from) {
  part_answer_message answer;
  answer.id = ReadId(from, "id");
  answer.home = Read<std::string>(from, "home");
  answer.shard = Read<std::string>(from, "shard");
  answer.send = Read<uint64_t>(from, "send");
  answer.cancelled = Read<bool>(from, "cancelled");
  answer.ran = Read<bool>(from, "ran");
  for (const json& index : from.value("failed", json::array())) {
    if (index.is_number_unsigned()) answer.failed.push_back(index.get<uint32_t>());
  }
  answer.result = DecodeOutcome(from.value("result", json::object()));
  return answer;
}

json EncodeBody(const status_query& query) {
  return {
      {"type", "status"}, {"id", ToHex(query.id)}, {"shard", query.shard}, {"query", query.query}};
}

json EncodeBody(const status_answer& answer) {
  json body = {{"type", "status_answer"},
               {"query", answer.query},
               {"owner", answer.owner},
               {"shard", answer.shard},
               {"known", answer.known},
               {"team", answer.team},
               {"waiting", answer.progress.waiting},
               {"running", answer.progress.running},
               {"done", answer.progress.done},
               {"failed", answer.progress.failed},
               {"waits_for", answer.waits_for}};
  if (!answer.home.empty()) body["home"] = answer.home;
  if (!answer.parts.empty()) body["parts"] = Encode(answer.parts);
  if (answer.ended) body["ended"] = Encode(*answer.ended);
  return body;
}

status_answer DecodeStatusAnswer(const json& from) {
  status_answer answer;
  answer.query = Read<uint64_t>(from, "query");
  answer.owner = Read<std::string>(from, "owner");
  answer.shard = Read<std::string>(from, "shard");
  answer.home = Read<std::string>(from, "home");
  answer.parts = DecodeParts(from);
  answer.known = Read<bool>(from, "known");
  answer.team = Read<std::string>(from, "team");
  answer.progress.waiting = Read<uint32_t>(from, "waiting");
  answer.progress.running = Read<uint32_t>(from, "running");
  answer.progress.done = Read<uint32_t>(from, "done");
  answer.progress.failed = Read<uint32_t>(from, "failed");
  answer.waits_for = Read<std::string>(from, "waits_for");
  if (from.contains("ended")) answer.ended = DecodeOutcome(from["ended"]);
  return answer;
}

json EncodeBody(const heartbeat_message& heartbeat) {
  json entries = json::array();
  for (const entry_status& status : heartbeat.entries)
    entries.push_back(Encode(status, heartbeat.failure_domain));
  json body = {
      {"type", "beat"}, {"domain", heartbeat.failure_domain}, {"words", std::move(entries)}};
  if (heartbeat.wants_reply) body["reply"] = true;
  return body;
}

heartbeat_message DecodeHeartbeat(const json& from) {
  heartbeat_message heartbeat;
  heartbeat.failure_domain = Read<std::string>(from, "domain");
  heartbeat.wants_reply = Read<bool>(from, "reply");
  for (const json& item : from.value("words", json::array())) {
    if (auto status = DecodeEntryStatus(item, heartbeat.failure_domain))
      heartbeat.entries.push_back(*std::move(status));
  }
  return heartbeat;
}

json EncodeBody(const usage_message& usage) {
  json teams = json::array();
  for (const team_report& team : usage.teams) {
    const resources& running = team.running;
    teams.push_back(json::array(
        {team.team, running.cpu_milli, running.memory_mb, running.accelerators, running.slots}));
  }
  return {{"type", "usage"},
          {"incarnation", usage.incarnation},
          {"sequence", usage.sequence},
          {"whole", usage.whole},
          {"teams", std::move(teams)}};
}

usage_message DecodeUsage(const json& from) {
  usage_message usage{Read<uint64_t>(from, "incarnation"),
                      Read<uint64_t>(from, "sequence"),
                      Read<bool>(from, "whole"),
                      {}};
  for (const json& team : from.value("teams", json::array())) {
    const bool whole = team.is_array() && team.size() == 5 && team[0].is_string() &&
                       team[1].is_number_unsigned() && team[2].is_number_unsigned() &&
                       team[3].is_number_unsigned() && team[4].is_number_unsigned();
    if (whole) usage.teams.push_back({team[0], {team[1], team[2], team[3], team[4]}});
  }
  return usage;
}

json EncodeBody(const instances_message& instances) {
  json changed = json::array();
  for (const instance& one : instances.changed) {
    changed.push_back(json::array({one.name, one.role == instance_role::kEntry, one.failure_domain,
                                   one.rack, one.address, one.leaving, Encode(one.shape)}));
  }
  return {{"type", "instances"},
          {"digest", instances.digest},
          {"changed", std::move(changed)},
          {"gone", instances.gone}};
}

std::optional<instance> DecodeInstance(const json& from) {
  constexpr size_t kFields = 7;
  const bool whole = from.is_array() && from.size() == kFields && from[0].is_string() &&
                     from[1].is_boolean() && from[2].is_string() && from[3].is_string() &&
                     from[4].is_string() && from[5].is_boolean();
  if (!whole) return std::nullopt;
  const json shape = {{"shape", from[6]}};
  return instance{from[0],
                  from[1] ? instance_role::kEntry : instance_role::kEndpoint,
                  from[2],
                  from[3],
                  from[4],
                  from[5],
                  DecodeResources(shape, "shape")};
}

instances_message DecodeInstancesMessage(const json& from) {
  instances_message instances;
  instances.digest = Read<uint64_t>(from, "digest");
  for (const json& item : from.value("changed", json::array())) {
    if (auto one = DecodeInstance(item)) instances.changed.push_back(*std::move(one));
  }
  for (const json& name : from.value("gone", json::array())) {
    if (name.is_string()) instances.gone.push_back(name);
  }
  return instances;
}

json EncodeBody(const silent_message& silent) {
  return {{"type", "silent"},
          {"name", silent.name},
          {"incarnation", silent.incarnation},
          {"beat", silent.heartbeat}};
}

json EncodeBody(const config_message& config) {
  return {{"type", "config"}, {"version", config.version}, {"text", config.text}};
}

json EncodeBody(const config_step_message& message) {
  const version_delta& step = message.step;
  return {{"type", "config_step"},
          {"version", step.version},
          {"base", step.base},
          {"at", step.change.at},
          {"cut", step.change.removed_bytes},
          {"insert", step.change.inserted},
          {"tail", step.change.signature},
          {"digest", step.change.digest}};
}

config_step_message DecodeStep(const json& from) {
  version_delta step;
  step.version = Read<uint64_t>(from, "version");
  step.base = Read<uint64_t>(from, "base");
  step.change.at = Read<uint64_t>(from, "at");
  step.change.removed_bytes = Read<uint64_t>(from, "cut");
  step.change.inserted = Read<std::string>(from, "insert");
  step.change.signature = Read<std::string>(from, "tail");
  step.change.digest = Read<std::string>(from, "digest");
  return {std::move(step)};
}

json EncodeBody(const owner_query_message& ask) {
  return {{"type", "ask_owner"}, {"shard", ask.shard}};
}

json EncodeBody(const owner_answer_message& answer) {
  return {{"type", "owner_alive"}, {"shard", answer.shard}, {"holds", answer.holds}};
}

json EncodeBody(const not_owner_message& not_owner) {
  return {{"type", "not_owner"}, {"id", ToHex(not_owner.id)}, {"shard", not_owner.shard}};
}

json EncodeBody(const release_message& /*release*/) { return {{"type", "release"}}; }

std::optional<message_body> DecodeBody(const json& from) {
  const std::string type = Read<std::string>(from, "type");
  const std::string shard = Read<std::string>(from, "shard");
  if (type == "place") return DecodePlace(from);
  if (type == "outcome")
    return outcome_message{DecodeOutcome(from.value("result", json::object()))};
  if (type == "cancel") return DecodeCancel(from);
  if (type == "part_answer") return DecodePartAnswer(from);
  if (type == "status") {
    return status_query{ReadId(from, "id"), shard, Read<uint64_t>(from, "query")};
  }
  if (type == "status_answer") return DecodeStatusAnswer(from);
  if (type == "beat") return DecodeHeartbeat(from);
  if (type == "usage") return DecodeUsage(from);
  if (type == "instances") return DecodeInstancesMessage(from);
  if (type == "silent") {
    return silent_message{Read<std::string>(from, "name"), Read<uint64_t>(from, "incarnation"),
                          Read<uint64_t>(from, "beat")};
  }
  if (type == "config") {
    return config_message{Read<uint64_t>(from, "version"), Read<std::string>(from, "text")};
  }
  if (type == "config_step") return DecodeStep(from);
  const auto number = Read<uint32_t>(from, "shard");
  if (type == "ask_owner") return owner_query_message{number};
  if (type == "owner_alive") return owner_answer_message{number, Read<bool>(from, "holds")};
  if (type == "not_owner") return not_owner_message{ReadId(from, "id"), shard};
  if (type == "release") return release_message{};
  return std::nullopt;
}

}  // namespace

std::string EncodeBatch(const std::string& from, const std::vector<message_body>& batch) {
  json list = json::array();
  for (const message_body& body : batch) {
    list.push_back(std::visit([](const auto& message) { return EncodeBody(message); }, body));
  }
  // Replies of endpoints may hold any bytes; invalid UTF-8 is replaced instead of throwing.
  return json{{"from", from}, {"messages", std::move(list)}}.dump(-1, ' ', false,
                                                                  json::error_handler_t::replace);
}

std::vector<peer_message> DecodeBatch(const std::string& text) {
  std::vector<peer_message> messages;
  const json batch = ParseJson(text, false, kMaxBatchJsonBytes + 2 * text.size());
  if (!batch.is_object()) return messages;
  const std::string from = Read<std::string>(batch, "from");
  const auto list = batch.find("messages");
  if (list == batch.end() || !list->is_array()) return messages;
  for (const json& item : *list) {
    if (!item.is_object()) continue;
    if (std::optional<message_body> body = DecodeBody(item)) {
      messages.push_back({from, *std::move(body)});
    }
  }
  return messages;
}

}  // namespace catkinford
