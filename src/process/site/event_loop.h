// The thread on which the site's decisions are made. It runs work posted by other threads and
// timers.
#ifndef CATKINFORD_PROCESS_SITE_EVENT_LOOP_H_
#define CATKINFORD_PROCESS_SITE_EVENT_LOOP_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <thread>
#include <vector>

#include "connection/bounded_ring.h"
#include "connection/recent_delay.h"
#include "connection/thread_cpu_clock.h"
#include "request/job_request.h"
#include "request/step_graph.h"

namespace catkinford {

// Time since the machine's start, including suspensions. The steady clock excludes them: after a
// suspension a lease that expired long ago would still look valid.
monotonic_time BootNow();
wall_time WallNow();

class event_loop {
 public:
  using work = std::function<void()>;

  // `capacity`: how much work of other threads can be queued.
  explicit event_loop(size_t capacity);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  void Start();
  static monotonic_time Now() { return BootNow(); }
  // From any thread. Blocks other threads while the queue is full; does nothing once the loop has
  // stopped.
  void Post(work task);
  // Returns false without queueing the work when the queue is full.
  bool TryPost(work task);
  // On the loop's thread.
  void After(std::chrono::milliseconds delay, work task);
  // On the loop's thread. The maximum recent delay of timers; work posted meanwhile was delayed as
  // much.
  std::chrono::milliseconds Delay() const { return delay_.Max(BootNow()); }
  // Processor time of the loop's thread.
  std::chrono::microseconds CpuTime() const { return cpu_clock_.Used(); }
  // From any thread but the loop's own; queued work is dropped.
  void Stop();
  // Wraps `done`, which another thread calls, so that it runs on the loop's thread.
  template <typename... Args>
  std::function<void(Args...)> OnLoop(std::function<void(Args...)> done) {
    return [this, done = std::move(done)](Args... args) mutable {
      Post([done, ... held = std::move(args)]() mutable { done(std::move(held)...); });
    };
  }

 private:
  struct timed_work {
    monotonic_time due;
    uint64_t order;  // timers due at the same time run in this order
    work task;
    bool operator<(const timed_work& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  void Run();
  void RunDueTimers();
  std::chrono::milliseconds TimeToNextTimer() const;

  bounded_ring<work> posted_;
  std::vector<work> posted_by_loop_;  // by work on the loop's thread, without a lock
  std::atomic<std::thread::id> loop_thread_{};
  std::priority_queue<timed_work> timers_;
  uint64_t next_order_ = 0;
  recent_delay delay_;
  thread_cpu_clock cpu_clock_;
  std::thread thread_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_EVENT_LOOP_H_
