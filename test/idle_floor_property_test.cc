// Random floors and jobs, judged by the rule that the users' page gives for jobs that wait: none
// has nothing running for 3 s while there is capacity for it twice over, its workspace has under
// half of its maximum, and under half of the service's capacity is in use.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "advised_floor.h"
#include "process/scheduling/job_scheduler.h"
#include "property.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLongestNeglect{3000};
constexpr milliseconds kTick{20};
constexpr uint32_t kMaximum = 60000;  // of the first workspace, in thousandths of a processor
constexpr uint32_t kEventKinds = 9;

// One generated event, and a number from which its details are derived.
struct event {
  uint32_t what = 0;
  uint32_t detail = 0;
};

class judged_floor {
 public:
  explicit judged_floor(uint32_t shape) : shape_(shape) {
    const uint32_t sizes[] = {8000, 16000, 32000};
    floor_.AddInstances(3 + shape % 6, {sizes[shape / 6 % 3], 65536, 0, 0}, "plain");
    floor_.AddInstances(1, {16000, 65536, 0, 0}, "rare");
    Run(seconds(1));
  }

  void Apply(const event& e) {
    const uint32_t cpu = 500 + e.detail % 15000;
    const uint32_t count = 1 + e.detail / 7 % 8;
    step_spec step = Tasks(count, cpu, milliseconds(200 + e.detail / 11 % 3000));
    switch (e.what % kEventKinds) {
      case 0:
        break;
      case 1:  // a gang, maybe a hopeless one
        step.gang = true;
        step.count = 2 + e.detail / 7 % 40;
        break;
      case 2:
        step.required_label = e.detail % 2 == 0 ? "rare" : "plain";
        break;
      case 3:
        step.max_per_instance = 1 + e.detail % 2;
        step.count = 1 + e.detail / 7 % 24;
        break;
      case 4:
        step.long_running = true;
        step.need.cpu_milli = 500 + e.detail % 3000;
        break;
      case 5:
        return ToggleRare();
      case 6:
        if (e.detail % 3 == 0) floor_.excluded.insert(floor_.reports.front().id);
        return Run(milliseconds(e.detail % 2000));
      case 7:  // many at once
        for (uint32_t i = 0; i < 80; ++i) Submit(step, e.detail);
        return Run(milliseconds(e.detail % 500));
      default:
        return Run(milliseconds(e.detail % 3000));
    }
    Submit(step, e.detail);
    Run(milliseconds(e.detail % 300));
  }
  void Run(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += kTick) {
      floor_.Run(kTick);
      Judge();
    }
  }
  const std::string& Violation() const { return violation_; }

 private:
  struct watched_job {
    uint32_t number = 0;
    step_spec step;
    bool first_workspace = false;
    milliseconds neglected{0};
  };

  void Submit(const step_spec& step, uint32_t detail) {
    const uint32_t number = static_cast<uint32_t>(jobs_.size()) + 1;
    // Every third one runs for much longer than its estimate.
    milliseconds runs_for = step.estimate * (detail % 3 == 0 ? 8 : 1);
    if (step.long_running) runs_for = std::chrono::hours(1);
    const bool urgent = detail / 5 % 2 == 0;
    const bool first = detail / 13 % 2 == 0;
    floor_.Submit(urgent ? "urgent" : "patient", first ? "first" : "second", number, step,
                  runs_for);
    jobs_.push_back({number, step, first, milliseconds{0}});
  }

  // Nothing runs there at that moment, so that no job waits for a lease.
  void ToggleRare() {
    const auto rare = [](const instance_report& report) { return report.labels.front() == "rare"; };
    const auto found = std::find_if(floor_.reports.begin(), floor_.reports.end(), rare);
    if (found == floor_.reports.end()) return floor_.AddInstances(1, {16000, 65536, 0, 0}, "rare");
    if (floor_.RunsAt(found->id) == 0) floor_.RemoveInstances("rare");
  }

  // Tasks of the job that fit now, at most `most`.
  uint32_t TasksThatFit(const watched_job& job, uint32_t most) const {
    uint32_t fit = 0;
    for (const instance_report& report : floor_.reports) {
      if (floor_.excluded.contains(report.id)) continue;
      const std::string& label = job.step.required_label;
      if (!label.empty() && label != report.labels.front()) continue;
      uint32_t here = floor_.FreeAt(report).cpu_milli / job.step.need.cpu_milli;
      if (job.step.max_per_instance > 0) {
        const auto placed = static_cast<uint32_t>(floor_.RunsAt(report.id, job.number));
        here =
            std::min(here, job.step.max_per_instance - std::min(placed, job.step.max_per_instance));
      }
      fit += here;
      if (fit >= most) return most;
    }
    return fit;
  }

  void Judge() {
    uint64_t whole = 0;
    uint64_t free = 0;
    for (const instance_report& report : floor_.reports) {
      whole += report.capacity.cpu_milli;
      free += floor_.FreeAt(report).cpu_milli;
    }
    const bool mostly_idle = (whole - free) * 2 < whole;
    uint64_t first_used = 0;
    for (const watched_job& job : jobs_) {
      if (job.first_workspace) first_used += floor_.RunsOf(job.number) * job.step.need.cpu_milli;
    }
    for (watched_job& job : jobs_) {
      const job_entry* entry = floor_.owner.Find(JobId(job.number));
      const bool done = entry == nullptr || IsFinal(entry->phase);
      const uint32_t at_once = job.step.gang ? job.step.count : 1;
      const uint64_t need = uint64_t{at_once} * job.step.need.cpu_milli;
      // The page's limit is on what runs; what a job needs at once must be within it too.
      const bool within =
          !job.first_workspace || (first_used * 2 < kMaximum && first_used + need <= kMaximum);
      const bool neglected = !done && mostly_idle && within && floor_.RunsOf(job.number) == 0 &&
                             TasksThatFit(job, 2 * at_once) >= 2 * at_once;
      job.neglected = neglected ? job.neglected + kTick : milliseconds{0};
      if (job.neglected < kLongestNeglect || !violation_.empty()) continue;
      violation_ = absl::StrCat(
          "job ", job.number, " of ", jobs_.size(), ", ", job.step.count, " tasks of ",
          job.step.need.cpu_milli, ", gang=", job.step.gang, " label=", job.step.required_label,
          " limit=", job.step.max_per_instance, " shape=", shape_, " had nothing running");
    }
  }

  uint32_t shape_;
  advised_floor floor_{resources{kMaximum, 0, 0, 0}};
  std::vector<watched_job> jobs_;
  std::string violation_;
};

