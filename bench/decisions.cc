#include "bench/decisions.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/latency.h"
#include "bench/random_source.h"
#include "bench/thread_clock.h"
#include "process/decision_core.h"

ABSL_FLAG(uint32_t, running, 0, "tasks running at the start; 0: 28 for each endpoint");
ABSL_FLAG(uint32_t, steps, 20000, "measured decisions for each phase");

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Endpoints of the target: 4,200 of them run 120,000 tasks, 28 each.
constexpr resources kShape{64000, 262144, 8, 64};
constexpr uint32_t kRack = 8;
constexpr uint32_t kTasksEach = 28;
constexpr uint32_t kGangTasks = 16;
constexpr uint32_t kBacklogOfTeam = 100;  // waiting jobs of each team on the full floor
constexpr uint32_t kWave = 10000;         // jobs cancelled together
constexpr uint32_t kWaveStep = 500;       // of them between two rounds
constexpr uint32_t kReturnsEachStep = 8;  // refused callers who come back between two rounds
constexpr milliseconds kPatience{2000};

class decision_bench {
 public:
  explicit decision_bench(const decision_bench_options& options)
      : options_(options), random_(options.seed), core_(core_options{options.seed}) {}

  decision_bench_result Run() {
    BuildFloor();
    FillFloor(options_.running);
    for (const workload_kind kind : {workload_kind::kInteractive, workload_kind::kService,
                                     workload_kind::kBatch, workload_kind::kGang}) {
      Steady(kind);
    }
    FullFloor();
    CancelWave();
    RetryStorm();
    result_.signature = core_.Signature();
    return std::move(result_);
  }

 private:
  void BuildFloor() {
    const resources limit{UINT32_MAX / 2, UINT32_MAX / 2, UINT32_MAX / 2, 0};
    for (team_index team = 0; team < options_.teams; ++team) {
      core_.SetTeam(team, {1.0 + team % 4, limit, UINT32_MAX / 2, 1000000}, now_);
      core_.SetGrant(team, {limit, UINT32_MAX / 2}, now_);
    }
    for (endpoint_index e = 0; e < options_.endpoints; ++e) {
      core_.SetEndpoint(e, {kShape, e / kRack, 0}, endpoint_state::kOpen, now_);
    }
  }

  job_request Draw(workload_kind kind, uint32_t tasks = 1) {
    job_request job;
    job.id = {options_.seed, ++last_job_};
    job.kind = kind;
    job.tasks = tasks;
    job.team = random_.Below(options_.teams);
    job.each = {500 + 250 * random_.Below(8), 1024 * (1 + random_.Below(8)), 0, 1};
    job.declared_run_time = milliseconds{100 + random_.Below(10000)};
    job.submitted = now_;
    return job;
  }

  // Starts what the core gives out, at once.
  void TakeCommands() {
    for (const command& c : commands_) {
      if (c.kind == command_kind::kStart) {
        core_.Started(c.task, now_);
        running_.push_back(c.task);
      } else if (c.kind == command_kind::kStop) {
        stopped_.push_back(c.task);
      }
    }
    commands_.clear();
  }

  void Settle() {
    do {
      core_.Decide(now_, commands_);
      TakeCommands();
    } while (core_.NextWake() <= now_);
  }

  void FillFloor(uint32_t tasks) {
    constexpr std::array kMix = {workload_kind::kService, workload_kind::kBatch,
                                 workload_kind::kBatch, workload_kind::kBatch,
                                 workload_kind::kInteractive};
    for (uint32_t i = 0; i < tasks; ++i) {
      core_.Submit(Draw(kMix[i % kMix.size()]), now_);
      if (i % 64 == 0) Settle();
    }
    Settle();
  }

  void FinishOne() {
    if (running_.empty()) return;
    const uint32_t at = random_.Below(static_cast<uint32_t>(running_.size()));
    core_.Finished(running_[at], task_end::kDone, milliseconds{100 + random_.Below(10000)}, now_);
    running_[at] = running_.back();
    running_.pop_back();
  }

  // The time of one round and of the events before it.
  template <typename events>
  nanoseconds Measure(events apply) {
    now_ += milliseconds{1};
    const nanoseconds begin = thread_clock::Now();
    apply();
    core_.Decide(now_, commands_);
    const nanoseconds took = thread_clock::Now() - begin;
    TakeCommands();
    return took;
  }

  void Note(const std::string& phase, const latency_samples<nanoseconds>& samples) {
    const std::chrono::duration<double> sum = samples.Sum();
    result_.figures.push_back({phase, samples.Count(), samples.Percentile(0.5),
                               samples.Percentile(0.99), samples.Percentile(0.999),
                               static_cast<double>(samples.Count()) / sum.count()});
  }

  // Work of one kind comes and goes at the load of the floor.
  void Steady(workload_kind kind) {
    const uint32_t tasks = kind == workload_kind::kGang ? kGangTasks : 1;
    latency_samples<nanoseconds> samples;
    for (uint32_t i = 0; i < options_.steps / tasks; ++i) {
      for (uint32_t t = 0; t < tasks; ++t) FinishOne();
      Settle();
      const job_request job = Draw(kind, tasks);
      samples.Add(Measure([&] { core_.Submit(job, now_); }));
    }
    Note(std::string(ToText(kind)), samples);
  }

