#include "process/flag_check.h"

#include <array>
#include <string_view>

#include "absl/flags/reflection.h"
#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

constexpr std::array<std::string_view, 3> kFaultTexts = {"unknown flag", "missing value",
                                                         "invalid value"};

// The flag name in "--name", "-name" or "--name=value"; empty if not a flag.
std::string NameOf(const std::string& argument) {
  if (argument.size() < 2 || argument[0] != '-') return {};
  const size_t begin = argument[1] == '-' ? 2 : 1;
  return argument.substr(begin, argument.find('=') - begin);
}

absl::CommandLineFlag* Find(const std::string& name) {
  if (absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name)) return flag;
  // "--nourgent" is "--urgent=false".
  if (name.compare(0, 2, "no") != 0) return nullptr;
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name.substr(2));
  return flag != nullptr && flag->IsOfType<bool>() ? flag : nullptr;
}

}  // namespace

std::string ToText(const flag_error& error) {
  const std::string fault(kFaultTexts[static_cast<size_t>(error.fault)]);
  return absl::StrCat(error.flag, ": ", fault, error.detail.empty() ? "" : ": ", error.detail);
}

std::optional<flag_error> CheckFlags(const std::vector<std::string>& arguments) {
  for (size_t i = 0; i < arguments.size(); ++i) {
    if (arguments[i] == "--") return std::nullopt;  // the rest are not flags
    const std::string name = NameOf(arguments[i]);
    if (name.empty()) continue;
    const std::string shown = absl::StrCat("--", name);
    absl::CommandLineFlag* flag = Find(name);
    if (flag == nullptr) return flag_error{flag_fault::kUnknown, shown, {}};
    const size_t equals = arguments[i].find('=');
    std::string value;
    if (equals != std::string::npos) {
      value = arguments[i].substr(equals + 1);
    } else if (flag->IsOfType<bool>()) {
      continue;
    } else if (++i < arguments.size()) {
      value = arguments[i];
    } else {
      return flag_error{flag_fault::kNoValue, shown, {}};
    }
    std::string detail;
    if (!flag->ParseFrom(value, &detail)) {
      return flag_error{flag_fault::kBadValue, shown, detail.empty() ? value : detail};
    }
  }
  return std::nullopt;
}

}  // namespace catkinford
