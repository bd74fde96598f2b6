// Bodies of the commands to instances.
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "platform/instance_calls.h"
#include "platform/listing_reader.h"

namespace catkinford::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// An instance that keeps the body of the last command.
class command_body_fixture {
 protected:
  command_body_fixture()
      : server_({}, [this](http_server::token token, const http_request& request) {
          {
            const std::lock_guard lock(mutex_);
            body_ = request.body;
          }
          server_.Respond(token, {200, R"({"clock-ms":1,"running":[],"ended":[]})"});
        }) {
    server_.Start();
    client_.Start();
    to_ = {"i-1", absl::StrCat("127.0.0.1:", server_.Port()), 1};
  }
  ~command_body_fixture() {
    client_.Stop();
    server_.Stop();
  }

  // `send` gets a callback of any command.
  template <typename Send>
  std::string BodyOf(Send send) {
    std::promise<void> done;
    send([&done](auto&&...) { done.set_value(); });
    done.get_future().wait();
    const std::lock_guard lock(mutex_);
    return body_;
  }

  std::mutex mutex_;
  std::string body_;
  http_server server_;
  http_client client_{1};
  instance_calls calls_{client_, milliseconds{5000}};
  command_target to_;
};

// Guards against bodies that are no JSON, or another one than the platform's page shows.
TEST_CASE_METHOD(command_body_fixture, "command body, any text, is what a JSON writer writes",
                 "[platform_codec]") {
  const std::string text =
      GENERATE("", "plain", "q\"uote \\ back", "new\nline \x01", "\xc3\xa4 \x7f");
  const task_key key{absl::StrCat("5c", text), 3, 1, 17};
  json start{{"task", TaskName(key)},
             {"run-id", 2},
             {"task-spec", text},
             {"deadline-ms", -486000},
             {"fencing-token", 7}};
  if (!text.empty()) {
    start["checkpoint"] = text;
    start["ticket"] = text;
  }
  CHECK(BodyOf([&](auto done) {
          calls_.Start({to_, key, 2, text, -486000, text, text}, 7, done);
        }) == start.dump());
  CHECK(BodyOf([&](auto done) {
          calls_.Stop({to_, key, 2}, 7, done);
        }) == json{{"task", TaskName(key)}, {"run-id", 2}, {"fencing-token", 7}}.dump());
  CHECK(BodyOf([&](auto done) {
          calls_.SetSpeed({to_, key, 2, 40}, 7, done);
        }) ==
        json{{"task", TaskName(key)}, {"run-id", 2}, {"percent", 40}, {"fencing-token", 7}}.dump());
}

TEST_CASE_METHOD(command_body_fixture, "command body, listing, is what a JSON writer writes",
                 "[platform_codec]") {
  list_command list;
  list.to = to_;
  list.ends_seen = 57;
  CHECK(BodyOf([&](auto done) { calls_.List(list, 7, done); }) ==
        json{{"fencing-token", 7}, {"last-seen", 57}}.dump());
  list.lease_until_ms = 486000;
  list.wait = milliseconds{1000};
  CHECK(BodyOf([&](auto done) { calls_.List(list, 7, done); }) ==
        json{{"fencing-token", 7}, {"last-seen", 57}, {"deadline-ms", 486000}, {"wait-ms", 1000}}
            .dump());
}

// Guards against a start that is never sent because its payload is no UTF-8.
TEST_CASE_METHOD(command_body_fixture, "command body, invalid UTF-8, is replaced",
                 "[platform_codec]") {
  start_command start;
  start.to = to_;
  start.key.job = "5c";
  start.payload = "a\xff";
  const std::string body = BodyOf([&](auto done) { calls_.Start(start, 7, done); });
  CHECK(json::parse(body).at("task-spec") == "a\xef\xbf\xbd");
}

}  // namespace
}  // namespace catkinford::platform
