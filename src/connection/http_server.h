// The HTTP front: libmicrohttpd with its own epoll thread. A request that must wait is suspended
// and costs no thread; it is answered later by its token.
#ifndef CATKINFORD_CONNECTION_HTTP_SERVER_H_
#define CATKINFORD_CONNECTION_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "connection/tls_certificate.h"

namespace catkinford {

struct http_request {
  std::string method;
  std::string path;    // decoded, without the query
  std::string body;    // whole
  std::string bearer;  // the key of "Authorization: Bearer KEY", empty without one
  std::string host;    // of the Host header
  // Of the headers that http_server_options names, those that came: name and value.
  std::vector<std::pair<std::string, std::string>> headers;
  std::vector<std::pair<std::string, std::string>> query;

  // The value of a query argument, or empty.
  std::string Query(const std::string& name) const;
  // The value of a kept header, or empty.
  std::string Header(const std::string& name) const;
};

struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::chrono::seconds retry_after{0};  // sent as Retry-After when over zero
  bool close = false;                   // the connection ends after this answer
};

struct http_server_options {
  uint16_t port = 0;  // 0: the system picks one
  std::string address = "127.0.0.1";
  int threads = 1;
  size_t body_limit = size_t{1} << 20;
  std::chrono::seconds idle_timeout{30};  // a slow sender or a half-closed connection ends here
  unsigned connection_limit = 4096;
  std::vector<std::string> captured_headers;  // names of headers that requests keep
  bool tls = false;             // needs a certificate: here, or by SetCertificate() before Start()
  std::string tls_certificate;  // PEM text
  std::string tls_key;
};

class http_server {
 public:
  // Names a waiting request. Answering twice, or after the caller went away, does nothing.
  using token = uint64_t;
  // Called on the server's thread; must not block. The answer may come later, from any thread.
  using handler = std::function<void(token, http_request)>;

  http_server(http_server_options options, handler on_request);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // False when the port cannot be had, or the certificate cannot be used.
  bool Start();
  // Replaces the certificate without a restart: new connections get the new one, open ones go on.
  // Only for a server that was started with one; on a fault the old one stays.
  tls_fault SetCertificate(const std::string& certificate, const std::string& key);
  tls_fault SetCertificateFiles(const std::string& certificate, const std::string& key);
  // The port in use.
  uint16_t Port() const;
  void Respond(token request, http_response response);
  // Requests whose answer is not yet given, or not yet sent whole: Stop() would cut them off.
  size_t Waiting() const;
  // Takes no new connections; those that are open go on.
  void StopAccepting();
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_HTTP_SERVER_H_
