// Receives JSON-RPC calls of other entries over HTTP.
#ifndef CATKINFORD_CONNECTION_RPC_SERVER_H_
#define CATKINFORD_CONNECTION_RPC_SERVER_H_

#include "connection/http_server.h"
#include "connection/peer_rpc.h"

namespace catkinford {

// Calls its handler on the server's threads. A request that describes more than a call with one
// parameter is rejected unread.
class rpc_server {
 public:
  rpc_server(http_server_options options, rpc_dispatcher::handler on_deliver);

  // False when the port cannot be bound.
  bool Start() { return http_.Start(); }
  void Stop() { http_.Stop(); }
  uint16_t Port() const { return http_.Port(); }

 private:
  http_response Answer(const http_request& request);

  rpc_dispatcher dispatcher_;
  http_server http_;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_RPC_SERVER_H_
