#include "request/caller_call.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

// Bounds on the fields of one job; a value above them is rejected with the name of the field.
constexpr uint64_t kMaxTasks = 10000;
constexpr uint64_t kMaxAmount = 1U << 30;
constexpr uint64_t kMaxDurationMs = 366ULL * 24 * 3600 * 1000;
constexpr size_t kMaxKeyBytes = 256;
constexpr std::array<std::string_view, 12> kJobFields = {
    "kind",       "tasks",           "cpu_milli",   "memory_mb",   "accelerators", "urgent",
    "repeatable", "idempotency_key", "deadline_ms", "run_time_ms", "payload",      "wait"};
constexpr std::string_view kFirstAskField = "first_ask";

// Reads the fields of one object and keeps the first error.
class field_reader {
 public:
  field_reader(const json& from, std::string prefix) : from_(from), prefix_(std::move(prefix)) {}

  void Fail(const std::string& name, std::string expected) {
    if (!error_) error_ = call_error{422, "bad_field", prefix_ + name, std::move(expected)};
  }
  bool Bool(const std::string& name, bool fallback) {
    const json* field = Field(name);
    if (field == nullptr) return fallback;
    if (!field->is_boolean()) Fail(name, "true or false");
    return field->is_boolean() ? field->get<bool>() : fallback;
  }
  uint64_t Number(const std::string& name, uint64_t fallback, uint64_t low, uint64_t high) {
    const json* field = Field(name);
    if (field == nullptr) return fallback;
    const bool valid = field->is_number_unsigned() && field->get<uint64_t>() >= low &&
                       field->get<uint64_t>() <= high;
    if (!valid) Fail(name, absl::StrCat("a whole number from ", low, " to ", high));
    return valid ? field->get<uint64_t>() : fallback;
  }
  milliseconds Ms(const std::string& name) {
    return milliseconds(static_cast<int64_t>(Number(name, 0, 1, kMaxDurationMs)));
  }
  std::string Text(const std::string& name, size_t max_bytes) {
    const json* field = Field(name);
    if (field == nullptr) return {};
    const bool valid =
        field->is_string() && field->get_ref<const std::string&>().size() <= max_bytes;
    if (!valid) Fail(name, absl::StrCat("a text of at most ", max_bytes, " bytes"));
    return valid ? field->get<std::string>() : std::string();
  }
  const std::optional<call_error>& Error() const { return error_; }

 private:
  const json* Field(const std::string& name) const {
    const auto found = from_.find(name);
    return found == from_.end() ? nullptr : &*found;
  }

  const json& from_;
  std::string prefix_;
  std::optional<call_error> error_;
};

bool IsJobField(const std::string& name) {
  if (name == kFirstAskField) return true;
  for (const std::string_view known : kJobFields) {
    if (known == name) return true;
  }
  return false;
}

leaf::result<job_spec> ReadJob(const json& from, const std::string& prefix, size_t max_payload) {
  if (!from.is_object()) return leaf::new_error(call_error{422, "bad_field", prefix, "an object"});
  field_reader read(from, prefix);
  for (const auto& [name, value] : from.items()) {
    if (!IsJobField(name)) read.Fail(name, "no such field");
  }
  job_spec spec;
  const std::string kind = read.Text("kind", 32);
  const std::optional<workload_kind> parsed = ParseWorkloadKind(kind);
  if (!parsed) read.Fail("kind", "interactive, service, batch or gang");
  spec.kind = parsed.value_or(workload_kind::kInteractive);
  spec.tasks = static_cast<uint32_t>(read.Number("tasks", 1, 1, kMaxTasks));
  if (spec.kind == workload_kind::kInteractive && spec.tasks != 1) {
    read.Fail("tasks", "1 for interactive work");
  }
  if (!from.contains("cpu_milli")) read.Fail("cpu_milli", "is needed");
  if (!from.contains("memory_mb")) read.Fail("memory_mb", "is needed");
  spec.each.cpu_milli = static_cast<uint32_t>(read.Number("cpu_milli", 0, 1, kMaxAmount));
  spec.each.memory_mb = static_cast<uint32_t>(read.Number("memory_mb", 0, 1, kMaxAmount));
  spec.each.accelerators = static_cast<uint32_t>(read.Number("accelerators", 0, 0, kMaxAmount));
  spec.each.slots = 1;
  spec.urgent = read.Bool("urgent", false);
  spec.repeatable = read.Bool("repeatable", true);
  spec.wait = read.Bool("wait", false);
  spec.first_ask = read.Bool(std::string(kFirstAskField), false);
  spec.idempotency_key = read.Text("idempotency_key", kMaxKeyBytes);
  spec.deadline = read.Ms("deadline_ms");
  spec.run_time = read.Ms("run_time_ms");
  spec.payload = read.Text("payload", max_payload);
  if (read.Error()) return leaf::new_error(*read.Error());
  return spec;
}

