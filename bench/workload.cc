#include "bench/workload.h"

#include <algorithm>
#include <cmath>

#include "bench/random_source.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kWorkers = 50;  // of each tenant
constexpr uint32_t kRack = 8;
constexpr resources kKitamuraWorker{16000, 32768, 0, 8};
constexpr resources kAltynsayWorker{32000, 131072, 0, 8};
constexpr milliseconds kDeadline{10000};
constexpr double kWrongDeclaration = 0.8;  // sigma of the logarithm of declared over real

// One shard of a small site, for loads beyond it.
constexpr uint32_t kSmallFloor = 17;
constexpr milliseconds kShortDeadline{2000};
constexpr milliseconds kStormEnd{10000};

// Requests a second that the small floor can run: run times of 200 ms and sigma 0.5 last 227 ms on
// average, and slots are scarcest.
constexpr double SmallCapacity() { return kSmallFloor * 8 / 0.227; }

// How one stream of jobs arrives and what its jobs are like.
struct stream {
  workload_kind kind = workload_kind::kInteractive;
  team_index first_team = 0;
  uint32_t teams = 1;
  double per_second = 1;
  double burst = 1;  // jobs that arrive together, on average
  double run_median_ms = 100;
  double run_sigma = 0.8;
  uint32_t least_cpu = 500;
  uint32_t cpu_steps = 4;  // of 500
  uint32_t least_memory = 512;
  uint32_t memory_steps = 4;  // of 512
  uint32_t most_tasks = 1;
  bool urgent = false;
  milliseconds deadline = kDeadline;
};

class workload_builder {
 public:
  workload_builder(std::string name, uint64_t seed, milliseconds length)
      : seed_(seed), random_(seed) {
    work_.name = std::move(name);
    work_.length = length;
  }

  void AddWorkers(uint32_t count, const resources& shape) {
    for (uint32_t i = 0; i < count; ++i) {
      const auto rack = static_cast<uint32_t>(work_.endpoints.size()) / kRack;
      work_.endpoints.push_back({shape, rack, 0});
    }
  }

  void AddTeams(std::initializer_list<double> weights) {
    for (const double weight : weights) work_.teams.push_back({weight});
  }

  void Add(const stream& s) { Add(s, milliseconds{0}, work_.length); }

  void Add(const stream& s, milliseconds from, milliseconds to) {
    for (double at = static_cast<double>(from.count()) + Gap(s);
         at < static_cast<double>(to.count()); at += Gap(s)) {
      const auto together = static_cast<uint32_t>(1 + random_.Exponential(s.burst - 1.0 + 1e-9));
      for (uint32_t i = 0; i < together; ++i) AddJob(s, milliseconds{static_cast<int64_t>(at)});
    }
  }

  void AddJob(const stream& s, milliseconds at) {
    generated_job job;
    job_request& r = job.request;
    r.id = {seed_, ++last_};
    r.team = s.first_team + random_.Below(s.teams);
    r.kind = s.kind;
    r.urgent = s.urgent;
    r.tasks = 1 + random_.Below(s.most_tasks);
    r.each = {s.least_cpu + 500 * random_.Below(s.cpu_steps),
              s.least_memory + 512 * random_.Below(s.memory_steps), 0, 1};
    r.submitted = monotonic_time{at};
    if (s.kind == workload_kind::kInteractive) r.deadline = monotonic_time{at + s.deadline};
    const double usual = random_.LogNormal(s.run_median_ms, s.run_sigma);
    for (uint32_t t = 0; t < r.tasks; ++t) {
      const double run = std::max(1.0, random_.LogNormal(usual, 0.2));
      job.run_times.emplace_back(static_cast<int64_t>(run));
    }
    r.declared_run_time =
        milliseconds{1 + static_cast<int64_t>(random_.LogNormal(usual, kWrongDeclaration))};
    work_.jobs.push_back(std::move(job));
  }

  workload Build() {
    std::stable_sort(work_.jobs.begin(), work_.jobs.end(),
                     [](const generated_job& a, const generated_job& b) {
                       return a.request.submitted < b.request.submitted;
                     });
    return std::move(work_);
  }

 private:
  double Gap(const stream& s) { return random_.Exponential(1000.0 * s.burst / s.per_second); }

  uint64_t seed_;
  random_source random_;
  workload work_;
  uint64_t last_ = 0;
};

// Bookings in bursts, a few long services, quarterly batch work that fills what is left.
void AddKitamura(workload_builder& build, team_index first, double scale) {
  build.Add({workload_kind::kInteractive, first, 3, 900 * scale, 8, 120, 0.7, 500, 4, 512, 4});
  build.Add(
      {workload_kind::kInteractive, first, 3, 1 * scale, 1, 200, 0.5, 1000, 2, 1024, 2, 1, true});
  build.Add({workload_kind::kService, first, 3, 0.2 * scale, 1, 1e9, 0.1, 500, 3, 1024, 4, 4});
  build.Add({workload_kind::kBatch, first + 3, 3, 6 * scale, 4, 6000, 1.0, 1000, 6, 1024, 8, 16});
}

