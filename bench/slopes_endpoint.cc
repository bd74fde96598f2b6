// Slopes of calls to endpoints: the real adapter and HTTP client against a stand-in in a process of
// its own. What counts is the caller's side, which is ours; the stand-in's side is the platform's.
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "bench/forked_server.h"
#include "bench/slope.h"
#include "connection/endpoint_adapter.h"
#include "connection/http_client.h"
#include "standin/endpoint_server.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{10000};
constexpr uint64_t kEpoch = 1;
constexpr resources kShape{64000000, 256000000, 0, 100000};
constexpr resources kTask{100, 100, 0, 1};

void ServeEndpoint(uint16_t port, const std::function<void()>& wait) {
  endpoint_server_options options;
  options.port = port;
  options.names = {"endpoint-0001"};
  options.shape = kShape;
  endpoint_server server(options);
  server.Start();
  wait();
  server.Stop();
}

// One endpoint in a process of its own and a caller that waits for each answer.
class endpoint_bench {
 public:
  endpoint_bench() : server_(ServeEndpoint), http_(1), adapter_(http_, kTimeout) {
    http_.Start();
    address_ = {"http://127.0.0.1:" + std::to_string(server_.Port()), "endpoint-0001"};
    incarnation_ = Fence().incarnation;
  }
  ~endpoint_bench() { http_.Stop(); }
  endpoint_bench(const endpoint_bench&) = delete;
  endpoint_bench& operator=(const endpoint_bench&) = delete;

  endpoint_reply Fence() {
    return Wait([&](const auto& done) { adapter_.Fence(address_, kEpoch, done); });
  }
  void Sync() {
    const sync_call call{kEpoch, incarnation_, 0, milliseconds{0}, milliseconds{60000}};
    Wait([&](const auto& done) { adapter_.Sync(address_, call, done); });
  }
  // Starts `count` tasks in one call.
  void Start(uint32_t count, milliseconds run) {
    std::vector<start_task> tasks;
    for (uint32_t i = 0; i < count; ++i) {
      start_task task{{{7, next_++}, 0, 1}, kTask, workload_kind::kBatch, "team-012"};
      task.payload = "{\"run_ms\":" + std::to_string(run.count()) + "}";
      task.lease = milliseconds{60000};
      task.retain = milliseconds{30000};
      tasks.push_back(task);
    }
    Wait([&](const auto& done) { adapter_.Start(address_, kEpoch, tasks, done); });
  }
  double Bytes() const { return SocketBytes(server_.Port()); }

 private:
  template <typename Send>
  endpoint_reply Wait(const Send& send) {
    std::unique_lock lock(mutex_);
    answered_ = false;
    send([this](endpoint_reply reply) {
      const std::lock_guard guard(mutex_);
      reply_ = std::move(reply);
      answered_ = true;
      changed_.notify_one();
    });
    changed_.wait(lock, [this] { return answered_; });
    return reply_;
  }

  forked_server server_;
  http_client http_;
  endpoint_adapter adapter_;
  endpoint_address address_;
  uint64_t incarnation_ = 0;
  uint64_t next_ = 1;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool answered_ = false;
  endpoint_reply reply_;
};

struct endpoint_cost {
  double cpu_us = 0;
  double bytes = 0;
};

// What `work` costs our side on a fresh endpoint.
endpoint_cost CostOf(const std::function<void(endpoint_bench&)>& work) {
  endpoint_bench bench;
  const double cpu = ProcessCpuMicroseconds();
  const double bytes = bench.Bytes();
  work(bench);
  return {ProcessCpuMicroseconds() - cpu, bench.Bytes() - bytes};
}

endpoint_cost Syncs(double calls) {
  return CostOf([calls](endpoint_bench& bench) {
    for (int i = 0; i < static_cast<int>(calls); ++i) bench.Sync();
  });
}

endpoint_cost Starts(double calls) {
  return CostOf([calls](endpoint_bench& bench) {
    for (int i = 0; i < static_cast<int>(calls); ++i) bench.Start(1, milliseconds{600000});
  });
}

endpoint_cost List(double running) {
  endpoint_bench bench;
  for (int left = static_cast<int>(running); left > 0; left -= 100) {
    bench.Start(100, milliseconds{600000});
  }
  const double cpu = ProcessCpuMicroseconds();
  const double bytes = bench.Bytes();
  bench.Fence();
  return {ProcessCpuMicroseconds() - cpu, bench.Bytes() - bytes};
}

double SyncCpu(double calls) { return Syncs(calls).cpu_us; }
double SyncBytes(double calls) { return Syncs(calls).bytes; }
double StartCpu(double calls) { return Starts(calls).cpu_us; }
double StartBytes(double calls) { return Starts(calls).bytes; }
double ListCpu(double running) { return List(running).cpu_us; }
double ListBytes(double running) { return List(running).bytes; }

}  // namespace

std::vector<slope_question> EndpointSlopes() {
  const std::vector<double> calls = {500, 1000, 2000, 4000};
  const std::vector<double> running = {100, 500, 1000, 2000};
  return {
      {"sync.cpu", "us", "sync", calls, SyncCpu, "endpoint_adapter::Sync at rest, our side"},
      {"sync.bytes", "bytes", "sync", calls, SyncBytes,
       "endpoint_adapter::Sync at rest, both ways"},
      {"start.cpu", "us", "start", calls, StartCpu, "endpoint_adapter::Start of one, our side"},
      {"start.bytes", "bytes", "start", calls, StartBytes,
       "endpoint_adapter::Start of one, both ways"},
      {"list.cpu", "us", "running task", running, ListCpu,
       "endpoint_adapter::Fence with its list, our side"},
      {"list.bytes", "bytes", "running task", running, ListBytes,
       "endpoint_adapter::Fence with its list, both ways"},
  };
}

}  // namespace catkinford
