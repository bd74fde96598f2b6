#include <algorithm>
#include <chrono>
#include <string>

#include "absl/strings/str_cat.h"
#include "process/commands.h"
#include "request/bounded_json.h"
#include "request/identity.h"
#include "request/outcome.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longest wait of one call at the entry; a longer wait uses several calls.
constexpr milliseconds kMaxWaitPerCall{10000};

exit_code CodeOf(const json& outcome) {
  if (TextField(outcome, "reason") == ToText(rejection_reason::kUnknownKey)) {
    return exit_code::kUnauthorized;
  }
  const std::optional<outcome_kind> kind = ParseOutcomeKind(TextField(outcome, "outcome"));
  if (!kind) return exit_code::kUnknown;
  switch (*kind) {
    case outcome_kind::kCompleted:
    case outcome_kind::kAccepted:
      return exit_code::kDone;
    case outcome_kind::kRefused:
      return exit_code::kRefused;
    case outcome_kind::kFailed:
      return exit_code::kFailed;
    case outcome_kind::kUnknown:
      return exit_code::kUnknown;
  }
  return exit_code::kUnknown;
}

// Prints an outcome and returns its exit code.
exit_code ShowOutcome(command_context& context, const json& outcome) {
  const std::string kind = TextField(outcome, "outcome");
  if (context.options.json) {
    context.out << outcome.dump() << "\n";
    return CodeOf(outcome);
  }
  context.out << TextField(outcome, "id") << " " << kind;
  const std::string reason = TextField(outcome, "reason");
  if (!reason.empty() && reason != "none") context.out << " " << reason;
  const uint64_t retry_after = NumberField(outcome, "retry_after_ms");
  if (retry_after != 0) context.out << " retry_after=" << retry_after << "ms";
  for (const char* field : {"detail", "answer"}) {
    const std::string text = TextField(outcome, field);
    if (!text.empty()) context.out << " " << text;
  }
  context.out << "\n";
  return CodeOf(outcome);
}

json JobBody(workload_kind kind, const job_options& job) {
  json body = {{"kind", std::string(ToText(kind))},     {"tasks", job.tasks},
               {"cpu_milli", job.each.cpu_milli},       {"memory_mb", job.each.memory_mb},
               {"accelerators", job.each.accelerators}, {"urgent", job.urgent},
               {"repeatable", job.repeatable},          {"wait", job.wait}};
  // Generated if absent: only then may a call whose answer was lost be retried.
  body["idempotency_key"] =
      job.idempotency_key.empty() ? ToHex(NewRequestId()) : job.idempotency_key;
  if (job.deadline.count() > 0) body["deadline_ms"] = job.deadline.count();
  if (job.run_time.count() > 0) body["run_time_ms"] = job.run_time.count();
  if (!job.payload.empty()) body["payload"] = job.payload;
  return body;
}

int SubmitFile(command_context& context, const std::string& name) {
  const std::optional<std::string> text = ReadFile(context, name);
  if (!text) return static_cast<int>(exit_code::kUsage);
  json document = ParseJson(*text, true);
  if (!document.is_object() || !document.contains("jobs") || !document["jobs"].is_array()) {
    context.err << "catkinford: " << name << " is not {\"jobs\":[...]}\n";
    return static_cast<int>(exit_code::kUsage);
  }
  for (json& job : document["jobs"]) {
    if (job.is_object() && !job.contains("idempotency_key")) {
      job["idempotency_key"] = ToHex(NewRequestId());
    }
  }
  const entry_answer answer = CallEntry(context, "POST", "/v1/batch", document.dump());
  if (!answer.body.is_object() || !answer.body.contains("outcomes")) {
    return static_cast<int>(PrintFailure(context, answer));
  }
  exit_code worst = exit_code::kDone;
  for (const json& outcome : answer.body["outcomes"]) {
    worst = std::max(worst, ShowOutcome(context, outcome));
  }
  return static_cast<int>(worst);
}

int ShowAnswer(command_context& context, const entry_answer& answer) {
  const bool has_outcome = answer.body.is_object() && answer.body.contains("outcome");
  const exit_code code =
      has_outcome ? ShowOutcome(context, answer.body) : PrintFailure(context, answer);
  return static_cast<int>(code);
}

