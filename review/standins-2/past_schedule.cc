// One repeated job whose first run lies in the past, so that all its occurrences are due at once.
// The platform kills a process whose memory exceeds the limit and starts it again.
#include <unistd.h>

#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "site.h"

using namespace review;  // NOLINT(google-build-using-namespace): a program of one file

namespace {

constexpr int kWorkers = 8;
constexpr int64_t kMemoryMb = 260;
constexpr milliseconds kRestart{500};
constexpr int64_t kLengthMs = 60000;
constexpr int64_t kOccurrences = int64_t{30} * 24 * 60;
constexpr int64_t kMinuteMs = 60000;

int64_t ResidentMb(pid_t process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/statm");
  int64_t total = 0;
  int64_t resident = 0;
  in >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE) / (1 << 20);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  site of(argv[1]);
  for (int i = 0; i < kWorkers; ++i) {
    worker_options options;
    options.id = "i-" + std::to_string(i);
    options.rack = "r1-" + std::to_string(i / 2);
    of.AddWorker(options);
  }
  of.PutDesiredState({{"quick", 0}, {"plan", 2}},
                     {{"north", "key-north", 20}, {"south", "key-south", 20}});
  if (!of.StartEntries(3)) return of.CouldNotRun("the entries were not ready in time");
  std::this_thread::sleep_for(milliseconds(2000));
  if (of.Trouble()) {
    // Every minute for thirty days, from thirty days ago on.
    const int64_t now = std::chrono::duration_cast<milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    json job = JobOfSteps({{"ms", 300}}, {Step(24, 1300, 1000, 300), Step(24, 1300, 1000, 300)});
    job["steps"][1]["after"] = {0};
    job["repeat-count"] = kOccurrences;
    job["interval-ms"] = kMinuteMs;
    job["first-run-ms"] = now - kOccurrences * kMinuteMs;
    of.Submit("plan", JobId(0xc0000), "key-south", job);
  }
  std::map<std::string, int> ends;
  std::map<std::string, steady::time_point> starts_at;
  int64_t most = 0;
  int64_t next_job = of.Log().Now();
  uint64_t jobs = 0;
  const int64_t until = of.Log().Now() + kLengthMs;
  while (of.Log().Now() < until) {
    std::this_thread::sleep_for(milliseconds(20));
    for (entry& each : of.Entries()) {
      if (each.process < 0) {
        if (steady::now() >= starts_at[each.name]) of.StartProcess(each);
        continue;
      }
      const int64_t used = ResidentMb(each.process);
      most = std::max(most, used);
      const bool over = used > kMemoryMb;
      if (over) {
        of.Log().Line("process " + each.name + " uses " + std::to_string(used) + " MB");
        of.Kill(each);
      }
      if (over || of.EndedByItself(each)) {
        ++ends[each.name];
        starts_at[each.name] = steady::now() + kRestart;
      }
    }
    if (of.Log().Now() >= next_job) {
      next_job += 1000;
      const std::string id = JobId(0xa0000 + jobs++);
      const response answer =
          of.Consumer("POST", "quick", id, "key-north",
                      JobOfSteps({{"ms", 300}}, {Step(4, 1300, 1000, 300)}).dump());
      of.Log().Line("submit quick " + id + " answered " + std::to_string(answer.status));
    }
  }
  int machines = 0;
  std::string counts;
  for (const auto& [name, count] : ends) {
    if (count >= 3) ++machines;
    counts += " " + name + "=" + std::to_string(count);
  }
  size_t done = 0;
  for (uint64_t i = 0; i < jobs; ++i) {
    if (of.State("quick", JobId(0xa0000 + i), "key-north") == "completed") ++done;
  }
  return of.Finish(machines >= 2, "Fault: ends by machine" + counts + ", at most " +
                                      std::to_string(most) + " MB; " + std::to_string(done) +
                                      " of " + std::to_string(jobs) + " other jobs completed");
}
