// Jobs of many small tasks, of which a share is cancelled at once.
#include <algorithm>
#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "site.h"

using namespace review;  // NOLINT(google-build-using-namespace): a program of one file

namespace {

constexpr int kWorkers = 4;
constexpr int kJobs = 40;
constexpr int kTasks = 64;
constexpr size_t kAll = size_t{kJobs} * kTasks;
constexpr int kCancelled = 10;
constexpr int64_t kCancelMs = 3000;
constexpr int64_t kStopTimeoutMs = 900;

size_t RunningTasks(site& of) {
  size_t count = 0;
  for (const auto& each : of.Workers()) count += each->Running().size();
  return count;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  site of(argv[1]);
  for (int i = 0; i < kWorkers; ++i) {
    worker_options options;
    options.id = "i-" + std::to_string(i);
    options.cpu = 32000;
    options.memory_mb = 131072;
    options.rack = "r1-" + std::to_string(i / 2);
    of.AddWorker(options);
  }
  of.PutDesiredState({{"plan", 0}}, {{"south", "key-south", 20}});
  if (!of.StartEntries(3)) return of.CouldNotRun("the entries were not ready in time");
  std::this_thread::sleep_for(milliseconds(2000));

  std::vector<std::string> jobs;
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = JobId(0xb0000 + static_cast<uint64_t>(i));
    const json job = JobOfSteps({{"ms", 60000}}, {Step(kTasks, 50, 150, 60000)});
    if (!of.Submit("plan", id, "key-south", job)) return of.CouldNotRun("a job was not accepted");
    jobs.push_back(id);
    std::this_thread::sleep_for(milliseconds(100));
  }
  const auto until = steady::now() + milliseconds(40000);
  while (RunningTasks(of) < kAll && steady::now() < until) {
    std::this_thread::sleep_for(milliseconds(100));
  }
  of.Log().Line("running " + std::to_string(RunningTasks(of)) + " of " + std::to_string(kAll));
  if (RunningTasks(of) < kAll) {
    return of.CouldNotRun("not all tasks were at work");
  }

  // Without the disruption one job is cancelled.
  const int count = of.Trouble() ? kCancelled : 1;
  std::map<std::string, int64_t> acknowledged;
  for (int i = 0; i < count; ++i) {
    const response answer =
        of.Consumer("DELETE", "plan", jobs[static_cast<size_t>(i)], "key-south");
    of.Log().Line("cancel " + jobs[static_cast<size_t>(i)] + " answered " +
                  std::to_string(answer.status));
    if (answer.status == 200) acknowledged[jobs[static_cast<size_t>(i)]] = of.Log().Now();
  }
  size_t most = 0;
  int64_t last = 0;
  const int64_t end = of.Log().Now() + 30000;
  while (of.Log().Now() < end) {
    size_t late = 0;
    size_t left = 0;
    for (const auto& each : of.Workers()) {
      for (const auto& task : each->Running()) {
        const auto cancelled = acknowledged.find(JobOf(task.task));
        if (cancelled == acknowledged.end()) continue;
        ++left;
        if (of.Log().Now() > cancelled->second + kCancelMs + kStopTimeoutMs) ++late;
      }
    }
    if (late > 0) last = of.Log().Now();
    most = std::max(most, late);
    if (left == 0) break;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return of.Finish(most > 0, "UNASKED: " + std::to_string(most) +
                                 " tasks of cancelled jobs ran on 3.9 s after the ack, the last " +
                                 std::to_string(last) + " ms after the script's start");
}
