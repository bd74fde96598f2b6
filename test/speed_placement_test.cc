// Placement by the speed of instances: which work gets fast and which slow ones.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"
#include "process/site/site_settings.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kInstances = 6;  // the first three of them slow

// One scheduler whose commands are all carried out: runs take twice as long on slow instances.
class speed_placement_fixture {
 protected:
  speed_placement_fixture() { Begin(scheduler_options{}); }

  void Begin(const scheduler_options& options) {
    now_ = monotonic_time(seconds(100));
    ends_ = 0;
    running_.clear();
    random_.seed(5);
    owner_ = std::make_unique<job_scheduler>(options, ++epoch_, now_);
    std::vector<queue_config> queues;
    for (const char* name : {"urgent", "large"}) {
      queue_config queue;
      queue.name = name;
      queue.jobs.service = "service";
      queue.jobs.priority = queues.empty() ? 0 : 2;
      queue.jobs.max_attempts = 2;
      queues.push_back(queue);
    }
    owner_->SetVersion(
        std::make_shared<const site_configuration>(1, queues, std::vector<workspace_config>{},
                                                   std::vector<service_config>{}, caller_limits{}));
    std::vector<instance_report> reports;
    for (size_t i = 0; i < kInstances; ++i) {
      instance_report report;
      report.id = absl::StrCat("i-", i);
      report.service = "service";
      report.labels = {IsSlow(report.id) ? "old" : "new"};
      report.capacity = kSmallInstance;
      reports.push_back(report);
    }
    owner_->OnRegistry(reports, now_);
    for (const instance_report& report : reports) List(report.id, {});
    owner_->OnFleetStored(owner_->Fleet());
    owner_->SetRecordsComplete();
    owner_->SetUnrecordedStarts(true);
  }
  static bool IsSlow(const std::string& instance) { return instance < "i-3"; }

  void List(const std::string& instance, const std::vector<ended_row>& ended) {
    instance_listing listing{
        5000 + (now_ - monotonic_time(seconds(100))) / milliseconds{1}, 0, {}, ended};
    for (const live_run& run : running_) {
      if (run.instance == instance) listing.running.push_back({run.key, run.number, {}, 0, 0});
    }
    owner_->OnListing({{instance, "", 0}, {}, 0, {}}, listing, now_, now_);
  }

  // `estimate`: of each task; `allowed`: time to the objective.
  void Submit(const std::string& queue, uint32_t tasks, uint32_t cpu_milli, milliseconds estimate,
              milliseconds allowed, bool long_running = false) {
    step_spec step = Tasks(tasks, cpu_milli, estimate);
    step.long_running = long_running;
    graph_job job = Job(++jobs_, {step});
    job.queue = queue;
    job.workspace.clear();
    job.terms.target_latency = allowed;
    job.terms.stretch = 0;
    job.accepted = Wall();
    owner_->OnJob(std::move(job), {}, false, Wall(), now_);
  }

  milliseconds Varied(milliseconds time) {
    std::normal_distribution<double> normal(0, 0.3);
    return milliseconds(
        std::llround(static_cast<double>(time.count()) * std::exp(normal(random_))));
  }

