// HTTP client: runs many concurrent transfers on one thread with one libcurl multi handle.
#ifndef CATKINFORD_CONNECTION_HTTP_CLIENT_H_
#define CATKINFORD_CONNECTION_HTTP_CLIENT_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "connection/traffic_counter.h"

namespace catkinford {

enum class transfer_status : uint8_t {
  kDone,      // a response arrived, with any status code
  kNotSent,   // no connection: the server has not seen the call
  kMaybeSent  // timeout or broken connection: the server may have seen the call
};

struct http_call {
  std::string method = "GET";
  std::string url;
  std::string body;
  std::string bearer;  // sent as "Authorization: Bearer" when not empty
  // Limit of the entire call; with `stall_timeout` set, of the wait for the first response byte.
  std::chrono::milliseconds timeout{5000};
  // Once the response has begun, the longest time without a byte. A large response on a slow link
  // is not aborted while it makes progress. 0: only `timeout` applies, to the entire call.
  std::chrono::milliseconds stall_timeout{0};
  bool close_connection = false;  // after the response, instead of keeping it for later calls
  bool fresh_connection = false;  // bypasses pooled connections, which may be dead
  bool uses_extra = false;        // may open the client's extra connections too
  std::vector<std::pair<std::string, std::string>> headers;  // additional ones: name and value
  std::shared_ptr<std::atomic<uint64_t>> received_bytes;  // counts the response bytes; may be null
};

// Connections of one client.
struct connection_counts {
  uint64_t open = 0;
  uint64_t opened = 0;  // since the start, the open ones included
};

struct http_result {
  transfer_status status = transfer_status::kNotSent;
  int code = 0;
  std::string body;
};

// "http://HOST:PORT/path" is of host "HOST:PORT".
std::string_view HostOf(std::string_view url);

class http_client {
 public:
  // Called on the client's thread; must not block.
  using callback = std::function<void(http_result)>;

  // `connections_per_host` limits the open connections to one address; 0: unlimited. `ca_file`: PEM
  // file of the trusted authorities for https; empty: the system's. `traffic_counts` counts the
  // bytes of all calls; may be null. `extra_per_host`: further connections for calls that may use
  // them.
  explicit http_client(size_t connections_per_host, std::string ca_file = {},
                       traffic_counter* traffic_counts = nullptr, size_t extra_per_host = 0);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  void Start();
  // Thread-safe. After Stop() the callback receives kNotSent.
  void Send(http_call call, callback on_done);
  // Sends and blocks until the result; for command-line tools and tests.
  http_result SendAndWait(http_call call);
  // The longest time that recent calls waited before the client's thread began them. While that
  // thread is late, so is its reading of responses.
  std::chrono::milliseconds Delay() const;
  connection_counts Connections() const;
  // Processor time of the client's thread.
  std::chrono::microseconds CpuTime() const;
  // Closes the open connections as soon as no call is in flight.
  void CloseIdleConnections();
  // Ends all transfers; every callback is still called.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

// Another way for a call than this process's own connections. Takes the call and returns true, or
// leaves both arguments as they are and returns false.
using call_route = std::function<bool(http_call& call, http_client::callback& done)>;

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_HTTP_CLIENT_H_
