// Errors of settings files, the same for every program.
#ifndef CATKINFORD_PROCESS_SETTINGS_ERROR_H_
#define CATKINFORD_PROCESS_SETTINGS_ERROR_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "request/typed_error.h"

namespace catkinford {

enum class settings_fault : uint8_t {
  kMissingFile,
  kNotJson,
  kUnknownField,
  kMissingField,
  kWrongType,
  kWrongUnit,  // durations are strings with a unit: "250ms", "10s", "10m"
  kOutOfRange,
  kDuplicateField,  // ambiguous: which of the two was meant is unknown
  kContradiction,   // two settings that exclude each other
};

struct settings_error {
  settings_fault fault = settings_fault::kMissingFile;
  std::string path;   // "timing.heartbeat"
  std::string value;  // the value found
  std::string want;   // description of a valid value
};

constexpr size_t kSettingsFaults = 9;

// Each fault has its own exit code: 10 and up, in the order of the enumeration.
int ExitCode(settings_fault fault);
std::string_view ToText(settings_fault fault);
std::string ToText(const settings_error& error);

// The text of a file; kMissingFile if it cannot be read.
leaf::result<std::string> ReadSettingsFile(const std::string& file);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SETTINGS_ERROR_H_
