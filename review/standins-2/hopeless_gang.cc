// One job that can never be done, a gang wider than the floor, among the jobs of another queue.
#include <map>
#include <string>
#include <vector>

#include "idle_floor.h"

using namespace review;  // NOLINT(google-build-using-namespace): a program of one file

namespace {

constexpr int kWorkers = 6;
constexpr uint64_t kGang = 0xa000;
constexpr int kJobs = 30;
constexpr milliseconds kBetweenJobs{100};
constexpr milliseconds kFinish{14000};

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
  of.PutDesiredState({{"quick", 0}, {"plan", 2}}, {{"north", "key-north"}, {"south", "key-south"}});
  if (!of.StartEntries(3)) return of.CouldNotRun("the entries were not ready in time");
  std::this_thread::sleep_for(milliseconds(2000));

  std::map<std::string, sent_job> all;
  if (of.Trouble()) {
    json gang = Step(40, 7000, 9000, 2000);
    gang["gang"] = true;
    const std::string id = JobId(kGang);
    all[id] = {"quick", id, "key-north", 7000, 9000, ""};
    if (!of.Submit("quick", id, "key-north", JobOfSteps({{"ms", 2000}}, {gang}))) {
      return of.CouldNotRun("the gang was not accepted");
    }
  }
  std::vector<sent_job> jobs;
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = JobId(0xb000 + static_cast<uint64_t>(i));
    const sent_job job{"plan", id, "key-south", 2700, 4000, ""};
    all[id] = job;
    if (of.Submit("plan", id, "key-south", JobOfSteps({{"ms", 400}}, {Step(2, 2700, 4000, 400)}))) {
      jobs.push_back(job);
    }
    std::this_thread::sleep_for(kBetweenJobs);
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
                       " accepted jobs had nothing running for 3 s, 14 s after the last was sent, "
                       "beside an idle floor");
}
