#include "standin/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using time_point = steady_clock::time_point;

constexpr size_t kChunk = size_t{64} << 10;
constexpr size_t kBacklogBytes = size_t{4} << 20;  // then the sender is not read any further
// On a link with a rate: what is passed on at once, and what waits for it at most.
constexpr size_t kPacedBytes = size_t{4} << 10;
constexpr size_t kPacedBacklogBytes = size_t{32} << 10;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int ListenOn(uint16_t& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

int ConnectTo(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  // On loopback it connects or fails by the time that the call returns or the socket is writable.
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

// A close that the other side sees as a reset and not as an orderly end.
void Reset(int fd) {
  const linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  close(fd);
}

struct delayed_bytes {
  time_point due;
  std::string bytes;
};

// One direction of a connection.
struct stream {
  int from = -1;
  int to = -1;
  bool swallow = false;  // by the link's present rule
  bool ended = false;    // the sender closed its side
  bool shut = false;     // and that was passed on
  std::deque<delayed_bytes> waiting;
  size_t waiting_bytes = 0;
};

struct proxied_connection {
  size_t link = 0;
  std::array<stream, 2> streams;  // to the target, and back
  uint64_t bytes = 0;
  bool silent = false;
  bool broken = false;
};

struct proxy_link {
  int listener = -1;
  uint16_t port = 0;
  uint16_t target = 0;
  link_rule rule;
  uint64_t passed = 0;
  std::array<time_point, 2> free_at{};  // when each way of a link with a rate takes more

  bool Busy(size_t way, time_point now) const {
    return rule.bytes_per_second != 0 && free_at[way] > now;
  }
  void Pass(size_t way, size_t bytes, time_point now) {
    if (rule.bytes_per_second == 0) return;
    const std::chrono::duration<double> takes(static_cast<double>(bytes) /
                                              static_cast<double>(rule.bytes_per_second));
    free_at[way] =
        std::max(free_at[way], now) + std::chrono::duration_cast<std::chrono::nanoseconds>(takes);
  }
};

void SetSwallow(proxied_connection& connection, link_state state) {
  const bool both = state == link_state::kSwallow;
  connection.streams[0].swallow = both || state == link_state::kOtherWay;
  connection.streams[1].swallow = both || state == link_state::kOneWay;
}

}  // namespace

struct fault_proxy::impl {
  void Run();
  void Accept(size_t link);
  void Read(proxied_connection& connection, stream& way, time_point now);
  void Write(proxied_connection& connection, size_t direction, time_point now);
  void CollectPolls(time_point now, int& timeout_ms);
  void Wake() const {
    const uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(wake, &one, sizeof(one));
  }

  std::mutex mutex;
  std::vector<proxy_link> links;
  std::list<proxied_connection> connections;
  std::vector<pollfd> polls;
  int wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  bool stopping = false;
  std::thread thread;
};

void fault_proxy::impl::Accept(size_t index) {
  proxy_link& link = links[index];
  for (;;) {
    const int client = accept4(link.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) return;
    const int on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const int target = link.rule.state == link_state::kCut ? -1 : ConnectTo(link.target);
    if (target < 0) {
      Reset(client);
      continue;
    }
    proxied_connection connection;
    connection.link = index;
    connection.streams[0].from = connection.streams[1].to = client;
    connection.streams[0].to = connection.streams[1].from = target;
    SetSwallow(connection, link.rule.state);
    connections.push_back(std::move(connection));
  }
}

void fault_proxy::impl::Read(proxied_connection& connection, stream& way, time_point now) {
  std::string chunk(kChunk, '\0');
  const ssize_t got = recv(way.from, chunk.data(), chunk.size(), 0);
  if (got < 0) {
    if (errno != EAGAIN && errno != EINTR) connection.broken = true;
    return;
  }
  if (got == 0) {
    way.ended = true;
    return;
  }
  proxy_link& link = links[connection.link];
  connection.bytes += static_cast<uint64_t>(got);
  if (connection.bytes > link.rule.silent_after_bytes) connection.silent = true;
  if (connection.silent || way.swallow) return;
  link.passed += static_cast<uint64_t>(got);
  chunk.resize(static_cast<size_t>(got));
  way.waiting_bytes += chunk.size();
  way.waiting.push_back({now + link.rule.delay, std::move(chunk)});
}

void fault_proxy::impl::Write(proxied_connection& connection, size_t direction, time_point now) {
  stream& way = connection.streams[direction];
  proxy_link& link = links[connection.link];
  const size_t most =
      link.rule.bytes_per_second == 0 ? std::numeric_limits<size_t>::max() : kPacedBytes;
  while (!way.waiting.empty() && way.waiting.front().due <= now && !link.Busy(direction, now)) {
    std::string& bytes = way.waiting.front().bytes;
    const ssize_t sent = send(way.to, bytes.data(), std::min(most, bytes.size()), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno != EAGAIN && errno != EINTR) connection.broken = true;
      return;
    }
    link.Pass(direction, static_cast<size_t>(sent), now);
    way.waiting_bytes -= static_cast<size_t>(sent);
    bytes.erase(0, static_cast<size_t>(sent));
    if (bytes.empty()) way.waiting.pop_front();
  }
  // The end of a swallowed stream is swallowed as well: a silent connection does not close.
  const bool pass_end = !connection.silent && !way.swallow;
  if (way.ended && !way.shut && way.waiting.empty() && pass_end) {
    shutdown(way.to, SHUT_WR);
    way.shut = true;
  }
}

