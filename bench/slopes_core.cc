// Slopes of the decision core: state of a shard and processor time of a placement.
#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

#include "bench/slope.h"
#include "process/decision_core.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Letter 1: 4,200 workers over 9 failure domains; 120,000 running tasks over 4,200 workers.
constexpr uint32_t kShardEndpoints = 467;
constexpr uint32_t kShardRunning = 13000;
constexpr uint32_t kSlotsPerEndpoint = 40;
constexpr uint32_t kEndpointsPerRack = 8;
constexpr uint32_t kTeams = 170;
constexpr resources kEndpoint{64000, 256000, 0, kSlotsPerEndpoint};
constexpr resources kTask{1000, 4000, 0, 1};
constexpr resources kNoBound{2000000000, 2000000000, 1000000, 1000000};
constexpr monotonic_time kNow{milliseconds{1000000}};

// One shard with its teams, and work put into it.
class core_bench {
 public:
  core_bench(uint32_t endpoints, uint32_t teams) : core_(core_options{}) {
    for (uint32_t i = 0; i < teams; ++i) AddTeam(i);
    for (uint32_t i = 0; i < endpoints; ++i) AddEndpoint(i);
  }

  void AddTeam(team_index team) {
    core_.SetTeam(team, {1.0, kNoBound, 1000000, 1000000}, kNow);
    core_.SetGrant(team, {kNoBound, 1000000}, kNow);
  }
  void AddEndpoint(endpoint_index endpoint) {
    core_.SetEndpoint(endpoint, {kEndpoint, endpoint / kEndpointsPerRack, 0}, endpoint_state::kOpen,
                      kNow);
  }
  void Submit(workload_kind kind) {
    job_request job;
    job.id = {3, ++next_};
    job.team = static_cast<team_index>(next_ % kTeams);
    job.kind = kind;
    job.each = kTask;
    job.submitted = kNow;
    job.deadline = kNow + std::chrono::hours(1);
    core_.Submit(job, kNow);
  }
  // Decides until nothing is left to do; each start is confirmed at once.
  std::vector<command> Settle() {
    std::vector<command> all;
    std::vector<command> some;
    do {
      some.clear();
      core_.Decide(kNow, some);
      for (const command& one : some) {
        if (one.kind == command_kind::kStart) core_.Started(one.task, kNow);
      }
      all.insert(all.end(), some.begin(), some.end());
    } while (!some.empty());
    return all;
  }
  void Fill(uint32_t tasks) {
    for (uint32_t i = 0; i < tasks; ++i) Submit(workload_kind::kBatch);
    Settle();
  }
  // One interactive task after the other starts and ends.
  void PlaceAndEnd(int tasks) {
    for (int i = 0; i < tasks; ++i) {
      Submit(workload_kind::kInteractive);
      for (const command& one : Settle()) {
        if (one.kind != command_kind::kStart) continue;
        core_.Finished(one.task, task_end::kDone, milliseconds{5}, kNow);
      }
      // Takes the word that the job ended.
      Settle();
    }
  }

 private:
  decision_core core_;
  uint64_t next_ = 0;
};

double EndpointMemory(double endpoints) {
  return HeapOf(
      [&] { return std::make_unique<core_bench>(static_cast<uint32_t>(endpoints), kTeams); });
}

double TeamMemory(double teams) {
  return HeapOf(
      [&] { return std::make_unique<core_bench>(kShardEndpoints, static_cast<uint32_t>(teams)); });
}

double RunningMemory(double tasks) {
  return HeapOf([&] {
    auto bench = std::make_unique<core_bench>(kShardEndpoints, kTeams);
    bench->Fill(static_cast<uint32_t>(tasks));
    return bench;
  });
}

double QueuedMemory(double tasks) {
  return HeapOf([&] {
    auto bench = std::make_unique<core_bench>(kShardEndpoints, kTeams);
    bench->Fill(kShardEndpoints * kSlotsPerEndpoint);
    for (int i = 0; i < static_cast<int>(tasks); ++i) bench->Submit(workload_kind::kBatch);
    return bench;
  });
}

double PlacementCpu(double placements) {
  core_bench bench(kShardEndpoints, kTeams);
  bench.Fill(kShardRunning);
  return CpuOf([&] { bench.PlaceAndEnd(static_cast<int>(placements)); });
}

// For each placement, at 28 running tasks an endpoint, as the shard grows.
double PlacementCpuOfShard(double endpoints) {
  constexpr int kPlacements = 2000;
  core_bench bench(static_cast<uint32_t>(endpoints), kTeams);
  bench.Fill(static_cast<uint32_t>(endpoints) * kShardRunning / kShardEndpoints);
  return CpuOf([&] { bench.PlaceAndEnd(kPlacements); }) / kPlacements;
}

}  // namespace

std::vector<slope_question> CoreSlopes() {
  const std::vector<double> tasks = {1000, 4000, 8000, 16000};
  return {
      {"core.endpoint_memory",
       "bytes",
       "endpoint",
       {50, 467, 1000, 4200},
       EndpointMemory,
       "decision_core with 170 teams, nothing running"},
      {"core.team_memory",
       "bytes",
       "team",
       {10, 40, 80, 170},
       TeamMemory,
       "decision_core with 467 endpoints"},
      {"core.running_memory", "bytes", "running task", tasks, RunningMemory,
       "decision_core, 467 endpoints, jobs of one batch task"},
      {"core.queued_memory", "bytes", "queued task", tasks, QueuedMemory,
       "decision_core, 467 full endpoints, jobs of one batch task"},
      {"core.placement_cpu", "us", "placement", tasks, PlacementCpu,
       "Submit, Decide, Started, Finished of an interactive task; 467 endpoints, 13,000 running"},
      {"core.placement_cpu_by_size",
       "us",
       "endpoint",
       {50, 467, 1000, 4200},
       PlacementCpuOfShard,
       "one placement as its shard grows, 28 running tasks an endpoint"},
  };
}

}  // namespace catkinford
