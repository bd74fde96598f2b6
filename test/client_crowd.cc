#include "client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

constexpr int kStallMilliseconds = 3000;
constexpr int kStepMilliseconds = 20;
constexpr int kConnectMilliseconds = 1000;

int Connect(uint16_t port) {
  const int out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(out, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd event{out, POLLOUT, 0};
    const bool open = errno == EINPROGRESS && poll(&event, 1, kConnectMilliseconds) == 1 &&
                      (event.revents & (POLLERR | POLLHUP)) == 0;
    if (!open) {
      close(out);
      return -1;
    }
  }
  return out;
}

// Bytes that arrived at connections of the port and that its process has not read.
uint64_t Unread(uint16_t port) {
  std::ifstream in("/proc/net/tcp");
  std::string line;
  std::getline(in, line);
  uint64_t unread = 0;
  while (std::getline(in, line)) {
    unsigned local_port = 0;
    unsigned received = 0;
    // "sl: LOCAL:PORT REMOTE:PORT STATE SENT:RECEIVED ..."; a socket that listens has state 0A.
    const int found =
        std::sscanf(line.c_str(), " %*d: %*8X:%4X %*8X:%*4X 01 %*8X:%8X", &local_port, &received);
    if (found == 2 && local_port == port) unread += received;
  }
  return unread;
}

}  // namespace

client_crowd::client_crowd(uint16_t port, size_t count) : port_(port) {
  for (size_t i = 0; i < count; ++i) {
    const int opened = Connect(port);
    if (opened >= 0) clients_.push_back({opened, 0});
  }
}

client_crowd::~client_crowd() { Leave(); }

void client_crowd::Leave() {
  for (const client& each : clients_) {
    if (each.socket >= 0) close(each.socket);
  }
  clients_.clear();
}

void client_crowd::Send(std::string_view bytes, size_t piece) {
  SendAll(bytes, piece);
  WaitUntilRead();
}

void client_crowd::SendAfter(const std::function<std::string(size_t client)>& head,
                             std::string_view bytes, size_t piece) {
  for (size_t i = 0; i < clients_.size(); ++i) {
    const std::string own = head(i);
    send(clients_[i].socket, own.data(), own.size(), MSG_NOSIGNAL);
  }
  Send(bytes, piece);
}

// What the system has taken for the server may still wait there.
void client_crowd::WaitUntilRead() const {
  uint64_t before = 0;
  for (int steps = 0; steps < kStallMilliseconds / kStepMilliseconds; ++steps) {
    const uint64_t unread = Unread(port_);
    if (unread == 0) return;
    if (unread != before) steps = 0;
    before = unread;
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepMilliseconds));
  }
}

void client_crowd::SendAll(std::string_view bytes, size_t piece) {
  for (client& each : clients_) each.sent = 0;
  for (;;) {
    std::vector<pollfd> events;
    std::vector<client*> sending;
    for (client& each : clients_) {
      if (each.socket < 0 || each.sent == bytes.size()) continue;
      events.push_back({each.socket, POLLOUT, 0});
      sending.push_back(&each);
    }
    if (events.empty() || poll(events.data(), events.size(), kStallMilliseconds) <= 0) return;
    for (size_t i = 0; i < events.size(); ++i) {
      if (events[i].revents == 0) continue;
      client& each = *sending[i];
      const size_t size = std::min(piece, bytes.size() - each.sent);
      const ssize_t taken = send(each.socket, bytes.data() + each.sent, size, MSG_NOSIGNAL);
      if (taken > 0) {
        each.sent += static_cast<size_t>(taken);
      } else if (errno != EAGAIN && errno != EINTR) {
        close(each.socket);
        each.socket = -1;
      }
    }
  }
}

std::string RequestHead(std::string_view method, std::string_view path, int64_t length) {
  const std::string out =
      std::string(method) + " " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n";
  if (length < 0) return absl::StrCat(out, "Transfer-Encoding: chunked\r\n\r\n");
  return absl::StrCat(out, "Content-Length: ", length, "\r\n\r\n");
}

std::string InChunks(std::string_view body, size_t size) {
  std::string out;
  for (size_t at = 0; at < body.size(); at += size) {
    const std::string_view chunk = body.substr(at, size);
    absl::StrAppend(&out, absl::Hex(chunk.size()), "\r\n");
    out.append(chunk).append("\r\n");
  }
  return out;
}

}  // namespace catkinford