leaf::result<caller_call> ReadSubmit(const json& body, const call_limits& limits, bool is_batch) {
  submit_call call;
  call.is_batch = is_batch;
  if (!is_batch) {
    BOOST_LEAF_AUTO(spec, ReadJob(body, "", std::string::npos));
    call.jobs.push_back(std::move(spec));
    return caller_call(std::move(call));
  }
  const auto list = body.find("jobs");
  if (list == body.end() || !list->is_array() || list->empty()) {
    return leaf::new_error(call_error{422, "bad_field", "jobs", "a list of jobs"});
  }
  if (list->size() > limits.batch_jobs) {
    return leaf::new_error(
        call_error{422, "too_many", "jobs", absl::StrCat("at most ", limits.batch_jobs)});
  }
  for (size_t i = 0; i < list->size(); ++i) {
    BOOST_LEAF_AUTO(spec, ReadJob((*list)[i], absl::StrCat("jobs[", i, "]."), std::string::npos));
    call.jobs.push_back(std::move(spec));
  }
  return caller_call(std::move(call));
}

leaf::result<caller_call> ReadPutConfig(const json& body) {
  field_reader read(body, "");
  put_config_call call;
  if (!body.contains("expect")) read.Fail("expect", "the version that was read, 0 for none");
  if (!body.contains("text")) read.Fail("text", "the document");
  call.expect = read.Number("expect", 0, 0, UINT64_MAX);
  call.text = read.Text("text", std::string::npos);
  call.dry_run = read.Bool("dry_run", false);
  if (read.Error()) return leaf::new_error(*read.Error());
  return caller_call(std::move(call));
}

// The part of `path` between `prefix` and `suffix`, empty when `path` does not have this form.
std::string Between(const std::string& path, std::string_view prefix, std::string_view suffix) {
  if (path.size() <= prefix.size() + suffix.size()) return {};
  if (path.compare(0, prefix.size(), prefix) != 0) return {};
  const size_t middle = path.size() - prefix.size() - suffix.size();
  if (path.compare(prefix.size() + middle, suffix.size(), suffix) != 0) return {};
  return path.substr(prefix.size(), middle);
}

// 0 if the query has no such field.
leaf::result<uint64_t> QueryNumber(const http_request& request, const std::string& name) {
  const std::string text = request.Query(name);
  uint64_t value = 0;
  if (!text.empty() && !absl::SimpleAtoi(text, &value)) {
    return leaf::new_error(call_error{422, "bad_field", name, "a whole number"});
  }
  return value;
}

leaf::result<caller_call> ReadGet(const http_request& request) {
  const std::string& path = request.path;
  if (path == "/healthz") return caller_call(health_call{});
  if (path == "/readyz") return caller_call(ready_call{});
  if (path == "/metrics") return caller_call(metrics_call{});
  if (path == "/v1/config") {
    if (request.Query("version").empty()) return caller_call(get_config_call{});
    BOOST_LEAF_AUTO(version, QueryNumber(request, "version"));
    if (version == 0)
      return leaf::new_error(call_error{422, "bad_field", "version", "a whole number from 1"});
    return caller_call(get_config_call{version});
  }
  if (path == "/v1/config/history") return caller_call(config_history_call{});
  if (path == "/v1/members") return caller_call(members_call{});
  if (path == "/v1/timeline") {
    BOOST_LEAF_AUTO(since, QueryNumber(request, "since"));
    return caller_call(timeline_call{since});
  }
  const std::string job = Between(path, "/v1/jobs/", "");
  if (job.empty()) return leaf::new_error(call_error{404, "unknown_path", "", path});
  const std::optional<request_id> id = ParseRequestId(job);
  if (!id) return leaf::new_error(call_error{422, "bad_field", "id", "32 hexadecimal digits"});
  BOOST_LEAF_AUTO(wait_ms, QueryNumber(request, "wait_ms"));
  const auto wait = static_cast<int64_t>(std::min(wait_ms, kMaxDurationMs));
  return caller_call(status_call{*id, milliseconds(wait)});
}

