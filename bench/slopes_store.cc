// Slopes of calls to the platform's store: bytes on the wire.
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

#include "bench/forked_server.h"
#include "bench/slope.h"
#include "connection/http_client.h"
#include "connection/store_adapter.h"
#include "standin/store_server.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};
constexpr double kNoRateLimit = 1e9;
constexpr size_t kMemberValue = 120;  // bytes of a member's or a shard's record

void ServeStore(uint16_t port, const std::function<void()>& wait) {
  store_options options;
  options.read_rate = kNoRateLimit;
  options.write_rate = kNoRateLimit;
  store_server server(port, options);
  server.Start();
  wait();
  server.Stop();
}

// A store in a process of its own and a caller that waits for each reply.
class store_bench {
 public:
  store_bench()
      : server_(ServeStore),
        http_(1),
        store_(http_, "http://127.0.0.1:" + std::to_string(server_.Port()), kTimeout) {
    http_.Start();
  }
  ~store_bench() { http_.Stop(); }
  store_bench(const store_bench&) = delete;
  store_bench& operator=(const store_bench&) = delete;

  store_reply Write(const std::string& key, uint64_t expect, size_t bytes) {
    const std::string value(bytes, 'x');
    return Wait([&](const auto& done) {
      store_.CompareAndSwap(key, expect, value, "write-0000000000000001", "", done);
    });
  }
  std::string Lease() {
    return Wait([&](const auto& done) { store_.GrantLease(milliseconds{60000}, done); }).lease;
  }
  void Keep(const std::string& lease) {
    Wait([&](const auto& done) { store_.KeepLease(lease, done); });
  }
  void Range(const std::string& prefix) {
    Wait([&](const auto& done) { store_.Range(prefix, done); });
  }
  double Bytes() const { return SocketBytes(server_.Port()); }

 private:
  template <typename Send>
  store_reply Wait(const Send& send) {
    std::unique_lock lock(mutex_);
    answered_ = false;
    send([this](store_reply reply) {
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
  store_adapter store_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool answered_ = false;
  store_reply reply_;
};

double KeepBytes(double calls) {
  store_bench bench;
  const std::string lease = bench.Lease();
  const double before = bench.Bytes();
  for (int i = 0; i < static_cast<int>(calls); ++i) bench.Keep(lease);
  return bench.Bytes() - before;
}

double RangeBytes(double items) {
  store_bench bench;
  for (int i = 0; i < static_cast<int>(items); ++i) {
    bench.Write("member/domain-0/entry-" + std::to_string(100 + i), 0, kMemberValue);
  }
  const double before = bench.Bytes();
  bench.Range("member/");
  return bench.Bytes() - before;
}

double WriteBytes(double value_bytes) {
  store_bench bench;
  const double before = bench.Bytes();
  bench.Write("jobs/domain-0/0/00000001", 0, static_cast<size_t>(value_bytes));
  return bench.Bytes() - before;
}

}  // namespace

std::vector<slope_question> StoreSlopes() {
  return {
      {"store.keep_bytes",
       "bytes",
       "call",
       {100, 200, 400, 800},
       KeepBytes,
       "store_adapter::KeepLease, both ways"},
      {"store.range_bytes",
       "bytes",
       "item",
       {6, 18, 54, 108},
       RangeBytes,
       "store_adapter::Range over records of 120 bytes, both ways"},
      {"store.write_bytes",
       "bytes",
       "byte of the value",
       {100, 1000, 10000, 100000},
       WriteBytes,
       "store_adapter::CompareAndSwap, both ways"},
  };
}

}  // namespace catkinford
