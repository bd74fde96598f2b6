#include "bench/history.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "nlohmann/json.hpp"
#include "standin/json_fields.h"

namespace catkinford {

bool AppendRecord(const std::string& text, std::vector<run_event>& events) {
  const std::vector<std::string> lines = absl::StrSplit(text, '\n', absl::SkipEmpty());
  for (const std::string& line : lines) {
    const nlohmann::json read = nlohmann::json::parse(line, nullptr, false);
    if (!read.is_object()) return false;
    run_event event;
    event.at = monotonic_time{std::chrono::microseconds{IntOf(read, "at_us", 0)}};
    event.endpoint = TextOf(read, "endpoint", "");
    event.event = TextOf(read, "event", "");
    event.id = TextOf(read, "id", "");
    event.epoch = static_cast<uint64_t>(IntOf(read, "epoch", 0));
    event.team = TextOf(read, "team", "");
    event.work = TextOf(read, "work", "");
    event.result = TextOf(read, "result", "");
    event.amount = ResourcesOf(read);
    events.push_back(std::move(event));
  }
  return true;
}

std::string ToLines(const history& seen) {
  std::vector<std::pair<monotonic_time, std::string>> lines;
  const auto add = [&](monotonic_time at, const std::string& line) {
    lines.emplace_back(at, line);
  };
  for (const call_record& call : seen.calls) {
    const std::string subject = absl::StrCat(call.work, " ", call.team, " by ", call.entry);
    add(call.sent, absl::StrCat(call.is_cancel ? "cancel " : "ask ", subject));
    const std::string told =
        call.has_answer
            ? absl::StrCat(std::string(ToText(call.outcome)), " ", std::string(ToText(call.reason)))
            : (call.surely_not_sent ? "not sent" : absl::StrCat("no answer, status ", call.status));
    add(call.answered, absl::StrCat("told ", subject, " ", told));
  }
  for (const run_event& event : seen.events) {
    add(event.at,
        absl::StrCat(event.event, " ", event.work, " ", event.team, " at ", event.endpoint, " ",
                     event.id, " epoch ", event.epoch, " ", event.result));
  }
  const auto of = [](uint64_t version, const std::string& text) {
    return absl::StrCat("version ", version, " text ", std::hash<std::string>()(text) % 10000);
  };
  for (const config_acceptance& put : seen.acceptances) {
    add(put.accepted, absl::StrCat("accepted ", of(put.version, put.text)));
  }
  absl::flat_hash_map<std::string, uint64_t> read;
  for (const config_reading& reading : seen.readings) {
    uint64_t& last = read[reading.entry];
    if (last == reading.version) continue;
    last = reading.version;
    add(reading.at, absl::StrCat("read at ", reading.entry, " ", of(last, reading.text)));
  }
  for (const fault_window& fault : seen.faults) add(fault.from, "fault at " + fault.entry);
  for (const graceful_stop& stop : seen.stops) {
    add(stop.signalled, "stop of " + stop.entry);
    add(stop.ended, absl::StrCat("exit of ", stop.entry, " with ", stop.exit_code));
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::string text;
  for (const auto& [at, line] : lines) {
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch());
    absl::StrAppend(&text, us.count(), " ", line, "\n");
  }
  return text;
}

}  // namespace catkinford
