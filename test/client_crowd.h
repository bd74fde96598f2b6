// Connections whose clients send bytes and never read an answer.
#ifndef CATKINFORD_TEST_CLIENT_CROWD_H_
#define CATKINFORD_TEST_CLIENT_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinford {

class client_crowd {
 public:
  // Opens `count` connections to a port of the loopback address; those that cannot be opened are
  // left out.
  client_crowd(uint16_t port, size_t count);
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  // Each client sends `bytes`, in turn at most `piece` of them, until all were read, its connection
  // was closed, or no client's bytes were read for some seconds.
  void Send(std::string_view bytes, size_t piece);
  // The same after a text of its own for each client, of a few hundred bytes at most.
  void SendAfter(const std::function<std::string(size_t client)>& head, std::string_view bytes,
                 size_t piece);
  // Closes all connections.
  void Leave();

 private:
  struct client {
    int socket = -1;
    size_t sent = 0;
  };

  void SendAll(std::string_view bytes, size_t piece);
  void WaitUntilRead() const;

  const uint16_t port_;
  std::vector<client> clients_;
};

// A request's head, with `length` as Content-Length or, if it is negative, for a chunked body.
std::string RequestHead(std::string_view method, std::string_view path, int64_t length);
// `body` in chunks of `size` bytes, without the chunk that ends it.
std::string InChunks(std::string_view body, size_t size);

}  // namespace catkinford

#endif  // CATKINFORD_TEST_CLIENT_CROWD_H_
