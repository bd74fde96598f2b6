// Where the time of jobs went, from the log lines of a site's entries (docs/EVENTS.md, 61x and
// 621).
//
// Lines of several entries may be mixed in any order. Text before a line's time is skipped.
#ifndef CATKINFORD_PROCESS_STAGE_REPORT_H_
#define CATKINFORD_PROCESS_STAGE_REPORT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace catkinford {

// One event of the log.
struct log_event {
  std::chrono::milliseconds time{0};  // of the day
  uint32_t number = 0;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Field(std::string_view name) const;  // empty if absent
  int64_t Number(std::string_view name) const;     // 0 if absent or no number
};
// Nothing for a line that holds no event.
std::optional<log_event> ParseLogEvent(const std::string& line);

// The stages of a job in the order in which it passes them; names as in event 621.
inline constexpr std::array<std::string_view, 7> kStageFields = {
    "known_ms", "advice_ms", "place_ms", "retry_ms", "record_ms", "start_ms", "run_ms"};

class stage_report {
 public:
  // Jobs that ended within one `period` and had the same priority are summed up in one row.
  explicit stage_report(std::chrono::milliseconds period) : period_(period) {}

  void Add(const log_event& event);

  struct row {
    uint32_t completed = 0;
    uint32_t late = 0;  // of these
    uint32_t not_completed = 0;
    uint32_t failed_runs = 0;  // of the late jobs, as are the stages
    uint32_t lost_runs = 0;
    std::array<int64_t, kStageFields.size()> stage_ms{};  // sums
  };
  struct rejections {
    uint32_t refused = 0;    // submissions that never run
    uint32_t unsettled = 0;  // submissions whose callers were told neither
  };
  using row_key = std::pair<std::chrono::milliseconds, int64_t>;  // begin of the period, priority
  const std::map<row_key, row>& Rows() const { return rows_; }
  const std::map<std::chrono::milliseconds, rejections>& Rejections() const { return rejections_; }

  // A table with the mean time of late jobs in each stage; periods with most late jobs first.
  std::string ToText() const;

 private:
  std::chrono::milliseconds period_;
  std::map<row_key, row> rows_;
  std::map<std::chrono::milliseconds, rejections> rejections_;
};

// Late jobs by the speed of the instance on which their last task ended (events 621, 624 and 666).
class speed_report {
 public:
  void Add(const log_event& event);

  struct row {
    uint32_t completed = 0;
    uint32_t late = 0;
    int64_t late_ms = 0;  // sum, of the late jobs
  };
  // By priority and class; "unknown" if the end of the last task is not in the log.
  std::map<std::pair<int64_t, std::string>, row> Rows() const;
  std::string ToText() const;

 private:
  // Lines of several entries come in any order.
  std::multimap<std::chrono::milliseconds, log_event> events_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_STAGE_REPORT_H_
