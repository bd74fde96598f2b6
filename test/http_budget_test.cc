// What a server's connections hold, with a budget.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "client_crowd.h"
#include "connection/http_client.h"
#include "connection/http_server.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A server that answers a GET with a long text, and a POST with its body's length.
class http_budget_fixture {
 protected:
  static constexpr size_t kBudget = size_t{4} << 20;
  static constexpr size_t kAnswer = size_t{256} << 10;
  static constexpr size_t kBodyLimit = size_t{128} << 10;
  static constexpr size_t kCrowd = 60;

  http_budget_fixture() {
    http_server_options options;
    options.budget = budget_;
    options.body_limit = kBodyLimit;
    options.connection_limit = kCrowd * 2;
    options.socket_buffer_bytes = 4096;
    server_ = std::make_unique<http_server>(
        options, [this](http_server::token token, const http_request& request) {
          const bool get = request.method == "GET";
          server_->Respond(
              token, {200, get ? std::string(kAnswer, 'x') : std::to_string(request.body.size())});
        });
    REQUIRE(server_->Start());
    client_.Start();
  }
  ~http_budget_fixture() {
    client_.Stop();
    server_->Stop();
  }

  http_result Call(const std::string& method, const std::string& body = {}) {
    http_call call{method, "http://127.0.0.1:" + std::to_string(server_->Port()) + "/", body};
    call.timeout = milliseconds(10000);
    return client_.SendAndWait(call);
  }
  bool Empty() {
    for (int i = 0; i < 500 && budget_->Counts().bytes > 0; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return budget_->Counts().bytes == 0;
  }

  std::vector<int> TakeUnclosed() {
    const std::lock_guard lock(mutex_);
    return std::exchange(unclosed_, {});
  }

  std::atomic<bool> closes_{true};  // false: connections to be closed are kept in `unclosed_`
  std::mutex mutex_;
  std::vector<int> unclosed_;
  std::shared_ptr<connection_budget> budget_ =
      std::make_shared<connection_budget>(budget_options{kBudget}, [this](int socket) {
        if (closes_) return ShutSocket(socket);
        const std::lock_guard lock(mutex_);
        unclosed_.push_back(socket);
      });
  std::unique_ptr<http_server> server_;
  http_client client_{1};
};

}  // namespace

// Guards against answers that pile up for clients that do not read them.
TEST_CASE_METHOD(http_budget_fixture, "http server, answers that nobody reads, stay in the budget",
                 "[http]") {
  client_crowd crowd(server_->Port(), kCrowd);
  crowd.Send(RequestHead("GET", "/", 0), 4096);
  CHECK(Call("GET").body.size() == kAnswer);
  CHECK(budget_->Counts().bytes <= kBudget);
  CHECK(budget_->Counts().closed_for_room > 0);
  crowd.Leave();
  CHECK(Empty());
}

TEST_CASE_METHOD(http_budget_fixture, "http server, bodies without an end, stay in the budget",
                 "[http]") {
  client_crowd crowd(server_->Port(), kCrowd);
  const auto length = static_cast<int64_t>(kBodyLimit);
  crowd.Send(RequestHead("POST", "/", length) + std::string(kBodyLimit - 1, 'x'), 4096);
  CHECK(Call("POST", "abc").body == "3");
  CHECK(budget_->Counts().bytes <= kBudget);
  CHECK(budget_->Counts().closed_for_room > 0);
  crowd.Leave();
  CHECK(Empty());
}

// Guards against bytes that are not given back after one kind of end: an answer, a rejection, a
// client that leaves.
TEST_CASE_METHOD(http_budget_fixture, "http server, requests of each kind, give all back",
                 "[http]") {
  for (int i = 0; i < 50; ++i) {
    CHECK(Call("POST", std::string(kBodyLimit, 'x')).body == std::to_string(kBodyLimit));
    CHECK(Call("POST", std::string(kBodyLimit + 1, 'x')).code == 413);
    CHECK(Call("GET").code == 200);
    client_crowd leaving(server_->Port(), 2);
    leaving.Send(RequestHead("POST", "/", -1) + InChunks(std::string(50'000, 'x'), 1000), 4096);
  }
  client_crowd endless(server_->Port(), 2);
  endless.Send(RequestHead("POST", "/", -1) + InChunks(std::string(5 * kBodyLimit, 'x'), 1000),
               4096);
  endless.Leave();
  CHECK(Empty());
  CHECK(budget_->Counts().rejected == 0);
}

TEST_CASE_METHOD(http_budget_fixture, "http server, lower limit of bodies, applies to the next",
                 "[http]") {
  CHECK(Call("POST", std::string(5000, 'x')).code == 200);
  server_->SetBodyLimit(4999);
  CHECK(Call("POST", std::string(5000, 'x')).code == 413);
  CHECK(Call("POST", std::string(4999, 'x')).code == 200);
}

// Guards against a limit of connections at which new clients wait for silent ones.
TEST_CASE_METHOD(http_budget_fixture, "http server, silent connections at the limit, serves others",
                 "[http]") {
  const client_crowd crowd(server_->Port(), kCrowd * 3);
  CHECK(Call("POST", "abc").body == "3");
  CHECK(budget_->Counts().Ended() >= kCrowd);
}

// Guards against a client that is turned away because a connection closed for it is not yet gone.
TEST_CASE_METHOD(http_budget_fixture, "http server, closed for the next and not gone, lets it wait",
                 "[http]") {
  closes_ = false;
  const client_crowd crowd(server_->Port(), kCrowd * 2);
  auto result = std::async(std::launch::async, [this] { return Call("POST", "abc"); });
  CHECK(result.wait_for(milliseconds(200)) == std::future_status::timeout);
  closes_ = true;
  for (const int socket : TakeUnclosed()) ShutSocket(socket);
  CHECK(result.get().body == "3");
  CHECK(budget_->Counts().rejected == 0);
}

}  // namespace catkinford
