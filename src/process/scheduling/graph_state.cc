#include "process/scheduling/graph_state.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "request/bounded_json.h"
#include "request/json_text.h"

namespace catkinford {
namespace {

using nlohmann::json;

// Done tasks as ranges, [first, count, ...]: most steps are done from the front.
void AppendDoneRanges(const step_progress& step, std::string& out) {
  out += '[';
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].phase != graph_task_phase::kDone) continue;
    const size_t first = i;
    while (i < step.tasks.size() && step.tasks[i].phase == graph_task_phase::kDone) ++i;
    absl::StrAppend(&out, out.back() == '[' ? "" : ",", first, ",", i - first);
  }
  out += ']';
}

// Occurrences that are done beside an earlier one that is not are listed one by one up to this
// number, as earlier programs read them, and as ranges beyond it: one run that lasts may have tens
// of thousands of others end before it.
constexpr size_t kMaxListedOccurrences = 64;

// [first, count, ...] of ascending numbers, without the brackets.
std::string Spans(const std::vector<uint32_t>& numbers) {
  std::string out;
  for (size_t i = 0; i < numbers.size();) {
    size_t end = i + 1;
    while (end < numbers.size() && numbers[end] == numbers[end - 1] + 1) ++end;
    absl::StrAppend(&out, out.empty() ? "" : ",", numbers[i], ",", end - i);
    i = end;
  }
  return out;
}

// Serialized without a JSON tree: some hundred records are written a second, and building a tree
// for each would take most of the time.
void AppendStep(const step_progress& step, const run_numbers& numbers, std::string& out) {
  out += R"({"done":)";
  AppendDoneRanges(step, out);
  std::string failures;
  std::string checkpoints;
  std::string runs;
  std::string highest;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    const graph_task_state& task = step.tasks[i];
    if (task.phase == graph_task_phase::kDone) continue;
    if (!task.failed_runs.empty()) {
      absl::StrAppend(&failures, failures.empty() ? "" : ",", "[", i, ",[",
                      absl::StrJoin(task.failed_runs, ","), "]]");
    }
    if (!task.checkpoint.empty()) {
      absl::StrAppend(&checkpoints, checkpoints.empty() ? "" : ",", "[", i, ",",
                      JsonText(task.checkpoint), "]");
    }
    if (const uint32_t recorded = numbers.ToRecord(task.last_run)) {
      absl::StrAppend(&highest, highest.empty() ? "" : ",", "[", i, ",", recorded, "]");
    }
    for (const open_run& run : task.open_runs) {
      absl::StrAppend(&runs, runs.empty() ? "" : ",", "[", i, ",", run.number, ",",
                      JsonText(run.instance), "]");
    }
  }
  if (!failures.empty()) absl::StrAppend(&out, R"(,"fail":[)", failures, "]");
  if (!checkpoints.empty()) absl::StrAppend(&out, R"(,"ckpt":[)", checkpoints, "]");
  if (!runs.empty()) absl::StrAppend(&out, R"(,"runs":[)", runs, "]");
  if (!highest.empty()) absl::StrAppend(&out, R"(,"last":[)", highest, "]");
  if (!step.gang_failed_runs.empty()) {
    absl::StrAppend(&out, R"(,"gang_fail":[)", absl::StrJoin(step.gang_failed_runs, ","), "]");
  }
  out += '}';
}

