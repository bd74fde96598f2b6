// `catkinford-bench demo`: three failure domains with two entries each, the platform's stand-ins,
// all four workloads with real keys, one entry killed in the middle; then what callers were told,
// what the checker says, and the time line around the kill.
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/scenario_run.h"
#include "process/timeline_merge.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAfterKill{5000};
constexpr size_t kKilledDomain = 0;
constexpr size_t kRequestsShown = 1;
constexpr uint32_t kFirstOwnerEvent = 300;  // docs/EVENTS.md: owners, peers, platform, versions

scenario_options DemoOptions(uint64_t seed) {
  scenario_options options;
  options.seed = seed;
  options.fleet.seed = seed;
  options.load.rate = 100;
  options.load.length = std::chrono::minutes{1};  // ends with the demo
  options.load.mix.interactive = 0.8;
  options.load.mix.service = 0.01;
  options.load.mix.batch = 0.14;
  options.load.mix.gang = 0.05;
  options.load.mix.not_repeatable = 0.5;
  return options;
}

void PrintFloor(fleet& floor) {
  std::puts("the floor:");
  for (size_t slot = 0; slot < floor.Entries(); ++slot) {
    std::printf("  entry %-14s %s\n", floor.Entry(slot).name.c_str(), floor.UrlOf(slot).c_str());
  }
  std::printf("  %zu endpoints in each of %zu failure domains, %zu teams with a key each\n",
              floor.Options().endpoints_per_domain, floor.Options().domains.size(),
              floor.Contract().teams.size());
}

struct outcome_counts {
  std::array<int, 5> by_kind{};
  int no_answer = 0;
};

void PrintOutcomes(const std::vector<call_record>& calls) {
  std::map<std::pair<std::string, workload_kind>, outcome_counts> counts;
  for (const call_record& call : calls) {
    outcome_counts& of = counts[{call.team, call.kind}];
    if (call.has_answer) {
      ++of.by_kind[static_cast<size_t>(call.outcome)];
    } else {
      ++of.no_answer;
    }
  }
  std::puts("what each caller was told:");
  std::puts("  caller   workload     completed accepted refused failed unknown no-answer");
  for (const auto& [who, of] : counts) {
    std::printf("  %-8s %-12s %9d %8d %7d %6d %7d %9d\n", who.first.c_str(),
                std::string(ToText(who.second)).c_str(), of.by_kind[0], of.by_kind[1],
                of.by_kind[2], of.by_kind[3], of.by_kind[4], of.no_answer);
  }
}

merged_timeline ReadTimelines(fleet& floor) {
  http_client http(0);
  http.Start();
  merged_timeline all;
  for (size_t slot = 0; slot < floor.Entries(); ++slot) {
    http_call call;
    call.url = floor.UrlOf(slot) + "/v1/timeline?since=0";
    call.bearer = floor.Contract().operator_secret;
    AddProcess(http.SendAndWait(call).body, all);
  }
  http.Stop();
  SortByTime(all);
  return all;
}

// Owners, peers and versions from the kill on, as the surviving entries saw them.
void PrintTakeover(const merged_timeline& all, std::chrono::microseconds killed) {
  merged_timeline part = all;
  std::erase_if(part.events, [&](const merged_event& event) {
    return event.wall < killed || event.code < kFirstOwnerEvent || event.name == "grants_moved" ||
           event.name == "endpoint_fenced";
  });
  std::puts("time line of the survivors from the kill on (owners, peers, platform):");
  std::fputs(ToText(part).c_str(), stdout);
}

// The way of the last requests that more than one entry had a hand in.
void PrintRequests(const merged_timeline& all) {
  std::map<std::string, size_t> first_process;
  std::set<std::string> started;  // as the owner told: the entries are asked one after the other
  std::vector<std::string> crossed;
  for (const merged_event& event : all.events) {
    if (event.id.empty()) continue;
    const auto [known, is_new] = first_process.try_emplace(event.id, event.process);
    if (event.name == "task_started" && known->second != event.process) started.insert(event.id);
    const bool answered = event.name == "request_answered" && known->second == event.process;
    if (!is_new && answered) crossed.push_back(event.id);
  }
  size_t shown = 0;
  for (auto id = crossed.rbegin(); id != crossed.rend() && shown < kRequestsShown; ++id) {
    if (!started.contains(*id)) continue;
    merged_timeline part = all;
    KeepOnly(*id, part);
    std::printf("the way of request %s:\n", id->c_str());
    std::fputs(ToText(part).c_str(), stdout);
    ++shown;
  }
}

std::chrono::microseconds Since1970(std::chrono::system_clock::time_point at) {
  return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch());
}

}  // namespace

int DemoMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  scenario_run run(DemoOptions(absl::GetFlag(FLAGS_seed)));
  if (!run.Begin()) return 1;
  PrintFloor(run.Fleet());

  const size_t owner = run.OwnerSlot(kKilledDomain);
  std::printf("killing entry %s, which owns %s's shard, with SIGKILL\n",
              run.Fleet().Entry(owner).name.c_str(), run.Fleet().Entry(owner).domain.c_str());
  run.TimeNextPlacement(kKilledDomain);
  run.MarkFaultBegin();
  // By the wall clock, as the merged time line is.
  const auto killed = std::chrono::system_clock::now();
  run.KillEntry(owner);
  run.Sleep(kAfterKill);
  run.MarkFaultEnd();
  const merged_timeline all = ReadTimelines(run.Fleet());

  const nlohmann::json verdict = run.End();
  PrintOutcomes(run.Callers().Records());
  PrintTakeover(all, Since1970(killed));
  PrintRequests(all);
  std::printf("the checker, from callers' and endpoints' own records: %s\n",
              verdict.dump().c_str());
  const bool held = verdict.value("held", false);
  std::puts(held ? "every promise held" : "A PROMISE WAS BROKEN");
  return held ? 0 : 1;
}

}  // namespace catkinford
