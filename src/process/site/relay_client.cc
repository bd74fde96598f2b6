#include "process/site/relay_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/site/http_status.h"
#include "process/site/relay_server.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Calls within this time leave together when no exchange is open.
constexpr milliseconds kFirstDelay{2};
// Calls wait this long for an open exchange to end before a second one is begun.
constexpr milliseconds kMaxWait{25};
constexpr size_t kMaxExchanges = 2;
// A relay answers within its longest hold; one that takes this much longer is cut off or dead.
constexpr milliseconds kAnswerMargin{300};
// A relay does not begin calls that reach it later.
constexpr milliseconds kMaxCallAge{400};
constexpr size_t kMaxExchangeBytes = size_t{192} << 10;
constexpr size_t kCallOverheadBytes = 200;
constexpr milliseconds kSweepInterval{250};
// Both ways and the holds of two exchanges.
constexpr milliseconds kResultMargin{1500};
constexpr int kFirstRefusal = 300;

}  // namespace

relay_client::relay_client(http_client& http, event_loop& loop, site_log& log)
    : http_(http), loop_(loop), log_(log) {}

void relay_client::Begin(uint64_t epoch) { epoch_ = epoch; }

void relay_client::End() {
  epoch_ = 0;
  enabled_ = false;
  for (auto& [name, each] : lanes_) each->lost = true;
  lanes_.clear();
  pending_.clear();
}

bool relay_client::TryTake(http_call& call, http_client::callback& done, monotonic_time now) {
  ++offered_;
  if (!enabled_ || epoch_ == 0) return false;
  const site_entry* relay = choice_.RelayFor(HostOf(call.url), now);
  if (relay == nullptr) return false;
  const uint64_t number = ++last_number_;
  const shared_lane through = LaneTo(*relay);
  const monotonic_time due = now + call.timeout + kResultMargin;
  pending_.emplace_hint(pending_.end(), number,
                        pending_call{through, std::move(call), std::move(done), due, false, false});
  Add(through, number);
  if (!std::exchange(sweep_scheduled_, true)) loop_.After(kSweepInterval, [this] { EndOverdue(); });
  return true;
}

relay_client::shared_lane relay_client::LaneTo(const site_entry& relay) {
  shared_lane& known = lanes_[relay.name];
  // A restarted entry has another address or nonce: what its earlier process had is lost with the
  // next exchange.
  if (known != nullptr && known->relay.address == relay.address) return known;
  known = std::make_shared<lane>();
  known->relay = relay;
  log_.Write(site_event::kRelayUsed, BootNow(),
             absl::StrCat("peer=", relay.name, " domain=", relay.failure_domain));
  return known;
}

void relay_client::Add(const shared_lane& to, uint64_t number) {
  to->unsent.push_back(number);
  ScheduleFlush(to, to->exchanges == 0 ? kFirstDelay : kMaxWait);
}

void relay_client::ScheduleFlush(const shared_lane& to, milliseconds delay) {
  if (std::exchange(to->flush_scheduled, true)) return;
  loop_.After(delay, [this, to] {
    to->flush_scheduled = false;
    Flush(to);
  });
}

void relay_client::Flush(const shared_lane& to) {
  if (to->lost) return;
  if (to->exchanges == 0) {
    if (!to->unsent.empty() || to->unanswered > 0) SendExchange(to);
    return;
  }
  if (to->unsent.empty() || to->exchanges >= kMaxExchanges) return;
  const monotonic_time now = BootNow();
  const auto since = now - to->last_exchange;
  if (since >= kMaxWait) return SendExchange(to);
  ScheduleFlush(to, std::chrono::ceil<milliseconds>(kMaxWait - since));
}