void ApplyStep(step_progress& step, const json& in, const run_numbers& numbers) {
  const json& done = in.at("done");
  for (size_t i = 0; i + 1 < done.size(); i += 2) {
    const auto first = WholeFrom<size_t>(done[i]);
    const auto count = WholeFrom<size_t>(done[i + 1]);
    for (size_t k = first; k < first + count && k < step.tasks.size(); ++k) {
      if (step.tasks[k].phase == graph_task_phase::kDone) continue;
      step.tasks[k].phase = graph_task_phase::kDone;
      --step.waiting;
      ++step.done;
    }
  }
  for (const json& row : in.value("fail", json::array())) {
    const auto index = WholeFrom<size_t>(row.at(0));
    if (index >= step.tasks.size()) continue;
    graph_task_state& task = step.tasks[index];
    task.failed_runs = WholesFrom<uint32_t>(row.at(1));
    for (const uint32_t run : task.failed_runs) task.last_run = std::max(task.last_run, run);
  }
  for (const json& row : in.value("last", json::array())) {
    const auto index = WholeFrom<size_t>(row.at(0));
    if (index >= step.tasks.size()) continue;
    graph_task_state& task = step.tasks[index];
    task.last_run = std::max(task.last_run, numbers.FromRecord(WholeFrom<uint32_t>(row.at(1))));
  }
  for (const json& row : in.value("ckpt", json::array())) {
    const auto index = WholeFrom<size_t>(row.at(0));
    if (index < step.tasks.size()) step.tasks[index].checkpoint = row.at(1).get<std::string>();
  }
  for (const json& row : in.value("runs", json::array())) {
    const auto index = WholeFrom<size_t>(row.at(0));
    if (index >= step.tasks.size()) continue;
    graph_task_state& task = step.tasks[index];
    task.open_runs.push_back({WholeFrom<uint32_t>(row.at(1)), row.at(2).get<std::string>(), {}});
    task.last_run = std::max(task.last_run, task.open_runs.back().number);
  }
  step.gang_failed_runs = WholesFrom<uint32_t>(in, "gang_fail");
}

graph_phase PhaseFromText(const std::string& text) {
  if (text == "completed") return graph_phase::kCompleted;
  if (text == "failed") return graph_phase::kFailed;
  if (text == "cancelled") return graph_phase::kCancelled;
  if (text == "running") return graph_phase::kRunning;
  return graph_phase::kQueued;
}

void ApplyOccurrences(job_entry& entry, const json& in, monotonic_time now,
                      const run_numbers& numbers) {
  entry.done_below = WholeFrom<uint32_t>(in, "below", 0);
  entry.finished = WholesFrom<uint32_t>(in, "finished");
  const json spans = in.value("spans", json::array());
  for (size_t i = 0; i + 1 < spans.size(); i += 2) {
    const auto first = WholeFrom<uint32_t>(spans[i]);
    const uint64_t end = uint64_t{first} + WholeFrom<uint32_t>(spans[i + 1]);
    for (uint64_t k = first; k < std::min<uint64_t>(end, entry.job.Occurrences()); ++k) {
      entry.finished.push_back(static_cast<uint32_t>(k));
    }
  }
  std::sort(entry.finished.begin(), entry.finished.end());
  entry.next_occurrence = entry.done_below;
  for (const json& one : in.value("open", json::array())) {
    const auto number = WholeFrom<uint32_t>(one.at("k"));
    if (number >= entry.job.Occurrences()) continue;
    if (entry.occurrences.contains(number)) continue;
    occurrence_state& state = AddOccurrence(entry, number, now);
    const json& steps = one.at("steps");
    for (size_t i = 0; i < steps.size() && i < state.steps.size(); ++i) {
      ApplyStep(state.steps[i], steps[i], numbers);
      entry.waiting_tasks -= state.steps[i].done;
      entry.done_tasks += state.steps[i].done;
    }
    state.started = true;
  }
}

}  // namespace

std::string_view ToText(graph_phase phase) {
  switch (phase) {
    case graph_phase::kQueued:
      return "queued";
    case graph_phase::kRunning:
      return "running";
    case graph_phase::kCompleted:
      return "completed";
    case graph_phase::kFailed:
      return "failed";
    case graph_phase::kCancelled:
      return "cancelled";
  }
  return "queued";
}

bool IsFinal(graph_phase phase) {
  return phase == graph_phase::kCompleted || phase == graph_phase::kFailed ||
         phase == graph_phase::kCancelled;
}

namespace {

// Without it, an occurrence that is opened anew is the same.
bool HasProgress(const step_progress& step) {
  return step.waiting < step.tasks.size() || !step.gang_failed_runs.empty() ||
         std::any_of(step.tasks.begin(), step.tasks.end(), [](const graph_task_state& task) {
           return task.last_run > 0 || !task.open_runs.empty() || !task.failed_runs.empty() ||
                  !task.checkpoint.empty();
         });
}

bool HasProgress(const occurrence_state& occurrence) {
  return std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
                     [](const step_progress& step) { return HasProgress(step); });
}

