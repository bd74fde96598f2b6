#include "process/stage_report.h"

#include <algorithm>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/time/time.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kJobRefused = 611;
constexpr uint32_t kJobUnsettled = 612;
constexpr uint32_t kJobEnded = 621;
constexpr uint32_t kTaskEnd = 624;
constexpr uint32_t kInstanceSpeed = 666;

// "2026-04-11T01:47:08.331"; nothing for other text.
std::optional<milliseconds> TimeOfDay(const std::string& text) {
  absl::Time time;
  if (!absl::ParseTime("%Y-%m-%dT%H:%M:%E3S", text, &time, nullptr)) return std::nullopt;
  constexpr milliseconds kDay = std::chrono::hours(24);
  return milliseconds(absl::ToUnixMillis(time)) % kDay;
}

std::string ClockText(milliseconds time_of_day) {
  return absl::FormatTime("%H:%M:%E3S", absl::FromUnixMillis(time_of_day.count()),
                          absl::UTCTimeZone());
}

}  // namespace

std::string log_event::Field(std::string_view name) const {
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [name](const auto& field) { return field.first == name; });
  return found == fields.end() ? std::string() : found->second;
}

int64_t log_event::Number(std::string_view name) const {
  int64_t out = 0;
  return absl::SimpleAtoi(Field(name), &out) ? out : 0;
}

std::optional<log_event> ParseLogEvent(const std::string& line) {
  std::istringstream words(line);
  std::string word;
  std::optional<milliseconds> time;
  while (!time && words >> word) time = TimeOfDay(word);
  if (!time) return std::nullopt;
  log_event out;
  out.time = *time;
  std::string level;
  if (!(words >> level >> out.number)) return std::nullopt;
  while (words >> word) {
    const size_t equals = word.find('=');
    if (equals != std::string::npos) {
      out.fields.emplace_back(word.substr(0, equals), word.substr(equals + 1));
    }
  }
  return out;
}

void stage_report::Add(const log_event& event) {
  const milliseconds begin = event.time - event.time % period_;
  if (event.number == kJobRefused) ++rejections_[begin].refused;
  if (event.number == kJobUnsettled) ++rejections_[begin].unsettled;
  if (event.number != kJobEnded) return;
  row& sums = rows_[{begin, event.Number("priority")}];
  if (event.Field("phase") != "completed") {
    ++sums.not_completed;
    return;
  }
  ++sums.completed;
  if (event.Number("late_ms") <= 0) return;
  ++sums.late;
  sums.failed_runs += static_cast<uint32_t>(event.Number("failed_runs"));
  sums.lost_runs += static_cast<uint32_t>(event.Number("lost_runs"));
  for (size_t i = 0; i < kStageFields.size(); ++i) {
    sums.stage_ms[i] += event.Number(kStageFields[i]);
  }
}

std::string stage_report::ToText() const {
  std::vector<std::pair<row_key, row>> rows(rows_.begin(), rows_.end());
  std::stable_sort(rows.begin(), rows.end(),
                   [](const auto& a, const auto& b) { return a.second.late > b.second.late; });
  std::string out =
      absl::StrFormat("%12s %8s %6s %5s %5s", "time", "priority", "ended", "late", "other");
  for (const std::string_view stage : kStageFields) {
    out += absl::StrFormat(" %9s", std::string(stage));
  }
  out += absl::StrFormat(" %6s %6s %7s %9s\n", "failed", "lost", "refused", "unsettled");
  for (const auto& [key, sums] : rows) {
    const auto& [begin, priority] = key;
    out += absl::StrFormat("%12s %8d %6d %5d %5d", ClockText(begin), priority, sums.completed,
                           sums.late, sums.not_completed);
    const int64_t late = std::max<int64_t>(1, sums.late);
    for (const int64_t stage : sums.stage_ms) out += absl::StrFormat(" %9d", stage / late);
    const auto found = rejections_.find(begin);
    const rejections none = found == rejections_.end() ? rejections{} : found->second;
    out += absl::StrFormat(" %6d %6d %7d %9d\n", sums.failed_runs, sums.lost_runs, none.refused,
                           none.unsettled);
  }
  return out;
}

void speed_report::Add(const log_event& event) {
  if (event.number != kJobEnded && event.number != kTaskEnd && event.number != kInstanceSpeed) {
    return;
  }
  events_.emplace(event.time, event);
}

std::map<std::pair<int64_t, std::string>, speed_report::row> speed_report::Rows() const {
  std::map<std::pair<int64_t, std::string>, row> out;
  std::map<std::string, std::string> class_of;       // by instance
  std::map<std::string, std::string> last_instance;  // by job
  for (const auto& [time, event] : events_) {
    const std::string id = event.Field("id");
    if (event.number == kInstanceSpeed) {
      class_of[id] = event.Field("class");
      continue;
    }
    const std::string job = id.substr(0, id.find('.'));
    if (event.number == kTaskEnd) {
      if (event.Field("end") == "done") last_instance[job] = event.Field("instance");
      continue;
    }
    if (event.Field("phase") != "completed") continue;
    const auto instance = last_instance.find(job);
    std::string speed = "unknown";
    if (instance != last_instance.end()) {
      const auto known = class_of.find(instance->second);
      speed = known == class_of.end() ? "usual" : known->second;
    }
    row& sums = out[{event.Number("priority"), speed}];
    ++sums.completed;
    const int64_t late_ms = event.Number("late_ms");
    if (late_ms <= 0) continue;
    ++sums.late;
    sums.late_ms += late_ms;
  }
  return out;
}

std::string speed_report::ToText() const {
  std::string out =
      absl::StrFormat("%8s %8s %6s %6s %9s\n", "priority", "speed", "ended", "late", "late_ms");
  for (const auto& [key, sums] : Rows()) {
    out += absl::StrFormat("%8d %8s %6d %6d %9d\n", key.first, key.second, sums.completed,
                           sums.late, sums.late_ms / std::max<int64_t>(1, sums.late));
  }
  return out;
}

}  // namespace catkinford
