// A small HTTP/1.1 server and client on loopback sockets, for the stand-ins of the second review.
// The server has a thread for each connection, so that a handler may wait.
#ifndef CATKINFORD_REVIEW_STANDINS_2_NET_H_
#define CATKINFORD_REVIEW_STANDINS_2_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct request {
  std::string method;
  std::string path;                            // without the query
  std::map<std::string, std::string> query;    // decoded
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct response {
  int status = 200;
  std::string body = "{}";
};

class server {
 public:
  // No response: the connection is closed without one.
  using handler = std::function<std::optional<response>(const request&)>;

  // `port` 0: a free one.
  explicit server(handler handle, uint16_t port = 0);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  uint16_t Port() const { return port_; }
  std::string Address() const;
  // Closes the listener and all connections; handlers that run are waited for.
  void Stop();

 private:
  void Accept();
  void Serve(int connection);

  handler handle_;
  uint16_t port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::atomic<int> open_{0};
  std::mutex mutex_;
  std::set<int> connections_;
  std::thread accepting_;
};

// Nothing: no complete answer within the time.
std::optional<response> Call(uint16_t port, const std::string& method, const std::string& path,
                             const std::map<std::string, std::string>& headers,
                             const std::string& body, milliseconds timeout);

uint16_t FreePort();

}  // namespace review

#endif  // CATKINFORD_REVIEW_STANDINS_2_NET_H_
