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

constexpr size_t kReadChunkBytes = size_t{64} << 10;
constexpr size_t kBacklogBytes = size_t{4} << 20;  // above it, the sender is not read
// On a rate-limited link: most bytes sent in one call, and most bytes queued per stream.
constexpr size_t kRateLimitedSendBytes = size_t{4} << 10;
constexpr size_t kRateLimitedBacklogBytes = size_t{32} << 10;

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
  // On loopback the connect completes or fails by the time that the call returns or the socket is
  // writable.
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

// Closes with a TCP reset instead of an orderly shutdown.
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
struct proxied_stream {
  int from = -1;
  int to = -1;
  bool discard = false;        // by the link's current rule
  bool ended = false;          // the sender closed its side
  bool end_forwarded = false;  // that close was forwarded to the receiver
  std::deque<delayed_bytes> waiting;
  size_t waiting_bytes = 0;
};

struct proxied_connection {
  size_t link = 0;
  std::array<proxied_stream, 2> streams;  // client to target, target to client
  uint64_t bytes = 0;
  bool blackholed = false;
  bool client_lost = false;  // only the target can end it
  bool broken = false;
};

struct proxy_link {
  int listener = -1;
  uint16_t port = 0;
  uint16_t target = 0;
  link_rule rule;
  uint64_t forwarded_bytes = 0;
  // When each direction of a rate-limited link may send again.
  std::array<time_point, 2> next_send_at{};

  bool RateLimited(size_t stream, time_point now) const {
    return rule.bytes_per_second != 0 && next_send_at[stream] > now;
  }
  void ConsumeRate(size_t stream, size_t bytes, time_point now) {
    if (rule.bytes_per_second == 0) return;
    const std::chrono::duration<double> duration_s(static_cast<double>(bytes) /
                                                   static_cast<double>(rule.bytes_per_second));
    next_send_at[stream] = std::max(next_send_at[stream], now) +
                           std::chrono::duration_cast<std::chrono::nanoseconds>(duration_s);
  }
};

void SetDiscard(proxied_connection& connection, link_state state) {
  const bool both = state == link_state::kBlackhole;
  connection.streams[0].discard = both || state == link_state::kDropRequests;
  connection.streams[1].discard = both || state == link_state::kDropResponses;
}

}  // namespace

struct fault_proxy::impl {
  void Run();
  void Accept(size_t link);
  void Read(proxied_connection& connection, proxied_stream& stream, time_point now);
  void Write(proxied_connection& connection, size_t direction, time_point now);
  void CollectPolls(time_point now, int& timeout_ms);
  void Wake() const {
    const uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(wake_fd, &one, sizeof(one));
  }

  std::mutex mutex;
  std::vector<proxy_link> links;
  std::list<proxied_connection> connections;
  std::vector<pollfd> polls;
  int wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
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
    SetDiscard(connection, link.rule.state);
    connections.push_back(std::move(connection));
  }
}

void fault_proxy::impl::Read(proxied_connection& connection, proxied_stream& stream,
                             time_point now) {
  std::string chunk(kReadChunkBytes, '\0');
  const ssize_t received = recv(stream.from, chunk.data(), chunk.size(), 0);
  const bool failed = received < 0 && errno != EAGAIN && errno != EINTR;
  const bool client_reset =
      failed && connection.client_lost && &stream == connection.streams.data();
  if (received < 0 && !client_reset) {
    if (failed) connection.broken = true;
    return;
  }
  if (received <= 0) {
    stream.ended = true;
    return;
  }
  proxy_link& link = links[connection.link];
  connection.bytes += static_cast<uint64_t>(received);
  if (connection.bytes > link.rule.blackhole_after_bytes) connection.blackholed = true;
  if (connection.blackholed || stream.discard) return;
  link.forwarded_bytes += static_cast<uint64_t>(received);
  chunk.resize(static_cast<size_t>(received));
  stream.waiting_bytes += chunk.size();
  stream.waiting.push_back({now + link.rule.delay, std::move(chunk)});
}

void fault_proxy::impl::Write(proxied_connection& connection, size_t direction, time_point now) {
  proxied_stream& stream = connection.streams[direction];
  proxy_link& link = links[connection.link];
  const size_t max_bytes =
      link.rule.bytes_per_second == 0 ? std::numeric_limits<size_t>::max() : kRateLimitedSendBytes;
  while (!stream.waiting.empty() && stream.waiting.front().due <= now &&
         !link.RateLimited(direction, now)) {
    std::string& bytes = stream.waiting.front().bytes;
    const ssize_t sent =
        send(stream.to, bytes.data(), std::min(max_bytes, bytes.size()), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno != EAGAIN && errno != EINTR) connection.broken = true;
      return;
    }
    link.ConsumeRate(direction, static_cast<size_t>(sent), now);
    stream.waiting_bytes -= static_cast<size_t>(sent);
    bytes.erase(0, static_cast<size_t>(sent));
    if (bytes.empty()) stream.waiting.pop_front();
  }
  // A discarded stream discards its end too: a dead connection does not close.
  const bool forward_end = !connection.blackholed && !stream.discard;
  if (stream.ended && !stream.end_forwarded && stream.waiting.empty() && forward_end) {
    shutdown(stream.to, SHUT_WR);
    stream.end_forwarded = true;
  }
}

