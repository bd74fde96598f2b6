// The mailbox between entries, with real calls on the local machine.
#include "process/peer_mailbox.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <numeric>
#include <optional>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "bench/child_process.h"
#include "connection/http_server.h"
#include "nlohmann/json.hpp"
#include "standin/fault_proxy.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitLimit{20000};  // for events that are expected to occur
constexpr milliseconds kCallTimeout{10000};
constexpr milliseconds kShortTimeout{1000};  // for calls that are meant to time out

// The mailbox of one entry, and a peer that can delay its answers.
class mailbox_fixture {
 protected:
  explicit mailbox_fixture(milliseconds call_timeout = kCallTimeout)
      : from_(
            "from", http_server_options{}, call_timeout, auth_,
            [](const std::vector<peer_message>&) {},
            [this](const std::string&, transfer_status status,
                   const std::vector<message_body>& lost) { Lose(status, lost.size()); },
            [] { return std::optional<heartbeat_message>(); }) {
    REQUIRE(from_.Start());
  }
  ~mailbox_fixture() {
    Hold(0);
    from_.Stop();
    if (server_ != nullptr) server_->Stop();
  }

  // A peer that answers once `held_` batches wait at the same time. Uses our own server, which can
  // answer later: libjsonrpccpp's server may serve two connections on one thread, and the second
  // would wait for the first.
  void Serve() {
    http_server_options options;
    options.port = port_;
    server_ = std::make_unique<http_server>(
        options, [this](http_server::token token, const http_request& request) {
          const nlohmann::json call = nlohmann::json::parse(request.body);
          const std::lock_guard lock(mutex_);
          batches_.push_back(DecodeBatch(call["params"]["text"].get<std::string>()).size());
          waiting_.push_back(token);
          most_waiting_ = std::max(most_waiting_, waiting_.size());
          AnswerAll();
          changed_.notify_all();
        });
    REQUIRE(server_->Start());
  }
  std::string UrlOfPeer() const { return absl::StrCat("http://127.0.0.1:", port_); }
  void Hold(size_t count) {
    const std::lock_guard lock(mutex_);
    held_ = count;
    if (server_ != nullptr) AnswerAll();
  }
  void AnswerAll() {
    if (waiting_.size() < held_) return;
    for (const http_server::token token : std::exchange(waiting_, {})) {
      server_->Respond(token, {200, R"({"id":1,"jsonrpc":"2.0","result":"ok"})"});
    }
  }
  void Ask(uint32_t number) {
    REQUIRE(from_.Send("to", owner_query_message{number}));
    from_.Flush();
  }
  template <typename Condition>
  bool WaitFor(Condition condition) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kWaitLimit, condition);
  }
  void Lose(transfer_status status, size_t count) {
    const std::lock_guard lock(mutex_);
    lost_ += count;
    lost_status_ = status;
    changed_.notify_all();
  }

  const uint16_t port_ = FreePort();
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<http_server::token> waiting_;
  size_t most_waiting_ = 0;
  size_t held_ = 1;
  std::vector<size_t> batches_;  // number of messages in each, in order of arrival
  size_t lost_ = 0;
  std::optional<transfer_status> lost_status_;
  std::unique_ptr<http_server> server_;
  peer_auth auth_;
  peer_mailbox from_;
};

class short_timeout_fixture : public mailbox_fixture {
 protected:
  short_timeout_fixture() : mailbox_fixture(kShortTimeout) {}
};

}  // namespace

TEST_CASE_METHOD(mailbox_fixture, "mailbox, peer busy with a batch, queues the next one",
                 "[mailbox]") {
  Serve();
  from_.SetPeer("to", UrlOfPeer());
  Hold(2);  // never reached: a peer with unknown round trip gets one batch at a time
  Ask(1);
  REQUIRE(WaitFor([this] { return batches_.size() == 1; }));
  Ask(2);
  Ask(3);
  Hold(1);
  REQUIRE(WaitFor([this] { return batches_.size() == 2; }));
  CHECK(batches_[1] == 2);
}

