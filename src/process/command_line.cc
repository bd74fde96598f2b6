#include "process/command_line.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "process/commands.h"

namespace catkinford {
namespace {

struct command_info {
  const char* name;       // words separated by spaces
  const char* arguments;  // as shown in the help
  size_t min_arguments;   // number of arguments
  size_t max_arguments;
  int (*run)(command_context& context, const command_arguments& words);
  const char* help;
  const char* example;
};

constexpr std::array<command_info, 22> kCommands = {{
    {"submit", "KIND | FILE", 1, 1, &RunSubmit,
     "Submits one job of a kind (interactive, service, batch, gang) with the flags --tasks, "
     "--cpu_milli,\n"
     "--memory_mb, --accelerators, --urgent, --repeatable, --idempotency_key, --deadline, "
     "--run_time,\n"
     "--payload, --wait; or all jobs of a JSON file {\"jobs\":[...]}. Without --idempotency_key "
     "one "
     "is generated,\n"
     "so that a call that is retried at another entry cannot run twice.",
     "catkinford submit interactive --cpu_milli 500 --memory_mb 256 --payload '{\"run_ms\":20}'\n"
     "catkinford submit service --tasks 3 --cpu_milli 1000 --memory_mb 1024\n"
     "catkinford submit jobs.json --output json"},
    {"status", "ID", 1, 1, &RunStatus, "Shows the state of a job and what it waits for.",
     "catkinford status 0123456789abcdef0123456789abcdef"},
    {"cancel", "ID", 1, 1, &RunCancel, "Cancels a job and reports whether any of it ran.",
     "catkinford cancel 0123456789abcdef0123456789abcdef"},
    {"wait", "ID", 1, 1, &RunWait,
     "Waits until a job has ended, --wait_limit at most, and prints its outcome.",
     "catkinford wait 0123456789abcdef0123456789abcdef --wait_limit 5m"},
    {"contract check", "FILE", 1, 1, &RunContractCheck,
     "Checks a contracts file against the schema. Sends nothing.",
     "catkinford contract check showrooms.json"},
    {"contract apply", "FILE", 1, 1, &RunContractApply,
     "Replaces workspaces by those of the same name in a file. Other workspaces are kept, "
     "and\n"
     "so are all keys. --dry_run shows the change; --expect VERSION fails if there is a newer "
     "one.",
     "catkinford contract apply showrooms.json --dry_run\n"
     "catkinford contract apply showrooms.json --expect 41"},
    {"contract restore", "VERSION", 1, 1, &RunContractRestore,
     "Makes a new version with the workspaces of an earlier stored version. Workspaces "
     "added\n"
     "since are removed. It re-enables no key: keys that are not valid now are restored as "
     "withdrawn.\n"
     "--dry_run shows the change.",
     "catkinford contract history\n"
     "catkinford contract restore 40 --dry_run"},
    {"contract remove", "WORKSPACE", 1, 1, &RunContractRemove,
     "Removes a workspace: its keys become invalid, its running work drains.",
     "catkinford contract remove showrooms --dry_run"},
    {"contract get", "[VERSION]", 0, 1, &RunContractGet,
     "Prints the current configuration, or an earlier version of it.",
     "catkinford contract get > all.json"},
    {"contract diff", "FILE | VERSION [VERSION]", 1, 2, &RunContractDiff,
     "Shows what applying a file would change, what changed between two stored versions, "
     "or\n"
     "what changed since one.",
     "catkinford contract diff showrooms.json\n"
     "catkinford contract diff 40\n"
     "catkinford contract diff 40 41"},
    {"contract history", "", 0, 0, &RunContractHistory,
     "Lists the stored versions, oldest first: when, by which key and what was changed.",
     "catkinford contract history --output json"},
    {"key make", "NAME", 1, 1, &RunKeyMake,
     "Makes a secret and prints it with its record. Sends nothing: for the initial configuration.",
     "catkinford key make first --operator"},
    {"key grant", "TEAM NAME | NAME", 1, 2, &RunKeyGrant,
     "Makes a secret here and grants it to a team, or with --operator to an operator. The secret "
     "is "
     "shown\n"
     "once; only its salt and hash leave this machine.",
     "catkinford key grant booking front-desk\n"
     "catkinford key grant --operator night-shift"},
    {"key withdraw", "TEAM NAME | NAME", 1, 2, &RunKeyWithdraw,
     "Withdraws a key of a team, or with --operator of an operator, for good.",
     "catkinford key withdraw booking front-desk"},
    {"key list", "", 0, 0, &RunKeyList, "Lists all keys, their holders and whether withdrawn.",
     "catkinford key list"},
    {"endpoint drain", "NAME", 1, 1, &RunEndpointDrain,
     "Places no new work on an endpoint and moves what runs there. It stays drained until it is "
     "undrained "
     "or\n"
     "leaves the platform's list, also when entries are replaced. --dry_run counts what runs "
     "there.",
     "catkinford endpoint drain ep-12 --dry_run"},
    {"endpoint undrain", "NAME", 1, 1, &RunEndpointUndrain,
     "Makes an endpoint available for work again. `members` lists the drained ones.",
     "catkinford endpoint undrain ep-12"},
    {"domain evacuate", "NAME", 1, 1, &RunDomainEvacuate,
     "Moves the jobs of a permanently lost failure domain. Only an operator can know that it "
     "is:\n"
     "jobs of a domain that still runs would run twice. --dry_run only counts them.",
     "catkinford domain evacuate otaru --dry_run"},
    {"members", "", 0, 0, &RunMembers, "Lists the entries and the shards with their owners.",
     "catkinford members"},
    {"timeline", "", 0, 0, &RunTimeline,
     "Merges the events of all entries in --entry into one timeline: as text, or with --out FILE "
     "as a\n"
     "file in the Chrome trace format. --id keeps the events of one request.",
     "catkinford timeline --entry http://10.0.0.1:8080,http://10.0.0.2:8080 --out trace.json\n"
     "catkinford timeline --id 0123456789abcdef0123456789abcdef"},
    {"explain", "LOG [ID]", 1, 2, &RunExplain,
     "Shows where the time of late jobs went, from the log of the entries of a site (- is standard "
     "input):\n"
     "a row for each two seconds and priority with the mean time in each stage, those with most "
     "late "
     "jobs\n"
     "first. With the id of a job, the events of that job in order. With --by_speed, the late jobs "
     "by\n"
     "the speed of the instance on which their last task ended.",
     "catkinford explain site.log\n"
     "catkinford explain site.log --by_speed\n"
     "catkinford explain site.log e2f13fd7b17cd0e7"},
    {"check-config", "settings FILE | contracts FILE", 2, 2, &RunCheckConfig,
     "Checks a settings file of the daemon, or a contracts file. Each kind of settings error has "
     "an "
     "exit\n"
     "code of its own, from 10 up.",
     "catkinford check-config settings entry.json"},
}};

constexpr const char* kExitCodes =
    "Exit codes: 0 done, 1 ran and failed, 2 wrong command line, 3 rejected and not run, 4 may "
    "have\n"
    "run, 5 conflict with another change, 6 invalid contract, 7 no entry answered, 8 key not "
    "valid,\n"
    "9 not found, 10-20 settings file errors, 30 accepted but not yet in effect everywhere.\n";

constexpr const char* kCommonFlags =
    "Common flags: --entry URL[,URL] (or CATKINFORD_ENTRY), --key KEY (or CATKINFORD_KEY, which "
    "does\n"
    "not show in the list of processes), --output text|json, --timeout 30s, --ca_file FILE.\n";

// The command whose name `words` starts with; null if none.
const command_info* FindCommand(const command_arguments& words) {
  const auto begins = [&words](const command_info& command) {
    const std::vector<std::string> name = absl::StrSplit(command.name, ' ');
    return name.size() <= words.size() && std::equal(name.begin(), name.end(), words.begin());
  };
  const auto found = std::find_if(kCommands.begin(), kCommands.end(), begins);
  return found == kCommands.end() ? nullptr : &*found;
}

size_t CountWords(const char* name) {
  const std::vector<std::string> words = absl::StrSplit(name, ' ');
  return words.size();
}

std::string Usage(const command_info& command) {
  return absl::StrCat("catkinford ", command.name, command.arguments[0] == '\0' ? "" : " ",
                      command.arguments);
}

}  // namespace

std::string HelpOn(const std::vector<std::string>& words) {
  if (const command_info* command = FindCommand(words)) {
    return absl::StrCat(Usage(*command), "\n\n", command->help, "\n\nExamples:\n", command->example,
                        "\n\n", kCommonFlags, kExitCodes);
  }
  std::string text = "catkinford COMMAND [arguments] [--flag value ...]\n\n";
  const std::string group = words.empty() ? "" : words[0] + " ";
  const bool is_group =
      std::any_of(kCommands.begin(), kCommands.end(), [&group](const command_info& command) {
        return std::string(command.name).starts_with(group);
      });
  for (const command_info& command : kCommands) {
    if (is_group && !std::string(command.name).starts_with(group)) continue;
    const std::string help = command.help;
    absl::StrAppend(&text, "  ", Usage(command), "\n      ", help.substr(0, help.find('\n')), "\n");
  }
  absl::StrAppend(&text, "\ncatkinford COMMAND --help shows more, with examples.\n\n", kCommonFlags,
                  kExitCodes);
  return text;
}

command_line::command_line(command_options options, entry_client& entries, std::ostream& out,
                           std::ostream& err)
    : options_(std::move(options)), entries_(entries), out_(out), err_(err) {}

int command_line::Run(const std::vector<std::string>& words) {
  const command_info* command = FindCommand(words);
  if (command == nullptr) {
    if (!words.empty())
      err_ << "catkinford: no such command: " << absl::StrJoin(words, " ") << "\n";
    err_ << HelpOn(words);
    return static_cast<int>(exit_code::kUsage);
  }
  const command_arguments rest(
      words.begin() + static_cast<std::ptrdiff_t>(CountWords(command->name)), words.end());
  if (rest.size() < command->min_arguments || rest.size() > command->max_arguments) {
    err_ << "usage: " << Usage(*command) << "\n";
    return static_cast<int>(exit_code::kUsage);
  }
  command_context context{options_, entries_, out_, err_};
  return command->run(context, rest);
}

}  // namespace catkinford