  // The instances on which tasks started, in this round of decisions.
  std::vector<std::string> Round() {
    std::vector<std::string> out;
    for (const start_command& start : owner_->Decide(Wall(), now_).starts) {
      owner_->OnStartAnswer(start, {command_result::kDone, std::nullopt}, now_);
      const job_entry* entry = owner_->Find(start.key.job);
      const step_spec& terms = entry->job.steps[start.key.step];
      const auto took =
          alike_ ? Varied(terms.estimate) : terms.estimate * (IsSlow(start.to.instance) ? 2 : 1);
      running_.push_back({start.key, start.run, start.to.instance,
                          terms.long_running ? monotonic_time::max() : now_ + took});
      out.push_back(start.to.instance);
    }
    return out;
  }
  // Runs for this long; returns all starts.
  std::vector<std::string> Run(milliseconds time) {
    std::vector<std::string> out;
    for (const monotonic_time until = now_ + time; now_ < until; now_ += milliseconds{50}) {
      for (size_t i = 0; i < kInstances; ++i) ListEnded(absl::StrCat("i-", i));
      for (const std::string& started : Round()) out.push_back(started);
    }
    return out;
  }
  void ListEnded(const std::string& instance) {
    std::vector<ended_row> ended;
    for (const live_run& run : running_) {
      if (run.instance != instance || run.ends > now_) continue;
      ended.push_back({++ends_, run.key, run.number, run_end::kDone, {}});
    }
    std::erase_if(running_, [&](const live_run& run) {
      return run.instance == instance && run.ends <= now_;
    });
    List(instance, ended);
  }
  // Both groups of instances get runs until the scheduler knows them, and are idle then.
  std::vector<std::string> Learn() {
    std::vector<std::string> out;
    for (int i = 0; i < 25; ++i) {
      Submit("large", 12, 4000, milliseconds{400}, seconds(3));
      for (const std::string& started : Run(milliseconds{1000})) out.push_back(started);
    }
    for (const std::string& started : Run(seconds(5))) out.push_back(started);
    return out;
  }
  static size_t OnSlow(const std::vector<std::string>& starts) {
    return static_cast<size_t>(std::count_if(starts.begin(), starts.end(), IsSlow));
  }
  wall_time Wall() const {
    return wall_time(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
  }

  struct live_run {
    task_key key;
    uint32_t number = 0;
    std::string instance;
    monotonic_time ends{};
  };
  monotonic_time now_{};
  uint64_t epoch_ = 0;
  uint64_t ends_ = 0;
  bool alike_ = false;  // run times vary by chance alone
  std::mt19937_64 random_;
  uint32_t jobs_ = 0;
  std::vector<live_run> running_;
  std::unique_ptr<job_scheduler> owner_;
};

// Guards against late urgent jobs on slow instances while fast ones are free.
TEST_CASE_METHOD(speed_placement_fixture,
                 "speed placement, urgent step, goes to a fast instance though a slow is fuller") {
  Learn();
  REQUIRE(owner_->InstancesOf(speed_class::kSlow) == 3);
  Submit("large", 1, 6000, seconds(60), seconds(1000));
  REQUIRE(OnSlow(Round()) == 1);
  Submit("urgent", 1, 2000, milliseconds{400}, milliseconds{700});
  CHECK(OnSlow(Round()) == 0);
}

// Guards against fast instances taken by work that gains nothing from them.
TEST_CASE_METHOD(speed_placement_fixture,
                 "speed placement, work that can wait, goes to slow instances") {
  Learn();
  Submit("large", 3, 4000, milliseconds{400}, seconds(30));
  CHECK(OnSlow(Round()) == 3);
  Submit("large", 2, 4000, milliseconds{400}, seconds(30), true);
  CHECK(OnSlow(Round()) == 2);
}

// Guards against an urgent job that finds all fast instances taken by large work.
TEST_CASE_METHOD(speed_placement_fixture,
                 "speed placement, urgent steps arrive, fast capacity is kept for them") {
  Learn();
  for (int i = 0; i < 60; ++i) {
    Submit("urgent", 2, 4000, milliseconds{200}, milliseconds{350});
    Run(milliseconds{100});
  }
  Run(milliseconds{300});
  REQUIRE(running_.empty());
  Submit("large", 24, 4000, seconds(2), seconds(4));
  CHECK(OnSlow(Round()) == 6);
  CHECK(running_.size() == 6);
  Submit("urgent", 2, 4000, milliseconds{200}, milliseconds{350});
  const std::vector<std::string> urgent = Run(milliseconds{50});
  CHECK(urgent.size() == 2);
  CHECK(OnSlow(urgent) == 0);
  // No more urgent work arrives: the large tasks get the fast instances too.
  const std::vector<std::string> later = Run(seconds(20));
  CHECK(later.size() > OnSlow(later));
  CHECK(owner_->RunCount() == 0);
}

// Guards against large work that waits where its service has no slow instance.
TEST_CASE("kept capacity, urgent steps of another service, keep nothing") {
  kept_capacity kept;
  const monotonic_time now{seconds(100)};
  for (int i = 0; i < 100; ++i) kept.OnReady(1, 0, 8000, now);
  CHECK(kept.For(1, 2, now) > 100000);
  CHECK(kept.For(1, 0, now) == 0);
  CHECK(kept.For(2, 2, now) == 0);
  CHECK(kept.For(1, 2, now + seconds(60)) == 0);
}

// Guards against a part that operators cannot turn off.
TEST_CASE_METHOD(speed_placement_fixture, "speed placement, switched off, speeds are not used") {
  scheduler_options off;
  off.instance_speed = false;
  Begin(off);
  Learn();
  CHECK(owner_->InstancesOf(speed_class::kUsual) == kInstances);
  Submit("large", 1, 6000, seconds(60), seconds(1000));
  const std::vector<std::string> first = Round();
  Submit("urgent", 1, 2000, milliseconds{400}, milliseconds{700});
  CHECK(Round() == first);
}

// Guards against other decisions than before where instances are alike.
TEST_CASE_METHOD(speed_placement_fixture,
                 "speed placement, instances alike, the same starts as without it") {
  alike_ = true;
  const auto starts = [this](bool enabled) {
    scheduler_options options;
    options.instance_speed = enabled;
    Begin(options);
    std::vector<std::string> out;
    for (int i = 0; i < 100; ++i) {
      Submit("large", 8, 3000, milliseconds{700}, seconds(3));
      for (int k = 0; k < 4; ++k) {
        Submit("urgent", 3, 1500, milliseconds{200}, milliseconds{400});
        for (const std::string& started : Run(milliseconds{250})) out.push_back(started);
      }
    }
    return out;
  };
  const std::vector<std::string> with = starts(true);
  CHECK(with.size() > 1500);
  CHECK(with == starts(false));
}

// Guards against an owner that begins with urgent work on slow instances, as each new one did.
TEST_CASE_METHOD(speed_placement_fixture,
                 "speed placement, next owner with the record, knows fast instances at once") {
  Learn();
  const learned_record record = owner_->Learned(Wall());
  const auto urgent_on_slow = [this](const learned_record* loaded) {
    Begin(scheduler_options{});
    if (loaded != nullptr) owner_->LoadLearned(*loaded, now_);
    Submit("large", 1, 6000, seconds(60), seconds(1000));
    Round();
    Submit("urgent", 3, 2000, milliseconds{400}, milliseconds{700});
    return OnSlow(Round());
  };
  CHECK(urgent_on_slow(&record) == 0);
  // Without it, they are packed onto the first instances, which are slow.
  CHECK(urgent_on_slow(nullptr) > 0);
}

// Guards against instances of a former fleet that a record names.
TEST_CASE_METHOD(speed_placement_fixture,
                 "speed placement, record of a former fleet, changes nothing") {
  learned_record record;
  record.instances = {{"gone-1", 1.2, 500}, {"gone-2", -1.2, 500}};
  record.kinds = {{"service/gone", 1.2, 0.02, 500}};
  CHECK(owner_->LoadLearned(record, now_).instances.empty());
  Round();
  CHECK(owner_->InstancesOf(speed_class::kUsual) == kInstances);
}

}  // namespace
}  // namespace catkinford