void relay_client::SendExchange(const shared_lane& to) {
  const monotonic_time now = BootNow();
  relayed_calls message;
  message.epoch = epoch_;
  // Without the relay's clock, calls cannot be limited in time: the first exchange only reads it.
  if (to->nonce != 0) {
    message.not_after_ms =
        to->clock_ms + duration_cast<milliseconds>(now - to->clock_at + kMaxCallAge).count();
    size_t bytes = 0;
    size_t taken = 0;
    for (; taken < to->unsent.size() && bytes < kMaxExchangeBytes; ++taken) {
      const auto found = pending_.find(to->unsent[taken]);
      if (found == pending_.end()) continue;
      pending_call& each = found->second;
      each.sent = true;
      ++to->unanswered;
      bytes += each.call.body.size() + kCallOverheadBytes;
      message.calls.push_back({found->first, each.call});
    }
    to->unsent.erase(to->unsent.begin(), to->unsent.begin() + static_cast<std::ptrdiff_t>(taken));
  }
  ++to->exchanges;
  to->last_exchange = now;
  http_call call;
  call.method = "POST";
  call.url = absl::StrCat("http://", to->relay.address, kPeerCallsPath);
  call.body = RelayedCallsToBytes(message);
  call.timeout = relay_server::kMaxHold + kAnswerMargin;
  http_.Send(std::move(call), [this, to, now](http_result result) {
    loop_.Post([this, to, now, result = std::move(result)] { OnExchanged(to, now, result); });
  });
}

void relay_client::OnExchanged(const shared_lane& with, monotonic_time sent,
                               const http_result& result) {
  if (with->lost) return;
  --with->exchanges;
  const bool good = result.status == transfer_status::kDone && result.code == http_status::kOk;
  auto results = good ? RelayedResultsFromBytes(result.body) : std::nullopt;
  const bool restarted = results && with->nonce != 0 && results->nonce != with->nonce;
  if (!results || restarted) return OnLost(with, result);
  with->nonce = results->nonce;
  with->clock_ms = results->clock_ms;
  with->clock_at = sent;
  ApplyResults(*with, *results);
  Flush(with);
}

void relay_client::ApplyResults(lane& from, relayed_results& results) {
  for (relayed_result& each : results.results) {
    const auto found = pending_.find(each.number);
    if (found == pending_.end() || found->second.through.get() != &from) continue;
    --from.unanswered;
    const bool refused =
        each.result.status == transfer_status::kDone && each.result.code >= kFirstRefusal;
    const bool not_sent = each.result.status == transfer_status::kNotSent;
    if (found->second.repeated && (refused || not_sent)) {
      each.result.status = transfer_status::kMaybeSent;
    }
    Complete(each.number, std::move(each.result));
  }
}

void relay_client::Complete(uint64_t number, http_result result) {
  const auto node = pending_.extract(number);
  if (!node.empty()) node.mapped().done(std::move(result));
}

void relay_client::OnLost(const shared_lane& gone, const http_result& result) {
  const monotonic_time now = BootNow();
  gone->lost = true;
  choice_.OnFailure(gone->relay.name, now);
  const auto known = lanes_.find(gone->relay.name);
  if (known != lanes_.end() && known->second == gone) lanes_.erase(known);
  std::vector<uint64_t> calls;
  for (const auto& [number, each] : pending_) {
    if (each.through == gone) calls.push_back(number);
  }
  log_.Write(site_event::kRelayLost, now,
             absl::StrCat("peer=", gone->relay.name, " domain=", gone->relay.failure_domain,
                          " calls=", calls.size(), " answered=",
                          result.status == transfer_status::kDone, " status=", result.code));
  for (const uint64_t number : calls) Repeat(number);
}

// Its relay is lost. Whether it had begun the call is not known.
void relay_client::Repeat(uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) return;
  pending_call& each = found->second;
  const bool begun = each.sent || each.repeated;
  const site_entry* relay = choice_.RelayFor(HostOf(each.call.url), BootNow());
  if (relay == nullptr || (each.sent && each.repeated)) {
    http_result lost;
    lost.status = begun ? transfer_status::kMaybeSent : transfer_status::kNotSent;
    return Complete(number, std::move(lost));
  }
  each.repeated = begun;
  each.sent = false;
  each.through = LaneTo(*relay);
  Add(each.through, number);
}

void relay_client::EndOverdue() {
  sweep_scheduled_ = false;
  const monotonic_time now = BootNow();
  std::vector<uint64_t> overdue;
  for (const auto& [number, each] : pending_) {
    if (each.due <= now) overdue.push_back(number);
  }
  for (const uint64_t number : overdue) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) continue;
    const pending_call& each = found->second;
    if (each.sent) --each.through->unanswered;
    http_result unanswered;
    unanswered.status = transfer_status::kMaybeSent;
    Complete(number, std::move(unanswered));
  }
  if (pending_.empty() || std::exchange(sweep_scheduled_, true)) return;
  loop_.After(kSweepInterval, [this] { EndOverdue(); });
}

}  // namespace catkinford
