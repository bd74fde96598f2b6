#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

constexpr int kBacklog = 512;
constexpr size_t kMaxHead = 65536;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

uint16_t PortOf(int socket) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

bool SendAll(int socket, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t now = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) return false;
    sent += static_cast<size_t>(now);
  }
  return true;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
  return text;
}

std::string Decode(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

// Head and body of one message. `first_line` and `headers` are set from the head.
class message_reader {
 public:
  explicit message_reader(int socket) : socket_(socket) {}

  bool Read(std::string& first_line, std::map<std::string, std::string>& headers,
            std::string& body) {
    size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (buffer_.size() > kMaxHead || !More()) return false;
    }
    const std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    size_t line = head.find("\r\n");
    first_line = head.substr(0, line);
    headers.clear();
    while (line != std::string::npos) {
      const size_t from = line + 2;
      line = head.find("\r\n", from);
      const std::string row = head.substr(from, line == std::string::npos ? line : line - from);
      const size_t colon = row.find(':');
      if (colon == std::string::npos) continue;
      size_t value = colon + 1;
      while (value < row.size() && row[value] == ' ') ++value;
      headers[Lower(row.substr(0, colon))] = row.substr(value);
    }
    const auto length = headers.find("content-length");
    const size_t size =
        length == headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!More()) return false;
    }
    body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

 private:
  bool More() {
    std::array<char, 16384> chunk{};
    const ssize_t got = recv(socket_, chunk.data(), chunk.size(), 0);
    if (got <= 0) return false;
    buffer_.append(chunk.data(), static_cast<size_t>(got));
    return true;
  }

  int socket_;
  std::string buffer_;
};

request RequestFrom(const std::string& first_line) {
  request out;
  const size_t method = first_line.find(' ');
  const size_t target = first_line.find(' ', method + 1);
  out.method = first_line.substr(0, method);
  const std::string whole = first_line.substr(method + 1, target - method - 1);
  const size_t mark = whole.find('?');
  out.path = Decode(whole.substr(0, mark));
  size_t from = mark;
  while (from != std::string::npos) {
    const size_t next = whole.find('&', from + 1);
    const std::string part =
        whole.substr(from + 1, next == std::string::npos ? next : next - from - 1);
    const size_t equals = part.find('=');
    out.query[Decode(part.substr(0, equals))] =
        equals == std::string::npos ? std::string() : Decode(part.substr(equals + 1));
    from = next;
  }
  return out;
}

}  // namespace

server::server(handler handle, uint16_t port) : handle_(std::move(handle)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = Loopback(port);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  }
  listen(listener_, kBacklog);
  port_ = PortOf(listener_);
  accepting_ = std::thread([this] { Accept(); });
}

server::~server() { Stop(); }

std::string server::Address() const { return "127.0.0.1:" + std::to_string(port_); }

void server::Stop() {
  if (stopped_.exchange(true)) return;
  shutdown(listener_, SHUT_RDWR);
  accepting_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int each : connections_) shutdown(each, SHUT_RDWR);
  }
  while (open_ > 0) std::this_thread::sleep_for(milliseconds(1));
}

void server::Accept() {
  while (!stopped_) {
    const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      if (!stopped_) std::this_thread::sleep_for(milliseconds(1));
      continue;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++open_;
    {
      const std::lock_guard lock(mutex_);
      connections_.insert(connection);
    }
    std::thread([this, connection] { Serve(connection); }).detach();
  }
}

void server::Serve(int connection) {
  message_reader reader(connection);
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
  while (!stopped_ && reader.Read(first_line, headers, body)) {
    request asked = RequestFrom(first_line);
    asked.headers = headers;
    asked.body = std::move(body);
    const std::optional<response> answer = handle_(asked);
    if (!answer || stopped_) break;
    if (!SendAll(connection, "HTTP/1.1 " + std::to_string(answer->status) +
                                 " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body)) {
      break;
    }
  }
  {
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
  }
  close(connection);
  --open_;
}

std::optional<response> Call(uint16_t port, const std::string& method, const std::string& path,
                             const std::map<std::string, std::string>& headers,
                             const std::string& body, milliseconds timeout) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{};
  limit.tv_sec = timeout.count() / 1000;
  limit.tv_usec = timeout.count() % 1000 * 1000;
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in to = Loopback(port);
  std::optional<response> out;
  if (connect(connection, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    if (!headers.contains("Host")) text += "Host: 127.0.0.1\r\n";
    for (const auto& [name, value] : headers)
      text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
    message_reader reader(connection);
    std::string first_line;
    std::map<std::string, std::string> answered;
    std::string answer;
    if (SendAll(connection, text) && reader.Read(first_line, answered, answer)) {
      const size_t space = first_line.find(' ');
      out = response{std::atoi(first_line.c_str() + space + 1), answer};
    }
  }
  close(connection);
  return out;
}

// Below the range from which the system takes ports for outgoing connections, so that none of these
// gets it while a process is down.
uint16_t FreePort() {
  constexpr uint32_t kFirst = 15000;
  constexpr uint32_t kCount = 16000;
  constexpr uint32_t kStride = 61;
  static uint32_t next = static_cast<uint32_t>(getpid()) * kStride;
  while (true) {
    const auto port = static_cast<uint16_t>(kFirst + next++ % kCount);
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = Loopback(port);
    const bool bound = bind(probe, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    close(probe);
    if (bound) return port;
  }
}

}  // namespace review
