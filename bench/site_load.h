// The job scheduler of a site in virtual time: instances, jobs of three queues, and policies that
// answer through a number of entries. Measures what the owner's decisions cost, and how much of the
// work ends within its objective.
#ifndef CATKINFORD_BENCH_SITE_LOAD_H_
#define CATKINFORD_BENCH_SITE_LOAD_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bench/random_source.h"
#include "process/scheduling/job_scheduler.h"
#include "process/site/advice_dispatcher.h"

namespace catkinford {

// One queue of the mix.
struct site_queue {
  std::string name;
  int priority = 0;
  double jobs_per_second = 0;
  double steps = 1;  // mean
  double width = 1;  // mean tasks of a step
  double width_spread = 0.8;
  std::chrono::milliseconds run{1000};  // mean of a task
  double cpu_milli = 1000;              // mean of a task
  double memory_mb = 1000;
  double saves = 0;  // share of steps that keep checkpoints
  bool lasts = false;
  std::chrono::milliseconds stay{0};  // of a job that lasts
  double stretch = 2;
  std::chrono::milliseconds target{0};
  double allowed = 1;  // share of instances that the policy allows
  advice_timing advice;
  uint32_t at_start = 0;  // jobs there from the beginning
  double worth = 1;       // of a job in time; one that is late, up to three times its objective
  double late_worth = 0.2;
};

struct site_load_options {
  uint32_t instances = 350;
  uint32_t entries = 32;
  std::chrono::milliseconds length{40000};
  double burst = 1;       // times the usual of the first queue, from 10 s to 14 s
  double plan_burst = 1;  // of the second, from 20 s to 24 s
  uint64_t seed = 1;
};

struct site_part_cost {
  uint64_t calls = 0;
  std::chrono::nanoseconds spent{0};
};

struct site_queue_result {
  uint32_t jobs = 0;
  uint32_t in_time = 0;
  uint32_t late = 0;
  double owed = 0;
  double earned = 0;
};

class site_load {
 public:
  site_load(const site_load_options& options, std::vector<site_queue> queues);
  void Run();

  const std::map<std::string, site_part_cost>& Costs() const { return costs_; }
  const std::vector<site_queue_result>& Results() const { return results_; }
  uint64_t Listings() const { return listings_; }
  uint64_t Starts() const { return starts_; }
  // Hash of all commands, in order: equal for equal decisions.
  uint64_t CommandHash() const { return command_hash_; }
  double Thrown() const { return thrown_; }  // core-seconds of work that was stopped and not saved
  double CapacityCores() const;

 private:
  struct live_run {
    task_key key;
    uint32_t run = 0;
    std::chrono::milliseconds began{0};
    std::chrono::milliseconds ends{0};
    bool lasting = false;
    bool stopping = false;
    double cores = 0;
    bool saves = false;
  };
  struct live_instance {
    instance_report report;
    double speed = 1;
    std::vector<live_run> runs;
    std::vector<ended_row> ended;
    uint64_t last_end = 0;
    bool waiting = false;
    list_command listing;
    std::chrono::milliseconds asked{0};
  };
  struct live_job {
    size_t queue = 0;
    double owed = 0;
    double late = 0;
    std::chrono::milliseconds came{0};
    std::chrono::milliseconds objective{0};
    std::vector<std::chrono::milliseconds> run;  // of a task, by step
    bool counted = false;
  };

  monotonic_time Mono() const { return monotonic_time(std::chrono::seconds(1000) + now_); }
  wall_time Wall() const { return wall_time(std::chrono::hours(1000) + now_); }
  void At(std::chrono::milliseconds time, std::function<void()> task);
  template <typename Work>
  auto Timed(const std::string& part, Work work);
  void Arrive(size_t queue);
  void Submit(size_t queue);
  void Soon();
  void Decide();
  void HashTarget(char kind, const command_target& to);
  void HashRun(char kind, const command_target& to, const task_key& key, uint32_t run);
  void HashCommands(const scheduler_commands& orders);
  void Start(const start_command& order);
  void Stop(const stop_command& order);
  void List(const list_command& order);
  void End(live_instance& instance, size_t index, run_end how);
  void Answer(live_instance& instance);
  void Commit();
  void AskNext();
  void CountFinals();

  site_load_options options_;
  std::vector<site_queue> queues_;
  random_source random_;
  std::chrono::milliseconds now_{0};
  std::multimap<std::chrono::milliseconds, std::function<void()>> events_;
  std::map<std::string, live_instance> instances_;
  std::map<std::string, live_job> jobs_;
  std::unique_ptr<job_scheduler> scheduler_;
  advice_dispatcher spread_;
  bool committing_ = false;
  bool soon_ = false;
  std::map<std::string, site_part_cost> costs_;
  std::vector<site_queue_result> results_;
  uint64_t listings_ = 0;
  uint64_t starts_ = 0;
  uint64_t command_hash_ = 0xcbf29ce484222325;
  double thrown_ = 0;
  uint32_t next_job_ = 0;
};

// The mix of a large site: about four fifths of what its instances hold.
std::vector<site_queue> LargeSiteMix();
// Short urgent steps and wide batch steps beside services that leave them little room; for 350
// instances, like the above.
std::vector<site_queue> FullSiteMix();

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_SITE_LOAD_H_
