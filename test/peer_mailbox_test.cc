// The mailbox between entries, over real calls on this machine.
#include "process/peer_mailbox.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
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

constexpr milliseconds kPatience{20000};  // of a test that waits for what has to come
constexpr milliseconds kCallTimeout{10000};
constexpr milliseconds kShortTimeout{1000};  // where a call is meant to time out

// The mailbox of one entry, and a peer that can hold back its answers.
class mailbox_fixture {
 protected:
  explicit mailbox_fixture(milliseconds call_timeout = kCallTimeout)
      : from_(
            "from", 0, call_timeout, auth_, [](const std::vector<peer_message>&) {},
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

  // A peer that answers once `held_` batches wait in it at the same time. Our own server, since its
  // answers may come later: libjsonrpccpp's may have two connections on one thread, and the second
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
    REQUIRE(from_.Send("to", ask_owner_message{number}));
    from_.Flush();
  }
  template <typename Condition>
  bool WaitFor(Condition condition) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kPatience, condition);
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
  std::vector<size_t> batches_;  // messages in each, as they came
  size_t lost_ = 0;
  std::optional<transfer_status> lost_status_;
  std::unique_ptr<http_server> server_;
  peer_auth auth_;
  peer_mailbox from_;
};

class impatient_mailbox_fixture : public mailbox_fixture {
 protected:
  impatient_mailbox_fixture() : mailbox_fixture(kShortTimeout) {}
};

}  // namespace

TEST_CASE_METHOD(mailbox_fixture, "mailbox, peer busy with a batch, gathers the next one",
                 "[mailbox]") {
  Serve();
  from_.SetPeer("to", UrlOfPeer());
  Hold(2);  // never reached: one batch at a time goes to a peer whose distance is unknown
  Ask(1);
  REQUIRE(WaitFor([this] { return batches_.size() == 1; }));
  Ask(2);
  Ask(3);
  Hold(1);
  REQUIRE(WaitFor([this] { return batches_.size() == 2; }));
  CHECK(batches_[1] == 2);
}

// Two regions are 80 ms from each other and back. With one batch at a time a message waits for the
// answers to those before it, and a caller sees 230 ms where the way there and back takes 80.
TEST_CASE_METHOD(mailbox_fixture, "mailbox, peer far away, has many batches under way",
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
  Hold(4);  // none is answered until four are there
  for (uint32_t i = 1; i <= 4; ++i) {
    Ask(i);
    std::this_thread::sleep_for(milliseconds{1});
  }
  CHECK(WaitFor([this] { return most_waiting_ == 4; }));
  Hold(1);
  from_.Stop();
  distance.Stop();
}

// Something between the two ends has lost track of the connection: what is sent on it never
// arrives. The message has to come through all the same, on a new connection.
TEST_CASE_METHOD(impatient_mailbox_fixture, "mailbox, connection silent, delivers on a fresh one",
                 "[mailbox]") {
  Serve();
  fault_proxy proxy;
  const link_index link = proxy.AddLink(port_);
  proxy.Start();
  from_.SetPeer("to", absl::StrCat("http://127.0.0.1:", proxy.PortOf(link)));
  Ask(1);
  REQUIRE(WaitFor([this] { return batches_.size() == 1; }));
  proxy.BlackholeOpenConnections(link);
  Ask(2);
  CHECK(WaitFor([this] { return batches_.size() == 2; }));
  CHECK(lost_ == 0);
  from_.Stop();
  proxy.Stop();
}

TEST_CASE_METHOD(mailbox_fixture, "mailbox, nobody at the address, tells that nothing was sent",
                 "[mailbox]") {
  from_.SetPeer("to", "http://127.0.0.1:1");
  Ask(1);
  REQUIRE(WaitFor([this] { return lost_ == 1; }));
  CHECK(lost_status_ == transfer_status::kNotSent);
}

TEST_CASE_METHOD(impatient_mailbox_fixture,
                 "mailbox, peer takes a batch and never answers, may have sent it", "[mailbox]") {
  Serve();
  from_.SetPeer("to", UrlOfPeer());
  Hold(3);
  Ask(1);
  REQUIRE(WaitFor([this] { return lost_ == 1; }));
  CHECK(lost_status_ == transfer_status::kMaybeSent);
}

// The last word of a leaving owner is that its heir may take over at once. Were it dropped, the
// heir would wait until the lease lapses.
TEST_CASE_METHOD(mailbox_fixture, "mailbox, stopped, delivers what had gathered first",
                 "[mailbox]") {
  Serve();
  from_.SetPeer("to", UrlOfPeer());
  REQUIRE(from_.Send("to", release_message{}));
  from_.Stop();
  CHECK(batches_ == std::vector<size_t>{1});
}

}  // namespace catkinford