// Reconciliation and audit replays, gangs, and allocations that somebody waits for.
void AddAltynsay(workload_builder& build, team_index first, double scale) {
  build.Add({workload_kind::kInteractive, first, 2, 150 * scale, 3, 200, 0.8, 1000, 4, 1024, 6});
  build.Add(
      {workload_kind::kInteractive, first, 2, 0.5 * scale, 1, 300, 0.5, 2000, 2, 2048, 2, 1, true});
  build.Add({workload_kind::kService, first, 2, 0.1 * scale, 1, 1e9, 0.1, 1000, 3, 2048, 4, 4});
  build.Add({workload_kind::kBatch, first + 2, 3, 8 * scale, 4, 8000, 1.0, 1000, 12, 2048, 32, 12});
  build.Add({workload_kind::kGang, first + 5, 1, 0.4 * scale, 1, 5000, 0.6, 2000, 4, 4096, 8, 16});
}

}  // namespace

workload MixedWorkload(std::string_view mix, uint64_t seed, uint32_t scale) {
  workload_builder build(std::string(mix), seed, seconds{60});
  if (mix != "altynsay") {
    build.AddWorkers(kWorkers * scale, kKitamuraWorker);
    build.AddTeams({3, 2, 2, 1, 1, 1});
    AddKitamura(build, 0, scale);
  }
  if (mix != "kitamura") {
    const team_index first = mix == "both" ? 6 : 0;
    build.AddWorkers(kWorkers * scale, kAltynsayWorker);
    build.AddTeams({2, 2, 2, 1, 1, 1});
    AddAltynsay(build, first, scale);
  }
  return build.Build();
}

workload PackingWorkload(uint64_t seed) {
  workload_builder build("packing", seed, seconds{120});
  build.AddWorkers(kWorkers, kAltynsayWorker);
  build.AddTeams({1, 1, 1});
  const stream s{workload_kind::kBatch, 0, 3, 1, 1, 5000, 0.8, 2000, 12, 4096, 56};
  for (int i = 0; i < 6000; ++i) build.AddJob(s, milliseconds{0});
  return build.Build();
}

workload ShareWorkload(uint64_t seed) {
  workload_builder build("share", seed, seconds{60});
  build.AddWorkers(kWorkers, kKitamuraWorker);
  build.AddTeams({1, 2, 3, 4});
  for (team_index team = 0; team < 4; ++team) {
    const double run = 500.0 * (1 + team);
    const stream s{workload_kind::kBatch, team, 1, 1, 1, run, 0.5, 1000, 4, 512, 6};
    for (int i = 0; i < 20000; ++i) build.AddJob(s, milliseconds{0});
  }
  return build.Build();
}

workload OverloadWorkload(double load, uint64_t seed) {
  workload_builder build("overload", seed, seconds{40});
  build.AddWorkers(kWorkers, kKitamuraWorker);
  build.AddTeams({1, 1, 2});
  // Run times of 200 ms and sigma 0.5 last 227 ms on average; slots are scarcest: 400 of them.
  const double capacity = 400 / 0.227;
  build.Add({workload_kind::kInteractive, 0, 3, load * capacity, 4, 200, 0.5, 500, 3, 512, 4});
  return build.Build();
}

workload StormWorkload(uint64_t seed) {
  workload_builder build("storm", seed, seconds{60});
  build.AddWorkers(kSmallFloor, kKitamuraWorker);
  build.AddTeams({1, 1, 1});
  stream s{workload_kind::kInteractive, 0, 3, 3 * SmallCapacity(), 1, 200, 0.5, 500, 3, 512, 4};
  s.deadline = kShortDeadline;
  build.Add(s, milliseconds{0}, kStormEnd);
  s.per_second = SmallCapacity() / 2;
  build.Add(s, kStormEnd, seconds{60});
  return build.Build();
}

workload UrgentWorkload(uint64_t seed) {
  workload_builder build("urgent", seed, seconds{60});
  build.AddWorkers(kSmallFloor, kKitamuraWorker);
  build.AddTeams({1, 1});
  const stream batch{workload_kind::kBatch, 0, 1, 1, 1, 60000, 0.5, 2000, 1, 1024, 4};
  for (int i = 0; i < 400; ++i) build.AddJob(batch, milliseconds{0});
  build.Add({workload_kind::kInteractive, 1, 1, 4, 2, 300, 0.5, 2000, 3, 2048, 2, 1, true});
  return build.Build();
}

workload GreedyWorkload(bool greedy, uint64_t seed) {
  workload_builder build("greedy", seed, seconds{60});
  build.AddWorkers(kSmallFloor, kKitamuraWorker);
  build.AddTeams({1, 1, 1, 1, 1, 1});
  const double modest = 0.7 * SmallCapacity() / 6;
  stream s{workload_kind::kInteractive, 1, 5, 5 * modest, 1, 200, 0.5, 500, 3, 512, 4};
  s.deadline = kShortDeadline;
  build.Add(s);
  s.first_team = 0;
  s.teams = 1;
  s.per_second = greedy ? 3 * SmallCapacity() : modest;
  build.Add(s);
  return build.Build();
}

}  // namespace catkinford
