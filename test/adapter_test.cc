#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <string>

#include "connection/endpoint_adapter.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/instance_adapter.h"
#include "connection/store_adapter.h"
#include "standin/fault_proxy.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr char kId[] = "0123456789abcdef0123456789abcdef/3/2";

// A platform that returns a fixed response and records the request.
class platform_fixture {
 public:
  platform_fixture() {
    server_ = std::make_unique<http_server>(
        http_server_options{}, [this](http_server::token token, const http_request& request) {
          const std::lock_guard lock(mutex_);
          sent_ = request.method + " " + request.path + " " + request.body;
          query_ = request.Query("key");
          if (code_ != 0) server_->Respond(token, {code_, body_});
        });
    server_->Start();
    client_.Start();
    url_ = "http://127.0.0.1:" + std::to_string(server_->Port());
  }

 protected:
  template <typename Reply, typename Call>
  Reply Wait(Call call) {
    SynchronizeWithServer();
    std::promise<Reply> promise;
    call([&promise](Reply reply) { promise.set_value(std::move(reply)); });
    Reply reply = promise.get_future().get();
    SynchronizeWithServer();
    return reply;
  }
  store_reply Swap() {
    store_adapter store(client_, url_, milliseconds{200});
    return Wait<store_reply>(
        [&](auto done) { store.CompareAndSwap("a/b", 7, "v\"", "w1", "l1", done); });
  }
  endpoint_reply Start() {
    endpoint_adapter adapter(client_, milliseconds{200});
    start_task task;
    task.id = *ParseTaskId(kId);
    task.amount = {100, 200, 0, 1};
    task.team = "t";
    task.payload = "p\"";
    task.not_after = milliseconds{50};
    return Wait<endpoint_reply>([&](auto done) { adapter.Start({url_, "e1"}, 9, {task}, done); });
  }

  // The test and the server's thread are ordered only by a socket, which ThreadSanitizer does not
  // recognize; taking the lock makes that order visible to it.
  void SynchronizeWithServer() { const std::lock_guard lock(mutex_); }

  std::mutex mutex_;
  int code_ = 200;
  std::string body_ = "{}";
  std::string sent_;
  std::string query_;
  std::string url_;
  std::unique_ptr<http_server> server_;
  http_client client_{0};
};

}  // namespace

TEST_CASE_METHOD(platform_fixture, "store, successful swap, returns the new revision",
                 "[adapter]") {
  body_ = R"({"revision":8})";
  const store_reply reply = Swap();
  CHECK(reply.status == store_status::kDone);
  CHECK(reply.revision == 8);
  CHECK(sent_ ==
        "POST /v1/cas "
        R"({"key":"a/b","expect":7,"value":"v\"","write_id":"w1","lease":"l1"})");
}

TEST_CASE_METHOD(platform_fixture, "store, swap in conflict, returns the current value",
                 "[adapter]") {
  code_ = 409;
  body_ = R"({"error":"conflict","revision":9,"value":"other"})";
  const store_reply reply = Swap();
  CHECK(reply.status == store_status::kConflict);
  REQUIRE(reply.items.size() == 1);
  CHECK(reply.items[0].key == "a/b");
  CHECK(reply.items[0].value == "other");
  CHECK(reply.items[0].revision == 9);
}

// Guards against assuming an outcome when the reply of a write is lost: the caller would act on a
// value that the store does not hold.
TEST_CASE_METHOD(platform_fixture, "store, lost reply of a write, is unknown", "[adapter]") {
  code_ = 0;
  CHECK(Swap().status == store_status::kUnknown);
}

TEST_CASE_METHOD(platform_fixture, "store, rate limited or down, is unavailable", "[adapter]") {
  code_ = GENERATE(429, 503, 413);
  CHECK(Swap().status == store_status::kUnavailable);
}

TEST_CASE_METHOD(platform_fixture, "store, lost reply of a read, is unavailable", "[adapter]") {
  code_ = 0;
  store_adapter store(client_, url_, milliseconds{100});
  const auto reply = Wait<store_reply>([&](auto done) { store.Get("a/b", done); });
  CHECK(reply.status == store_status::kUnavailable);
  CHECK(query_ == "a/b");
}

