#include "process/settings_error.h"

#include <array>
#include <fstream>
#include <sstream>

namespace catkinford {
namespace {

constexpr int kFirstExitCode = 10;

// In the order of the enumeration.
constexpr std::array<std::string_view, kSettingsFaults> kFaultTexts = {
    "the settings file cannot be read",
    "not valid JSON (comments allowed)",
    "unknown setting",
    "required setting missing",
    "wrong type",
    "wrong or missing unit",
    "out of range",
    "given twice",
    "contradicts another setting"};

}  // namespace

int ExitCode(settings_fault fault) { return kFirstExitCode + static_cast<int>(fault); }

std::string_view ToText(settings_fault fault) { return kFaultTexts[static_cast<size_t>(fault)]; }

std::string ToText(const settings_error& error) {
  std::string out = error.path.empty() ? "settings" : error.path;
  out += ": ";
  out += ToText(error.fault);
  if (!error.value.empty()) out += ": " + error.value;
  if (!error.want.empty()) out += "; expected: " + error.want;
  return out;
}

leaf::result<std::string> ReadSettingsFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  // Opening a directory succeeds; only the read fails.
  if (!in || !text) {
    return leaf::new_error(
        settings_error{settings_fault::kMissingFile, "", file, "a readable file"});
  }
  return text.str();
}

}  // namespace catkinford
