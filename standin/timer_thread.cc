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
    if (at >= next_) return;
    next_ = at;
  }
  changed_.notify_one();
}

void timer_thread::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void timer_thread::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (std::chrono::steady_clock::now() < next_) {
      // Not wait_until(max): its conversion to the system's time would overflow.
      const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds{1};
      changed_.wait_until(lock, std::min(next_, bound));
      continue;
    }
    next_ = monotonic_time::max();
    lock.unlock();
    const monotonic_time wanted = on_wake_();
    lock.lock();
    next_ = std::min(next_, wanted);
  }
}

}  // namespace catkinford
