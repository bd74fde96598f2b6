#include <chrono>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "process/config_change.h"
#include "process/settings.h"
#include "process/stage_report.h"
#include "process/timeline_merge.h"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;

// Limit on the timeline pages read from one entry, since events may arrive as fast as they are
// read.
constexpr int kMaxTimelinePages = 200;

// Posts an action on a failure domain to each entry until one accepts it; `counted` is the field of
// the answer that holds the count. If none does, prints the reason given by the last one.
int PostAction(command_context& context, const std::string& path, const char* counted) {
  const std::string body = json{{"dry_run", context.options.dry_run}}.dump();
  entry_answer answer;
  for (size_t i = 0; i < context.entries.Entries().size() && !answer.IsGood(); ++i) {
    answer.result = context.entries.CallAt(i, "POST", path, body);
    answer.body = ParseJson(answer.result.body);
  }
  if (!answer.IsGood()) return static_cast<int>(PrintFailure(context, answer));
  if (context.options.json) {
    context.out << answer.result.body << "\n";
  } else {
    context.out << (context.options.dry_run ? "would be taken" : "taken");
    if (answer.body.contains(counted)) {
      context.out << ": " << NumberField(answer.body, counted) << " " << counted;
    }
    context.out << "\n";
  }
  return static_cast<int>(exit_code::kDone);
}

// Draining is idempotent, so the next entry is called if one does not answer.
int SetDrained(command_context& context, const std::string& path) {
  const entry_answer answer = CallEntry(context, "POST", path, "{}");
  return static_cast<int>(answer.IsGood() ? ShowChange(context, answer)
                                          : PrintFailure(context, answer));
}

// Only the owner of the endpoint's shard knows what runs there; any entry knows the rest.
int PreviewDrain(command_context& context, const std::string& path) {
  entry_answer answer;
  entry_answer good;
  for (size_t i = 0; i < context.entries.Entries().size(); ++i) {
    answer.result = context.entries.CallAt(i, "POST", path, R"({"dry_run":true})");
    answer.body = ParseJson(answer.result.body);
    if (answer.IsGood()) good = answer;
    if (answer.IsGood() && answer.body.contains("running")) break;
  }
  if (!good.IsGood()) return static_cast<int>(PrintFailure(context, answer));
  if (context.options.json) {
    context.out << good.result.body << "\n";
    return static_cast<int>(exit_code::kDone);
  }
  const auto drained = good.body.find("drained");
  const bool is_drained = drained != good.body.end() && *drained == true;
  context.out << TextField(good.body, "endpoint") << (is_drained ? ": drained" : ": not drained");
  if (good.body.contains("running")) {
    context.out << ", " << NumberField(good.body, "running") << " tasks running";
  } else {
    context.out << "; the running tasks are unknown: its owner is not among the entries queried";
  }
  context.out << "\n";
  return static_cast<int>(exit_code::kDone);
}

std::string JoinTexts(const json& object, const char* field) {
  std::string text;
  const auto found = object.find(field);
  if (found == object.end() || !found->is_array()) return text;
  for (const json& each : *found) {
    if (each.is_string()) absl::StrAppend(&text, text.empty() ? "" : ",", each.get<std::string>());
  }
  return text;
}

void PrintEntries(command_context& context, const json& entries) {
  for (const json& entry : entries) {
    context.out << "entry " << TextField(entry, "name") << " " << TextField(entry, "failure_domain")
                << " " << TextField(entry, "address") << " " << TextField(entry, "state")
                << " version " << NumberField(entry, "config_version") << " owns "
                << JoinTexts(entry, "owns") << "\n";
  }
}

void PrintShards(command_context& context, const json& shards) {
  for (const json& shard : shards) {
    context.out << "shard " << TextField(shard, "name") << " owner " << TextField(shard, "owner")
                << " epoch " << NumberField(shard, "epoch");
    for (const char* count : {"endpoints", "running", "queued"}) {
      context.out << " " << count << " " << NumberField(shard, count);
    }
    context.out << "\n";
  }
}

// Reads all events that one entry still holds.
bool ReadEntry(command_context& context, size_t entry, merged_timeline& merged) {
  uint64_t since = 0;
  for (int page = 0; page < kMaxTimelinePages; ++page) {
    const http_result result =
        context.entries.CallAt(entry, "GET", absl::StrCat("/v1/timeline?since=", since), "");
    if (result.status != transfer_status::kDone || result.code != 200) return page > 0;
    const size_t before = merged.events.size();
    merged_timeline one;
    if (!AddProcess(result.body, one)) return page > 0;
    if (page == 0) merged.processes.push_back(one.processes[0]);
    for (merged_event& event : one.events) {
      event.process = merged.processes.size() - 1;
      merged.events.push_back(std::move(event));
    }
    if (merged.events.size() == before || one.processes[0].next <= since) return true;
    since = one.processes[0].next;
  }
  return true;
}

}  // namespace

int RunEndpointDrain(command_context& context, const command_arguments& arguments) {
  const std::string path = absl::StrCat("/v1/endpoints/", arguments[0], "/drain");
  return context.options.dry_run ? PreviewDrain(context, path) : SetDrained(context, path);
}

