#include "process/site/relay_server.h"

#include <algorithm>
#include <utility>

#include "process/site/http_status.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Results within this time are returned together.
constexpr milliseconds kMinHold{15};
// Without an exchange for this time, the connections to instances are closed: each instance serves
// a limited number.
constexpr milliseconds kUnusedTime{5000};

int64_t ClockMs(monotonic_time now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
}

}  // namespace

relay_server::relay_server(http_client& calls, event_loop& loop, uint64_t nonce,
                           std::function<uint64_t()> epoch)
    : calls_(calls), loop_(loop), nonce_(nonce), epoch_(std::move(epoch)) {}

void relay_server::Exchange(const std::string& bytes, responder respond, monotonic_time now) {
  auto message = RelayedCallsFromBytes(bytes);
  if (!message) return respond({.status = http_status::kBadRequest});
  const bool outdated =
      message->epoch < epoch_() || (session_ != nullptr && message->epoch < session_->epoch);
  if (outdated) return respond({.status = http_status::kConflict});
  if (session_ == nullptr || message->epoch > session_->epoch) {
    if (session_ != nullptr) Answer(*session_);
    session_ = std::make_shared<session>();
    session_->epoch = message->epoch;
  }
  ++exchanges_;
  const std::shared_ptr<session> current = session_;
  if (current->held) Answer(*current);
  Begin(current, *message, now);
  current->held = std::move(respond);
  const uint64_t exchange = ++current->exchange;
  bool idle = false;
  {
    const std::lock_guard lock(current->mutex);
    idle = current->in_flight == 0 && current->results.empty();
    current->wants_result = false;
  }
  if (idle) return Answer(*current);
  loop_.After(kMinHold, [this, current, exchange] { AnswerSoon(*current, exchange); });
  loop_.After(kMaxHold, [this, current, exchange] {
    if (current->exchange == exchange) Answer(*current);
  });
  if (!std::exchange(close_check_scheduled_, true)) {
    loop_.After(kUnusedTime, [this, seen = exchanges_] { CloseIfUnused(seen); });
  }
}

void relay_server::Begin(const std::shared_ptr<session>& of, relayed_calls& message,
                         monotonic_time now) {
  const bool late = ClockMs(now) > message.not_after_ms;
  {
    const std::lock_guard lock(of->mutex);
    of->in_flight += message.calls.size();
  }
  for (relayed_call& each : message.calls) {
    if (late) {
      OnResult(of, each.number, {});
      continue;
    }
    calls_.Send(std::move(each.call), [this, of, number = each.number](http_result result) {
      OnResult(of, number, std::move(result));
    });
  }
}

void relay_server::OnResult(const std::shared_ptr<session>& of, uint64_t number,
                            http_result result) {
  bool answer = false;
  {
    const std::lock_guard lock(of->mutex);
    --of->in_flight;
    of->results.push_back({number, std::move(result)});
    answer = std::exchange(of->wants_result, false);
  }
  if (answer) loop_.Post([this, of] { Answer(*of); });
}

void relay_server::AnswerSoon(session& of, uint64_t exchange) {
  if (of.exchange != exchange || !of.held) return;
  {
    const std::lock_guard lock(of.mutex);
    if (of.results.empty()) {
      of.wants_result = true;
      return;
    }
  }
  Answer(of);
}

void relay_server::Answer(session& of) {
  if (!of.held) return;
  relayed_results out;
  out.nonce = nonce_;
  out.clock_ms = ClockMs(BootNow());
  {
    const std::lock_guard lock(of.mutex);
    out.results = std::exchange(of.results, {});
    of.wants_result = false;
  }
  std::exchange(of.held, nullptr)(
      {.body = RelayedResultsToBytes(std::move(out)), .content_type = "application/msgpack"});
}

void relay_server::CloseIfUnused(uint64_t exchanges) {
  if (exchanges_ != exchanges) {
    loop_.After(kUnusedTime, [this, seen = exchanges_] { CloseIfUnused(seen); });
    return;
  }
  close_check_scheduled_ = false;
  calls_.CloseIdleConnections();
}

}  // namespace catkinford
