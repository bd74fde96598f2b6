#include "connection/connection_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Three eighths of the limit for what connections hold, as much for requests received whole.
class connection_budget_fixture {
 protected:
  static constexpr size_t kLimit = 8000;
  static constexpr size_t kPart = 3000;
  static constexpr size_t kConnections = 4;

  connection_budget::connection_id Receiving(int socket) {
    REQUIRE(budget_->Admit(listener_, now_));
    const auto id = budget_->Open(listener_, socket, now_);
    budget_->Enter(id, connection_phase::kReceiving, now_);
    return id;
  }

  std::vector<int> closed_;
  std::shared_ptr<connection_budget> budget_ = std::make_shared<connection_budget>(
      budget_options{kLimit, seconds(30)}, [this](int socket) { closed_.push_back(socket); });
  connection_budget::listener_id listener_ = budget_->AddListener(kConnections);
  connection_budget::listener_id other_listener_ = budget_->AddListener(kConnections);
  monotonic_time now_{seconds(1000)};
};

}  // namespace

// Guards against a new client that pays for what an old one holds.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget, short of bytes, closes who holds most for longest",
                 "[budget]") {
  const auto old_and_large = Receiving(1);
  REQUIRE(budget_->Hold(old_and_large, 1500, now_));
  now_ += seconds(5);
  const auto young_and_large = Receiving(2);
  REQUIRE(budget_->Hold(young_and_large, 1400, now_));
  const auto small = Receiving(3);
  now_ += milliseconds(10);
  CHECK(budget_->Hold(small, 200, now_));
  CHECK(closed_ == std::vector<int>{1});
  CHECK_FALSE(budget_->Hold(old_and_large, 1501, now_));
  CHECK(budget_->Hold(young_and_large, 1450, now_));
  CHECK(budget_->Counts().closed_for_room == 1);
}

TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget, the largest asks for more, is closed itself", "[budget]") {
  const auto small = Receiving(1);
  REQUIRE(budget_->Hold(small, 100, now_));
  const auto large = Receiving(2);
  REQUIRE(budget_->Hold(large, 2800, now_));
  now_ += seconds(1);
  CHECK_FALSE(budget_->Hold(large, 3000, now_));
  CHECK(closed_ == std::vector<int>{2});
  CHECK(budget_->Hold(small, 200, now_));
}

// Guards against bytes that count as free before they are.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget, many closed and not yet gone, exceeds no limit", "[budget]") {
  size_t most = 0;
  for (int socket = 0; socket < 50; ++socket) {
    const auto listener = budget_->AddListener(1);
    const auto id = budget_->Open(listener, socket, now_);
    budget_->Enter(id, connection_phase::kReceiving, now_);
    now_ += milliseconds(100);
    budget_->Hold(id, kPart, now_);
    most = std::max(most, budget_->Counts().bytes);
  }
  CHECK(most <= kLimit);
  CHECK(budget_->Counts().rejected > 0);
}

TEST_CASE_METHOD(connection_budget_fixture, "connection budget, all is given back, is empty",
                 "[budget]") {
  const auto receiving = Receiving(1);
  REQUIRE(budget_->Hold(receiving, 500, now_));
  const auto waiting = Receiving(2);
  REQUIRE(budget_->Hold(waiting, 400, now_));
  std::optional<request_memory> request = budget_->Take(waiting);
  budget_->Enter(waiting, connection_phase::kWaiting, now_);
  REQUIRE(request);
  std::optional<request_memory> parsed = request->Reserve(300);
  REQUIRE(parsed);
  CHECK(budget_->Counts().bytes == 1200);
  budget_->BeginAnswer(waiting, 50, now_);
  CHECK(budget_->Counts().bytes == 1250);
  // A closed connection's request is still at work.
  budget_->Closed(waiting);
  CHECK(budget_->Counts().bytes == 1200);
  request_memory copy = *request;
  request.reset();
  parsed.reset();
  CHECK(budget_->Counts().bytes == 900);
  copy = request_memory();
  budget_->Closed(receiving);
  CHECK(budget_->Counts().bytes == 0);
}

// Guards against a few large requests that take long and keep all small ones out.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget, large requests hold their part, takes small ones",
                 "[budget]") {
  const std::optional<request_memory> large = budget_->Reserve(2250);
  REQUIRE(large);
  CHECK_FALSE(budget_->Reserve(500));
  std::vector<request_memory> small;
  while (const auto next = budget_->Reserve(40)) small.push_back(*next);
  CHECK(small.size() == (kPart - 2250) / 40);
}

// Guards against a request that was taken in and then gets no answer for the sake of another one.
TEST_CASE_METHOD(connection_budget_fixture, "connection budget, short of bytes, spares the waiting",
                 "[budget]") {
  const auto waiting = Receiving(1);
  REQUIRE(budget_->Hold(waiting, 2000, now_));
  const std::optional<request_memory> request = budget_->Take(waiting);
  REQUIRE(request);
  budget_->Enter(waiting, connection_phase::kWaiting, now_);
  now_ += seconds(60);
  const auto large = Receiving(2);
  CHECK(budget_->Hold(large, kPart, now_));
  CHECK_FALSE(budget_->Hold(large, kPart + 1, now_));
  CHECK(closed_ == std::vector<int>{2});
}