int RunEndpointUndrain(command_context& context, const command_arguments& arguments) {
  const std::string path = absl::StrCat("/v1/endpoints/", arguments[0], "/undrain");
  return context.options.dry_run ? PreviewDrain(context, path) : SetDrained(context, path);
}

int RunDomainEvacuate(command_context& context, const command_arguments& arguments) {
  return PostAction(context, absl::StrCat("/v1/domains/", arguments[0], "/evacuate"), "jobs");
}

int RunMembers(command_context& context, const command_arguments& /*words*/) {
  const entry_answer answer = CallEntry(context, "GET", "/v1/members", "");
  if (!answer.IsGood()) return static_cast<int>(PrintFailure(context, answer));
  if (context.options.json) {
    context.out << answer.result.body << "\n";
    return static_cast<int>(exit_code::kDone);
  }
  if (answer.body.contains("entries")) PrintEntries(context, answer.body["entries"]);
  if (answer.body.contains("shards")) PrintShards(context, answer.body["shards"]);
  const std::string drained = JoinTexts(answer.body, "drained");
  if (!drained.empty()) context.out << "drained " << drained << "\n";
  return static_cast<int>(exit_code::kDone);
}

int RunTimeline(command_context& context, const command_arguments& /*words*/) {
  merged_timeline merged;
  size_t answered = 0;
  for (size_t i = 0; i < context.entries.Entries().size(); ++i) {
    if (context.options.terminal) {
      context.err << "\rreading " << context.entries.Entries()[i] << "   " << std::flush;
    }
    if (ReadEntry(context, i, merged)) {
      ++answered;
    } else {
      context.err << "catkinford: no timeline from " << context.entries.Entries()[i] << "\n";
    }
  }
  if (context.options.terminal) context.err << "\n";
  if (answered == 0) return static_cast<int>(exit_code::kUnreachable);
  if (!context.options.id.empty()) KeepOnly(context.options.id, merged);
  SortByTime(merged);
  if (context.options.out_file.empty()) {
    context.out << (context.options.json ? ToChromeTrace(merged) + "\n" : ToText(merged));
    return static_cast<int>(exit_code::kDone);
  }
  std::ofstream file(context.options.out_file, std::ios::binary);
  file << ToChromeTrace(merged);
  file.close();
  if (!file) {
    context.err << "catkinford: cannot write " << context.options.out_file << "\n";
    return static_cast<int>(exit_code::kUsage);
  }
  context.err << merged.events.size() << " events of " << merged.processes.size()
              << " processes in " << context.options.out_file << "\n";
  return static_cast<int>(exit_code::kDone);
}

namespace {

int PrintSettingsValid(command_context& context, const settings& read) {
  if (context.options.json) {
    context.out << json{{"settings", "good"}}.dump() << "\n";
  } else {
    context.out << "valid: " << read.name << "\n";
  }
  return static_cast<int>(exit_code::kDone);
}

int PrintSettingsError(command_context& context, const settings_error& error) {
  if (context.options.json) {
    const json answer = {
        {"error", "settings"}, {"path", error.path}, {"value", error.value}, {"want", error.want}};
    context.out << answer.dump(-1, ' ', true, json::error_handler_t::replace) << "\n";
  }
  context.err << "catkinford: " << ToText(error) << "\n";
  return ExitCode(error.fault);
}

}  // namespace

int RunCheckConfig(command_context& context, const command_arguments& arguments) {
  if (arguments[0] == "contracts") return RunContractCheck(context, {arguments[1]});
  if (arguments[0] != "settings") {
    context.err << "catkinford: use settings FILE or contracts FILE\n";
    return static_cast<int>(exit_code::kUsage);
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(read, LoadSettings(arguments[1]));
        return PrintSettingsValid(context, read);
      },
      [&](const settings_error& error) { return PrintSettingsError(context, error); },
      [] { return static_cast<int>(exit_code::kUsage); });
}

int RunExplain(command_context& context, const command_arguments& arguments) {
  const auto text = ReadFile(context, arguments[0]);
  if (!text) return static_cast<int>(exit_code::kNotFound);
  constexpr std::chrono::milliseconds kPeriod{2000};
  stage_report report(kPeriod);
  speed_report speeds;
  std::multimap<std::chrono::milliseconds, std::string> story;
  std::istringstream lines(*text);
  for (std::string line; std::getline(lines, line);) {
    const auto event = ParseLogEvent(line);
    if (!event) continue;
    if (context.options.by_speed) {
      speeds.Add(*event);
    } else if (arguments.size() == 1) {
      report.Add(*event);
    } else if (event->Field("id").starts_with(arguments[1])) {
      story.emplace(event->time, line);
    }
  }
  if (context.options.by_speed) {
    context.out << speeds.ToText();
    return static_cast<int>(speeds.Rows().empty() ? exit_code::kNotFound : exit_code::kDone);
  }
  if (arguments.size() == 1) {
    context.out << report.ToText();
    return static_cast<int>(report.Rows().empty() ? exit_code::kNotFound : exit_code::kDone);
  }
  for (const auto& [time, line] : story) context.out << line << "\n";
  return static_cast<int>(story.empty() ? exit_code::kNotFound : exit_code::kDone);
}

}  // namespace catkinford
