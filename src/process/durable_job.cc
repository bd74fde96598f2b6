#include "process/durable_job.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "connection/json_fields.h"

namespace catkinford {
namespace {

using nlohmann::json;

constexpr uint32_t kMaxTasks = 1000000;  // limits what a damaged record can make us allocate
constexpr char kEntriesField[] = ",\"entries\":[";

// Encodes task indices as [from, length, from, length, ...]: tasks of large jobs end mostly in
// order.
std::string EncodeIndexRanges(const std::vector<bool>& done) {
  std::string ranges;
  const char* separator = "";
  for (size_t i = 0; i < done.size();) {
    if (!done[i]) {
      ++i;
      continue;
    }
    const size_t from = i;
    while (i < done.size() && done[i]) ++i;
    absl::StrAppend(&ranges, separator, from, ",", i - from);
    separator = ",";
  }
  return ranges;
}

bool DecodeIndexRanges(const json& ranges, std::vector<bool>& done) {
  for (size_t i = 0; i + 1 < ranges.size(); i += 2) {
    if (!ranges[i].is_number_unsigned() || !ranges[i + 1].is_number_unsigned()) return false;
    const auto from = ranges[i].get<size_t>();
    const auto length = ranges[i + 1].get<size_t>();
    if (from > done.size() || length > done.size() - from) return false;
    std::fill_n(done.begin() + static_cast<std::ptrdiff_t>(from), length, true);
  }
  return true;
}

bool DecodeAmount(const json& amount, resources& out) {
  if (amount.size() != 4) return false;
  for (const json& item : amount) {
    if (!item.is_number_unsigned()) return false;
  }
  out = {amount[0], amount[1], amount[2], amount[3]};
  return true;
}

std::string EncodeParts(const std::vector<job_part>& parts) {
  std::string text;
  const char* separator = "";
  for (const job_part& part : parts) {
    absl::StrAppend(&text, separator, "[", Quoted(part.shard), ",", part.first, ",", part.tasks,
                    "]");
    separator = ",";
  }
  return text;
}

// False when a part names tasks that the job does not have.
bool DecodeParts(const json& list, durable_job& job) {
  for (const json& item : list) {
    const bool valid = item.is_array() && item.size() == 3 && item[0].is_string() &&
                       item[1].is_number_unsigned() && item[2].is_number_unsigned();
    if (!valid) return false;
    job_part part{item[0].get<std::string>(), item[1].get<uint32_t>(), item[2].get<uint32_t>()};
    if (part.first > job.tasks || part.tasks > job.tasks - part.first) return false;
    job.parts.push_back(std::move(part));
  }
  return true;
}

std::optional<durable_job> DecodeJob(const request_id& id, const json& object) {
  durable_job job;
  job.id = id;
  job.team = TextAt(object, "team");
  const std::optional<workload_kind> kind = ParseWorkloadKind(TextAt(object, "kind"));
  if (!kind) return std::nullopt;
  job.kind = *kind;
  job.urgent = FlagAt(object, "urgent");
  job.repeatable = FlagAt(object, "repeatable");
  job.tasks = NumberAt<uint32_t>(object, "tasks");
  if (job.tasks == 0 || job.tasks > kMaxTasks) return std::nullopt;
  job.declared_run_time = MillisecondsAt(object, "run_ms");
  job.submitted = std::chrono::system_clock::time_point{MillisecondsAt(object, "at_ms")};
  job.payload = TextAt(object, "payload");
  job.fault = TextAt(object, "fault");
  job.answer = TextAt(object, "answer");
  job.deadline = std::chrono::system_clock::time_point{MillisecondsAt(object, "deadline_ms")};
  job.done.resize(job.tasks);
  job.failed.resize(job.tasks);
  job.home = TextAt(object, "home");
  job.plan = NumberAt(object, "plan");
  const bool valid = DecodeAmount(ArrayAt(object, "each"), job.each) &&
                     DecodeIndexRanges(ArrayAt(object, "done"), job.done) &&
                     DecodeIndexRanges(ArrayAt(object, "failed"), job.failed) &&
                     DecodeParts(ArrayAt(object, "parts"), job);
  if (!valid) return std::nullopt;
  // Earlier versions wrote only the number of failed tasks.
  auto count = NumberAt<uint32_t>(object, "failed");
  for (size_t i = 0; i < job.done.size() && count > 0; ++i) {
    if (!job.done[i]) continue;
    job.failed[i] = true;
    --count;
  }
  return job;
}

std::optional<log_entry> DecodeEntry(const json& object) {
  if (!object.is_object()) return std::nullopt;
  const std::optional<request_id> id = ParseRequestId(TextAt(object, "id"));
  if (!id) return std::nullopt;
  log_entry entry;
  entry.id = *id;
  if (object.contains("over")) {
    entry.kind = log_entry_kind::kJobDone;
    return entry;
  }
  if (object.contains("index")) {
    entry.kind = log_entry_kind::kTaskDone;
    entry.index = NumberAt<uint32_t>(object, "index");
    entry.failed = FlagAt(object, "failed");
    entry.text = TextAt(object, "text");
    return entry;
  }
  std::optional<durable_job> job = DecodeJob(*id, object);
  if (!job) return std::nullopt;
  entry.job = std::move(*job);
  return entry;
}

}  // namespace

std::string EncodeJob(const durable_job& job) {
  const auto submitted = std::chrono::floor<std::chrono::milliseconds>(job.submitted);
  std::string text = absl::StrCat("{\"id\":\"", ToHex(job.id), "\",\"team\":", Quoted(job.team));
  absl::StrAppend(&text, ",\"kind\":\"", std::string(ToText(job.kind)), "\"");
  if (job.urgent) absl::StrAppend(&text, ",\"urgent\":true");
  if (job.repeatable) absl::StrAppend(&text, ",\"repeatable\":true");
  absl::StrAppend(&text, ",\"tasks\":", job.tasks, ",\"each\":[", job.each.cpu_milli, ",",
                  job.each.memory_mb, ",", job.each.accelerators, ",");
  absl::StrAppend(&text, job.each.slots, "],\"run_ms\":", job.declared_run_time.count(),
                  ",\"at_ms\":", submitted.time_since_epoch().count());
  if (const std::string failed = EncodeIndexRanges(job.failed); !failed.empty()) {
    absl::StrAppend(&text, ",\"failed\":[", failed, "]");
  }
  if (!job.fault.empty()) absl::StrAppend(&text, ",\"fault\":", Quoted(job.fault));
  if (!job.answer.empty()) absl::StrAppend(&text, ",\"answer\":", Quoted(job.answer));
  if (job.deadline != std::chrono::system_clock::time_point{}) {
    const auto deadline = std::chrono::floor<std::chrono::milliseconds>(job.deadline);
    absl::StrAppend(&text, ",\"deadline_ms\":", deadline.time_since_epoch().count());
  }
  if (!job.parts.empty()) absl::StrAppend(&text, ",\"parts\":[", EncodeParts(job.parts), "]");
  if (job.plan != 0) absl::StrAppend(&text, ",\"plan\":", job.plan);
  if (!job.home.empty()) absl::StrAppend(&text, ",\"home\":", Quoted(job.home));
  absl::StrAppend(&text, ",\"payload\":", Quoted(job.payload), ",\"done\":[",
                  EncodeIndexRanges(job.done), "]}");
  return text;
}

bool RecordTaskEnd(durable_job& job, uint32_t index, bool failed, const std::string& text) {
  if (index >= job.done.size() || job.done[index]) return false;
  job.failed.resize(job.done.size());
  job.done[index] = true;
  job.failed[index] = failed;
  if (failed && job.fault.empty()) job.fault = text;
  if (!failed && !text.empty()) job.answer = text;
  return true;
}

std::string EncodeTaskDone(const request_id& id, uint32_t index, bool failed,
                           const std::string& text) {
  return absl::StrCat("{\"id\":\"", ToHex(id), "\",\"index\":", index,
                      failed ? ",\"failed\":true" : "",
                      text.empty() ? "" : ",\"text\":" + Quoted(text), "}");
}

std::string EncodeJobDone(const request_id& id) {
  return absl::StrCat("{\"id\":\"", ToHex(id), "\",\"over\":true}");
}

std::string EncodeSegment(uint64_t epoch, const std::string& entries) {
  return absl::StrCat("{\"epoch\":", epoch, kEntriesField, entries, "]}");
}

std::optional<log_segment> DecodeSegment(const std::string& text) {
  const json object = ParseObject(text);
  if (object.is_discarded() || !object.contains("entries")) return std::nullopt;
  log_segment segment;
  segment.epoch = NumberAt(object, "epoch");
  for (const json& item : ArrayAt(object, "entries")) {
    std::optional<log_entry> entry = DecodeEntry(item);
    if (!entry) return std::nullopt;
    segment.entries.push_back(std::move(*entry));
  }
  return segment;
}

std::optional<std::string> EntriesOf(const std::string& text) {
  const size_t start = text.find(kEntriesField);
  const size_t length = sizeof(kEntriesField) - 1;
  if (start == std::string::npos || text.size() < start + length + 2) return std::nullopt;
  return text.substr(start + length, text.size() - start - length - 2);
}

}  // namespace catkinford
