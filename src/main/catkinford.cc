// The command line for callers and operators; implemented in process/command_line.
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_split.h"
#include "absl/time/time.h"
#include "process/command_line.h"
#include "process/flag_check.h"

ABSL_FLAG(std::string, entry, "", "URL[,URL] of the entries, in the order to try");
ABSL_FLAG(std::string, key, "", "the key to present");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(30), "timeout of one call to one entry");
ABSL_FLAG(std::string, ca_file, "", "PEM file of the trusted authorities for https");
ABSL_FLAG(bool, by_speed, false, "explain: late jobs by the speed of their last instance");
ABSL_FLAG(bool, dry_run, false, "show what would change, and change nothing");
ABSL_FLAG(uint64_t, expect, 0,
          "contract: the version that the change is based on; 0: the current one");
ABSL_FLAG(bool, operator, false, "key: an operator key instead of a team key");
ABSL_FLAG(absl::Duration, wait_limit, absl::Minutes(10), "wait: how long");
ABSL_FLAG(std::string, id, "", "timeline: only the events of this request");
ABSL_FLAG(std::string, out, "", "timeline: file for the Chrome trace");
ABSL_FLAG(uint32_t, tasks, 1, "submit: replicas of a service, tasks of a gang or batch");
ABSL_FLAG(uint32_t, cpu_milli, 1000, "submit: thousandths of a processor for each task");
ABSL_FLAG(uint32_t, memory_mb, 256, "submit: memory for each task");
ABSL_FLAG(uint32_t, accelerators, 0, "submit: accelerators for each task");
ABSL_FLAG(bool, urgent, false, "submit: urgent, if the contract allows it for the kind");
ABSL_FLAG(bool, repeatable, true, "submit: may be restarted after a fault");
ABSL_FLAG(std::string, idempotency_key, "", "submit: requests with the same key are one request");
ABSL_FLAG(absl::Duration, deadline, absl::ZeroDuration(), "submit: not run if not started by then");
ABSL_FLAG(absl::Duration, run_time, absl::ZeroDuration(), "submit: estimated run time");
ABSL_FLAG(std::string, payload, "", "submit: the work itself, for the endpoint");
ABSL_FLAG(bool, wait, false, "submit: answer when the job ends");

namespace {

std::string FlagOrEnvironment(const std::string& flag, const char* variable) {
  if (!flag.empty()) return flag;
  const char* value = std::getenv(variable);
  return value == nullptr ? std::string() : std::string(value);
}

catkinford::job_options JobFromFlags() {
  catkinford::job_options job;
  job.tasks = absl::GetFlag(FLAGS_tasks);
  job.each.cpu_milli = absl::GetFlag(FLAGS_cpu_milli);
  job.each.memory_mb = absl::GetFlag(FLAGS_memory_mb);
  job.each.accelerators = absl::GetFlag(FLAGS_accelerators);
  job.urgent = absl::GetFlag(FLAGS_urgent);
  job.repeatable = absl::GetFlag(FLAGS_repeatable);
  job.idempotency_key = absl::GetFlag(FLAGS_idempotency_key);
  job.deadline = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_deadline));
  job.run_time = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_run_time));
  job.payload = absl::GetFlag(FLAGS_payload);
  job.wait = absl::GetFlag(FLAGS_wait);
  return job;
}

catkinford::command_options OptionsFromFlags() {
  catkinford::command_options options;
  options.json = absl::GetFlag(FLAGS_output) == "json";
  options.terminal = isatty(STDERR_FILENO) != 0;
  options.dry_run = absl::GetFlag(FLAGS_dry_run);
  options.by_speed = absl::GetFlag(FLAGS_by_speed);
  if (absl::GetFlag(FLAGS_expect) != 0) options.expect = absl::GetFlag(FLAGS_expect);
  options.is_operator = absl::GetFlag(FLAGS_operator);
  options.wait_limit = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_wait_limit));
  options.id = absl::GetFlag(FLAGS_id);
  options.out_file = absl::GetFlag(FLAGS_out);
  options.job = JobFromFlags();
  return options;
}

// Whether help is requested; `arguments` gets the rest. Abseil's own help would list the flags of
// libraries.
bool WantsHelp(int argc, char** argv, std::vector<std::string>& arguments) {
  bool wants_help = false;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--help" || argument == "-h" || argument == "-help") {
      wants_help = true;
    } else if (argument != "help") {
      arguments.push_back(argument);
    } else {
      wants_help = wants_help || i == 1;
    }
  }
  return wants_help;
}

int UsageError(const std::string& why) {
  std::cerr << "catkinford: " << why << "\n";
  return static_cast<int>(catkinford::exit_code::kUsage);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> help_topic;
  if (WantsHelp(argc, argv, help_topic)) {
    std::cout << catkinford::HelpOn(help_topic);
    return 0;
  }
  if (const auto error = catkinford::CheckFlags({argv + 1, argv + argc})) {
    return UsageError(catkinford::ToText(*error));
  }
  absl::SetProgramUsageMessage("catkinford COMMAND [arguments] [--flag value ...]");
  const std::vector<char*> parsed = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> arguments(parsed.begin() + 1, parsed.end());
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "text" && output != "json") return UsageError("--output must be text or json");
  if (absl::GetFlag(FLAGS_timeout) < absl::Milliseconds(1))
    return UsageError("--timeout must be positive");
  for (const absl::Duration time : {absl::GetFlag(FLAGS_wait_limit), absl::GetFlag(FLAGS_deadline),
                                    absl::GetFlag(FLAGS_run_time)}) {
    if (time < absl::ZeroDuration()) return UsageError("a duration must not be negative");
  }
  catkinford::entry_client_options client;
  const std::string entries = FlagOrEnvironment(absl::GetFlag(FLAGS_entry), "CATKINFORD_ENTRY");
  client.entries = absl::StrSplit(entries, ',', absl::SkipEmpty());
  for (std::string& entry : client.entries) {
    const std::optional<std::string> base = catkinford::BaseUrl(entry);
    if (!base)
      return UsageError("--entry: " + entry + " is not http://HOST:PORT or https://HOST:PORT");
    entry = *base;
  }
  client.key = FlagOrEnvironment(absl::GetFlag(FLAGS_key), "CATKINFORD_KEY");
  client.timeout = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
  catkinford::http_client http(0, absl::GetFlag(FLAGS_ca_file));
  http.Start();
  catkinford::entry_client calls(http, std::move(client));
  catkinford::command_line commands(OptionsFromFlags(), calls, std::cout, std::cerr);
  return commands.Run(arguments);
}
