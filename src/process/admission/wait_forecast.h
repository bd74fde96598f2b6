// How long a job beyond its workspace's share waits until it would start, for one service.
//
// Load: waiting work beyond the shares, which gets only the capacity that work within the shares
// leaves. The wait is the work ahead of the job divided by that rate. No I/O, no clock.
#ifndef CATKINFORD_PROCESS_ADMISSION_WAIT_FORECAST_H_
#define CATKINFORD_PROCESS_ADMISSION_WAIT_FORECAST_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "process/admission/load_view.h"
#include "request/job_request.h"

namespace catkinford {

// A typical step of a queue.
struct typical_step {
  resources need;  // of one task
  uint32_t tasks = 1;
};

class wait_forecast {
 public:
  // Called at regular intervals, the last load replaces earlier ones.
  void Observe(const service_load& load, monotonic_time now);
  // Zero while capacity is free for the step, and while too little has been observed.
  std::chrono::milliseconds Wait(int priority, const typical_step& step) const;
  // Processor-seconds per second that work beyond the shares gets.
  double SpareRate() const;
  const service_load& Load() const { return load_; }

  static constexpr std::chrono::milliseconds kLongestWait{60000};

 private:
  static constexpr std::chrono::milliseconds kBusySmoothing{2000};
  // Arrivals of large jobs are few and uneven, so they are smoothed over a longer time.
  static constexpr std::chrono::milliseconds kArrivalSmoothing{4000};
  static constexpr std::chrono::milliseconds kWarmUp{2000};
  // Shares of the capacity. Work beyond the shares gets some capacity even where the smoothed
  // figures say none.
  static constexpr double kLeastSpare = 0.05;
  // Capacity that stays free although work waits is out of that work's reach, not of every job's.
  static constexpr double kFreeBesideWaiting = 0.1;

  bool FreeFor(const typical_step& step) const;
  // Processor-seconds per second that all work gets.
  double Rate() const;

  service_load load_;
  double use_ = 0;       // smoothed share of the capacity that is busy
  double arrivals_ = 0;  // smoothed, processor-seconds per second within the shares
  std::optional<monotonic_time> since_;
  monotonic_time observed_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ADMISSION_WAIT_FORECAST_H_
