#include "connection/endpoint_adapter.h"

#include <array>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "connection/json_fields.h"

namespace catkinford {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflictCode = 409;
constexpr int kServerFault = 500;
constexpr int kServiceUnavailable = 503;
constexpr size_t kStartTaskBytes = 320;  // reserved for one encoded task with a short payload

constexpr std::array<std::string_view, 6> kTaskResults = {
    "", "ok", "failed", "stopped", "checkpointed", "lease_lapsed"};
constexpr std::array<std::string_view, 9> kCallResults = {
    "", "started", "already", "no_room", "late", "broken", "stopping", "finished", "absent"};

// The value whose name is `text`, or the first value if there is none.
template <typename Enum, size_t N>
Enum ParseEnum(const std::array<std::string_view, N>& names, const std::string& text) {
  for (size_t i = 1; i < N; ++i) {
    if (names[i] == text) return static_cast<Enum>(i);
  }
  return static_cast<Enum>(0);
}

void AppendAmount(std::string& out, const resources& amount) {
  absl::StrAppend(&out, "\"cpu_milli\":", amount.cpu_milli, ",\"memory_mb\":", amount.memory_mb,
                  ",\"accelerators\":", amount.accelerators, ",\"slots\":", amount.slots);
}

resources ReadAmount(const json& object) {
  return {NumberAt<uint32_t>(object, "cpu_milli"), NumberAt<uint32_t>(object, "memory_mb"),
          NumberAt<uint32_t>(object, "accelerators"), NumberAt<uint32_t>(object, "slots")};
}

std::optional<task_id> ReadId(const json& object) {
  if (!object.is_object()) return std::nullopt;
  const auto found = object.find("id");
  if (found == object.end() || !found->is_string()) return std::nullopt;
  return ParseTaskId(found->get_ref<const std::string&>());
}

task_status ReadTask(const task_id& id, const json& object) {
  task_status task;
  task.id = id;
  task.finished = TextAt(object, "state") == "finished";
  task.amount = ReadAmount(object);
  task.kind = ParseWorkloadKind(TextAt(object, "kind")).value_or(workload_kind::kBatch);
  task.team = TextAt(object, "team");
  task.ran = MillisecondsAt(object, "ran_ms");
  task.result = ParseEnum<task_result>(kTaskResults, TextAt(object, "result"));
  task.answer = TextAt(object, "answer");
  return task;
}

finished_task ReadFinished(const task_id& id, const json& object) {
  finished_task task;
  task.id = id;
  task.seq = NumberAt(object, "seq");
  task.result = ParseEnum<task_result>(kTaskResults, TextAt(object, "result"));
  task.ran = MillisecondsAt(object, "ran_ms");
  task.answer = TextAt(object, "answer");
  return task;
}

task_call_result ReadCallResult(const task_id& id, const json& object) {
  return {id, ParseEnum<call_result>(kCallResults, TextAt(object, "result"))};
}

// Reads all elements of the array at `name`; false if one is unreadable. An incomplete list must
// not be accepted: a task missing from it would count as not running.
template <typename T, typename Read>
bool ReadEach(const json& body, const char* name, Read read, std::vector<T>& out) {
  const json& items = ArrayAt(body, name);
  out.reserve(items.size());
  for (const json& item : items) {
    const std::optional<task_id> id = ReadId(item);
    if (!id) return false;
    out.push_back(read(*id, item));
  }
  return true;
}

endpoint_usage ReadUsage(const json& body) {
  const auto found = body.find("usage");
  if (found == body.end() || !found->is_object()) return {};
  return {NumberAt(*found, "cpu_milli"), NumberAt(*found, "memory_mb"),
          MillisecondsAt(*found, "age_ms")};
}

bool ReadBody(const json& body, endpoint_reply& reply) {
  reply.epoch = NumberAt(body, "epoch");
  reply.incarnation = NumberAt(body, "incarnation");
  reply.cursor = NumberAt(body, "cursor");
  reply.running = NumberAt<uint32_t>(body, "running");
  reply.usage = ReadUsage(body);
  reply.leaving = FlagAt(body, "leaving");
  const auto shape = body.find("shape");
  if (shape != body.end() && shape->is_object()) reply.shape = ReadAmount(*shape);
  return ReadEach(body, "tasks", ReadTask, reply.tasks) &&
         ReadEach(body, "finished", ReadFinished, reply.finished) &&
         ReadEach(body, "results", ReadCallResult, reply.results);
}

endpoint_status StatusOf(const http_result& result) {
  if (result.status == transfer_status::kNotSent) return endpoint_status::kNotSent;
  if (result.status == transfer_status::kMaybeSent) return endpoint_status::kMaybeSent;
  if (result.code == kOk) return endpoint_status::kDone;
  if (result.code == kConflictCode) return endpoint_status::kFenced;
  // An internal error does not tell whether the call took effect before it.
  if (result.code >= kServerFault && result.code != kServiceUnavailable) {
    return endpoint_status::kMaybeSent;
  }
  return endpoint_status::kRefused;
}

}  // namespace

