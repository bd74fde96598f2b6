#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "bench/history.h"
#include "connection/http_client.h"
#include "standin/endpoint_model.h"
#include "standin/endpoint_server.h"
#include "standin/instance_server.h"
#include "standin/json_fields.h"
#include "standin/store_model.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const monotonic_time kStart{std::chrono::hours{1}};

json TaskOf(const std::string& id, int run_ms) {
  return {{"id", id},        {"cpu_milli", 1000}, {"memory_mb", 1024},
          {"slots", 1},      {"lease_ms", 1000},  {"retain_ms", 500},
          {"kind", "batch"}, {"team", "a"},       {"payload", json{{"run_ms", run_ms}}.dump()}};
}

// One endpoint with two slots, called directly with virtual time.
class endpoint_fixture {
 protected:
  json Call(const std::string& verb, const json& body, milliseconds at) {
    replies_.clear();
    endpoint_.Handle(verb, ++token_, body, kStart + at, replies_);
    for (const auto& [token, response] : replies_) {
      if (token == token_) return ParseReply(response);
    }
    return nullptr;
  }
  json StartOne(const std::string& id, int run_ms, uint64_t epoch, milliseconds at) {
    return Call("start", {{"epoch", epoch}, {"tasks", {TaskOf(id, run_ms)}}}, at);
  }
  static json ParseReply(const http_response& response) {
    json body = json::parse(response.body);
    body["status"] = response.status;
    return body;
  }
  json Tick(milliseconds at) {
    replies_.clear();
    endpoint_.Tick(kStart + at, replies_);
    return replies_.empty() ? json(nullptr) : ParseReply(replies_.back().second);
  }
  std::vector<std::string> RecordedResults() const {
    std::vector<std::string> results;
    const std::vector<std::string> lines = absl::StrSplit(record_.Text(), '\n', absl::SkipEmpty());
    for (const std::string& line : lines) {
      const json event = json::parse(line);
      results.push_back(absl::StrCat(TextOf(event, "id", ""), " ", TextOf(event, "result", "")));
    }
    return results;
  }

  run_record record_;
  endpoint_model endpoint_{{"ep-0", {4000, 8192, 0, 2}}, record_};
  due_replies replies_;
  http_server::token token_ = 0;
};

class store_fixture {
 protected:
  json Call(store_call call, milliseconds at) {
    replies_.clear();
    store_.Handle(++token_, std::move(call), kStart + at, replies_);
    return ReplyTo(token_);
  }
  json ReplyTo(http_server::token token) const {
    for (const auto& [answered, response] : replies_) {
      if (answered != token) continue;
      json body = json::parse(response.body);
      body["status"] = response.status;
      return body;
    }
    return nullptr;
  }
  json Put(const std::string& key, uint64_t expect, const std::string& value, milliseconds at,
           const std::string& lease = "") {
    return Call({"POST",
                 "/v1/cas",
                 "",
                 0,
                 milliseconds{0},
                 {{"key", key}, {"expect", expect}, {"value", value}, {"lease", lease}}},
                at);
  }
  json Get(const std::string& key, milliseconds at) {
    return Call({"GET", "/v1/kv", key, 0, milliseconds{0}, {}}, at);
  }
  json Lease(int ttl_ms, milliseconds at) {
    return Call({"POST", "/v1/leases", "", 0, milliseconds{0}, {{"ttl_ms", ttl_ms}}}, at);
  }

  store_model store_{store_options{.read_rate = 50, .write_rate = 20}};
  store_model::due_replies replies_;
  http_server::token token_ = 0;
};

}  // namespace

TEST_CASE_METHOD(endpoint_fixture, "endpoint, start beyond its capacity, answers no_room",
                 "[standin]") {
  CHECK(StartOne("a", 100, 1, milliseconds{0})["results"][0]["result"] == "started");
  CHECK(StartOne("b", 100, 1, milliseconds{0})["results"][0]["result"] == "started");
  CHECK(StartOne("c", 100, 1, milliseconds{0})["results"][0]["result"] == "no_room");
  CHECK(StartOne("a", 100, 1, milliseconds{1})["results"][0]["result"] == "already");
  CHECK(StartOne("c", 100, 1, milliseconds{101})["results"][0]["result"] == "started");
}

