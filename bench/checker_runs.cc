#include "bench/checker_runs.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace catkinford {
namespace {

task_run RunFrom(const run_event& event) {
  task_run run;
  run.endpoint = event.endpoint;
  run.id = event.id;
  run.epoch = event.epoch;
  run.team = event.team;
  run.work = event.work;
  run.amount = event.amount;
  run.start = event.at;
  const std::vector<std::string> parts = absl::StrSplit(event.id, '/');
  run.place = parts.size() < 2 ? event.id : absl::StrCat(parts[0], "/", parts[1]);
  if (parts.size() < 2 || !absl::SimpleAtoi(parts[1], &run.index)) run.index = 0;
  return run;
}

}  // namespace

std::vector<task_run> RunsOf(const std::vector<run_event>& events) {
  std::vector<task_run> runs;
  absl::flat_hash_map<std::string, size_t> open;
  for (const run_event& event : events) {
    const std::string key = absl::StrCat(event.endpoint, " ", event.id);
    if (event.event == "start") {
      open[key] = runs.size();
      runs.push_back(RunFrom(event));
    } else if (event.event == "end") {
      const auto found = open.find(key);
      if (found == open.end()) continue;
      runs[found->second].end = event.at;
      runs[found->second].result = event.result;
      open.erase(found);
    }
  }
  std::stable_sort(runs.begin(), runs.end(),
                   [](const task_run& a, const task_run& b) { return a.start < b.start; });
  return runs;
}

work_index IndexByWork(const std::vector<task_run>& runs, const std::vector<call_record>& calls) {
  work_index index;
  for (const call_record& call : calls) index[call.work].calls.push_back(&call);
  for (const task_run& run : runs) index[run.work].runs.push_back(&run);
  return index;
}

bool IsOver(const call_record& accepted, const work_history& all) {
  std::set<uint32_t> over;
  for (const task_run* run : all.runs) {
    const bool ended = run->end != monotonic_time::max();
    const bool failed = run->result == "failed";
    if (failed && accepted.kind == workload_kind::kGang) return true;
    const bool serves = accepted.kind == workload_kind::kService && !ended;
    const bool lost = run->result == "killed" || run->result == "lease_lapsed";
    const bool was_only_run = lost && !accepted.repeatable;
    if (run->result == "ok" || failed || serves || was_only_run) over.insert(run->index);
  }
  return over.size() >= accepted.tasks;
}

std::vector<load_step> StepsOf(const std::vector<const task_run*>& runs) {
  std::vector<load_step> steps;
  for (const task_run* run : runs) {
    steps.push_back({run->start, true, run});
    if (run->end != monotonic_time::max()) steps.push_back({run->end, false, run});
  }
  std::stable_sort(steps.begin(), steps.end());
  return steps;
}

}  // namespace catkinford
