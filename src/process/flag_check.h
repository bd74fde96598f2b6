// Whether a command line's flags can be read, before the flag library reads them: on a fault that
// ends the program with exit code 1, which says of a job that it ran and failed.
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
  std::string detail;  // of a bad value: what is wrong with it
};
std::string ToText(const flag_error& error);

// `words` without the program's name. The flags get the values that they are given here.
std::optional<flag_error> CheckFlags(const std::vector<std::string>& arguments);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_FLAG_CHECK_H_
