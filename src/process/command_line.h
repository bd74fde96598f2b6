// The command line for callers and operators: which commands there are, their help, and what
// scripts are told by the exit code.
#ifndef CATKINFORD_PROCESS_COMMAND_LINE_H_
#define CATKINFORD_PROCESS_COMMAND_LINE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "process/entry_client.h"
#include "request/job_request.h"

namespace catkinford {

// What a script can tell by. Faults of a settings file are 10 and up, see ExitCode(settings_fault).
enum class exit_code : uint8_t {
  kDone = 0,
  kFailed = 1,          // it ran and failed
  kUsage = 2,           // the command line is wrong; nothing was sent
  kRefused = 3,         // it did not run, and will not
  kUnknown = 4,         // it may have run, or may have been changed
  kConflict = 5,        // somebody else changed the configuration first
  kContract = 6,        // the contract is wrong
  kUnreachable = 7,     // no entry answered; nothing was done
  kUnauthorized = 8,    // the key is not, or no longer, good for this
  kNotFound = 9,        // no such job, endpoint, domain, team or key
  kNotYetInForce = 30,  // accepted; some failure domains have not confirmed it
};

// What `submit` asks for, besides the kind.
struct job_options {
  uint32_t tasks = 1;
  resources each;
  bool urgent = false;
  bool repeatable = true;
  std::string idempotency_key;
  std::chrono::milliseconds deadline{0};  // 0: the entry's default
  std::chrono::milliseconds run_time{0};  // 0: not said
  std::string payload;
  bool wait = false;
};

struct command_options {
  bool json = false;
  bool terminal = false;  // progress of long work is shown
  bool dry_run = false;
  std::optional<uint64_t> expect;  // the version that a change is based on
  bool is_operator = false;        // key: of an operator instead of a team
  std::chrono::milliseconds wait_limit{600000};
  std::string id;        // timeline: only this request
  std::string out_file;  // timeline: where the trace goes
  job_options job;
};

class command_line {
 public:
  command_line(command_options options, entry_client& entries, std::ostream& out,
               std::ostream& err);

  // `words`: the command, such as "contract" "apply", and its arguments.
  int Run(const std::vector<std::string>& words);

 private:
  command_options options_;
  entry_client& entries_;
  std::ostream& out_;
  std::ostream& err_;
};

// Help on the command that `words` begins with; the list of all when it begins with none.
std::string HelpOn(const std::vector<std::string>& words);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_COMMAND_LINE_H_