void fault_proxy::impl::CollectPolls(time_point now, int& timeout_ms) {
  polls.clear();
  polls.push_back({wake, POLLIN, 0});
  for (const proxy_link& link : links) polls.push_back({link.listener, POLLIN, 0});
  for (proxied_connection& connection : connections) {
    const proxy_link& link = links[connection.link];
    const size_t backlog = link.rule.bytes_per_second == 0 ? kBacklogBytes : kPacedBacklogBytes;
    for (size_t direction = 0; direction < connection.streams.size(); ++direction) {
      const stream& way = connection.streams[direction];
      // A held stream stays in the system's buffers, as sent packets stay with a sender that
      // goes on retransmitting them through a partition.
      const bool held = link.rule.state == link_state::kHold;
      const bool reads = !held && !way.ended && way.waiting_bytes < backlog;
      polls.push_back({reads ? way.from : -1, POLLIN, 0});
      bool writes = false;
      if (!way.waiting.empty()) {
        const time_point free_at =
            link.rule.bytes_per_second == 0 ? time_point::min() : link.free_at[direction];
        const auto left = std::max(way.waiting.front().due, free_at) - now;
        writes = left <= milliseconds{0};
        if (!writes) {
          const auto wait = std::chrono::ceil<milliseconds>(left).count();
          timeout_ms = std::min(timeout_ms, static_cast<int>(wait));
        }
      }
      polls.push_back({writes ? way.to : -1, POLLOUT, 0});
    }
  }
}

void fault_proxy::impl::Run() {
  std::unique_lock lock(mutex);
  while (!stopping) {
    int timeout_ms = 1000;
    CollectPolls(steady_clock::now(), timeout_ms);
    std::vector<pollfd> ready = polls;
    const size_t known_links = links.size();
    lock.unlock();
    poll(ready.data(), ready.size(), timeout_ms);
    lock.lock();
    uint64_t drained = 0;
    [[maybe_unused]] const ssize_t count = read(wake, &drained, sizeof(drained));
    const time_point now = steady_clock::now();
    size_t at = 1 + known_links;
    for (proxied_connection& connection : connections) {
      for (size_t direction = 0; direction < connection.streams.size(); ++direction) {
        if (ready[at++].revents != 0) Read(connection, connection.streams[direction], now);
        ++at;
        Write(connection, direction, now);
      }
    }
    // The connections of a link with a rate take turns.
    if (!connections.empty())
      connections.splice(connections.end(), connections, connections.begin());
    for (size_t link = 0; link < known_links; ++link) {
      if (ready[1 + link].revents != 0) Accept(link);
    }
    connections.remove_if([](const proxied_connection& connection) {
      const auto& [there, back] = connection.streams;
      if (connection.broken) {
        Reset(there.from);
        Reset(there.to);
        return true;
      }
      // Both sides have closed; or the client closed a connection that is silent anyway.
      const bool silent_end =
          (connection.silent || there.swallow || back.swallow) && (there.ended || back.ended);
      if (!(there.shut && back.shut) && !silent_end) return false;
      close(there.from);
      close(there.to);
      return true;
    });
  }
}

fault_proxy::fault_proxy() : impl_(std::make_unique<impl>()) {}

fault_proxy::~fault_proxy() { Stop(); }

link_index fault_proxy::AddLink(uint16_t target_port) {
  proxy_link link;
  link.target = target_port;
  link.listener = ListenOn(link.port);
  const std::lock_guard lock(impl_->mutex);
  impl_->links.push_back(link);
  impl_->Wake();
  return impl_->links.size() - 1;
}

uint16_t fault_proxy::PortOf(link_index link) const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->links[link].port;
}

void fault_proxy::SetRule(link_index link, const link_rule& rule) {
  const std::lock_guard lock(impl_->mutex);
  impl_->links[link].rule = rule;
  const link_state state = rule.state;
  for (proxied_connection& connection : impl_->connections) {
    if (connection.link != link) continue;
    if (state == link_state::kCut) connection.broken = true;
    // Bytes that a partition swallowed are lost to the stream: it cannot go on afterwards.
    if (state == link_state::kPass &&
        (connection.streams[0].swallow || connection.streams[1].swallow)) {
      connection.silent = true;
    }
    SetSwallow(connection, state);
  }
  impl_->Wake();
}

void fault_proxy::SilenceOpenConnections(link_index link) {
  const std::lock_guard lock(impl_->mutex);
  for (proxied_connection& connection : impl_->connections) {
    if (connection.link == link) connection.silent = true;
  }
}

uint64_t fault_proxy::BytesPassed(link_index link) const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->links[link].passed;
}

void fault_proxy::Start() {
  impl_->thread = std::thread([this] { impl_->Run(); });
}

void fault_proxy::Stop() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
    impl_->Wake();
  }
  if (impl_->thread.joinable()) impl_->thread.join();
  for (const proxied_connection& connection : impl_->connections) {
    close(connection.streams[0].from);
    close(connection.streams[0].to);
  }
  impl_->connections.clear();
  for (const proxy_link& link : impl_->links) close(link.listener);
  impl_->links.clear();
  if (impl_->wake >= 0) close(impl_->wake);
  impl_->wake = -1;
}

}  // namespace catkinford