rc::Gen<event> AnyEvent() {
  return rc::gen::build<event>(
      rc::gen::set(&event::what, rc::gen::inRange<uint32_t>(0, kEventKinds)),
      rc::gen::set(&event::detail, rc::gen::inRange<uint32_t>(0, 1000000)));
}

std::ostream& operator<<(std::ostream& out, const event& e) {
  return out << "{" << e.what % kEventKinds << "," << e.detail << "}";
}

bool NoJobIsNeglected(const property_run& run) {
  return Holds(run, [] {
    const auto shape = *rc::gen::inRange<uint32_t>(0, 1000);
    const auto events = *rc::gen::container<std::vector<event>>(AnyEvent());
    judged_floor floor(shape);
    for (const event& e : events) {
      floor.Apply(e);
      if (!floor.Violation().empty()) break;
    }
    floor.Run(seconds(5));
    if (!floor.Violation().empty()) RC_FAIL(floor.Violation());
  });
}

// Guards against work that cannot start now and takes instances or queries from work that can.
TEST_CASE("idle floor, random jobs and floors, no job with room is neglected", "[property]") {
  CHECK(NoJobIsNeglected({1, 60, 40}));
}

// By hand: CATKINFORD_SEED and CATKINFORD_CASES set what is played.
TEST_CASE("idle floor, random jobs and floors, many cases", "[.idle_floor]") {
  property_run run{1, 1000, 60};
  if (const char* seed = std::getenv("CATKINFORD_SEED")) REQUIRE(absl::SimpleAtoi(seed, &run.seed));
  if (const char* cases = std::getenv("CATKINFORD_CASES")) {
    REQUIRE(absl::SimpleAtoi(cases, &run.cases));
  }
  CHECK(NoJobIsNeglected(run));
}

}  // namespace
}  // namespace catkinford