leaf::result<caller_call> ReadPost(const http_request& request, const json& body,
                                   const call_limits& limits) {
  const std::string& path = request.path;
  if (path == "/v1/jobs") return ReadSubmit(body, limits, false);
  if (path == "/v1/batch") return ReadSubmit(body, limits, true);
  field_reader read(body, "");
  const bool dry_run = read.Bool("dry_run", false);
  if (read.Error()) return leaf::new_error(*read.Error());
  const std::string endpoint = Between(path, "/v1/endpoints/", "/drain");
  if (!endpoint.empty()) return caller_call(drain_call{endpoint, false, dry_run});
  const std::string undrained = Between(path, "/v1/endpoints/", "/undrain");
  if (!undrained.empty()) return caller_call(drain_call{undrained, true, dry_run});
  const std::string domain = Between(path, "/v1/domains/", "/evacuate");
  if (!domain.empty()) return caller_call(evacuate_call{domain, dry_run});
  const std::string job = Between(path, "/v1/jobs/", "/cancel");
  if (job.empty()) return leaf::new_error(call_error{404, "unknown_path", "", path});
  const std::optional<request_id> id = ParseRequestId(job);
  if (!id) return leaf::new_error(call_error{422, "bad_field", "id", "32 hexadecimal digits"});
  return caller_call(cancel_call{*id});
}

int StatusOf(const outcome& result) {
  switch (result.kind) {
    case outcome_kind::kCompleted:
      return 200;
    case outcome_kind::kAccepted:
      return 202;
    case outcome_kind::kFailed:
      return 502;
    case outcome_kind::kUnknown:
      return 504;
    case outcome_kind::kRefused:
      break;
  }
  if (result.reason == rejection_reason::kUnknownKey) return 401;
  if (result.reason == rejection_reason::kKindNotAllowed) return 403;
  if (result.reason == rejection_reason::kCancelled) return 409;
  if (result.reason == rejection_reason::kNeverFits) return 422;
  return 503;
}

json ToJson(const outcome& result) {
  json body = {{"id", ToHex(result.id)}, {"outcome", ToText(result.kind)}};
  if (result.reason != rejection_reason::kNone) body["reason"] = ToText(result.reason);
  if (result.retry_after.count() > 0) body["retry_after_ms"] = result.retry_after.count();
  if (result.kind == outcome_kind::kCompleted) body["answer"] = result.answer;
  if (!result.detail.empty()) body["detail"] = result.detail;
  return body;
}

std::string Dump(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

leaf::result<caller_call> ReadCall(const http_request& request, const call_limits& limits) {
  if (request.method == "GET") return ReadGet(request);
  if (request.method != "POST" && request.method != "PUT") {
    return leaf::new_error(call_error{405, "wrong_method", "", request.method});
  }
  const json body = ParseRequestJson(request.body.empty() ? std::string_view("{}") : request.body);
  if (!body.is_object())
    return leaf::new_error(call_error{400, "bad_json", "", "the body must be a JSON object"});
  if (request.method == "POST") return ReadPost(request, body, limits);
  if (request.path != "/v1/config")
    return leaf::new_error(call_error{404, "unknown_path", "", request.path});
  return ReadPutConfig(body);
}

http_response ToResponse(const call_error& error) {
  json body = {{"error", error.error}};
  if (!error.path.empty()) body["path"] = error.path;
  if (!error.detail.empty()) body["detail"] = error.detail;
  return {error.status, Dump(body)};
}

http_response ToResponse(const outcome& result) {
  http_response response{StatusOf(result), Dump(ToJson(result))};
  if (result.kind == outcome_kind::kRefused && result.retry_after.count() > 0) {
    response.retry_after = std::chrono::ceil<std::chrono::seconds>(result.retry_after);
  }
  return response;
}

http_response ToResponse(const std::vector<outcome>& results) {
  json list = json::array();
  for (const outcome& result : results) list.push_back(ToJson(result));
  return {200, Dump({{"outcomes", std::move(list)}})};
}

http_response ErrorResponse(int status, const std::string& code, const std::string& detail) {
  return ToResponse(call_error{status, code, "", detail});
}

}  // namespace catkinford
