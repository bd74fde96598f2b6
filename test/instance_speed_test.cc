#include "process/speed/instance_speed.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kSpread = 0.3;  // deviation of the logarithm of run times
constexpr milliseconds kRun{1000};

class instance_speed_fixture {
 protected:
  // `slowness`: of each instance, by ordinal; `kinds`: number of kinds, in turn.
  void AddFleet(const std::vector<double>& slowness, size_t kinds) {
    slowness_ = slowness;
    for (uint32_t i = 0; i < slowness.size(); ++i) {
      speeds_.Add(i, absl::StrCat("kind-", i % kinds));
    }
  }
  milliseconds RunTime(uint32_t instance, double spread) {
    std::normal_distribution<double> normal;
    const double factor = slowness_[instance] * std::exp(spread * normal(random_));
    return milliseconds(std::llround(static_cast<double>(kRun.count()) * factor));
  }
  // One step with a task on each of these.
  void Step(const std::vector<uint32_t>& on, double spread = kSpread) {
    std::vector<task_run_time> runs;
    runs.reserve(on.size());
    for (const uint32_t instance : on) runs.push_back({instance, RunTime(instance, spread)});
    OnStep(runs);
  }
  void OnStep(const std::vector<task_run_time>& runs, milliseconds expected = kRun) {
    speeds_.OnStep(runs, expected, now_);
    now_ += milliseconds{50};
    speeds_.Refresh(now_);
  }
  std::vector<uint32_t> Some(size_t count) {
    std::uniform_int_distribution<uint32_t> any(0, static_cast<uint32_t>(slowness_.size() - 1));
    std::vector<uint32_t> out(count);
    for (uint32_t& each : out) each = any(random_);
    return out;
  }
  void Wait(seconds time) {
    for (const monotonic_time until = now_ + time; now_ < until; now_ += milliseconds{500}) {
      speeds_.Refresh(now_);
    }
  }
  static std::vector<double> ThirdSlow(size_t count, double slowness) {
    std::vector<double> out(count, 1.0);
    for (size_t i = 0; i < count; i += 3) out[i] = slowness;
    return out;
  }

  std::mt19937_64 random_{7};
  monotonic_time now_{seconds(100)};
  std::vector<double> slowness_;
  instance_speeds speeds_;
};

// Guards against urgent work on slow machines long after their runs have shown what they are.
TEST_CASE_METHOD(instance_speed_fixture,
                 "instance speed, a third of the kinds slow, two groups within 30 steps") {
  AddFleet(ThirdSlow(30, 2.0), 3);
  for (int i = 0; i < 30; ++i) Step(Some(10));
  for (uint32_t i = 0; i < 30; ++i) {
    INFO(i);
    CHECK((speeds_.Class(i) == speed_class::kSlow) == (i % 3 == 0));
  }
  CHECK(speeds_.Uneven());
}

// Guards against urgent work on each new machine of a slow kind until it has runs of its own.
TEST_CASE_METHOD(instance_speed_fixture,
                 "instance speed, newcomer of a slow kind, is slow at once") {
  AddFleet(ThirdSlow(30, 2.0), 3);
  for (int i = 0; i < 60; ++i) Step(Some(10));
  speeds_.Add(30, "kind-0");
  speeds_.Add(31, "kind-1");
  CHECK(speeds_.Slowness(30) > 1.4 * speeds_.Slowness(31));
  CHECK(speeds_.Estimate(30).observations == 0);
}

// Guards against an average of unlike machines where labels say nothing about speed.
TEST_CASE_METHOD(instance_speed_fixture,
                 "instance speed, kinds of mixed instances, own runs decide") {
  AddFleet(ThirdSlow(30, 2.0), 2);
  for (int i = 0; i < 100; ++i) Step(Some(10));
  for (uint32_t i = 0; i < 30; ++i) {
    INFO(i);
    CHECK((speeds_.Class(i) == speed_class::kSlow) == (i % 3 == 0));
  }
}

// Guards against work on a machine that has become slow, and against a recovered one left unused.
TEST_CASE_METHOD(instance_speed_fixture,
                 "instance speed, one turns slow and recovers, is seen within 6 runs") {
  AddFleet(std::vector<double>(30, 1.0), 1);
  for (int i = 0; i < 60; ++i) Step(Some(10), 0.1);
  REQUIRE(speeds_.Class(4) == speed_class::kUsual);
  slowness_[4] = 2.5;
  const auto runs_until = [&](speed_class wanted) {
    for (int run = 1; run <= 20; ++run) {
      Step({4, 5, 6, 7, 8, 9}, 0.1);
      now_ += seconds(1);
      if (speeds_.Class(4) == wanted) return run;
    }
    return 100;
  };
  CHECK(runs_until(speed_class::kSlow) <= 6);
  slowness_[4] = 1;
  now_ += seconds(5);
  CHECK(runs_until(speed_class::kUsual) <= 6);
}

