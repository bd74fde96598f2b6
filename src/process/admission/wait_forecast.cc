// Load: waiting work beyond the shares; see wait_forecast.h.
#include "process/admission/wait_forecast.h"

#include <algorithm>
#include <cmath>

namespace catkinford {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

constexpr double kMilli = 1000;

// Weight of a new value that stands for `passed`.
double WeightOf(duration<double> passed, milliseconds smoothing) {
  return 1 - std::exp(-passed / duration<double>(smoothing));
}

// Tasks of that need that fit at the same time.
uint32_t TasksThatFit(const resources& need, const resources& free) {
  uint32_t fit = need.cpu_milli == 0 ? UINT32_MAX : free.cpu_milli / need.cpu_milli;
  if (need.memory_mb > 0) fit = std::min(fit, free.memory_mb / need.memory_mb);
  if (need.accelerators > 0) fit = std::min(fit, free.accelerators / need.accelerators);
  return fit;
}

}  // namespace

void wait_forecast::Observe(const service_load& load, monotonic_time now) {
  const double use = load.capacity > 0 ? std::min(1.0, load.busy / load.capacity) : 0;
  if (!since_) {
    since_ = now;
    use_ = use;
  } else if (now > observed_) {
    const duration<double> passed = now - observed_;
    const double arrived = std::max(0.0, load.arrived_within - load_.arrived_within);
    use_ += WeightOf(passed, kBusySmoothing) * (use - use_);
    // From the first observation on all values count alike until the smoothing time has passed.
    const duration<double> known = now - *since_;
    const double weight =
        std::max(WeightOf(passed, kArrivalSmoothing), known > passed ? passed / known : 1.0);
    arrivals_ += weight * (arrived / passed.count() - arrivals_);
  }
  load_ = load;
  observed_ = now;
}

double wait_forecast::Rate() const {
  // Use grows at once when work arrives, and capacity that is lost or comes back counts at once.
  return std::min(load_.capacity, std::max(load_.busy, use_ * load_.capacity));
}

double wait_forecast::SpareRate() const {
  const double rate = Rate();
  return std::max(rate - arrivals_, kLeastSpare * rate);
}

bool wait_forecast::FreeFor(const typical_step& step) const {
  uint64_t fit = 0;
  for (const resources& free : load_.free) fit += TasksThatFit(step.need, free);
  if (fit < step.tasks) return false;
  const double free = static_cast<double>(fit) * step.need.cpu_milli / kMilli;
  const double used = static_cast<double>(step.tasks) * step.need.cpu_milli / kMilli;
  const double left = free - used;
  return left >= std::min(load_.waiting_processors, kFreeBesideWaiting * load_.capacity);
}

milliseconds wait_forecast::Wait(int priority, const typical_step& step) const {
  if (!since_ || observed_ - *since_ < kWarmUp || FreeFor(step)) return milliseconds{0};
  double ahead = load_.waiting_within;
  for (const auto& [other, work] : load_.waiting_beyond) {
    if (other <= priority) ahead += work;
  }
  if (ahead <= 0) return milliseconds{0};
  const double spare = SpareRate();
  const double longest = duration<double>(kLongestWait).count();
  const duration<double> wait(spare * longest <= ahead ? longest : ahead / spare);
  return std::chrono::duration_cast<milliseconds>(wait);
}

}  // namespace catkinford
