// Slopes of calls between processes.
#include "bench/rpc_cost.h"
#include "bench/slope.h"

namespace catkinford {
namespace {

constexpr size_t kSmallBody = 300;
constexpr int kCallsOfOneSize = 300;

double RpcCallerCpu(double calls) {
  return RunCalls({call_way::kJsonRpc, static_cast<int>(calls), 1, kSmallBody}).client_cpu_us;
}

double RpcServerCpu(double calls) {
  return RunCalls({call_way::kJsonRpc, static_cast<int>(calls), 1, kSmallBody}).server_cpu_us;
}

double HttpCallerCpu(double calls) {
  return RunCalls({call_way::kHttp, static_cast<int>(calls), 1, kSmallBody}).client_cpu_us;
}

double HttpServerCpu(double calls) {
  return RunCalls({call_way::kHttp, static_cast<int>(calls), 1, kSmallBody}).server_cpu_us;
}

// Of both sides, for each call, as the body grows.
double RpcBodyCpu(double kilobytes) {
  const call_cost cost =
      RunCalls({call_way::kJsonRpc, kCallsOfOneSize, 1, static_cast<size_t>(kilobytes * 1000)});
  return (cost.client_cpu_us + cost.server_cpu_us) / kCallsOfOneSize;
}

}  // namespace

std::vector<slope_question> PeerSlopes() {
  const std::vector<double> calls = {1000, 2000, 4000, 8000};
  return {
      {"rpc.caller_cpu", "us", "call", calls, RpcCallerCpu,
       "JSON-RPC call of 300 bytes between two processes, caller's side"},
      {"rpc.server_cpu", "us", "call", calls, RpcServerCpu,
       "JSON-RPC call of 300 bytes between two processes, server's side"},
      {"rpc.body_cpu",
       "us",
       "KB",
       {1, 10, 40, 100},
       RpcBodyCpu,
       "JSON-RPC call as its body grows, both sides"},
      {"http.caller_cpu", "us", "call", calls, HttpCallerCpu,
       "http_client to http_server, 300 bytes, caller's side"},
      {"http.server_cpu", "us", "call", calls, HttpServerCpu,
       "http_client to http_server, 300 bytes, server's side"},
  };
}

}  // namespace catkinford