// Guards against a configuration that can never be read because its slow but progressing response
// exceeds the timeout.
TEST_CASE_METHOD(platform_fixture, "store, value that takes longer than the timeout, is read",
                 "[adapter]") {
  body_ = R"({"key":"a/b","revision":3,"value":")" + std::string(100'000, 'x') + R"("})";
  fault_proxy proxy;
  proxy.Start();
  const link_index link = proxy.AddLink(server_->Port());
  link_rule rule;
  rule.bytes_per_second = 100'000;
  proxy.SetRule(link, rule);
  store_adapter store(client_, "http://127.0.0.1:" + std::to_string(proxy.PortOf(link)),
                      milliseconds{500});
  const auto reply = Wait<store_reply>([&](auto done) { store.Get("a/b", done); });
  CHECK(reply.status == store_status::kDone);
  REQUIRE(reply.items.size() == 1);
  CHECK(reply.items.front().value.size() == 100'000);
  proxy.Stop();
}

TEST_CASE_METHOD(platform_fixture, "endpoint, start call, returns a result for each task",
                 "[adapter]") {
  body_ = std::string(R"({"results":[{"id":")") + kId + R"(","result":"already"}]})";
  const endpoint_reply reply = Start();
  CHECK(reply.status == endpoint_status::kDone);
  REQUIRE(reply.results.size() == 1);
  CHECK(ToText(reply.results[0].id) == kId);
  CHECK(reply.results[0].result == call_result::kAlready);
  CHECK(sent_ == std::string(R"(POST /v1/endpoints/e1/start {"epoch":9,"tasks":[{"id":")") + kId +
                     R"(","cpu_milli":100,"memory_mb":200,"accelerators":0,"slots":1,)"
                     R"("lease_ms":0,"retain_ms":0,"not_after_ms":50,"kind":"interactive",)"
                     R"("team":"t","payload":"p\""}]})");
}

// Guards against running a task twice: an owner was paused, another took over its shard, and the
// endpoint rejects the old epoch.
TEST_CASE_METHOD(platform_fixture, "endpoint, start with an old epoch, is fenced", "[adapter]") {
  code_ = 409;
  body_ = R"({"error":"fenced","epoch":10})";
  const endpoint_reply reply = Start();
  CHECK(reply.status == endpoint_status::kFenced);
  CHECK(reply.epoch == 10);
}

// Guards against starting a task twice: after an unreadable response or an internal error it may be
// running, and reporting it as not run would start it again elsewhere.
TEST_CASE_METHOD(platform_fixture,
                 "endpoint, unreadable response or internal error, may have started", "[adapter]") {
  code_ = GENERATE(200, 409, 500);
  body_ = "<html>";
  CHECK(Start().status == endpoint_status::kMaybeSent);
}

TEST_CASE_METHOD(platform_fixture, "endpoint, fence reply with an unreadable task, is rejected",
                 "[adapter]") {
  body_ = R"({"incarnation":1,"epoch":2,"tasks":[{"id":"nonsense","state":"running"}]})";
  endpoint_adapter adapter(client_, milliseconds{200});
  const auto reply = Wait<endpoint_reply>([&](auto done) { adapter.Fence({url_, "e1"}, 2, done); });
  CHECK(reply.status == endpoint_status::kMaybeSent);
  CHECK(reply.tasks.empty());
}

TEST_CASE_METHOD(platform_fixture, "endpoint, sync call, returns the finished tasks", "[adapter]") {
  body_ = std::string(R"({"incarnation":4,"cursor":6,"finished":[{"id":")") + kId +
          R"(","seq":6,"result":"checkpointed","ran_ms":12,"answer":"a"}],"running":2,)"
          R"("usage":{"cpu_milli":5,"memory_mb":6,"age_ms":7},"leaving":true})";
  endpoint_adapter adapter(client_, milliseconds{200});
  const auto reply = Wait<endpoint_reply>([&](auto done) {
    adapter.Sync({url_, "e1"}, {9, 4, 5, milliseconds{10}, milliseconds{100}}, done);
  });
  CHECK(sent_ ==
        "POST /v1/endpoints/e1/sync "
        R"({"epoch":9,"incarnation":4,"cursor":5,"wait_ms":10,"lease_ms":100})");
  CHECK(reply.cursor == 6);
  REQUIRE(reply.finished.size() == 1);
  CHECK(reply.finished[0].result == task_result::kCheckpointed);
  CHECK(reply.finished[0].ran == milliseconds{12});
  CHECK(reply.running == 2);
  CHECK(reply.usage.age == milliseconds{7});
  CHECK(reply.leaving);
}

TEST_CASE_METHOD(platform_fixture, "instance list, valid response, returns typed instances",
                 "[adapter]") {
  body_ = R"({"age_ms":500,"instances":[
      {"name":"n1","role":"entry","failure_domain":"d","address":"127.0.0.1:1","state":"live"},
      {"name":"e1","role":"endpoint","failure_domain":"d","rack":"r","address":"http://x",
       "state":"leaving","shape":{"cpu_milli":1,"memory_mb":2,"accelerators":3,"slots":4}}]})";
  instance_adapter adapter(client_, url_, milliseconds{200});
  const auto reply = Wait<instance_reply>([&](auto done) { adapter.List(done); });
  REQUIRE(reply.ok);
  CHECK(reply.age == milliseconds{500});
  REQUIRE(reply.instances.size() == 2);
  CHECK(reply.instances[0].role == instance_role::kEntry);
  CHECK(reply.instances[1].leaving);
  CHECK(reply.instances[1].shape == resources{1, 2, 3, 4});
}

}  // namespace catkinford
