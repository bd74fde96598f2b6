// The longest of recent delays, over the last half second to second.
#ifndef CATKINFORD_CONNECTION_RECENT_DELAY_H_
#define CATKINFORD_CONNECTION_RECENT_DELAY_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace catkinford {

// One thread notes, any may ask.
class recent_delay {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  void Note(std::chrono::milliseconds delay, time_point now) {
    if (now - since_ > kWindow) {
      earlier_ = now - since_ > 2 * kWindow ? 0 : latest_.load();
      latest_ = 0;
      since_ = now;
    }
    latest_ = std::max(latest_.load(), delay.count());
  }
  std::chrono::milliseconds Most() const {
    return std::chrono::milliseconds(std::max(latest_.load(), earlier_.load()));
  }

 private:
  static constexpr std::chrono::milliseconds kWindow{500};

  time_point since_{};
  std::atomic<int64_t> latest_{0};   // of the window that began at `since_`, in ms
  std::atomic<int64_t> earlier_{0};  // of the one before
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_RECENT_DELAY_H_
