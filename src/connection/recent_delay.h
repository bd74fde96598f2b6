// Sliding maximum of recent delays, over the last 0.5 s to 1 s. Without any in that time it is 0:
// what is idle is not late.
#ifndef CATKINFORD_CONNECTION_RECENT_DELAY_H_
#define CATKINFORD_CONNECTION_RECENT_DELAY_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace catkinford {

// Record() is called by one thread, Max() by any.
class recent_delay {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  void Record(std::chrono::milliseconds delay, time_point now) {
    if (now - window_start_ > kWindow) {
      previous_max_ = now - window_start_ > 2 * kWindow ? 0 : current_max_.load();
      current_max_ = 0;
      window_start_ = now;
      window_start_ticks_ = now.time_since_epoch().count();
    }
    current_max_ = std::max(current_max_.load(), delay.count());
  }
  std::chrono::milliseconds Max(time_point now) const {
    const time_point window_start{time_point::duration(window_start_ticks_.load())};
    if (now - window_start > 2 * kWindow) return std::chrono::milliseconds{0};
    return std::chrono::milliseconds(std::max(current_max_.load(), previous_max_.load()));
  }

 private:
  static constexpr std::chrono::milliseconds kWindow{500};

  time_point window_start_{};
  std::atomic<time_point::rep> window_start_ticks_{0};  // the same, for other threads
  std::atomic<int64_t> current_max_{0};   // of the window that began at `window_start_`, in ms
  std::atomic<int64_t> previous_max_{0};  // of the previous window, in ms
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_RECENT_DELAY_H_
