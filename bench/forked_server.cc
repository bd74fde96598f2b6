#include "bench/forked_server.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <thread>

#include "bench/child_process.h"

namespace catkinford {
namespace {

constexpr int kDescriptorLimit = 1024;
constexpr int kConnectTries = 500;
constexpr std::chrono::milliseconds kConnectPause{10};

double Microseconds(const rusage& usage) {
  const auto seconds = static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec);
  return seconds * 1e6 + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

bool Accepts(uint16_t port) {
  const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(port);
  const int result =
      connect(socket_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  close(socket_fd);
  return result == 0;
}

}  // namespace

double SocketBytes(uint16_t port) {
  double bytes = 0;
  for (int fd = 0; fd < kDescriptorLimit; ++fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) continue;
    if (peer.sin_family != AF_INET || ntohs(peer.sin_port) != port) continue;
    tcp_info info{};
    size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) continue;
    bytes += static_cast<double>(info.tcpi_bytes_acked + info.tcpi_bytes_received);
  }
  return bytes;
}

double ProcessCpuMicroseconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return Microseconds(usage);
}

forked_server::forked_server(const server& serve) : port_(FreePort()) {
  std::array<int, 2> ends{};
  if (pipe(ends.data()) != 0) return;
  child_ = fork();
  if (child_ == 0) {
    close(ends[1]);
    serve(port_, [&ends] {
      char unused = 0;
      while (read(ends[0], &unused, 1) > 0) {
      }
    });
    _exit(0);
  }
  close(ends[0]);
  parent_end_ = ends[1];
  for (int i = 0; i < kConnectTries && !Accepts(port_); ++i) {
    std::this_thread::sleep_for(kConnectPause);
  }
}

forked_server::~forked_server() { Stop(); }

double forked_server::Stop() {
  if (child_ <= 0) return 0;
  close(parent_end_);
  rusage usage{};
  int status = 0;
  wait4(child_, &status, 0, &usage);
  child_ = -1;
  return Microseconds(usage);
}

}  // namespace catkinford
