#include "bench/history.h"

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
    event.at = wall_time{std::chrono::microseconds{IntOf(read, "at_us", 0)}};
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

}  // namespace catkinford
