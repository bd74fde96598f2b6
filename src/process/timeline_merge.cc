#include "process/timeline_merge.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"
#include "process/events.h"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::microseconds;

std::string TextOf(const json& object, const char* field) {
  const auto found = object.find(field);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

int64_t NumberOf(const json& object, const char* field) {
  const auto found = object.find(field);
  return found != object.end() && found->is_number_integer() ? found->get<int64_t>() : 0;
}

merged_event EventFrom(const json& value, size_t process, microseconds mono_to_wall) {
  merged_event event;
  event.wall = mono_to_wall + microseconds(NumberOf(value, "mono_us"));
  event.process = process;
  event.seq = static_cast<uint64_t>(NumberOf(value, "seq"));
  event.code = static_cast<uint32_t>(NumberOf(value, "code"));
  event.name = TextOf(value, "name");
  event.id = TextOf(value, "id");
  if (event.id.find_first_not_of('0') == std::string::npos) event.id.clear();
  event.epoch = static_cast<uint64_t>(NumberOf(value, "epoch"));
  event.subject = TextOf(value, "subject");
  event.detail = TextOf(value, "detail");
  return event;
}

// Chrome trace phase: "b" and "e" begin and end the span of a request, "i" is an instant.
const char* PhaseOf(const merged_event& event) {
  if (event.id.empty()) return "i";
  if (event.code == static_cast<uint32_t>(event_code::kRequestReceived)) return "b";
  if (event.code == static_cast<uint32_t>(event_code::kRequestAnswered)) return "e";
  return "n";  // an instant inside the span of its request
}

json TraceEvent(const merged_event& event) {
  const std::string phase = PhaseOf(event);
  json trace = {{"ph", phase},
                {"ts", event.wall.count()},
                {"pid", event.process + 1},
                {"tid", 0},
                {"args",
                 {{"code", event.code},
                  {"event", event.name},
                  {"epoch", event.epoch},
                  {"subject", event.subject},
                  {"detail", event.detail},
                  {"id", event.id}}}};
  // Viewers match the begin and end of a span by category, id and name.
  const bool is_end_point = phase == "b" || phase == "e";
  trace["name"] = is_end_point ? "request" : event.name;
  if (phase == "i") {
    trace["s"] = "p";
  } else {
    trace["cat"] = "request";
    trace["id"] = event.id;
  }
  return trace;
}

std::string FormatEvent(const merged_event& event, const timeline_process& process) {
  const std::string time = absl::FormatTime(
      "%Y-%m-%d %H:%M:%E6S", absl::FromUnixMicros(event.wall.count()), absl::UTCTimeZone());
  std::string line = absl::StrCat(time, " ", process.name, " (", process.failure_domain, ") ",
                                  event.code, " ", event.name);
  if (!event.id.empty()) absl::StrAppend(&line, " id=", event.id);
  if (event.epoch != 0) absl::StrAppend(&line, " epoch=", event.epoch);
  if (!event.subject.empty()) absl::StrAppend(&line, " ", event.subject);
  if (!event.detail.empty()) absl::StrAppend(&line, ": ", event.detail);
  return line;
}

}  // namespace

bool AddProcess(std::string_view answer, merged_timeline& into) {
  const json document = ParseJson(answer);
  if (!document.is_object() || !document.contains("events")) return false;
  if (!document["events"].is_array()) return false;
  const size_t process = into.processes.size();
  into.processes.push_back({TextOf(document, "process"), TextOf(document, "failure_domain"),
                            static_cast<uint64_t>(NumberOf(document, "next"))});
  const microseconds shift(NumberOf(document, "wall_us") - NumberOf(document, "mono_us"));
  for (const json& value : document["events"]) {
    if (value.is_object()) into.events.push_back(EventFrom(value, process, shift));
  }
  return true;
}

void SortByTime(merged_timeline& timeline) {
  std::stable_sort(timeline.events.begin(), timeline.events.end(),
                   [](const merged_event& a, const merged_event& b) { return a.wall < b.wall; });
}

void KeepOnly(std::string_view id, merged_timeline& timeline) {
  std::erase_if(timeline.events, [id](const merged_event& event) { return event.id != id; });
}

std::string ToChromeTrace(const merged_timeline& timeline) {
  json events = json::array();
  for (size_t i = 0; i < timeline.processes.size(); ++i) {
    const timeline_process& process = timeline.processes[i];
    const std::string label = absl::StrCat(process.name, " (", process.failure_domain, ")");
    events.push_back(
        {{"ph", "M"}, {"name", "process_name"}, {"pid", i + 1}, {"args", {{"name", label}}}});
  }
  for (const merged_event& event : timeline.events) events.push_back(TraceEvent(event));
  const json document = {{"displayTimeUnit", "ms"}, {"traceEvents", std::move(events)}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string ToText(const merged_timeline& timeline) {
  std::string text;
  for (const merged_event& event : timeline.events) {
    absl::StrAppend(&text, FormatEvent(event, timeline.processes[event.process]), "\n");
  }
  return text;
}

}  // namespace catkinford