std::string EncodeStart(uint64_t epoch, const std::vector<start_task>& tasks) {
  std::string body;
  body.reserve(kStartTaskBytes * (tasks.size() + 1));
  absl::StrAppend(&body, "{\"epoch\":", epoch, ",\"tasks\":[");
  const char* separator = "";
  for (const start_task& task : tasks) {
    absl::StrAppend(&body, separator, "{\"id\":\"", ToText(task.id), "\",");
    AppendAmount(body, task.amount);
    absl::StrAppend(&body, ",\"lease_ms\":", task.lease.count(),
                    ",\"retain_ms\":", task.retain.count());
    if (task.not_after) absl::StrAppend(&body, ",\"not_after_ms\":", task.not_after->count());
    absl::StrAppend(&body, ",\"kind\":\"", std::string(ToText(task.kind)), "\"");
    absl::StrAppend(&body, ",\"team\":", Quoted(task.team));
    absl::StrAppend(&body, ",\"payload\":", Quoted(task.payload), "}");
    separator = ",";
  }
  body.append("]}");
  return body;
}

std::string EncodeSync(const sync_call& sync) {
  return absl::StrCat("{\"epoch\":", sync.epoch, ",\"incarnation\":", sync.incarnation,
                      ",\"cursor\":", sync.cursor, ",\"wait_ms\":", sync.wait.count(),
                      ",\"lease_ms\":", sync.lease.count(), "}");
}

endpoint_reply DecodeEndpointReply(const http_result& result) {
  endpoint_reply reply;
  reply.status = StatusOf(result);
  if (reply.status != endpoint_status::kDone && reply.status != endpoint_status::kFenced) {
    return reply;
  }
  const json body = ParseObject(result.body);
  if (!body.is_discarded() && ReadBody(body, reply)) return reply;
  reply = {};
  reply.status = endpoint_status::kMaybeSent;
  return reply;
}

endpoint_adapter::endpoint_adapter(http_client& http, std::chrono::milliseconds timeout)
    : http_(http), timeout_(timeout) {}

void endpoint_adapter::Post(const endpoint_address& address, const char* operation,
                            std::string body, std::chrono::milliseconds timeout,
                            bool fresh_connection, callback done) {
  http_call call{"POST",
                 absl::StrCat(address.base_url, "/v1/endpoints/", address.name, "/", operation),
                 std::move(body)};
  call.timeout = timeout;
  call.fresh_connection = fresh_connection;
  http_.Send(std::move(call), [done = std::move(done)](const http_result& result) {
    done(DecodeEndpointReply(result));
  });
}

void endpoint_adapter::Fence(const endpoint_address& address, uint64_t epoch, callback done) {
  Post(address, "fence", absl::StrCat("{\"epoch\":", epoch, "}"), timeout_, false, std::move(done));
}

void endpoint_adapter::List(const endpoint_address& address, callback done) {
  http_call call{"GET", absl::StrCat(address.base_url, "/v1/endpoints/", address.name, "/list")};
  call.timeout = timeout_;
  http_.Send(std::move(call), [done = std::move(done)](const http_result& result) {
    done(DecodeEndpointReply(result));
  });
}

void endpoint_adapter::Start(const endpoint_address& address, uint64_t epoch,
                             const std::vector<start_task>& tasks, callback done) {
  Post(address, "start", EncodeStart(epoch, tasks), timeout_, false, std::move(done));
}

void endpoint_adapter::Sync(const endpoint_address& address, const sync_call& sync, callback done,
                            bool fresh_connection) {
  Post(address, "sync", EncodeSync(sync), timeout_ + sync.wait, fresh_connection, std::move(done));
}

void endpoint_adapter::Stop(const endpoint_address& address, uint64_t epoch,
                            const std::vector<task_id>& ids, bool checkpoint, callback done) {
  std::string body = absl::StrCat("{\"epoch\":", epoch, ",\"ids\":[");
  const char* separator = "\"";
  for (const task_id& id : ids) {
    absl::StrAppend(&body, separator, ToText(id), "\"");
    separator = ",\"";
  }
  absl::StrAppend(&body, "],\"checkpoint\":", checkpoint ? "true" : "false", "}");
  Post(address, "stop", std::move(body), timeout_, false, std::move(done));
}

void endpoint_adapter::Throttle(const endpoint_address& address, uint64_t epoch, const task_id& id,
                                uint32_t cpu_milli, callback done) {
  std::string body = absl::StrCat("{\"epoch\":", epoch, ",\"id\":\"", ToText(id), "\"");
  absl::StrAppend(&body, ",\"cpu_milli\":", cpu_milli, "}");
  Post(address, "throttle", std::move(body), timeout_, false, std::move(done));
}

}  // namespace catkinford
