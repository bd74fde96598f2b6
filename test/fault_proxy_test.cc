#include "standin/fault_proxy.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>

#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "connection/http_server.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// An echo server behind one link.
class fault_proxy_fixture {
 public:
  fault_proxy_fixture()
      : server_({}, [this](http_server::token token, const http_request& request) {
          ++requests_received_;
          server_.Respond(token, {200, request.body});
        }) {
    REQUIRE(server_.Start());
    proxy_.Start();
    link_ = proxy_.AddLink(server_.Port());
    client_.Start();
  }
  ~fault_proxy_fixture() {
    client_.Stop();
    proxy_.Stop();
    server_.Stop();
  }

 protected:
  http_result Call(const std::string& body, bool fresh = false,
                   milliseconds timeout = milliseconds{300}) {
    http_call call{"POST", absl::StrCat("http://127.0.0.1:", proxy_.PortOf(link_), "/"), body};
    call.timeout = timeout;
    call.fresh_connection = fresh;
    return client_.SendAndWait(call);
  }

  std::atomic<int> requests_received_ = 0;
  http_server server_;
  fault_proxy proxy_;
  link_index link_ = 0;
  http_client client_{1};
};

}  // namespace

TEST_CASE_METHOD(fault_proxy_fixture,
                 "link, rate-limited, forwards complete bodies at no more than its rate",
                 "[proxy]") {
  const std::string large(50000, 'x');
  link_rule rule;
  rule.bytes_per_second = 100'000;
  proxy_.SetRule(link_, rule);
  const auto started_at = std::chrono::steady_clock::now();
  CHECK(Call(large, false, milliseconds{30000}).body == large);
  // Request and response follow one another: the server answers once it has read the full body.
  CHECK(std::chrono::steady_clock::now() - started_at > milliseconds{950});
}

TEST_CASE_METHOD(fault_proxy_fixture, "link, passing, forwards complete bodies", "[proxy]") {
  const std::string large(500000, 'x');
  CHECK(Call("a").body == "a");
  CHECK(Call(large, false, milliseconds{5000}).body == large);
}

TEST_CASE_METHOD(fault_proxy_fixture, "link, cut and restored, fails calls and works again",
                 "[proxy]") {
  CHECK(Call("a").body == "a");
  proxy_.SetRule(link_, {link_state::kCut});
  CHECK(Call("b").status != transfer_status::kDone);
  proxy_.SetRule(link_, {});
  CHECK(Call("c").body == "c");
}

// A middlebox has lost the state of an open connection: nothing sent on it arrives any more, while
// new connections work. A caller that retries on the same connection never gets an answer.
TEST_CASE_METHOD(fault_proxy_fixture, "link, open connection dead, works on a new connection",
                 "[proxy]") {
  CHECK(Call("a").body == "a");
  proxy_.BlackholeOpenConnections(link_);
  CHECK(Call("b").status == transfer_status::kMaybeSent);
  CHECK(Call("c", true).body == "c");
  CHECK(requests_received_ == 2);
}

TEST_CASE_METHOD(fault_proxy_fixture,
                 "link, responses dropped, delivers the call and loses the response", "[proxy]") {
  proxy_.SetRule(link_, {link_state::kDropResponses});
  CHECK(Call("a").status == transfer_status::kMaybeSent);
  CHECK(requests_received_ == 1);
}

TEST_CASE_METHOD(fault_proxy_fixture, "link, dead after a byte limit, forwards the bytes before it",
                 "[proxy]") {
  link_rule rule;
  rule.blackhole_after_bytes = 1000;
  proxy_.SetRule(link_, rule);
  CHECK(Call("a").body == "a");
  CHECK(Call(std::string(2000, 'x'), true).status == transfer_status::kMaybeSent);
  CHECK(requests_received_ == 1);
}

// A call delayed by a partition is delivered when the partition ends, possibly after its caller has
// timed out, and may still take effect then.
TEST_CASE_METHOD(fault_proxy_fixture, "link, stalled and released, delivers the call late",
                 "[proxy]") {
  proxy_.SetRule(link_, {link_state::kStall});
  http_call call{"POST", absl::StrCat("http://127.0.0.1:", proxy_.PortOf(link_), "/"), "late"};
  call.timeout = milliseconds{10000};
  std::promise<std::string> answer;
  client_.Send(call, [&](const http_result& result) { answer.set_value(result.body); });
  CHECK(requests_received_ == 0);
  proxy_.SetRule(link_, {});
  CHECK(answer.get_future().get() == "late");
}

}  // namespace catkinford