// Guards against a batch that its receiver rejects for its size: all its messages would be lost.
TEST_CASE_METHOD(mailbox_fixture, "mailbox, many large messages, are sent in several batches",
                 "[mailbox]") {
  constexpr uint32_t kMessages = 100;
  Serve();
  from_.SetPeer("to", UrlOfPeer());
  place_message large;
  large.payload = std::string(30'000, 'x');
  for (uint32_t i = 0; i < kMessages; ++i) REQUIRE(from_.Send("to", large));
  from_.Flush();
  REQUIRE(WaitFor([this] {
    return std::accumulate(batches_.begin(), batches_.end(), size_t{0}) == kMessages;
  }));
  CHECK(lost_ == 0);
  const size_t largest = *std::max_element(batches_.begin(), batches_.end());
  CHECK(largest * large.payload.size() <= peer_mailbox::kMaxBatchBytes);
}

// With a round trip of 80 ms and one batch at a time, a message waits for the answers to earlier
// ones, and a caller sees 230 ms instead of 80.
TEST_CASE_METHOD(mailbox_fixture, "mailbox, peer far away, has many batches in flight",
                 "[mailbox]") {
  Serve();
  fault_proxy distance;
  const link_index link = distance.AddLink(port_);
  link_rule rule;
  rule.delay = milliseconds{10};
  distance.SetRule(link, rule);
  distance.Start();
  from_.SetPeer("to", absl::StrCat("http://127.0.0.1:", distance.PortOf(link)));
  Ask(0);
  REQUIRE(WaitFor([this] { return batches_.size() == 1; }));
  while (from_.RoundTrip("to") == milliseconds{0}) std::this_thread::sleep_for(milliseconds{1});
  CHECK(from_.RoundTrip("to") >= milliseconds{20});
  Hold(4);  // no answer before four have arrived
  for (uint32_t i = 1; i <= 4; ++i) {
    Ask(i);
    std::this_thread::sleep_for(milliseconds{1});
  }
  CHECK(WaitFor([this] { return most_waiting_ == 4; }));
  Hold(1);
  from_.Stop();
  distance.Stop();
}

// A kept connection went silent in the network: nothing sent on it arrives. The message must still
// be delivered, on a new connection.
TEST_CASE_METHOD(short_timeout_fixture, "mailbox, connection silent, delivers on a fresh one",
                 "[mailbox]") {
  Serve();
  fault_proxy proxy;
  const link_index link = proxy.AddLink(port_);
  proxy.Start();
  from_.SetPeer("to", absl::StrCat("http://127.0.0.1:", proxy.PortOf(link)));
  Ask(1);
  REQUIRE(WaitFor([this] { return batches_.size() == 1; }));
  // Until the first batch is answered, its own retry would be counted as the second.
  while (from_.RoundTrip("to") == milliseconds{0}) std::this_thread::sleep_for(milliseconds{1});
  proxy.BlackholeOpenConnections(link);
  Ask(2);
  CHECK(WaitFor([this] { return batches_.size() == 2; }));
  CHECK(lost_ == 0);
  from_.Stop();
  proxy.Stop();
}

TEST_CASE_METHOD(mailbox_fixture, "mailbox, no peer at the address, reports not sent",
                 "[mailbox]") {
  from_.SetPeer("to", "http://127.0.0.1:1");
  Ask(1);
  REQUIRE(WaitFor([this] { return lost_ == 1; }));
  CHECK(lost_status_ == transfer_status::kNotSent);
}

TEST_CASE_METHOD(short_timeout_fixture,
                 "mailbox, peer receives a batch and never answers, reports maybe sent",
                 "[mailbox]") {
  Serve();
  from_.SetPeer("to", UrlOfPeer());
  Hold(3);
  Ask(1);
  REQUIRE(WaitFor([this] { return lost_ == 1; }));
  CHECK(lost_status_ == transfer_status::kMaybeSent);
}

// The last message of a leaving owner tells its successor to take over at once. If it were dropped,
// the successor would wait until the lease expires.
TEST_CASE_METHOD(mailbox_fixture, "mailbox, stopped, delivers its queued messages first",
                 "[mailbox]") {
  Serve();
  from_.SetPeer("to", UrlOfPeer());
  REQUIRE(from_.Send("to", release_message{}));
  from_.Stop();
  CHECK(batches_ == std::vector<size_t>{1});
}

}  // namespace catkinford
