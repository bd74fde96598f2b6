// Outgoing HTTP: one libcurl multi handle in one thread, many transfers at once.
#ifndef CATKINFORD_CONNECTION_HTTP_CLIENT_H_
#define CATKINFORD_CONNECTION_HTTP_CLIENT_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "connection/traffic_counter.h"

namespace catkinford {

enum class transfer_status : uint8_t {
  kDone,      // an answer came, with any status code
  kNotSent,   // no connection: the other side has surely not seen the call
  kMaybeSent  // a timeout or a broken connection: it may have seen it
};

struct http_call {
  std::string method = "GET";
  std::string url;
  std::string body;
  std::string bearer;  // sent as "Authorization: Bearer" when not empty
  // Of the whole call; where `stall` is set, of the wait for the answer's first byte.
  std::chrono::milliseconds timeout{5000};
  // Once the answer arrives, the longest that no byte of it may come. However long a large answer
  // takes on a narrow link, it is not thrown away while it moves. 0: `timeout` holds alone.
  std::chrono::milliseconds stall_timeout{0};
  bool fresh_connection = false;  // not on a kept connection, which may have gone silent
  std::vector<std::pair<std::string, std::string>> headers;  // more of them: name and value
  std::shared_ptr<std::atomic<uint64_t>>
      received_bytes;  // counts the answer's bytes; null: nobody asks
};

struct http_result {
  transfer_status status = transfer_status::kNotSent;
  int code = 0;
  std::string body;
};

class http_client {
 public:
  // Called on the client's thread; must not block.
  using callback = std::function<void(http_result)>;

  // `connections_per_host` bounds the connections that are open to one address. `ca_file`: PEM file
  // of the authorities to trust for https; empty: those of the system. `meter` counts the bytes of
  // all calls; null: nobody asks.
  explicit http_client(size_t connections_per_host, std::string ca_file = {},
                       traffic_counter* traffic_counts = nullptr);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  void Start();
  // From any thread. After Stop() the callback gets kNotSent.
  void Send(http_call call, callback on_done);
  // Sends and waits for the result; for command lines and tests.
  http_result SendAndWait(http_call call);
  // How long calls waited lately, at most, before they were begun: while this thread is late, so
  // are the answers that it reads.
  std::chrono::milliseconds Delay() const;
  // Ends all transfers; each callback is called.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_HTTP_CLIENT_H_