std::string TaskCounts(const json& status) {
  const auto tasks = status.find("tasks");
  if (tasks == status.end()) return {};
  std::string text;
  for (const char* state : {"waiting", "running", "done", "failed"}) {
    absl::StrAppend(&text, " ", state, "=", NumberField(*tasks, state));
  }
  return text;
}

// Prints progress on one line that is overwritten; prints nothing without a terminal.
void ShowProgress(command_context& context, const json& status) {
  if (!context.options.terminal) return;
  context.err << "\r" << TextField(status, "state") << TaskCounts(status) << "   " << std::flush;
}

void ShowStatus(command_context& context, const json& status) {
  if (context.options.json) {
    context.out << status.dump() << "\n";
    return;
  }
  context.out << TextField(status, "id") << " " << TextField(status, "state") << TaskCounts(status);
  const std::string waits_for = TextField(status, "waits_for");
  if (!waits_for.empty()) context.out << " waits for: " << waits_for;
  context.out << "\n";
}

// Checked locally: an entry may not be reachable, and the check would cost its time.
bool IsId(command_context& context, const std::string& argument) {
  if (ParseRequestId(argument)) return true;
  context.err << "catkinford: " << argument << " is not a job id: 32 hexadecimal digits expected\n";
  return false;
}

}  // namespace

int RunSubmit(command_context& context, const command_arguments& arguments) {
  const std::optional<workload_kind> kind = ParseWorkloadKind(arguments[0]);
  if (!kind) {
    const int code = SubmitFile(context, arguments[0]);
    if (code == static_cast<int>(exit_code::kUsage) &&
        arguments[0].find('.') == std::string::npos) {
      context.err << "catkinford: kinds are interactive, service, batch and gang\n";
    }
    return code;
  }
  const std::string body = JobBody(*kind, context.options.job).dump();
  return ShowAnswer(context, CallEntry(context, "POST", "/v1/jobs", body));
}

int RunStatus(command_context& context, const command_arguments& arguments) {
  if (!IsId(context, arguments[0])) return static_cast<int>(exit_code::kUsage);
  const entry_answer answer = CallEntry(context, "GET", "/v1/jobs/" + arguments[0], "");
  if (!answer.IsGood()) return static_cast<int>(PrintFailure(context, answer));
  ShowStatus(context, answer.body);
  return static_cast<int>(exit_code::kDone);
}

int RunCancel(command_context& context, const command_arguments& arguments) {
  if (!IsId(context, arguments[0])) return static_cast<int>(exit_code::kUsage);
  return ShowAnswer(context,
                    CallEntry(context, "POST", "/v1/jobs/" + arguments[0] + "/cancel", ""));
}

int RunWait(command_context& context, const command_arguments& arguments) {
  if (!IsId(context, arguments[0])) return static_cast<int>(exit_code::kUsage);
  const auto end = steady_clock::now() + context.options.wait_limit;
  while (true) {
    const auto left = std::chrono::ceil<milliseconds>(end - steady_clock::now());
    const milliseconds wait = std::clamp(left, milliseconds{0}, kMaxWaitPerCall);
    const std::string path = absl::StrCat("/v1/jobs/", arguments[0], "?wait_ms=", wait.count());
    const entry_answer answer = CallEntry(context, "GET", path, "");
    if (!answer.IsGood()) return static_cast<int>(PrintFailure(context, answer));
    if (TextField(answer.body, "state") == "finished") {
      if (context.options.terminal) context.err << "\n";
      const auto outcome = answer.body.find("outcome");
      if (outcome != answer.body.end() && outcome->is_object()) {
        return static_cast<int>(ShowOutcome(context, *outcome));
      }
      ShowStatus(context, answer.body);
      return static_cast<int>(exit_code::kDone);
    }
    ShowProgress(context, answer.body);
    if (steady_clock::now() >= end) {
      ShowStatus(context, answer.body);
      return static_cast<int>(exit_code::kUnknown);
    }
  }
}

}  // namespace catkinford