bool HasOpenRuns(const occurrence_state& occurrence) {
  return std::any_of(
      occurrence.steps.begin(), occurrence.steps.end(), [](const step_progress& step) {
        return std::any_of(step.tasks.begin(), step.tasks.end(),
                           [](const graph_task_state& task) { return !task.open_runs.empty(); });
      });
}

auto VerdictPosition(const std::vector<advice_verdict>& verdicts, uint32_t instance) {
  return std::lower_bound(
      verdicts.begin(), verdicts.end(), instance,
      [](const advice_verdict& each, uint32_t wanted) { return each.instance < wanted; });
}

}  // namespace

const advice_verdict* step_advice::FindVerdict(uint32_t instance) const {
  const auto found = VerdictPosition(verdicts, instance);
  return found != verdicts.end() && found->instance == instance ? &*found : nullptr;
}

advice_verdict& step_advice::MakeVerdict(uint32_t instance) {
  const auto found = VerdictPosition(verdicts, instance);
  if (found != verdicts.end() && found->instance == instance) {
    return verdicts[static_cast<size_t>(found - verdicts.begin())];
  }
  advice_verdict made;
  made.instance = instance;
  return *verdicts.insert(found, std::move(made));
}

void step_advice::Apply(std::vector<advice_verdict> latest) {
  const auto before = [](const advice_verdict& a, const advice_verdict& b) {
    return a.instance < b.instance;
  };
  std::sort(latest.begin(), latest.end(), before);
  std::vector<advice_verdict> earlier = std::exchange(verdicts, {});
  verdicts.reserve(earlier.size() + latest.size());
  // Of equal elements, set_union() takes those of the first range.
  std::set_union(std::make_move_iterator(latest.begin()), std::make_move_iterator(latest.end()),
                 std::make_move_iterator(earlier.begin()), std::make_move_iterator(earlier.end()),
                 std::back_inserter(verdicts), before);
}

void step_advice::RemoveVerdict(uint32_t instance) {
  const auto found = VerdictPosition(verdicts, instance);
  if (found != verdicts.end() && found->instance == instance) verdicts.erase(found);
}

bool occurrence_state::Done() const {
  return std::all_of(steps.begin(), steps.end(),
                     [](const step_progress& step) { return step.Done(); });
}

bool job_entry::AllDone() const { return done_below >= job.Occurrences(); }

graph_phase job_entry::VisiblePhase() const {
  // A final phase that is not stored would be lost if this process died now.
  if (IsFinal(phase) && stored < final_change) return graph_phase::kRunning;
  return phase;
}

step_progress* job_entry::Find(const task_key& key) {
  const auto found = occurrences.find(key.occurrence);
  if (found == occurrences.end() || key.step >= found->second->steps.size()) return nullptr;
  step_progress& step = found->second->steps[key.step];
  return key.index < step.tasks.size() ? &step : nullptr;
}

std::unique_ptr<occurrence_state> MakeOccurrence(const graph_job& job, uint32_t number,
                                                 monotonic_time now) {
  auto out = std::make_unique<occurrence_state>();
  out->number = number;
  out->steps.resize(job.steps.size());
  for (size_t i = 0; i < job.steps.size(); ++i) {
    step_progress& step = out->steps[i];
    step.tasks.resize(job.steps[i].count);
    step.waiting = job.steps[i].count;
    for (graph_task_state& task : step.tasks) task.waiting_since = now;
  }
  return out;
}

occurrence_state& AddOccurrence(job_entry& entry, uint32_t number, monotonic_time now) {
  std::unique_ptr<occurrence_state>& slot = entry.occurrences[number];
  slot = MakeOccurrence(entry.job, number, now);
  for (const step_progress& step : slot->steps) entry.waiting_tasks += step.waiting;
  return *slot;
}

void FinishOccurrence(job_entry& entry, uint32_t number) {
  const auto open = entry.occurrences.find(number);
  for (const step_progress& step : open->second->steps) {
    entry.waiting_tasks -= step.waiting;
    entry.done_tasks -= step.done;
  }
  entry.occurrences.erase(open);
  entry.finished.insert(std::upper_bound(entry.finished.begin(), entry.finished.end(), number),
                        number);
  size_t used = 0;
  while (used < entry.finished.size() && entry.finished[used] == entry.done_below) {
    ++entry.done_below;
    ++used;
  }
  entry.finished.erase(entry.finished.begin(),
                       entry.finished.begin() + static_cast<std::ptrdiff_t>(used));
}

