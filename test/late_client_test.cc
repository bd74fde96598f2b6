// Calls whose client's thread runs late: it is busy or does not get the processor.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "connection/http_server.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A server that answers /now at once and other calls when told, and a client whose thread can be
// held up.
class late_client_fixture {
 protected:
  late_client_fixture()
      : server_({}, [this](http_server::token token, const http_request& request) {
          if (request.path == "/now") return server_.Respond(token, {});
          const std::lock_guard lock(mutex_);
          unanswered_.push_back(token);
          arrived_.notify_all();
        }) {
    server_.Start();
    client_.Start();
  }
  ~late_client_fixture() {
    client_.Stop();
    server_.Stop();
  }

  http_call CallTo(const std::string& path) const {
    http_call call{"POST", absl::StrCat("http://127.0.0.1:", server_.Port(), path), "x"};
    call.timeout = kTimeout;
    return call;
  }
  // Sends `count` calls and returns when all have arrived at the server.
  void SendCalls(int count) {
    for (int i = 0; i < count; ++i) {
      client_.Send(CallTo("/later"), [this](const http_result& result) {
        const std::lock_guard lock(mutex_);
        ++done_;
        if (result.status == transfer_status::kDone) ++answered_;
        arrived_.notify_all();
      });
    }
    std::unique_lock lock(mutex_);
    arrived_.wait(lock, [&] { return unanswered_.size() >= static_cast<size_t>(count); });
  }
  // Returns once the client's thread is held up; it goes on when the promise is set.
  void HoldUp(std::promise<void>& go_on) {
    std::promise<void> held;
    client_.Send(CallTo("/now"), [&held, &go_on](const http_result&) {
      const std::shared_future<void> until = go_on.get_future().share();
      held.set_value();
      until.wait();
    });
    held.get_future().wait();
  }
  void AnswerAll() {
    const std::lock_guard lock(mutex_);
    for (const http_server::token each : unanswered_) server_.Respond(each, {});
    unanswered_.clear();
  }
  int AnsweredOf(int count) {
    std::unique_lock lock(mutex_);
    arrived_.wait(lock, [&] { return done_ == count; });
    return answered_;
  }

  static constexpr milliseconds kTimeout{1000};
  static constexpr int kCalls = 20;

  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<http_server::token> unanswered_;
  int done_ = 0;
  int answered_ = 0;
  http_server server_;
  http_client client_{0};
};

}  // namespace

// Guards against calls that are given up, and connections that are closed, because this process
// was late: opening them again makes it later.
TEST_CASE_METHOD(late_client_fixture,
                 "http client, late past the limit, reads the answers that have arrived",
                 "[http][late_client]") {
  SendCalls(kCalls);
  std::promise<void> go_on;
  HoldUp(go_on);
  AnswerAll();
  std::this_thread::sleep_for(2 * kTimeout);
  const uint64_t opened = client_.Connections().opened;
  go_on.set_value();
  CHECK(AnsweredOf(kCalls) == kCalls);
  CHECK(client_.SendAndWait(CallTo("/now")).status == transfer_status::kDone);
  CHECK(client_.Connections().opened == opened);
  CHECK(client_.Connections().open == opened);
}

// Guards against limits that count the time in which this process could not have sent or read.
TEST_CASE_METHOD(late_client_fixture,
                 "http client, late past the limit, still waits for answers under way",
                 "[http][late_client]") {
  SendCalls(kCalls);
  std::promise<void> go_on;
  HoldUp(go_on);
  std::this_thread::sleep_for(kTimeout + kTimeout / 5);
  go_on.set_value();
  CHECK(client_.SendAndWait(CallTo("/now")).status == transfer_status::kDone);
  AnswerAll();
  CHECK(AnsweredOf(kCalls) == kCalls);
}

// Guards against calls without an end: a process that is always late must notice dead hosts, too.
TEST_CASE_METHOD(late_client_fixture, "http client, late past the limit, ends unanswered calls",
                 "[http][late_client]") {
  SendCalls(kCalls);
  std::promise<void> go_on;
  HoldUp(go_on);
  std::this_thread::sleep_for(kTimeout + kTimeout / 5);
  go_on.set_value();
  CHECK(AnsweredOf(kCalls) == 0);
  CHECK(client_.Connections().open <= 1);
}

}  // namespace catkinford
