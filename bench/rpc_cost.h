// What one call between two processes costs: JSON-RPC, by libjsonrpccpp's codec and server, against
// our HTTP pair alone.
#ifndef CATKINFORD_BENCH_RPC_COST_H_
#define CATKINFORD_BENCH_RPC_COST_H_

#include <cstddef>

namespace catkinford {

enum class call_way { kJsonRpc, kSignedRpc, kHttp };

struct call_load {
  call_way way = call_way::kJsonRpc;
  int calls = 1000;         // in all
  int at_once = 1;          // calls in flight
  size_t body_bytes = 300;  // of the text that is sent; the answer is two bytes
};

struct call_cost {
  double calls_per_second = 0;
  double client_cpu_us = 0;  // of all calls together
  double server_cpu_us = 0;
  int failed = 0;
};

// Runs the load between this process and a child.
call_cost RunCalls(const call_load& load);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_RPC_COST_H_
