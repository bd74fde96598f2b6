#include "process/scheduling/run_times.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <random>
#include <string>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A queue whose runs take about a second, with arbitrary declared times.
class run_times_fixture {
 protected:
  // `spread`: deviation of the logarithm of the run time; `correlation`: part of it that callers
  // declare.
  void Run(const std::string& queue, int steps, double spread, double correlation, double noise) {
    std::normal_distribution<double> normal;
    for (int i = 0; i < steps; ++i) {
      const double real = spread * normal(random_);
      const double declared = correlation * real + noise * normal(random_);
      times_.OnRun(queue, Millis(declared), Millis(real), 1);
    }
  }
  static milliseconds Millis(double log_of_seconds) {
    return milliseconds(static_cast<int64_t>(1000 * std::exp(log_of_seconds)));
  }

  std::mt19937_64 random_{11};
  run_times times_;
};

TEST_CASE_METHOD(run_times_fixture, "run times, no runs, expects the declared time") {
  CHECK(times_.Expected("quick", milliseconds{700}) == milliseconds{700});
}

// Guards against copies of sound runs and a random order of jobs, when declared times are unrelated
// to actual ones.
TEST_CASE_METHOD(run_times_fixture, "run times, random declarations, expects the usual time") {
  Run("quick", 300, 0.3, 0, 1.0);
  CHECK(times_.Expected("quick", milliseconds{100}) > milliseconds{600});
  CHECK(times_.Expected("quick", milliseconds{9000}) < milliseconds{1700});
}

TEST_CASE_METHOD(run_times_fixture, "run times, accurate declarations, follows them") {
  Run("large", 300, 1.0, 1.0, 0.1);
  CHECK(times_.Expected("large", milliseconds{200}) < milliseconds{260});
  CHECK(times_.Expected("large", milliseconds{5000}) > milliseconds{4000});
}

TEST_CASE_METHOD(run_times_fixture,
                 "run times, run times change, adapts within a few hundred steps") {
  Run("quick", 300, 0.2, 0, 1.0);
  for (int i = 0; i < 300; ++i) times_.OnRun("quick", milliseconds{1000}, milliseconds{4000}, 1);
  CHECK(times_.Expected("quick", milliseconds{1000}) > milliseconds{3000});
}

TEST_CASE_METHOD(run_times_fixture, "run times, another queue, is not affected") {
  Run("quick", 300, 0.3, 0, 1.0);
  CHECK(times_.Expected("large", milliseconds{9000}) == milliseconds{9000});
}

}  // namespace
}  // namespace catkinford
