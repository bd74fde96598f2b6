// Validates command line flags before the flag library parses them: on an error the library ends
// the program with exit code 1, which means that a job ran and failed.
#ifndef CATKINFORD_PROCESS_FLAG_CHECK_H_
#define CATKINFORD_PROCESS_FLAG_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinford {

enum class flag_fault : uint8_t { kUnknown, kNoValue, kBadValue };

struct flag_error {
  flag_fault fault = flag_fault::kUnknown;
  std::string flag;    // "--timeout"
  std::string detail;  // why the value is invalid
};
std::string ToText(const flag_error& error);

// `arguments` excludes the program name. The flags are set to the given values.
std::optional<flag_error> CheckFlags(const std::vector<std::string>& arguments);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_FLAG_CHECK_H_
