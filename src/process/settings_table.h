// The table of settings: the only place that defines name, unit, range, default and meaning of
// each. The reader uses it, `catkinfordd --settings_table` prints it, and docs/OPERATING.md
// contains the output.
#ifndef CATKINFORD_PROCESS_SETTINGS_TABLE_H_
#define CATKINFORD_PROCESS_SETTINGS_TABLE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "process/settings.h"

namespace catkinford {

// Pointer to the field of a setting; its type is the type of the setting.
using setting_slot = std::variant<std::string*, std::vector<std::string>*, bool*, uint16_t*,
                                  uint32_t*, std::chrono::milliseconds*>;

// Required format of a string setting.
enum class text_form : uint8_t {
  kAny,
  kName,       // letters, digits, '-', '_' and '.', 1 to 63 of them
  kIpAddress,  // platform and peers use IP addresses
  kUrl,        // http:// or https://
  kLogLevel,
};

struct setting_info {
  std::string_view path;  // "timing.heartbeat"
  setting_slot (*slot)(settings& all);
  bool required = false;
  text_form form = text_form::kAny;  // for strings
  int64_t lowest = 0;                // for numbers; for durations in milliseconds
  int64_t highest = 0;
  std::string_view meaning;
};

// All settings, in the order of the documentation.
std::span<const setting_info> AllSettings();

// Parses a duration with its unit: "250ms", "10s", "10m" or "2h"; absent for any other text.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);
// The shortest text that ParseDuration reads back as `duration`.
std::string DurationText(std::chrono::milliseconds duration);

bool HasForm(text_form form, const std::string& text);
// Readable description of the valid values, e.g. "a duration from 10ms to 1m".
std::string ExpectedText(const setting_info& info);
// The value in `all` as written in a settings file.
std::string ValueText(const setting_info& info, settings& all);
// The table as Markdown, one row per setting.
std::string SettingsTableText();

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SETTINGS_TABLE_H_
