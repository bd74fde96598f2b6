#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "bench/child_process.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/peer_rpc.h"
#include "connection/rpc_server.h"
#include "standin/fault_proxy.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// An echo server and a client.
class http_echo_fixture {
 public:
  http_echo_fixture() {
    http_server_options options;
    options.body_limit = 1000;
    server_ = std::make_unique<http_server>(
        options, [this](http_server::token token, const http_request& request) {
          if (request.path == "/never") return;
          server_->Respond(token, {200, request.method + " " + request.path + " " + request.body +
                                            " " + request.bearer + " " + request.Query("q")});
        });
    server_->Start();
    client_.Start();
  }

 protected:
  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(server_->Port()) + path;
  }

  std::unique_ptr<http_server> server_;
  http_client client_{0};
};

}  // namespace

TEST_CASE_METHOD(http_echo_fixture, "http call, answered, transfers body, key and query",
                 "[http]") {
  const http_result result = client_.SendAndWait({"POST", Url("/a?q=7"), "body", "key"});
  CHECK(result.status == transfer_status::kDone);
  CHECK(result.code == 200);
  CHECK(result.body == "POST /a body key 7");
}

TEST_CASE_METHOD(http_echo_fixture, "http call, body over the limit, is rejected with 413",
                 "[http]") {
  const http_result result = client_.SendAndWait({"POST", Url("/a"), std::string(2000, 'x')});
  CHECK(result.code == 413);
}

// Guards against treating a call as not executed when the server received it but never responds.
TEST_CASE_METHOD(http_echo_fixture, "http call, never answered, may have been sent", "[http]") {
  http_call call{"POST", Url("/never"), "x"};
  call.timeout = milliseconds{100};
  CHECK(client_.SendAndWait(call).status == transfer_status::kMaybeSent);
}

// A server with a large response behind a link that can be made slow or silent.
class http_large_answer_fixture {
 public:
  http_large_answer_fixture()
      : server_({}, [this](http_server::token token, const http_request&) {
          server_.Respond(token, {200, std::string(kBytes, 'x')});
        }) {
    server_.Start();
    proxy_.Start();
    link_ = proxy_.AddLink(server_.Port());
    client_.Start();
  }
  ~http_large_answer_fixture() {
    client_.Stop();
    proxy_.Stop();
    server_.Stop();
  }

 protected:
  static constexpr size_t kBytes = 200'000;

  http_result Call(milliseconds stall_timeout) {
    http_call call{"GET", "http://127.0.0.1:" + std::to_string(proxy_.PortOf(link_)) + "/"};
    call.timeout = milliseconds{500};
    call.stall_timeout = stall_timeout;
    return client_.SendAndWait(std::move(call));
  }

  http_server server_;
  fault_proxy proxy_;
  link_index link_ = 0;
  http_client client_{1};
};

// Guards against discarding a large, partly received response at the timeout and requesting it
// again from the first byte.
TEST_CASE_METHOD(http_large_answer_fixture,
                 "http call with a stall timeout, slow response, is complete", "[http]") {
  link_rule rule;
  rule.bytes_per_second = 100'000;
  proxy_.SetRule(link_, rule);
  const http_result result = Call(milliseconds{5000});
  CHECK(result.status == transfer_status::kDone);
  CHECK(result.body.size() == kBytes);
  CHECK(Call(milliseconds{0}).status == transfer_status::kMaybeSent);
}

// Guards against a call that waits forever for a response that stops half way or never begins.
TEST_CASE_METHOD(http_large_answer_fixture,
                 "http call with a stall timeout, stalled response, is aborted", "[http]") {
  link_rule rule;
  rule.blackhole_after_bytes = GENERATE(0, 100'000);
  proxy_.SetRule(link_, rule);
  const http_result result = Call(milliseconds{300});
  CHECK(result.status == transfer_status::kMaybeSent);
  CHECK(result.body.size() < kBytes);
}

// Guards against losing the last response at shutdown: a server that stops after Respond() but
// before the response is sent closes the connection without an answer.
TEST_CASE("http server, stopped when no request waits, has sent its last response", "[http]") {
  constexpr int kRounds = 100;
  int answered = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::atomic<http_server::token> asked{0};
    http_server server({}, [&](http_server::token token, const http_request&) { asked = token; });
    REQUIRE(server.Start());
    std::thread caller([&] {
      http_client client(0);
      client.Start();
      const std::string url = "http://127.0.0.1:" + std::to_string(server.Port()) + "/";
      answered += client.SendAndWait({"GET", url}).code == 200 ? 1 : 0;
    });
    while (asked == 0) std::this_thread::yield();
    server.Respond(asked, {200, std::string(100000, 'x')});
    while (server.Waiting() > 0) std::this_thread::yield();
    server.Stop();
    caller.join();
  }
  CHECK(answered == kRounds);
}

