// Why calls fail, as counted by the client.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/child_process.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/traffic_counter.h"
#include "standin/fault_proxy.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A server that never answers, behind a proxy, and a client with one connection to each host.
class call_fault_fixture {
 protected:
  call_fault_fixture() {
    server_ = std::make_unique<http_server>(
        http_server_options{}, [this](http_server::token token, const http_request& request) {
          if (request.path == "/answered/call") server_->Respond(token, {});
        });
    server_->Start();
    proxy_.Start();
    link_ = proxy_.AddLink(server_->Port());
    client_.Start();
  }
  ~call_fault_fixture() {
    client_.Stop();
    proxy_.Stop();
    server_->Stop();
  }

  static http_call CallTo(uint16_t port, const std::string& path) {
    http_call call{"POST", absl::StrCat("http://127.0.0.1:", port, path), "x"};
    call.timeout = milliseconds{200};
    return call;
  }
  uint64_t Faults(const std::string& kind, call_fault fault) {
    for (const auto& [each, use] : counter_.Take()) counted_[each] = use;
    return counted_.contains(kind) ? counted_.at(kind).Faults(fault) : 0;
  }

  traffic_counter counter_;
  std::map<std::string, traffic> counted_;
  std::unique_ptr<http_server> server_;
  fault_proxy proxy_;
  link_index link_ = 0;
  http_client client_{1, {}, &counter_};
};

// Guards against one word for a full connection pool here and a host that accepts no connection.
TEST_CASE_METHOD(call_fault_fixture,
                 "call fault, all connections to the host in use, is no free connection",
                 "[http]") {
  std::promise<void> first_done;
  http_call first = CallTo(server_->Port(), "/silent/first");
  first.timeout = milliseconds{1000};
  client_.Send(std::move(first), [&](const http_result&) { first_done.set_value(); });
  client_.SendAndWait(CallTo(server_->Port(), "/silent/second"));
  CHECK(Faults("silent/second", call_fault::kNoFreeConnection) == 1);
  first_done.get_future().wait();
  CHECK(Faults("silent/first", call_fault::kTimedOut) == 1);
}

TEST_CASE_METHOD(call_fault_fixture, "call fault, nobody listens, is not connected", "[http]") {
  client_.SendAndWait(CallTo(FreePort(), "/no/listener"));
  CHECK(Faults("no/listener", call_fault::kNotConnected) == 1);
}

// Guards against a count of open connections that grows with each host that does not answer.
TEST_CASE_METHOD(call_fault_fixture, "call fault, connection not opened in time, is not connected",
                 "[http]") {
  // Once its queue of new connections is full, the kernel drops further ones.
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(listen(listener, 0) == 0);
  REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  std::vector<int> queued;
  for (int i = 0; i < 4; ++i) {
    queued.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    [[maybe_unused]] const int pending =
        connect(queued.back(), reinterpret_cast<sockaddr*>(&address), size);
  }
  client_.SendAndWait(CallTo(ntohs(address.sin_port), "/full/queue"));
  CHECK(Faults("full/queue", call_fault::kNotConnected) == 1);
  CHECK(client_.Connections().open == 0);
  for (const int each : queued) close(each);
  close(listener);
}

// Guards against calls that time out behind those to another host, which does not answer.
TEST_CASE_METHOD(call_fault_fixture, "http client, one host silent, calls to others are answered",
                 "[http][silent_host]") {
  constexpr int kCalls = 12;
  http_client client{3};
  client.Start();
  std::promise<void> done;
  std::atomic<int> left{2 * kCalls};
  std::atomic<int> answered{0};
  const auto on_done = [&](const http_result& result) {
    if (result.code == 200) ++answered;
    if (--left == 0) done.set_value();
  };
  for (int i = 0; i < kCalls; ++i) client.Send(CallTo(server_->Port(), "/silent/call"), on_done);
  for (int i = 0; i < kCalls; ++i) {
    client.Send(CallTo(proxy_.PortOf(link_), "/answered/call"), on_done);
  }
  done.get_future().wait();
  CHECK(answered == kCalls);
  client.Stop();
}

// Guards against pooled connections that outlive the need for them.
TEST_CASE_METHOD(call_fault_fixture,
                 "http client, told to close idle connections during a call, closes all after it",
                 "[http]") {
  http_client client{3};
  client.Start();
  std::promise<void> done;
  std::atomic<int> left{3};
  for (int i = 0; i < 3; ++i) {
    client.Send(CallTo(server_->Port(), "/silent/call"), [&](const http_result&) {
      if (--left == 0) done.set_value();
    });
  }
  REQUIRE(client.SendAndWait(CallTo(proxy_.PortOf(link_), "/answered/call")).code == 200);
  client.CloseIdleConnections();
  done.get_future().wait();
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds{30};
  while (client.Connections().open > 0 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(milliseconds{5});
  }
  CHECK(client.Connections().open == 0);
  CHECK(client.SendAndWait(CallTo(proxy_.PortOf(link_), "/answered/call")).code == 200);
  client.Stop();
}

TEST_CASE_METHOD(call_fault_fixture, "call fault, connection reset, is closed", "[http]") {
  REQUIRE(client_.SendAndWait(CallTo(proxy_.PortOf(link_), "/answered/call")).code == 200);
  CHECK(client_.Connections().open == 1);
  http_call waiting = CallTo(proxy_.PortOf(link_), "/silent/call");
  waiting.timeout = milliseconds{10000};
  std::promise<void> done;
  client_.Send(std::move(waiting), [&](const http_result&) { done.set_value(); });
  while (server_->Waiting() == 0) std::this_thread::yield();
  link_rule cut;
  cut.state = link_state::kCut;
  proxy_.SetRule(link_, cut);
  done.get_future().wait();
  CHECK(Faults("answered/call", call_fault::kClosed) == 0);
  CHECK(Faults("silent/call", call_fault::kClosed) == 1);
}

}  // namespace
}  // namespace catkinford
