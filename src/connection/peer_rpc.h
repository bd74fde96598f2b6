// JSON-RPC between our own processes, over libjsonrpccpp's HTTP connectors.
//
// libjsonrpccpp 0.7's headers use dynamic exception specifications and do not compile above C++14,
// so this pair is a library of its own, built as C++14, and this header has standard types only.
#ifndef CATKINFORD_CONNECTION_PEER_RPC_H_
#define CATKINFORD_CONNECTION_PEER_RPC_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace catkinford {

enum class rpc_status {
  kDone,      // the peer answered
  kNotSent,   // no connection: the peer has surely not seen the call
  kMaybeSent  // a timeout or a broken connection: the peer may have seen it
};

// A blocking caller of one peer; used by one thread.
class rpc_client {
 public:
  rpc_client(const std::string& url, std::chrono::milliseconds timeout);
  ~rpc_client();
  rpc_client(const rpc_client&) = delete;
  rpc_client& operator=(const rpc_client&) = delete;

  // Calls `method` with one text parameter; on kDone `answer` holds the peer's text.
  rpc_status Call(const std::string& method, const std::string& text, std::string& answer);

  // Drops the present connection. A connection can go silent for good while new ones work; a try
  // on the old one would only wait again.
  void Reconnect();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

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
