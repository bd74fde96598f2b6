// The thread on which everything of the site is decided: work posted from other threads, and
// timers.
#ifndef CATKINFORD_PROCESS_SITE_EVENT_LOOP_H_
#define CATKINFORD_PROCESS_SITE_EVENT_LOOP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <thread>
#include <vector>

#include "connection/bounded_ring.h"
#include "connection/recent_delay.h"
#include "request/job_request.h"
#include "request/step_graph.h"

namespace catkinford {

// Time since the machine's start, with the time of suspensions. The steady clock leaves these out:
// after one, a lease that lapsed long ago would still look valid.
monotonic_time BootNow();
wall_time WallNow();

class event_loop {
 public:
  using work = std::function<void()>;

  // `capacity`: work that other threads may have waiting.
  explicit event_loop(size_t capacity);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  void Start();
  // From other threads. Waits for room; does nothing once the loop has stopped.
  void Post(work task);
  // False, and nothing is done, when too much waits already.
  bool TryPost(work task);
  // On the loop's thread.
  void After(std::chrono::milliseconds delay, work task);
  // On the loop's thread. How late timers ran lately, at most: what other threads posted meanwhile
  // waited as long.
  std::chrono::milliseconds Delay() const { return delay_.Max(); }
  // From any thread but the loop's own; what still waits is dropped.
  void Stop();
  // Takes `done`, to be called on another thread, to the loop's thread.
  template <typename... Args>
  std::function<void(Args...)> Here(std::function<void(Args...)> done) {
    return [this, done = std::move(done)](Args... args) mutable {
      Post([done, ... held = std::move(args)]() mutable { done(std::move(held)...); });
    };
  }

 private:
  struct timed_work {
    monotonic_time due;
    uint64_t order;  // of those due at the same time, the earlier first
    work task;
    bool operator<(const timed_work& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  void Run();
  void RunDue();
  std::chrono::milliseconds UntilDue() const;

  bounded_ring<work> ring_;
  std::priority_queue<timed_work> timers_;
  uint64_t next_order_ = 0;
  recent_delay delay_;
  std::thread thread_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_EVENT_LOOP_H_
