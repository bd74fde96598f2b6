// Why calls fail, as counted by the client.
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>

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

TEST_CASE_METHOD(call_fault_fixture, "call fault, connection reset, is closed", "[http]") {
  REQUIRE(client_.SendAndWait(CallTo(proxy_.PortOf(link_), "/answered/call")).code == 200);
  CHECK(client_.Connections().open == 1);
  http_call waiting = CallTo(proxy_.PortOf(link_), "/silent/call");
  waiting.timeout = milliseconds{10000};
  std::promise<void> done;
  client_.Send(std::move(waiting), [&](const http_result&) { done.set_value(); });
  link_rule cut;
  cut.state = link_state::kCut;
  proxy_.SetRule(link_, cut);
  done.get_future().wait();
  CHECK(Faults("answered/call", call_fault::kClosed) == 0);
  CHECK(Faults("silent/call", call_fault::kClosed) == 1);
}

}  // namespace
}  // namespace catkinford
