// A server in a process of its own, so that what its side costs can be told from the caller's.
#ifndef CATKINFORD_BENCH_FORKED_SERVER_H_
#define CATKINFORD_BENCH_FORKED_SERVER_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>

namespace catkinford {

// Bytes that went both ways over the connections that this process has open to `port`, as TCP
// counts them: HTTP heads and bodies, without the heads of TCP and IP.
double SocketBytes(uint16_t port);

// Processor time of this process so far, in microseconds.
double ProcessCpuMicroseconds();

class forked_server {
 public:
  // `serve` runs in the child: it starts a server on `port`, calls `wait`, which returns when the
  // parent is done, and stops it.
  using server = std::function<void(uint16_t port, const std::function<void()>& wait)>;

  explicit forked_server(const server& serve);
  ~forked_server();
  forked_server(const forked_server&) = delete;
  forked_server& operator=(const forked_server&) = delete;

  uint16_t Port() const { return port_; }
  // Ends the child; the processor time that it used in all, in microseconds.
  double Stop();

 private:
  uint16_t port_;
  pid_t child_ = -1;
  int parent_end_ = -1;  // closed: the child stops
};

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_FORKED_SERVER_H_