  // No room, every team waits with batch work, and each end of a task lets one start.
  void FullFloor() {
    FillFloor(options_.endpoints * kShape.slots);
    for (uint32_t i = 0; i < options_.teams * kBacklogOfTeam; ++i) {
      core_.Submit(Draw(workload_kind::kBatch), now_);
    }
    Settle();
    Note("full_floor", FullFloorSteps([](uint32_t) {}));
  }

  template <typename extra>
  latency_samples<nanoseconds> FullFloorSteps(extra more) {
    latency_samples<nanoseconds> samples;
    for (uint32_t i = 0; i < options_.steps; ++i) {
      const job_request job =
          Draw(i % 4 == 0 ? workload_kind::kInteractive : workload_kind::kBatch);
      more(i);
      samples.Add(Measure([&] {
        FinishOne();
        core_.Submit(job, now_);
      }));
    }
    return samples;
  }

  // The same while thousands of waiting jobs are cancelled, each between two rounds.
  void CancelWave() {
    const uint64_t first = last_job_ + 1;
    for (uint32_t i = 0; i < kWave; ++i) core_.Submit(Draw(workload_kind::kBatch), now_);
    Settle();
    uint64_t next = first;
    const uint64_t end = first + kWave;
    const uint32_t every = std::max(1U, options_.steps * kWaveStep / kWave);
    Note("cancel_wave", FullFloorSteps([&](uint32_t step) {
           if (step % every != 0) return;
           for (uint32_t i = 0; i < kWaveStep && next < end; ++i, ++next) {
             core_.Cancel({options_.seed, next}, now_);
           }
         }));
  }

  // The same while callers come back over and over who are refused each time.
  void RetryStorm() {
    const uint64_t first = last_job_ + 1;
    last_job_ += kWave;
    uint64_t next = 0;
    Note("retry_storm", FullFloorSteps([&](uint32_t) {
           for (uint32_t i = 0; i < kReturnsEachStep; ++i, ++next) {
             job_request job = Draw(workload_kind::kInteractive);
             job.id.lo = first + next % kWave;
             job.deadline = now_ + kPatience;
             core_.Submit(job, now_);
           }
         }));
  }

  decision_bench_options options_;
  random_source random_;
  decision_core core_;
  decision_bench_result result_;
  monotonic_time now_{std::chrono::hours{1}};
  uint64_t last_job_ = 0;
  std::vector<task_id> running_;
  std::vector<task_id> stopped_;
  std::vector<command> commands_;
};

nlohmann::json ToJson(const decision_bench_options& options, const decision_bench_result& result) {
  nlohmann::json phases;
  for (const decision_figure& f : result.figures) {
    phases[f.phase] = {{"decisions", f.decisions},
                       {"p50_ns", f.p50.count()},
                       {"p99_ns", f.p99.count()},
                       {"p999_ns", f.p999.count()},
                       {"per_second", f.per_second}};
  }
  return {{"endpoints", options.endpoints},
          {"running", options.running},
          {"seed", options.seed},
          {"phases", phases},
          {"signature", result.signature}};
}

void Print(const decision_bench_options& options, const decision_bench_result& result) {
  std::printf("%u endpoints, %u running, seed %llu\n", options.endpoints, options.running,
              static_cast<unsigned long long>(options.seed));
  for (const decision_figure& f : result.figures) {
    std::printf("  %-12s p50 %8.2f us  p99 %8.2f us  p99.9 %8.2f us  %9.0f/s\n", f.phase.c_str(),
                static_cast<double>(f.p50.count()) / 1000.0,
                static_cast<double>(f.p99.count()) / 1000.0,
                static_cast<double>(f.p999.count()) / 1000.0, f.per_second);
  }
  std::printf("  signature %016llx\n", static_cast<unsigned long long>(result.signature));
}

}  // namespace

const decision_figure* decision_bench_result::Find(const std::string& phase) const {
  for (const decision_figure& figure : figures) {
    if (figure.phase == phase) return &figure;
  }
  return nullptr;
}

nanoseconds decision_bench_result::WorstP99() const {
  nanoseconds worst{0};
  for (const decision_figure& figure : figures) worst = std::max(worst, figure.p99);
  return worst;
}

decision_bench_result RunDecisionBench(const decision_bench_options& options) {
  return decision_bench(options).Run();
}

int DecisionsMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::vector<uint32_t> sizes = {absl::GetFlag(FLAGS_endpoints)};
  if (sizes[0] == 0) sizes = {50, 467, 4200};
  nlohmann::json all = nlohmann::json::array();
  for (const uint32_t endpoints : sizes) {
    decision_bench_options options;
    options.endpoints = endpoints;
    options.running = absl::GetFlag(FLAGS_running);
    if (options.running == 0) options.running = endpoints * kTasksEach;
    options.steps = absl::GetFlag(FLAGS_steps);
    options.seed = absl::GetFlag(FLAGS_seed);
    const decision_bench_result result = RunDecisionBench(options);
    Print(options, result);
    all.push_back(ToJson(options, result));
  }
  if (const std::string file = absl::GetFlag(FLAGS_json); !file.empty()) {
    std::ofstream(file) << all.dump(2) << "\n";
  }
  return 0;
}

}  // namespace catkinford
