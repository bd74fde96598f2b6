// Callers that ask entries over HTTP and write down what they were told.
#ifndef CATKINFORD_BENCH_CALLER_H_
#define CATKINFORD_BENCH_CALLER_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "bench/contract_maker.h"
#include "bench/history.h"
#include "connection/http_client.h"

namespace catkinford {

// One request as a caller wants it.
struct call_spec {
  std::string work;   // the caller's own mark, also its idempotency key
  bool keyed = true;  // if not, the entry draws the request's identity
  workload_kind kind = workload_kind::kInteractive;
  bool repeatable = true;
  bool urgent = false;
  uint32_t tasks = 1;
  resources each{1000, 1024, 0, 0};
  std::chrono::milliseconds run_time{20};
  std::chrono::milliseconds deadline{5000};
  std::chrono::milliseconds checkpoint{0};  // that it takes to write one; 0: the endpoint's usual
};

class caller {
 public:
  using on_answer = std::function<void(const call_record&)>;

  // `clients` client threads share the calls.
  explicit caller(size_t clients);
  ~caller();
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;

  // Sends at once and writes down the answer; `then` is called on a client's thread.
  void Submit(const std::string& entry, const std::string& url, const team_access& team,
              const call_spec& spec, monotonic_time scheduled, on_answer then = nullptr);
  // Cancels the job that an entry answered `work` with, if any did; its calls count as cancelled
  // from now on.
  void Cancel(const std::string& entry, const std::string& url, const team_access& team,
              const std::string& work);

  size_t Pending() const;
  bool WaitIdle(std::chrono::milliseconds limit);
  std::vector<call_record> Records() const;

 private:
  struct pending_call {
    call_record record;
    on_answer then;
  };

  void Finish(pending_call call, const http_result& result);

  std::vector<std::unique_ptr<http_client>> clients_;
  mutable std::mutex mutex_;  // guards all below
  std::condition_variable idle_;
  size_t pending_ = 0;
  size_t next_client_ = 0;
  std::vector<call_record> records_;
  std::vector<std::string> cancelled_;  // marks
};

// Fills in what the entry said, after its status. False for an answer that is no outcome.
bool ReadOutcome(const std::string& body, call_record& record);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_CALLER_H_
