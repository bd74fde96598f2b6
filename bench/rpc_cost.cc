#include "bench/rpc_cost.h"

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/forked_server.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/peer_auth.h"
#include "connection/peer_rpc.h"
#include "connection/rpc_server.h"

namespace catkinford {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{5000};
constexpr int kServerThreads = 4;
constexpr char kReceiver[] = "otaru-1";

std::string Url(uint16_t port) { return "http://127.0.0.1:" + std::to_string(port); }

http_server_options RpcOptions(uint16_t port) {
  http_server_options options;
  options.port = port;
  options.threads = kServerThreads;
  options.body_limit = size_t{64} << 20;
  return options;
}

void ServeRpc(uint16_t port, const std::function<void()>& wait) {
  rpc_server server(RpcOptions(port), [](const std::string& /*text*/) { return "ok"; });
  server.Start();
  wait();
  server.Stop();
}

peer_secrets BenchSecrets() { return {{std::string(32, 's')}, false}; }

void ServeSigned(uint16_t port, const std::function<void()>& wait) {
  peer_auth auth;
  auth.Set(BenchSecrets());
  rpc_server server(RpcOptions(port), [&auth](const std::string& text) {
    return auth.Verify(kReceiver, text) ? "ok" : "refused";
  });
  server.Start();
  wait();
  server.Stop();
}

void ServeHttp(uint16_t port, const std::function<void()>& wait) {
  http_server_options options;
  options.port = port;
  options.body_limit = size_t{64} << 20;
  http_server* self = nullptr;
  http_server server(options, [&self](http_server::token token, const http_request& /*request*/) {
    self->Respond(token, {200, "ok"});
  });
  self = &server;
  server.Start();
  wait();
  server.Stop();
}

// Keeps `at_once` calls in flight until all are done.
class call_pump {
 public:
  call_pump(const call_load& load, uint16_t port)
      : client_(static_cast<size_t>(load.at_once)), load_(load), left_(load.calls) {
    auth_.Set(BenchSecrets());
    text_ = std::string(load.body_bytes, 'x');
    const std::string text =
        load.way == call_way::kSignedRpc ? auth_.Sign(kReceiver, text_) : text_;
    call_.method = "POST";
    call_.url = Url(port);
    call_.body = load.way == call_way::kHttp ? text : EncodeRpcRequest("deliver", text);
    call_.timeout = kCallTimeout;
  }

  int Run() {
    client_.Start();
    for (int i = 0; i < load_.at_once; ++i) Next();
    std::unique_lock lock(mutex_);
    all_done_.wait(lock, [this] { return done_ == load_.calls; });
    lock.unlock();
    client_.Stop();
    return failed_;
  }

 private:
  void Next() {
    if (left_.fetch_sub(1) <= 0) return;
    // The text stays the same; signing it again is what each call costs.
    if (load_.way == call_way::kSignedRpc) signed_bytes_ += auth_.Sign(kReceiver, text_).size();
    client_.Send(call_, [this](const http_result& result) {
      Count(IsAnswer(result));
      Next();
    });
  }
  bool IsAnswer(const http_result& result) const {
    if (result.status != transfer_status::kDone || result.code != 200) return false;
    std::string answer;
    if (load_.way == call_way::kHttp) return true;
    return DecodeRpcResponse(result.body, answer) && answer == "ok";
  }
  void Count(bool good) {
    const std::lock_guard lock(mutex_);
    failed_ += good ? 0 : 1;
    if (++done_ == load_.calls) all_done_.notify_one();
  }

  http_client client_;
  call_load load_;
  http_call call_;
  peer_auth auth_;
  std::string text_;
  std::atomic<size_t> signed_bytes_{0};
  std::atomic<int> left_;
  std::mutex mutex_;
  std::condition_variable all_done_;
  int done_ = 0;
  int failed_ = 0;
};

struct load_row {
  const char* name;
  call_load load;
  int records;  // messages in one call
};

constexpr size_t kRecordBytes = 300;

std::vector<load_row> Rows() {
  return {
      {"JSON-RPC, 1 at a time", {call_way::kJsonRpc, 5000, 1, kRecordBytes}, 1},
      {"JSON-RPC, 4 in flight", {call_way::kJsonRpc, 20000, 4, kRecordBytes}, 1},
      {"JSON-RPC, 32 in flight", {call_way::kJsonRpc, 20000, 32, kRecordBytes}, 1},
      {"JSON-RPC signed, 1 at a time", {call_way::kSignedRpc, 5000, 1, kRecordBytes}, 1},
      {"JSON-RPC signed, 100 records", {call_way::kSignedRpc, 2000, 1, 100 * kRecordBytes}, 100},
      {"HTTP pair, 1 at a time", {call_way::kHttp, 5000, 1, kRecordBytes}, 1},
      {"HTTP pair, 4 in flight", {call_way::kHttp, 20000, 4, kRecordBytes}, 1},
      {"HTTP pair, 32 in flight", {call_way::kHttp, 20000, 32, kRecordBytes}, 1},
      {"JSON-RPC, 10 records a call", {call_way::kJsonRpc, 5000, 1, 10 * kRecordBytes}, 10},
      {"JSON-RPC, 100 records a call", {call_way::kJsonRpc, 2000, 1, 100 * kRecordBytes}, 100},
      {"JSON-RPC, 1000 records a call", {call_way::kJsonRpc, 300, 1, 1000 * kRecordBytes}, 1000},
      {"HTTP pair, 10 records a call", {call_way::kHttp, 5000, 1, 10 * kRecordBytes}, 10},
      {"HTTP pair, 100 records a call", {call_way::kHttp, 2000, 1, 100 * kRecordBytes}, 100},
      {"HTTP pair, 1000 records a call", {call_way::kHttp, 300, 1, 1000 * kRecordBytes}, 1000},
  };
}

nlohmann::json RunRow(const load_row& row) {
  const call_cost cost = RunCalls(row.load);
  const double calls = row.load.calls;
  std::printf("%-32s %9.0f calls/s %10.0f records/s  CPU a call: caller %7.1f us, served %7.1f us",
              row.name, cost.calls_per_second, cost.calls_per_second * row.records,
              cost.client_cpu_us / calls, cost.server_cpu_us / calls);
  std::printf("  failed %d\n", cost.failed);
  return {{"way", row.name},
          {"calls_per_second", cost.calls_per_second},
          {"records_per_second", cost.calls_per_second * row.records},
          {"caller_cpu_us", cost.client_cpu_us / calls},
          {"server_cpu_us", cost.server_cpu_us / calls},
          {"failed", cost.failed}};
}

}  // namespace

call_cost RunCalls(const call_load& load) {
  const auto serve = load.way == call_way::kJsonRpc     ? ServeRpc
                     : load.way == call_way::kSignedRpc ? ServeSigned
                                                        : ServeHttp;
  forked_server server(serve);
  call_cost cost;
  const double cpu_before = ProcessCpuMicroseconds();
  const auto begin = std::chrono::steady_clock::now();
  cost.failed = call_pump(load, server.Port()).Run();
  const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begin;
  cost.client_cpu_us = ProcessCpuMicroseconds() - cpu_before;
  cost.server_cpu_us = server.Stop();
  cost.calls_per_second = load.calls / spent.count();
  return cost;
}

int RpcMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  nlohmann::json rows = nlohmann::json::array();
  int failed = 0;
  for (const load_row& row : Rows()) {
    rows.push_back(RunRow(row));
    failed += rows.back()["failed"].get<int>();
  }
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) std::ofstream(file) << rows.dump(1) << "\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace catkinford
