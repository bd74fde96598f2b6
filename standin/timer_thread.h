// Thread that runs a callback at the earliest requested time.
#ifndef CATKINFORD_STANDIN_TIMER_THREAD_H_
#define CATKINFORD_STANDIN_TIMER_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "request/job_request.h"

namespace catkinford {

class timer_thread {
 public:
  // Returns the time of the next call that it needs.
  using callback = std::function<monotonic_time()>;

  explicit timer_thread(callback on_wake);
  ~timer_thread();
  timer_thread(const timer_thread&) = delete;
  timer_thread& operator=(const timer_thread&) = delete;

  void Start();
  // Requests a callback no later than `at`.
  void WakeBy(monotonic_time at);
  void Stop();

 private:
  void Run();

  callback on_wake_;
  std::mutex mutex_;
  std::condition_variable wake_condition_;
  monotonic_time next_wake_ = monotonic_time::max();
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_TIMER_THREAD_H_
