// The only worker of its kind is lost for good while jobs that need that kind come at their usual
// rate. Jobs of another queue, which any worker may run, come beside them.
#include <map>
#include <string>
#include <vector>

#include "idle_floor.h"

using namespace review;  // NOLINT(google-build-using-namespace): a program of one file

namespace {

constexpr int kWorkers = 8;
constexpr int kSeconds = 14;
constexpr int kQuickPerSecond = 10;
constexpr int kPlanEvery = 5;  // quick jobs for each job of the other queue
constexpr milliseconds kFinish{14000};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  site of(argv[1]);
  for (int i = 0; i < kWorkers; ++i) {
    worker_options options;
    options.id = "i-" + std::to_string(i);
    options.kind = i + 1 == kWorkers ? "b" : "a";
    options.rack = "r1-" + std::to_string(i / 2);
    of.AddWorker(options);
  }
  of.PutDesiredState({{"quick", 0}, {"plan", 2}},
                     {{"north", "key-north", 20}, {"south", "key-south", 20}});
  if (!of.StartEntries(3)) return of.CouldNotRun("the entries were not ready in time");
  std::this_thread::sleep_for(milliseconds(2000));

  std::map<std::string, sent_job> all;
  std::vector<sent_job> jobs;
  if (of.Trouble()) of.Workers().back()->Crash();
  for (int i = 0; i < kSeconds * kQuickPerSecond; ++i) {
    const auto next = steady::now() + milliseconds(1000 / kQuickPerSecond);
    json step = Step(1, 1300, 1000, 500);
    step["constraints"] = "b";
    const std::string quick = JobId(0xa0000 + static_cast<uint64_t>(i));
    all[quick] = {"quick", quick, "key-north", 1300, 1000, "b"};
    of.Submit("quick", quick, "key-north", JobOfSteps({{"ms", 500}}, {step}));
    if (i % kPlanEvery == 0) {
      const std::string plan = JobId(0xb0000 + static_cast<uint64_t>(i));
      const sent_job job{"plan", plan, "key-south", 2700, 4000, ""};
      all[plan] = job;
      if (of.Submit("plan", plan, "key-south",
                    JobOfSteps({{"ms", 400}}, {Step(2, 2700, 4000, 400)}))) {
        jobs.push_back(job);
      }
    }
    std::this_thread::sleep_until(next);
  }
  std::this_thread::sleep_for(kFinish);
  std::vector<sent_job> waiting;
  for (const sent_job& job : jobs) {
    if (of.State(job.queue, job.id, job.key) != "completed") waiting.push_back(job);
  }
  const auto neglected = NeglectedJobs(of, all, waiting);
  return of.Finish(!neglected.empty(),
                   "LOST: " + std::to_string(neglected.size()) + " of " +
                       std::to_string(jobs.size()) +
                       " accepted jobs that any worker may run had nothing running for 3 s, 14 s "
                       "after the last was sent, beside idle workers");
}
