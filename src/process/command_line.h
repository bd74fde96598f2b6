// The command line for callers and operators: its commands, their help and the exit codes for
// scripts.
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

// Exit codes for scripts. Settings file errors are 10 and up, see ExitCode(settings_fault).
enum class exit_code : uint8_t {
  kDone = 0,
  kFailed = 1,          // the job ran and failed
  kUsage = 2,           // the command line is wrong; nothing was sent
  kRefused = 3,         // it did not run and will not
  kUnknown = 4,         // it may have run, or may have been changed
  kConflict = 5,        // another change of the configuration came first
  kContract = 6,        // the contract is invalid
  kUnreachable = 7,     // no entry answered; nothing was done
  kUnauthorized = 8,    // the key is not, or no longer, valid for this call
  kNotFound = 9,        // no such job, endpoint, domain, team or key
  kNotYetInForce = 30,  // accepted; not confirmed by all failure domains
};

// Options of `submit` besides the kind.
struct job_options {
  uint32_t tasks = 1;
  resources each;
  bool urgent = false;
  bool repeatable = true;
  std::string idempotency_key;
  std::chrono::milliseconds deadline{0};  // 0: the entry's default
  std::chrono::milliseconds run_time{0};  // 0: not given
  std::string payload;
  bool wait = false;
};

struct command_options {
  bool json = false;
  bool terminal = false;  // show progress of long operations
  bool dry_run = false;
  std::optional<uint64_t> expect;  // version that a change is based on
  bool is_operator = false;        // key commands: an operator key instead of a team key
  std::chrono::milliseconds wait_limit{600000};
  std::string id;         // timeline: only this request
  std::string out_file;   // timeline: file for the trace
  bool by_speed = false;  // explain: late jobs by the speed of the instance of their last task
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

// Help on the command that `words` starts with, else the list of commands.
std::string HelpOn(const std::vector<std::string>& words);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_COMMAND_LINE_H_
