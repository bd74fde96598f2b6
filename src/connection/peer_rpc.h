// JSON-RPC between our own processes: libjsonrpccpp's codec and server. Calls travel by
// http_client, so that one thread keeps calls to many peers under way.
//
// libjsonrpccpp 0.7's headers use dynamic exception specifications and do not compile above C++14,
// so this pair is a library of its own, built as C++14, and this header has standard types only.
#ifndef CATKINFORD_CONNECTION_PEER_RPC_H_
#define CATKINFORD_CONNECTION_PEER_RPC_H_

#include <functional>
#include <memory>
#include <string>

namespace catkinford {

// The request text of a call of `method` with one text parameter.
std::string EncodeRpcRequest(const std::string& method, const std::string& text);
// Takes the peer's text out of the response to such a call. False when it is no response, or an
// error of JSON-RPC.
bool DecodeRpcResponse(const std::string& response, std::string& answer);

// Serves one method, "deliver": text in, text out, at once.
class rpc_server {
 public:
  using handler = std::function<std::string(const std::string& text)>;

  rpc_server(int port, int threads, handler on_deliver);
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  // False when the port cannot be had.
  bool Start();
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_PEER_RPC_H_
