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

// A server that echoes, behind one link.
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

TEST_CASE_METHOD(fault_proxy_fixture, "link with a rate, carries whole bodies no faster",
                 "[proxy]") {
  const std::string large(50000, 'x');
  link_rule rule;
  rule.bytes_per_second = 100'000;
  proxy_.SetRule(link_, rule);
  const auto begun = std::chrono::steady_clock::now();
  CHECK(Call(large, false, milliseconds{30000}).body == large);
  // There and back, one after the other: the server answers what it has read whole.
  CHECK(std::chrono::steady_clock::now() - begun > milliseconds{950});
}

TEST_CASE_METHOD(fault_proxy_fixture, "link, passing, carries whole bodies", "[proxy]") {
  const std::string large(500000, 'x');
  CHECK(Call("a").body == "a");
  CHECK(Call(large, false, milliseconds{5000}).body == large);
}

TEST_CASE_METHOD(fault_proxy_fixture, "link, cut and mended, ends calls and works again",
                 "[proxy]") {
  CHECK(Call("a").body == "a");
  proxy_.SetRule(link_, {link_state::kCut});
  CHECK(Call("b").status != transfer_status::kDone);
  proxy_.SetRule(link_, {});
  CHECK(Call("c").body == "c");
}

// Something between the two ends has lost track of an open connection: nothing that is sent on it
// arrives any more, though new connections work. A caller that tries again on it waits for ever.
TEST_CASE_METHOD(fault_proxy_fixture, "link, connection silenced, works only on a fresh one",
                 "[proxy]") {
  CHECK(Call("a").body == "a");
  proxy_.BlackholeOpenConnections(link_);
  CHECK(Call("b").status == transfer_status::kMaybeSent);
  CHECK(Call("c", true).body == "c");
  CHECK(requests_received_ == 2);
}

TEST_CASE_METHOD(fault_proxy_fixture, "link, one way, does the call and loses the answer",
                 "[proxy]") {
  proxy_.SetRule(link_, {link_state::kDropResponses});
  CHECK(Call("a").status == transfer_status::kMaybeSent);
  CHECK(requests_received_ == 1);
}

TEST_CASE_METHOD(fault_proxy_fixture, "link, silent after some bytes, passes those", "[proxy]") {
  link_rule rule;
  rule.blackhole_after_bytes = 1000;
  proxy_.SetRule(link_, rule);
  CHECK(Call("a").body == "a");
  CHECK(Call(std::string(2000, 'x'), true).status == transfer_status::kMaybeSent);
  CHECK(requests_received_ == 1);
}

// A call that a partition held up is delivered when the partition ends, long after its caller gave
// up: what it asks for may still happen then.
TEST_CASE_METHOD(fault_proxy_fixture, "link, held and let go, delivers the call late", "[proxy]") {
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
