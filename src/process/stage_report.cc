#include "process/stage_report.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/str_format.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kJobRefused = 611;
constexpr uint32_t kJobUnsettled = 612;
constexpr uint32_t kJobEnded = 621;

// False unless all of `text` is a number.
template <typename Number>
bool ToNumber(std::string_view text, Number& out) {
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, out);
  return !text.empty() && read.ec == std::errc() && read.ptr == end;
}

// "2026-04-11T01:47:08.331"; nothing for other text.
std::optional<milliseconds> TimeOfDay(std::string_view text) {
  constexpr size_t kLength = 23;
  constexpr size_t kClock = 11;
  if (text.size() != kLength || text[kClock - 1] != 'T') return std::nullopt;
  int hours = 0;
  int minutes = 0;
  int seconds = 0;
  int millis = 0;
  const bool numbers =
      ToNumber(text.substr(kClock, 2), hours) && ToNumber(text.substr(kClock + 3, 2), minutes) &&
      ToNumber(text.substr(kClock + 6, 2), seconds) && ToNumber(text.substr(kClock + 9, 3), millis);
  if (!numbers) return std::nullopt;
  return std::chrono::hours(hours) + std::chrono::minutes(minutes) + std::chrono::seconds(seconds) +
         milliseconds(millis);
}

}  // namespace

std::string_view log_event::Field(std::string_view name) const {
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [name](const auto& field) { return field.first == name; });
  return found == fields.end() ? std::string_view() : found->second;
}

int64_t log_event::Number(std::string_view name) const {
  int64_t out = 0;
  return ToNumber(Field(name), out) ? out : 0;
}

std::vector<std::string_view> SplitNonEmpty(std::string_view text, char separator) {
  std::vector<std::string_view> out;
  while (!text.empty()) {
    const size_t end = std::min(text.find(separator), text.size());
    if (end > 0) out.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return out;
}

std::optional<log_event> ParseLogEvent(std::string_view line) {
  const std::vector<std::string_view> words = SplitNonEmpty(line, ' ');
  for (size_t i = 0; i + 3 < words.size(); ++i) {
    const auto time = TimeOfDay(words[i]);
    if (!time) continue;
    log_event out;
    out.time = *time;
    // The level comes between the time and the number.
    if (!ToNumber(words[i + 2], out.number)) return std::nullopt;
    for (size_t k = i + 3; k < words.size(); ++k) {
      const size_t equals = words[k].find('=');
      if (equals == std::string_view::npos) continue;
      out.fields.emplace_back(words[k].substr(0, equals), words[k].substr(equals + 1));
    }
    return out;
  }
  return std::nullopt;
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
    const int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(begin).count();
    out += absl::StrFormat("%02d:%02d:%02d.%03d %8d %6d %5d %5d", seconds / 3600, seconds / 60 % 60,
                           seconds % 60, begin.count() % 1000, priority, sums.completed, sums.late,
                           sums.not_completed);
    const int64_t late = std::max<int64_t>(1, sums.late);
    for (const int64_t stage : sums.stage_ms) out += absl::StrFormat(" %9d", stage / late);
    const auto found = rejections_.find(begin);
    const rejections none = found == rejections_.end() ? rejections{} : found->second;
    out += absl::StrFormat(" %6d %6d %7d %9d\n", sums.failed_runs, sums.lost_runs, none.refused,
                           none.unsettled);
  }
  return out;
}

}  // namespace catkinford