bool IsFinished(const job_entry& entry, uint32_t number) {
  return number < entry.done_below ||
         std::binary_search(entry.finished.begin(), entry.finished.end(), number);
}

bool HasOpenRuns(const job_entry& entry) {
  return std::any_of(entry.occurrences.begin(), entry.occurrences.end(),
                     [](const auto& item) { return HasOpenRuns(*item.second); });
}

resources LargestUsage(const graph_job& job, const occurrence_state& occurrence) {
  // Steps that depend on each other never run at the same time. A chain of them uses no more than
  // its largest step; steps of different chains may run side by side.
  std::vector<resources> chains;
  std::vector<size_t> chain_of;
  std::vector<size_t> last_of;  // by chain: its latest step
  for (size_t i = 0; i < job.steps.size(); ++i) {
    const auto& after = job.steps[i].after;
    const auto before = std::find_if(
        after.begin(), after.end(), [&](uint32_t step) { return last_of[chain_of[step]] == step; });
    const size_t chain = before == after.end() ? chains.size() : chain_of[*before];
    chains.resize(std::max(chains.size(), chain + 1));
    last_of.resize(chains.size());
    chain_of.push_back(chain);
    last_of[chain] = i;
    resources use;
    for (uint32_t k = 0; k < occurrence.steps[i].waiting; ++k) use += job.steps[i].need;
    resources& largest = chains[chain];
    largest.cpu_milli = std::max(largest.cpu_milli, use.cpu_milli);
    largest.memory_mb = std::max(largest.memory_mb, use.memory_mb);
    largest.accelerators = std::max(largest.accelerators, use.accelerators);
  }
  resources sum;
  for (const resources& chain : chains) sum += chain;
  return sum;
}

std::string ProgressToText(const job_entry& entry, const run_numbers& numbers) {
  std::string out = absl::StrCat(R"({"phase":")", std::string(ToText(entry.phase)), R"(","below":)",
                                 entry.done_below);
  if (entry.finished.size() > kMaxListedOccurrences) {
    absl::StrAppend(&out, R"(,"spans":[)", Spans(entry.finished), "]");
  } else if (!entry.finished.empty()) {
    absl::StrAppend(&out, R"(,"finished":[)", absl::StrJoin(entry.finished, ","), "]");
  }
  const bool final = IsFinal(entry.phase);
  if (!final || HasOpenRuns(entry)) {
    out += R"(,"open":[)";
    for (const auto& [number, occurrence] : entry.occurrences) {
      if (final ? !HasOpenRuns(*occurrence) : !HasProgress(*occurrence)) continue;
      absl::StrAppend(&out, out.back() == '[' ? "" : ",", R"({"k":)", number, R"(,"steps":[)");
      for (const step_progress& step : occurrence->steps) {
        if (out.back() != '[') out += ',';
        AppendStep(step, numbers, out);
      }
      out += "]}";
    }
    out += ']';
  }
  out += '}';
  return out;
}

bool ApplyProgress(job_entry& entry, std::string_view text, monotonic_time now,
                   const run_numbers& numbers) {
  const json in = ParseJson(text);
  if (!in.is_object()) return false;
  job_entry fresh;
  fresh.job = entry.job;
  try {
    fresh.phase = PhaseFromText(in.at("phase").get<std::string>());
    ApplyOccurrences(fresh, in, now, numbers);
  } catch (const json::exception&) {
    return false;
  }
  entry.phase = fresh.phase;
  entry.started = fresh.phase != graph_phase::kQueued;
  entry.occurrences = std::move(fresh.occurrences);
  entry.finished = std::move(fresh.finished);
  entry.done_below = fresh.done_below;
  entry.next_occurrence = fresh.next_occurrence;
  entry.waiting_tasks = fresh.waiting_tasks;
  entry.done_tasks = fresh.done_tasks;
  return true;
}

}  // namespace catkinford
