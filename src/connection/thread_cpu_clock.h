// The processor time that a thread has used, noted by the thread itself and read by others.
//
// By getrusage(): a thread's clock of clock_gettime() is not told from the wall's everywhere.
#ifndef CATKINFORD_CONNECTION_THREAD_CPU_CLOCK_H_
#define CATKINFORD_CONNECTION_THREAD_CPU_CLOCK_H_

#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace catkinford {

// `whose`: RUSAGE_THREAD for the calling thread, RUSAGE_SELF for the process.
inline std::chrono::microseconds CpuTimeOf(int whose) {
  rusage use{};
  if (getrusage(whose, &use) != 0) return std::chrono::microseconds{0};
  return std::chrono::seconds{use.ru_utime.tv_sec + use.ru_stime.tv_sec} +
         std::chrono::microseconds{use.ru_utime.tv_usec + use.ru_stime.tv_usec};
}

// How often threads of this process gave up the processor to wait.
inline uint64_t WaitsOfProcess() {
  rusage use{};
  return getrusage(RUSAGE_SELF, &use) == 0 ? static_cast<uint64_t>(use.ru_nvcsw) : 0;
}

class thread_cpu_clock {
 public:
  // On the thread that is measured, in each turn of its loop.
  void Note(std::chrono::steady_clock::time_point now) {
    if (now - noted_at_ < kInterval) return;
    noted_at_ = now;
    used_us_ = CpuTimeOf(RUSAGE_THREAD).count();
  }
  // As of the latest note.
  std::chrono::microseconds Used() const { return std::chrono::microseconds(used_us_); }

 private:
  static constexpr std::chrono::milliseconds kInterval{100};

  std::chrono::steady_clock::time_point noted_at_{};
  std::atomic<int64_t> used_us_{0};
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_THREAD_CPU_CLOCK_H_