// Guards against whole requests that leave no room for others to arrive.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget, requests hold their part, takes no more", "[budget]") {
  const auto first = Receiving(1);
  REQUIRE(budget_->Hold(first, 2000, now_));
  const std::optional<request_memory> request = budget_->Take(first);
  REQUIRE(request);
  CHECK_FALSE(request->Reserve(251));
  CHECK(request->Reserve(250));
  const auto second = Receiving(2);
  REQUIRE(budget_->Hold(second, 2500, now_));
  CHECK_FALSE(budget_->Take(second));
  CHECK(closed_.empty());
}

TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget, listener at its limit, closes its oldest for the next",
                 "[budget]") {
  for (int socket = 0; socket + 1 < static_cast<int>(kConnections); ++socket) {
    REQUIRE(budget_->Admit(listener_, now_));
    budget_->Open(listener_, socket, now_);
    now_ += milliseconds(10);
  }
  CHECK(budget_->Admit(other_listener_, now_));
  CHECK(closed_.empty());
  CHECK(budget_->Admit(listener_, now_));
  CHECK(closed_ == std::vector<int>{0});
}

TEST_CASE_METHOD(connection_budget_fixture, "connection budget, all wait for answers, rejects",
                 "[budget]") {
  std::vector<connection_budget::connection_id> open;
  for (int socket = 0; socket < static_cast<int>(kConnections); ++socket) {
    open.push_back(Receiving(socket));
    budget_->Enter(open.back(), connection_phase::kWaiting, now_);
  }
  CHECK_FALSE(budget_->Admit(listener_, now_));
  budget_->BeginAnswer(open[2], 10, now_);
  CHECK_FALSE(budget_->Admit(listener_, now_));
  CHECK(closed_ == std::vector<int>{2});
  budget_->Closed(open[2]);
  CHECK(budget_->Admit(listener_, now_));
}

// Guards against a listener that stays full of idle connections once all of them have waited.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget, all waited and one is idle again, closes it for the next",
                 "[budget]") {
  std::vector<connection_budget::connection_id> open;
  for (int socket = 0; socket < static_cast<int>(kConnections); ++socket) {
    open.push_back(Receiving(socket));
    budget_->Enter(open.back(), connection_phase::kWaiting, now_);
  }
  budget_->BeginAnswer(open[2], 10, now_);
  CHECK(closed_.empty());
  budget_->Enter(open[2], connection_phase::kIdle, now_);
  CHECK(closed_ == std::vector<int>{2});
  budget_->Enter(open[1], connection_phase::kIdle, now_);
  CHECK(closed_ == std::vector<int>{2});
}

// Guards against descriptors that count as free before they are closed.
TEST_CASE_METHOD(connection_budget_fixture,
                 "connection budget, many connections closed and not yet gone, rejects",
                 "[budget]") {
  size_t open = 0;
  for (int socket = 0; socket < 50; ++socket) {
    if (!budget_->Admit(listener_, now_)) continue;
    budget_->Open(listener_, socket, now_);
    ++open;
  }
  CHECK(open == kConnections);
  CHECK(closed_.size() < kConnections);
}

// Guards against a client that sends, or reads, a byte now and then for good.
TEST_CASE_METHOD(connection_budget_fixture, "connection budget, phase takes too long, is closed",
                 "[budget]") {
  const auto sending = Receiving(1);
  const auto waiting = Receiving(2);
  budget_->Enter(waiting, connection_phase::kWaiting, now_);
  const auto reading = Receiving(3);
  budget_->BeginAnswer(reading, 10, now_);
  now_ += seconds(31);
  budget_->Enter(budget_->Open(other_listener_, 4, now_), connection_phase::kReceiving, now_);
  std::sort(closed_.begin(), closed_.end());
  CHECK(closed_ == std::vector<int>{1, 3});
  CHECK_FALSE(budget_->Hold(sending, 10, now_));
  CHECK(budget_->Counts().closed_late == 2);
}

// Guards against late connections that fill a listener, so that no new one shows that they are
// late.
TEST_CASE_METHOD(connection_budget_fixture, "connection budget, nothing new comes, closes the late",
                 "[budget]") {
  const auto reading = Receiving(1);
  budget_->BeginAnswer(reading, 10, now_);
  budget_->Update(now_ + seconds(30));
  CHECK(closed_.empty());
  budget_->Update(now_ + seconds(32));
  CHECK(closed_ == std::vector<int>{1});
}

// Guards against an answer that is withheld because of its size.
TEST_CASE_METHOD(connection_budget_fixture, "connection budget, large answer, is sent",
                 "[budget]") {
  const auto holding = Receiving(1);
  REQUIRE(budget_->Hold(holding, 2000, now_));
  const auto answered = Receiving(2);
  budget_->Enter(answered, connection_phase::kWaiting, now_);
  budget_->BeginAnswer(answered, 2 * kLimit, now_);
  CHECK(closed_ == std::vector<int>{1});
  budget_->Closed(answered);
  budget_->Closed(holding);
  CHECK(budget_->Counts().bytes == 0);
}

TEST_CASE("listener shares, few descriptors or little memory, leave a part to the process",
          "[budget]") {
  for (const size_t descriptors : {64, 256, 4096, 20000}) {
    const listener_shares few = SharesOf(descriptors, size_t{1} << 40);
    CHECK(few.callers + few.peers + few.readiness + few.metrics <= descriptors / 4 * 3);
    CHECK(few.metrics > 0);
  }
  const listener_shares little = SharesOf(1 << 20, size_t{256} << 20);
  CHECK((little.callers + little.peers + little.readiness + little.metrics) * (34 << 10) <=
        size_t{64} << 20);
}

}  // namespace catkinford
