#include "process/site/event_loop.h"

#include <time.h>

#include <algorithm>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxWait{200};

}  // namespace

monotonic_time BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return monotonic_time(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

wall_time WallNow() {
  return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

event_loop::event_loop(size_t capacity) : posted_(capacity) {}

event_loop::~event_loop() { Stop(); }

void event_loop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void event_loop::Post(work task) {
  if (std::this_thread::get_id() == loop_thread_.load(std::memory_order_relaxed)) {
    posted_by_loop_.push_back(std::move(task));
    return;
  }
  posted_.Push(std::move(task));
}

bool event_loop::TryPost(work task) { return posted_.TryPush(std::move(task)); }

void event_loop::After(milliseconds delay, work task) {
  timers_.push({BootNow() + delay, next_order_++, std::move(task)});
}

void event_loop::Stop() {
  posted_.Close();
  if (thread_.joinable()) thread_.join();
}

milliseconds event_loop::TimeToNextTimer() const {
  if (timers_.empty()) return kMaxWait;
  const auto left = std::chrono::ceil<milliseconds>(timers_.top().due - BootNow());
  return std::clamp(left, milliseconds{0}, kMaxWait);
}

void event_loop::RunDueTimers() {
  const monotonic_time now = BootNow();
  if (!timers_.empty() && timers_.top().due <= now) {
    delay_.Record(std::chrono::duration_cast<milliseconds>(now - timers_.top().due), now);
  }
  while (!timers_.empty() && timers_.top().due <= now) {
    work task = std::move(const_cast<timed_work&>(timers_.top()).task);
    timers_.pop();
    task();
  }
}

void event_loop::Run() {
  loop_thread_ = std::this_thread::get_id();
  std::vector<work> batch;
  while (posted_.PopAll(batch, posted_by_loop_.empty() ? TimeToNextTimer() : milliseconds{0})) {
    for (work& task : batch) task();
    batch.clear();
    batch.swap(posted_by_loop_);
    for (work& task : batch) task();
    batch.clear();
    cpu_clock_.Note(std::chrono::steady_clock::now());
    RunDueTimers();
  }
}

}  // namespace catkinford