// Guards against a task that runs twice: a former owner, paused while a successor fenced the
// endpoint, resumes and sends a start.
TEST_CASE_METHOD(endpoint_fixture, "endpoint, fenced, rejects and records a lower epoch",
                 "[standin]") {
  Call("sync", {{"epoch", 3}, {"incarnation", 1}, {"cursor", 0}, {"wait_ms", 5000}},
       milliseconds{0});
  const http_server::token waiting = token_;
  CHECK(Call("fence", {{"epoch", 4}}, milliseconds{1})["epoch"] == 4);
  CHECK(replies_[0].first == waiting);
  CHECK(replies_[0].second.status == 409);
  const json rejected = StartOne("a", 100, 3, milliseconds{2});
  CHECK(rejected["status"] == 409);
  CHECK(rejected["epoch"] == 4);
  CHECK(RecordedResults() == std::vector<std::string>{"a fenced"});
}

TEST_CASE_METHOD(endpoint_fixture,
                 "endpoint, task finished, answers the waiting sync and retains the task",
                 "[standin]") {
  StartOne("a", 100, 1, milliseconds{0});
  const json sync = {
      {"epoch", 1}, {"incarnation", 1}, {"cursor", 0}, {"wait_ms", 5000}, {"lease_ms", 1000}};
  CHECK(Call("sync", sync, milliseconds{10}).is_null());
  const json finished_reply = Tick(milliseconds{100});
  CHECK(finished_reply["finished"][0]["id"] == "a");
  CHECK(finished_reply["finished"][0]["result"] == "ok");
  CHECK(finished_reply["cursor"] == 1);
  // Not acknowledged: still listed long after its retention time.
  CHECK(Call("list", {}, milliseconds{5000})["tasks"].size() == 1);
  json acknowledging = sync;
  acknowledging["cursor"] = 1;
  Call("sync", acknowledging, milliseconds{5001});
  CHECK(Call("list", {}, milliseconds{5002})["tasks"].empty());
}

TEST_CASE_METHOD(endpoint_fixture, "endpoint, no sync within the lease, kills the task",
                 "[standin]") {
  StartOne("a", 60000, 1, milliseconds{0});
  Call("sync", {{"epoch", 1}, {"incarnation", 1}, {"lease_ms", 1000}}, milliseconds{900});
  Tick(milliseconds{1899});
  CHECK(RecordedResults().size() == 1);
  Tick(milliseconds{1900});
  CHECK(RecordedResults().back() == "a lease_lapsed");
}

TEST_CASE_METHOD(endpoint_fixture, "endpoint, restarted after a crash, has a new incarnation",
                 "[standin]") {
  StartOne("a", 60000, 7, milliseconds{0});
  endpoint_.SetMode(endpoint_mode::kDead, kStart + milliseconds{5}, replies_);
  CHECK(Call("list", {}, milliseconds{6}).is_null());
  endpoint_.SetMode(endpoint_mode::kUp, kStart + milliseconds{7}, replies_);
  const json list = Call("list", {}, milliseconds{8});
  CHECK(list["incarnation"] == 2);
  CHECK(list["tasks"].empty());
  CHECK(RecordedResults()[1] == "a killed");
}

TEST_CASE_METHOD(store_fixture,
                 "store, two writes that expect the same revision, applies only the first",
                 "[standin]") {
  CHECK(Put("k", 0, "one", milliseconds{0})["revision"] == 1);
  const json second = Put("k", 0, "two", milliseconds{0});
  CHECK(second["status"] == 409);
  CHECK(second["value"] == "one");
  CHECK(Get("k", milliseconds{1})["value"] == "one");
}

TEST_CASE_METHOD(store_fixture, "store, lease expired, deletes its keys and answers the watch",
                 "[standin]") {
  const std::string lease = Lease(1000, milliseconds{0})["lease"];
  const uint64_t revision = Put("m/a", 0, "x", milliseconds{0}, lease)["revision"];
  CHECK(Call({"GET", "/v1/watch", "m/", revision, milliseconds{5000}, {}}, milliseconds{1})
            .is_null());
  const http_server::token watch = token_;
  replies_.clear();
  store_.Tick(kStart + milliseconds{1000}, replies_);
  CHECK(ReplyTo(watch)["items"].empty());
  CHECK(ReplyTo(watch)["revision"] == revision + 1);
  CHECK(Get("m/a", milliseconds{1001})["status"] == 404);
}

TEST_CASE_METHOD(store_fixture, "store, down for longer than a lease, has deleted the lease's keys",
                 "[standin]") {
  const std::string lease = Lease(1000, milliseconds{0})["lease"];
  Put("m/a", 0, "x", milliseconds{0}, lease);
  store_.SetMode(store_mode::kDown, milliseconds{0}, 0, kStart + milliseconds{10}, replies_);
  CHECK(Get("m/a", milliseconds{20})["status"] == 503);
  store_.SetMode(store_mode::kUp, milliseconds{0}, 0, kStart + milliseconds{3000}, replies_);
  CHECK(Get("m/a", milliseconds{3001})["status"] == 404);
}