// Guards against placement by chance where machines are alike.
TEST_CASE_METHOD(instance_speed_fixture, "instance speed, all alike, no class changes") {
  AddFleet(std::vector<double>(60, 1.0), 3);
  for (int i = 0; i < 2000; ++i) Step(Some(10));
  CHECK(speeds_.TakeClassChanges().empty());
  CHECK_FALSE(speeds_.Uneven());
}

// Guards against machines avoided since a task on them was long by itself.
TEST_CASE_METHOD(instance_speed_fixture,
                 "instance speed, some runs seven times as long, none becomes slow") {
  AddFleet(std::vector<double>(60, 1.0), 3);
  std::bernoulli_distribution is_long(0.03);
  for (int i = 0; i < 1000; ++i) {
    std::vector<task_run_time> runs;
    for (const uint32_t instance : Some(10)) {
      runs.push_back({instance, RunTime(instance, 0.2) * (is_long(random_) ? 7 : 1)});
    }
    OnStep(runs);
  }
  CHECK_FALSE(speeds_.Uneven());
}

// Guards against slow machines that are never found where steps have a single task.
TEST_CASE_METHOD(instance_speed_fixture,
                 "instance speed, steps of one task, compared with the expected time") {
  AddFleet(ThirdSlow(30, 2.5), 3);
  for (int i = 0; i < 600; ++i) Step(Some(1));
  CHECK(speeds_.Slowness(0) > 1.4 * speeds_.Slowness(1));
}

// Guards against a step that lies on one machine confirming whatever is believed of that machine.
TEST_CASE_METHOD(instance_speed_fixture,
                 "instance speed, steps packed onto one instance, says little by itself") {
  AddFleet({2.5, 1, 1, 1}, 4);
  for (int i = 0; i < 3; ++i) Step(std::vector<uint32_t>(20, 0));
  // The expected time is the only evidence, and it is weak: with a factor of two either way.
  CHECK(speeds_.Estimate(0).deviation > 0.25);
  for (int i = 0; i < 20; ++i) Step({0, 0, 0, 0, 1, 2, 3});
  CHECK(speeds_.Slowness(0) > 1.6 * speeds_.Slowness(1));
}

// Guards against a slow machine that stays avoided for good after it was repaired.
TEST_CASE_METHOD(instance_speed_fixture, "instance speed, slow one without runs, is tried again") {
  AddFleet(std::vector<double>(30, 1.0), 1);
  slowness_[0] = 2;
  for (int i = 0; i < 200; ++i) {
    std::vector<uint32_t> on = Some(9);
    on.push_back(0);
    Step(on);
  }
  REQUIRE(speeds_.Class(0) == speed_class::kSlow);
  Wait(seconds(90));
  CHECK(speeds_.Class(0) == speed_class::kUsual);
}

// Guards against sums that go wrong when instances leave, return under another kind or restart.
TEST_CASE_METHOD(instance_speed_fixture,
                 "instance speed, instances leave and return, counts stay right") {
  AddFleet(ThirdSlow(9, 2.0), 9);
  for (int i = 0; i < 40; ++i) Step(Some(9));
  REQUIRE(speeds_.Uneven());
  for (uint32_t i = 0; i < 9; ++i) speeds_.OnRestart(i);
  for (uint32_t i = 0; i < 9; ++i) speeds_.Remove(i);
  CHECK_FALSE(speeds_.Uneven());
  CHECK(speeds_.Count(speed_class::kUsual) == 0);
  CHECK(speeds_.Slowness(0) == 1);
  speeds_.Remove(3);
  speeds_.Add(3, "kind-0");
  speeds_.Add(3, "kind-1");
  speeds_.Refresh(now_);
  CHECK(speeds_.Count(speed_class::kUsual) == 1);
  CHECK(std::isfinite(speeds_.Estimate(3).deviation));
  OnStep({{3, milliseconds{0}}, {77, milliseconds{5}}}, milliseconds{0});
  CHECK(std::isfinite(speeds_.Estimate(3).slowness));
}

// Guards against knowledge that is lost with each change of owner, or believed beyond all evidence.
TEST_CASE_METHOD(instance_speed_fixture, "instance speed, saved and loaded, knows slow instances") {
  AddFleet(ThirdSlow(30, 2.0), 3);
  slowness_[1] = 2.5;
  for (int i = 0; i < 100; ++i) Step(Some(10));
  const learned_speeds saved = speeds_.Save();
  CHECK(saved.kinds.size() == 3);
  instance_speeds next;
  for (uint32_t i = 0; i < 30; ++i) next.Add(i, absl::StrCat("kind-", i % 3));
  next.Load(saved, now_);
  CHECK(next.Slowness(0) > 1.4 * next.Slowness(2));
  CHECK(next.Slowness(1) > 1.4 * next.Slowness(2));
  // Twenty runs of its own outweigh what was loaded.
  for (int i = 0; i < 20; ++i) {
    next.OnStep({{1, kRun}, {2, kRun}, {4, kRun}, {5, kRun}, {7, kRun}, {8, kRun}}, kRun, now_);
    now_ += milliseconds{500};
    next.Refresh(now_);
  }
  CHECK(next.Class(1) != speed_class::kSlow);
}

}  // namespace
}  // namespace catkinford