// Guards against an entry that stops with a request in flight and answers "shutting down", which
// means not run, although the work is running.
TEST_CASE_METHOD(http_echo_fixture,
                 "http call, server stopped during the call, may have been executed", "[http]") {
  for (int round = 0; round < 20; ++round) {
    http_server server({}, [](http_server::token, const http_request&) {});
    REQUIRE(server.Start());
    const std::string url = "http://127.0.0.1:" + std::to_string(server.Port()) + "/";
    http_result result;
    std::thread caller([&] { result = client_.SendAndWait({"POST", url, "x"}); });
    while (server.Waiting() == 0) std::this_thread::yield();
    server.Stop();
    caller.join();
    CHECK(result.code != 503);
    CHECK(result.status != transfer_status::kNotSent);
  }
}

// Guards against requests that are read while the server is about to stop and end without a
// response.
TEST_CASE_METHOD(http_echo_fixture, "http server, rejecting new requests, answers them with 503",
                 "[http]") {
  REQUIRE(client_.SendAndWait({"GET", Url("/a")}).code == 200);
  server_->RejectNew();
  const http_result rejected = client_.SendAndWait({"GET", Url("/a")});
  CHECK(rejected.status == transfer_status::kDone);
  CHECK(rejected.code == 503);
  CHECK(server_->Waiting() == 0);
}

TEST_CASE("http server, rejecting new requests, still answers those in flight", "[http]") {
  std::atomic<http_server::token> taken{0};
  http_server server({}, [&](http_server::token token, const http_request&) { taken = token; });
  REQUIRE(server.Start());
  http_client client(0);
  client.Start();
  std::atomic<int> code{0};
  http_call call;
  call.url = "http://127.0.0.1:" + std::to_string(server.Port()) + "/a";
  call.timeout = std::chrono::seconds(30);
  client.Send(call, [&](const http_result& result) { code = result.code; });
  while (taken == 0) std::this_thread::sleep_for(milliseconds(5));
  server.RejectNew();
  CHECK(server.Waiting() == 1);
  server.Respond(taken, {200, "late"});
  while (code == 0) std::this_thread::sleep_for(milliseconds(5));
  CHECK(code == 200);
  client.Stop();
}

// Guards against a client that takes a connection that its server closed for the next call's.
TEST_CASE_METHOD(http_echo_fixture,
                 "http call, server restarted since the last one, opens a new connection",
                 "[http]") {
  http_server_options options;
  options.port = FreePort();
  const std::string url = "http://127.0.0.1:" + std::to_string(options.port) + "/";
  for (uint64_t round = 1; round <= 5; ++round) {
    http_server* self = nullptr;
    http_server server(options, [&self](http_server::token token, const http_request&) {
      self->Respond(token, {});
    });
    self = &server;
    REQUIRE(server.Start());
    for (int i = 0; i < 3; ++i) CHECK(client_.SendAndWait({"POST", url, "x"}).code == 200);
    CHECK(client_.Connections().opened == round);
    server.Stop();
  }
  CHECK(client_.SendAndWait({"POST", url, "x"}).status == transfer_status::kNotSent);
}

TEST_CASE_METHOD(http_echo_fixture, "http call, no listener, was not sent", "[http]") {
  const std::string url = Url("/a");
  server_->Stop();
  CHECK(client_.SendAndWait({"POST", url, "x"}).status == transfer_status::kNotSent);
}

TEST_CASE_METHOD(http_echo_fixture, "peer call, both ends alive, returns the peer's text",
                 "[rpc]") {
  const uint16_t port = FreePort();
  http_server_options options;
  options.port = port;
  rpc_server server(options, [](const std::string& text) { return "<" + text + ">"; });
  REQUIRE(server.Start());
  const http_call call{"POST", "http://127.0.0.1:" + std::to_string(port),
                       EncodeRpcRequest("deliver", "a\"b")};
  std::string answer;
  CHECK(DecodeRpcResponse(client_.SendAndWait(call).body, answer));
  CHECK(answer == "<a\"b>");
  server.Stop();
  CHECK(client_.SendAndWait(call).status == transfer_status::kNotSent);
}

TEST_CASE("peer response, invalid or an error, yields no answer", "[rpc]") {
  std::string answer = "before";
  CHECK_FALSE(DecodeRpcResponse("", answer));
  CHECK_FALSE(DecodeRpcResponse("<html>", answer));
  CHECK_FALSE(DecodeRpcResponse(R"({"id":1,"jsonrpc":"2.0"})", answer));
  CHECK_FALSE(DecodeRpcResponse(
      R"({"id":1,"jsonrpc":"2.0","error":{"code":-32601,"message":"no method"}})", answer));
  CHECK_FALSE(DecodeRpcResponse(R"({"id":1,"jsonrpc":"2.0","result":{"a":[1]}})", answer));
  CHECK(answer == "before");
}

}  // namespace catkinford
