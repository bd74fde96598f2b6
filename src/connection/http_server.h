// HTTP server on libmicrohttpd with its own epoll threads. A waiting request is suspended without
// blocking a thread and is answered later by its token.
#ifndef CATKINFORD_CONNECTION_HTTP_SERVER_H_
#define CATKINFORD_CONNECTION_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "connection/connection_budget.h"
#include "connection/tls_certificate.h"

namespace catkinford {

struct http_request {
  std::string method;
  std::string path;    // decoded, without the query
  std::string body;    // complete
  std::string bearer;  // the key of "Authorization: Bearer KEY", empty without one
  std::string host;    // of the Host header
  // Those named in http_server_options::captured_headers that were present: name and value.
  std::vector<std::pair<std::string, std::string>> headers;
  std::vector<std::pair<std::string, std::string>> query;
  // What the request holds is counted for as long as a copy of this exists.
  request_memory memory;

  // The value of a query argument, or empty if absent.
  std::string Query(const std::string& name) const;
  // The value of a captured header, or empty if absent.
  std::string Header(const std::string& name) const;
};

struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::optional<std::chrono::seconds> retry_after;  // sent as Retry-After
  bool close = false;                               // close the connection after this response
};

struct http_server_options {
  uint16_t port = 0;  // 0: an ephemeral port
  std::string address = "127.0.0.1";
  int threads = 1;
  size_t body_limit = size_t{1} << 20;
  std::chrono::seconds idle_timeout{30};  // closes slow senders and half-closed connections
  // At the limit, further clients wait; with a budget, connections are closed for them.
  unsigned connection_limit = 4096;
  // None: what requests hold has no limit.
  std::shared_ptr<connection_budget> budget;
  int socket_buffer_bytes = 0;                // of the system, in each direction; 0: its default
  std::vector<std::string> captured_headers;  // headers to copy into requests
  bool tls = false;             // requires tls_certificate or SetCertificate() before Start()
  std::string tls_certificate;  // PEM text
  std::string tls_key;
};

class http_server {
 public:
  // Identifies a waiting request. A second response, or one after the caller disconnected, is
  // ignored.
  using token = uint64_t;
  // Called on a server thread; must not block. Respond() may be called later from any thread.
  using handler = std::function<void(token, http_request)>;

  http_server(http_server_options options, handler on_request);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // False when the port cannot be bound or the certificate is unusable.
  bool Start();
  // Replaces the certificate without a restart: new connections use the new one, open connections
  // are unaffected. Only for a server that was started with TLS. On error the old one stays.
  tls_fault SetCertificate(const std::string& certificate, const std::string& key);
  tls_fault SetCertificateFiles(const std::string& certificate, const std::string& key);
  // The bound port; 0 before Start().
  uint16_t Port() const;
  void Respond(token request, http_response response);
  // For requests that begin from now on.
  void SetBodyLimit(size_t bytes);
  // Requests without a response, or whose response is not fully sent: Stop() may abort them.
  size_t Waiting() const;
  // Answers requests that arrive from now on with 503, without passing them to the handler, and
  // closes their connections. Once nothing waits after this call, Stop() aborts no request.
  void RejectNew();
  // Accepts no new connections; open ones continue to be served.
  void StopAccepting();
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_HTTP_SERVER_H_