void fault_proxy::impl::CollectPolls(time_point now, int& timeout_ms) {
  polls.clear();
  polls.push_back({wake_fd, POLLIN, 0});
  for (const proxy_link& link : links) polls.push_back({link.listener, POLLIN, 0});
  for (proxied_connection& connection : connections) {
    const proxy_link& link = links[connection.link];
    const size_t backlog =
        link.rule.bytes_per_second == 0 ? kBacklogBytes : kRateLimitedBacklogBytes;
    for (size_t direction = 0; direction < connection.streams.size(); ++direction) {
      const proxied_stream& stream = connection.streams[direction];
      // The bytes of a stalled stream stay in the kernel's buffers, like packets that a sender
      // retransmits throughout a partition.
      const bool stalled = link.rule.state == link_state::kStall;
      const bool wants_read = !stalled && !stream.ended && stream.waiting_bytes < backlog;
      polls.push_back({wants_read ? stream.from : -1, POLLIN, 0});
      bool wants_write = false;
      if (!stream.waiting.empty()) {
        const time_point next_send_at =
            link.rule.bytes_per_second == 0 ? time_point::min() : link.next_send_at[direction];
        const auto remaining = std::max(stream.waiting.front().due, next_send_at) - now;
        wants_write = remaining <= milliseconds{0};
        if (!wants_write) {
          const auto wait = std::chrono::ceil<milliseconds>(remaining).count();
          timeout_ms = std::min(timeout_ms, static_cast<int>(wait));
        }
      }
      polls.push_back({wants_write ? stream.to : -1, POLLOUT, 0});
    }
  }
}

void fault_proxy::impl::Run() {
  std::unique_lock lock(mutex);
  while (!stopping) {
    int timeout_ms = 1000;
    CollectPolls(steady_clock::now(), timeout_ms);
    std::vector<pollfd> ready = polls;
    const size_t polled_links = links.size();
    lock.unlock();
    poll(ready.data(), ready.size(), timeout_ms);
    lock.lock();
    uint64_t drained = 0;
    [[maybe_unused]] const ssize_t count = read(wake_fd, &drained, sizeof(drained));
    const time_point now = steady_clock::now();
    size_t poll_index = 1 + polled_links;
    for (proxied_connection& connection : connections) {
      for (size_t direction = 0; direction < connection.streams.size(); ++direction) {
        if (ready[poll_index++].revents != 0) Read(connection, connection.streams[direction], now);
        ++poll_index;
        Write(connection, direction, now);
      }
    }
    // Rotates the list, so that the connections of a rate-limited link send round robin.
    if (!connections.empty())
      connections.splice(connections.end(), connections, connections.begin());
    for (size_t link = 0; link < polled_links; ++link) {
      if (ready[1 + link].revents != 0) Accept(link);
    }
    connections.remove_if([](const proxied_connection& connection) {
      const auto& [to_target, to_client] = connection.streams;
      if (connection.broken) {
        Reset(to_target.from);
        Reset(to_target.to);
        return true;
      }
      // Both sides have closed, or one side closed a connection that is dead.
      const bool client_ended = to_target.ended && !connection.client_lost;
      const bool blackhole_ended =
          (connection.blackholed || to_target.discard || to_client.discard) &&
          (client_ended || to_client.ended);
      if (!(to_target.end_forwarded && to_client.end_forwarded) && !blackhole_ended) return false;
      close(to_target.from);
      close(to_target.to);
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
    // Bytes discarded during a partition are lost to the stream, so it cannot resume afterwards.
    if (state == link_state::kPass &&
        (connection.streams[0].discard || connection.streams[1].discard)) {
      connection.blackholed = true;
    }
    SetDiscard(connection, state);
  }
  impl_->Wake();
}

void fault_proxy::BlackholeOpenConnections(link_index link) {
  const std::lock_guard lock(impl_->mutex);
  for (proxied_connection& connection : impl_->connections) {
    if (connection.link == link) connection.blackholed = true;
  }
}

void fault_proxy::LoseClients(link_index link) {
  const std::lock_guard lock(impl_->mutex);
  for (proxied_connection& connection : impl_->connections) {
    if (connection.link != link) continue;
    connection.blackholed = true;
    connection.client_lost = true;
    for (proxied_stream& stream : connection.streams) {
      stream.waiting.clear();
      stream.waiting_bytes = 0;
    }
  }
}

size_t fault_proxy::OpenConnections(link_index link) const {
  const std::lock_guard lock(impl_->mutex);
  return static_cast<size_t>(
      std::count_if(impl_->connections.begin(), impl_->connections.end(),
                    [&](const proxied_connection& each) { return each.link == link; }));
}

uint64_t fault_proxy::BytesForwarded(link_index link) const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->links[link].forwarded_bytes;
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
  if (impl_->wake_fd >= 0) close(impl_->wake_fd);
  impl_->wake_fd = -1;
}

}  // namespace catkinford
