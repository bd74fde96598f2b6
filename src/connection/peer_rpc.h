// JSON-RPC between entries, with libjsonrpccpp's codec. Calls are sent by http_client and received
// by http_server.
//
// The headers of libjsonrpccpp 0.7 use dynamic exception specifications and do not compile above
// C++14, so peer_rpc is a separate library built as C++14, and this header uses only standard
// types.
#ifndef CATKINFORD_CONNECTION_PEER_RPC_H_
#define CATKINFORD_CONNECTION_PEER_RPC_H_

#include <functional>
#include <memory>
#include <string>

namespace catkinford {

// The JSON-RPC request that calls `method` with the single parameter "text".
std::string EncodeRpcRequest(const std::string& method, const std::string& text);
// Extracts the peer's text from the response to such a call. False when `response` is not a
// JSON-RPC response or is a JSON-RPC error.
bool DecodeRpcResponse(const std::string& response, std::string& answer);

// Serves the single method "deliver", which synchronously maps a text to a text.
class rpc_dispatcher {
 public:
  using handler = std::function<std::string(const std::string& text)>;

  explicit rpc_dispatcher(handler on_deliver);
  ~rpc_dispatcher();
  rpc_dispatcher(const rpc_dispatcher&) = delete;
  rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

  // The response to a request, also to one that can't be read. The library builds all values of a
  // request: their number must have been checked.
  std::string Dispatch(const std::string& request);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_PEER_RPC_H_