// A lost reply does not mean that the write failed: the store applied it.
TEST_CASE_METHOD(store_fixture, "store, reply lost, has applied the write", "[standin]") {
  store_.SetMode(store_mode::kLoseReplies, milliseconds{0}, 1.0, kStart, replies_);
  CHECK(Put("k", 0, "one", milliseconds{0}).is_null());
  CHECK(Get("k", milliseconds{1})["value"] == "one");
}

TEST_CASE_METHOD(store_fixture, "store, slow, executes a call after its delay", "[standin]") {
  store_.SetMode(store_mode::kSlow, milliseconds{200}, 0, kStart, replies_);
  CHECK(Put("k", 0, "one", milliseconds{0}).is_null());
  const http_server::token put = token_;
  replies_.clear();
  store_.Tick(kStart + milliseconds{200}, replies_);
  CHECK(ReplyTo(put)["revision"] == 1);
}

TEST_CASE_METHOD(store_fixture, "store, over its rate limit, rejects and counts", "[standin]") {
  for (int i = 0; i < 20; ++i) Put(absl::StrCat("k", i), 0, "x", milliseconds{0});
  CHECK(Put("l", 0, "x", milliseconds{0})["status"] == 429);
  CHECK(Put("l", 0, "x", milliseconds{100})["status"] == 200);
  CHECK(store_.Counters()["writes"] == 22);
  CHECK(store_.Counters()["rate_refused"] == 1);
}

TEST_CASE("instance list, changed, shows the change only after the lag", "[standin]") {
  instance_list list(milliseconds{500}, json::parse(R"([{"name":"e1","state":"live"}])"));
  REQUIRE(list.Apply({{"name", "e1"}, {"state", "leaving"}}, kStart));
  CHECK(list.Visible(kStart + milliseconds{499})["instances"][0]["state"] == "live");
  CHECK(list.Visible(kStart + milliseconds{500})["instances"][0]["state"] == "leaving");
}

TEST_CASE("endpoint server, many starts over HTTP, runs and records each once", "[standin]") {
  endpoint_server_options options;
  options.names = {"ep-0", "ep-1"};
  endpoint_server server(options);
  REQUIRE(server.Start());
  http_client client(8);
  client.Start();
  const std::string base = absl::StrCat("http://127.0.0.1:", server.Port());
  for (int i = 0; i < 50; ++i) {
    const json body = {{"epoch", 1}, {"tasks", {TaskOf(absl::StrCat("t", i), 0)}}};
    const http_result result = client.SendAndWait(
        {"POST", absl::StrCat(base, "/v1/endpoints/ep-", i % 2, "/start"), body.dump()});
    REQUIRE(result.code == 200);
    CHECK(json::parse(result.body)["results"][0]["result"] == "started");
  }
  const std::string text = client.SendAndWait({"GET", base + "/record"}).body;
  const std::vector<std::string> lines = absl::StrSplit(text, '\n', absl::SkipEmpty());
  CHECK(lines.size() == 100);
  client.Stop();
}

// The checker compares a caller's request times with an endpoint's start times, so both must use
// the same clock. With two clocks, one of them adjusted during the run, starts appeared to precede
// their requests, and the checker reported 2,151 false violations of own_team.
TEST_CASE("endpoint record, on its caller's clock, has a start between request and response") {
  endpoint_server_options options;
  options.names = {"ep-0"};
  endpoint_server server(options);
  REQUIRE(server.Start());
  http_client client(8);
  client.Start();
  const std::string base = absl::StrCat("http://127.0.0.1:", server.Port());
  const json body = {{"epoch", 1}, {"tasks", {TaskOf("t", 0)}}};
  const auto asked =
      std::chrono::floor<std::chrono::microseconds>(std::chrono::steady_clock::now());
  REQUIRE(client.SendAndWait({"POST", base + "/v1/endpoints/ep-0/start", body.dump()}).code == 200);
  const monotonic_time answered = std::chrono::steady_clock::now();
  std::vector<run_event> events;
  REQUIRE(AppendRecord(client.SendAndWait({"GET", base + "/record"}).body, events));
  REQUIRE(events.size() == 2);
  CHECK(events[0].at >= asked);
  CHECK(events[0].at <= answered);
  client.Stop();
}

}  // namespace catkinford
