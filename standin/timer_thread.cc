#include "standin/timer_thread.h"

#include <algorithm>
#include <utility>

namespace catkinford {

timer_thread::timer_thread(callback on_wake) : on_wake_(std::move(on_wake)) {}

timer_thread::~timer_thread() { Stop(); }

void timer_thread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void timer_thread::WakeBy(monotonic_time at) {
  {
    const std::lock_guard lock(mutex_);
    if (at >= next_wake_) return;
    next_wake_ = at;
  }
  wake_condition_.notify_one();
}

void timer_thread::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_condition_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void timer_thread::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (std::chrono::steady_clock::now() < next_wake_) {
      // Bounded, because wait_until(max) overflows when it is converted to system time.
      const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds{1};
      wake_condition_.wait_until(lock, std::min(next_wake_, bound));
      continue;
    }
    next_wake_ = monotonic_time::max();
    lock.unlock();
    const monotonic_time requested_wake = on_wake_();
    lock.lock();
    next_wake_ = std::min(next_wake_, requested_wake);
  }
}

}  // namespace catkinford
