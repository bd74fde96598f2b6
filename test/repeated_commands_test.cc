// Commands that libcurl sends again on a new connection, as the one that it reused was closed
// before any response: the instance may have executed the first copy.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "platform/instance_calls.h"

namespace catkinford::platform {
namespace {

using std::chrono::milliseconds;

// What the instance does with one request.
enum class reaction { kAccept, kCloseConnection, kCloseAndStopListening, kUnhealthy };

std::string ResponseOf(reaction how) {
  const std::string body = R"({"clock-ms":1})";
  return absl::StrCat("HTTP/1.1 ", how == reaction::kUnhealthy ? "503 X" : "200 OK",
                      "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
                      "\r\n\r\n", body);
}

// Reacts to each request in turn, whichever connection it arrives on.
class scripted_instance {
 public:
  explicit scripted_instance(std::vector<reaction> script) : script_(std::move(script)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener_, 4) == 0);
    REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }
  scripted_instance(const scripted_instance&) = delete;
  scripted_instance& operator=(const scripted_instance&) = delete;
  ~scripted_instance() {
    stopping_ = true;
    thread_.join();
    if (listener_ >= 0) close(listener_);
  }

  uint16_t Port() const { return port_; }
  size_t Requests() const { return requests_; }

 private:
  bool Readable(int descriptor) const {
    while (!stopping_) {
      pollfd waiting{descriptor, POLLIN, 0};
      if (poll(&waiting, 1, 10) > 0) return true;
    }
    return false;
  }
  // False if the client has closed the connection.
  bool ReadRequest(int connection) const {
    std::string text;
    while (!Complete(text)) {
      std::array<char, 4096> part{};
      if (!Readable(connection)) return false;
      const ssize_t got = recv(connection, part.data(), part.size(), 0);
      if (got <= 0) return false;
      text.append(part.data(), static_cast<size_t>(got));
    }
    return true;
  }
  static bool Complete(const std::string& text) {
    const size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos) return false;
    const std::string name = "content-length:";
    const std::string lower = absl::AsciiStrToLower(text.substr(0, head));
    const size_t at = lower.find(name);
    if (at == std::string::npos) return true;
    const size_t value = at + name.size();
    const std::string line = lower.substr(value, lower.find("\r\n", value) - value);
    uint64_t length = 0;
    return absl::SimpleAtoi(line, &length) && text.size() >= head + 4 + length;
  }

  void Serve() {
    while (listener_ >= 0 && Readable(listener_)) {
      const int connection = accept(listener_, nullptr, nullptr);
      while (requests_ < script_.size() && ReadRequest(connection)) {
        const reaction how = script_[requests_++];
        if (how == reaction::kCloseAndStopListening) close(std::exchange(listener_, -1));
        if (how == reaction::kCloseAndStopListening || how == reaction::kCloseConnection) break;
        const std::string response = ResponseOf(how);
        [[maybe_unused]] const ssize_t sent =
            send(connection, response.data(), response.size(), MSG_NOSIGNAL);
      }
      close(connection);
    }
  }

  std::vector<reaction> script_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<size_t> requests_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

class repeated_command_fixture {
 protected:
  repeated_command_fixture() { client_.Start(); }
  ~repeated_command_fixture() { client_.Stop(); }

  // The result of a start on the connection that an earlier one has opened.
  command_result SecondStart(const scripted_instance& instance) {
    REQUIRE(Start(instance, 1) == command_result::kDone);
    return Start(instance, 2);
  }

  http_client client_{1};
  instance_calls calls_{client_, milliseconds{5000}};

 private:
  command_result Start(const scripted_instance& instance, uint32_t run) {
    start_command request;
    request.to = {"i-1", absl::StrCat("127.0.0.1:", instance.Port()), 1};
    request.key = {"0000000000000001", 0, 0, 0};
    request.run = run;
    std::promise<command_result> done;
    calls_.Start(request, 1, [&](const command_answer& answer) { done.set_value(answer.result); });
    return done.get_future().get();
  }
};

// Guards against capacity that is given twice, and two runs of a task: a refusal of the second copy
// says nothing of the first.
TEST_CASE_METHOD(repeated_command_fixture,
                 "instance calls, connection closed, repeated start refused, is unknown") {
  const scripted_instance instance(
      {reaction::kAccept, reaction::kCloseConnection, reaction::kUnhealthy});
  const command_result result = SecondStart(instance);
  REQUIRE(instance.Requests() == 3);
  CHECK(result == command_result::kUnknown);
}

TEST_CASE_METHOD(repeated_command_fixture,
                 "instance calls, connection closed, no other can be opened, is unknown") {
  const scripted_instance instance({reaction::kAccept, reaction::kCloseAndStopListening});
  const command_result result = SecondStart(instance);
  REQUIRE(instance.Requests() == 2);
  CHECK(result == command_result::kUnknown);
}

TEST_CASE_METHOD(repeated_command_fixture,
                 "instance calls, connection closed, repeated start accepted, is done") {
  const scripted_instance instance(
      {reaction::kAccept, reaction::kCloseConnection, reaction::kAccept});
  CHECK(SecondStart(instance) == command_result::kDone);
}

// Guards against a stop for each start that an unhealthy instance refuses.
TEST_CASE_METHOD(repeated_command_fixture,
                 "instance calls, start refused at its only attempt, is not done") {
  const scripted_instance instance({reaction::kAccept, reaction::kUnhealthy});
  CHECK(SecondStart(instance) == command_result::kNotDone);
}

}  // namespace
}  // namespace catkinford::platform
