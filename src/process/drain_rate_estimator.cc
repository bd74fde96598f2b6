#include "process/drain_rate_estimator.h"

#include <algorithm>
#include <cmath>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::duration<double> kWindow{2.0};  // time constant of the decay (1/e)
constexpr std::chrono::duration<double> kMinMeasured{0.25};
// Added to the count of drained tasks. In the first moments of a backlog two or three tasks
// determine the estimate for the whole queue, and one too few sheds requests that would have
// started in time: requests were shed 0.3 s after the start of a load that fits.
constexpr double kExtraCount = 1;
constexpr double kMinRate = 1e-3;  // tasks per second; lower rates are treated as unknown
constexpr double kMaxMs = 1e9;
constexpr milliseconds kMinRetryAfter{50};
constexpr milliseconds kMaxRetryAfter{30000};
constexpr milliseconds kDefaultRetryAfter{1000};

}  // namespace

double drain_rate_estimator::DecayedCount(monotonic_time now) const {
  const std::chrono::duration<double> age = now - updated_;
  return count_ * std::exp(-std::max(0.0, age / kWindow));
}

void drain_rate_estimator::BacklogBegan(monotonic_time now) {
  if (running_) return;
  running_ = true;
  count_ = 0;
  began_ = now;
  updated_ = now;
}

void drain_rate_estimator::Drained(uint32_t count, monotonic_time now) {
  if (!running_) return;
  count_ = DecayedCount(now) + count;
  updated_ = now;
}

std::optional<std::chrono::nanoseconds> drain_rate_estimator::TimePerTask(
    monotonic_time now) const {
  const std::chrono::duration<double> measured = now - began_;
  if (!running_ || measured < kMinMeasured) return std::nullopt;
  // Until a full window was measured, the count covers only the measured part.
  const double part = 1.0 - std::exp(-(measured / kWindow));
  const double per_second = (DecayedCount(now) + kExtraCount) / (kWindow.count() * part);
  if (per_second < kMinRate) return std::nullopt;
  return std::chrono::nanoseconds{static_cast<int64_t>(1e9 / per_second)};
}

std::optional<milliseconds> drain_rate_estimator::TimeToDrain(uint32_t queued,
                                                              monotonic_time now) const {
  const std::optional<std::chrono::nanoseconds> one = TimePerTask(now);
  if (!one) return std::nullopt;
  const double ms = std::chrono::duration<double, std::milli>(*one).count() * queued;
  return milliseconds{static_cast<int64_t>(std::min(ms, kMaxMs))};
}

milliseconds RetryAfter(std::optional<milliseconds> drain, uint64_t random) {
  const milliseconds base =
      std::clamp(drain.value_or(kDefaultRetryAfter), kMinRetryAfter, kMaxRetryAfter);
  return base + milliseconds{static_cast<int64_t>(random % static_cast<uint64_t>(base.count()))};
}

}  // namespace catkinford
