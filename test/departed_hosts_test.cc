// Hosts that leave together while calls to others go on.
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "connection/http_server.h"

namespace {

// Calls of poll(), by which libcurl looks for connections that were closed.
std::atomic<int> polls{0};

}  // namespace

// Takes precedence over the C library's, for libcurl too.
extern "C" int poll(pollfd* sockets, nfds_t count, int timeout_ms) {
  ++polls;
  const timespec timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000000L};
  return ppoll(sockets, count, timeout_ms < 0 ? nullptr : &timeout, nullptr);
}

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Hosts of two servers, one connection to each.
class departed_hosts_fixture {
 protected:
  departed_hosts_fixture() {
    for (auto* server : {&staying_, &leaving_}) {
      http_server_options options;
      options.address = "0.0.0.0";
      *server = std::make_unique<http_server>(
          options, [server](http_server::token token, const http_request&) {
            (*server)->Respond(token, {});
          });
      (*server)->Start();
    }
    client_.Start();
  }
  ~departed_hosts_fixture() {
    client_.Stop();
    staying_->Stop();
    leaving_->Stop();
  }

  // A server's queue of connections that it has not accepted is limited, so hosts are called in
  // groups.
  void CallHosts(const http_server& server, int hosts) {
    for (int first = 0; first < hosts; first += kGroup) {
      CallGroup(server, first, std::min(hosts, first + kGroup));
    }
  }

  void CallGroup(const http_server& server, int first, int end) {
    for (int i = first; i < end; ++i) {
      http_call call{
          "POST",
          absl::StrCat("http://127.0.", 1 + i / 250, ".", 1 + i % 250, ":", server.Port(), "/"),
          "x"};
      client_.Send(std::move(call), [this](const http_result& result) {
        const std::lock_guard lock(mutex_);
        if (result.status == transfer_status::kDone) ++answered_;
        changed_.notify_all();
      });
    }
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::seconds{20}, [&] { return answered_ >= end - first; });
    answered_ = 0;
  }

  static constexpr int kStaying = 1000;
  static constexpr int kGroup = 50;
  static constexpr int kLeaving = 300;
  // A check of all connections, begun again after each closed one, would take some hundred.
  static constexpr int kPollsPerHost = 20;
  // libcurl looks for closed connections once a second.
  static constexpr milliseconds kCheckInterval{1100};
  std::mutex mutex_;
  std::condition_variable changed_;
  int answered_ = 0;
  std::unique_ptr<http_server> staying_;
  std::unique_ptr<http_server> leaving_;
  http_client client_{2};
};

// Guards against calls that wait for seconds while the connections of hosts that left are dropped.
TEST_CASE_METHOD(departed_hosts_fixture, "http client, many hosts leave, goes on at once") {
  CallHosts(*staying_, kStaying);
  CallHosts(*leaving_, kLeaving);
  REQUIRE(client_.Connections().open == kStaying + kLeaving);
  leaving_->Stop();
  std::this_thread::sleep_for(kCheckInterval);
  const int before = polls;
  CallHosts(*staying_, 64);
  const int spent = polls - before;
  INFO("polls: " << spent);
  CHECK(spent > kLeaving);
  CHECK(spent < kPollsPerHost * (kStaying + kLeaving));
}

}  // namespace
}  // namespace catkinford
