#include "process/peer_mailbox.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace catkinford {
namespace {

using std::chrono::microseconds;
using std::chrono::steady_clock;

constexpr size_t kMaxQueued = 8192;  // messages queued for one peer
constexpr size_t kMaxBatchSize = 1000;
// With a long round trip, a batch leaves this often, so a message waits about half of this time.
// Measured in docs/design/021-peers-far-away.md.
constexpr microseconds kRoundTripPerBatch{2000};
constexpr size_t kMaxBatchesInFlight = 32;  // to one peer
constexpr int kRoundTripWeight = 8;         // weight of the history against the last call

constexpr char kAccepted[] = "ok";  // the reply of a call that returns no messages
constexpr char kRejected[] = "refused";

bool WantsReply(const peer_message& message) {
  const auto* heartbeat = std::get_if<heartbeat_message>(&message.body);
  return heartbeat != nullptr && heartbeat->wants_reply;
}

}  // namespace

peer_mailbox::peer_mailbox(std::string own_name, http_server_options listen,
                           std::chrono::milliseconds call_timeout, peer_auth& auth,
                           on_messages received, on_failure failed, reply_maker reply)
    : own_name_(std::move(own_name)),
      call_timeout_(call_timeout),
      auth_(auth),
      received_(std::move(received)),
      failed_(std::move(failed)),
      reply_(std::move(reply)),
      server_(std::move(listen), [this](const std::string& text) { return Receive(text); }),
      client_(kMaxBatchesInFlight) {}

peer_mailbox::~peer_mailbox() { Stop(); }

bool peer_mailbox::Start() {
  client_.Start();
  return server_.Start();
}

void peer_mailbox::Stop() {
  Flush();
  {
    std::unique_lock lock(mutex_);
    idle_.wait_for(lock, 2 * call_timeout_, [this] { return in_flight_ == 0; });
  }
  client_.Stop();
  server_.Stop();
}

std::string peer_mailbox::Receive(const std::string& text) {
  counters_.bytes_received += text.size();
  const std::optional<std::string> batch = auth_.Verify(own_name_, text);
  if (!batch) return kRejected;
  std::vector<peer_message> messages = DecodeBatch(*batch);
  const bool wants_reply = std::any_of(messages.begin(), messages.end(), WantsReply);
  const std::string from = messages.empty() ? std::string() : messages.front().from;
  received_(std::move(messages));
  std::optional<heartbeat_message> reply;
  if (wants_reply) reply = reply_();
  if (!reply) return kAccepted;
  std::string answer = auth_.Sign(from, EncodeBatch(own_name_, {*std::move(reply)}));
  counters_.bytes_sent += answer.size();
  return answer;
}

void peer_mailbox::ApplyAnswer(const std::string& answer) {
  if (answer == kAccepted) return;
  counters_.bytes_received += answer.size();
  const std::optional<std::string> batch = auth_.Verify(own_name_, answer);
  if (batch) received_(DecodeBatch(*batch));
}

void peer_mailbox::SetPeer(const std::string& name, const std::string& address) {
  const std::lock_guard lock(mutex_);
  peer_ptr& to = peers_[name];
  if (to != nullptr && to->address == address) return;
  auto added = std::make_shared<peer>();
  added->address = address;
  // The process at the old address is gone or will be: queued messages go to the new one.
  if (to != nullptr) added->queued = std::move(to->queued);
  to = std::move(added);
}

// Queued messages are dropped: whoever waits for an outcome sends again to another owner.
void peer_mailbox::RemovePeer(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(name);
  if (found == peers_.end()) return;
  found->second->queued.clear();
  peers_.erase(found);
}

bool peer_mailbox::Send(const std::string& name, message_body message) {
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(name);
  if (found == peers_.end()) return false;
  std::vector<message_body>& queued = found->second->queued;
  if (queued.size() >= kMaxQueued) return false;
  queued.push_back(std::move(message));
  return true;
}

void peer_mailbox::Flush() {
  std::vector<delivery_ptr> ready;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, to] : peers_) {
      if (delivery_ptr next = NextBatch(name, to)) ready.push_back(std::move(next));
    }
  }
  for (const delivery_ptr& next : ready) Deliver(next);
}

microseconds peer_mailbox::RoundTrip(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(name);
  return found == peers_.end() ? microseconds{0} : found->second->round_trip;
}

size_t peer_mailbox::MaxInFlight(const peer& to) {
  return std::clamp<size_t>(static_cast<size_t>(to.round_trip / kRoundTripPerBatch), 1,
                            kMaxBatchesInFlight);
}

peer_mailbox::delivery_ptr peer_mailbox::NextBatch(const std::string& name, const peer_ptr& to) {
  if (to->queued.empty() || to->in_flight >= MaxInFlight(*to)) return nullptr;
  auto next = std::make_shared<delivery>();
  next->name = name;
  next->to = to;
  std::vector<message_body>& queued = to->queued;
  if (queued.size() <= kMaxBatchSize) {
    next->batch = std::exchange(queued, {});
  } else {
    const auto middle = queued.begin() + kMaxBatchSize;
    next->batch.assign(std::make_move_iterator(queued.begin()), std::make_move_iterator(middle));
    queued.erase(queued.begin(), middle);
  }
  ++to->in_flight;
  ++in_flight_;
  return next;
}

// Puts the second half of the batch back to the front of the queue.
void peer_mailbox::Requeue(delivery& next) {
  const auto middle = next.batch.begin() + static_cast<ptrdiff_t>(next.batch.size() / 2);
  const std::lock_guard lock(mutex_);
  std::vector<message_body>& queued = next.to->queued;
  queued.insert(queued.begin(), std::make_move_iterator(middle),
                std::make_move_iterator(next.batch.end()));
  next.batch.erase(middle, next.batch.end());
}

void peer_mailbox::Deliver(const delivery_ptr& next) {
  std::string text = EncodeBatch(own_name_, next->batch);
  while (text.size() > kMaxBatchBytes && next->batch.size() > 1) {
    Requeue(*next);
    text = EncodeBatch(own_name_, next->batch);
  }
  next->text = auth_.Sign(next->name, text);
  ++counters_.batches_sent;
  counters_.messages_sent += next->batch.size();
  Try(next);
}

// Tries once on a kept connection and once on a new one: a connection can go silent permanently
// while new ones work.
void peer_mailbox::Try(const delivery_ptr& next) {
  counters_.bytes_sent += next->text.size();
  next->begun = steady_clock::now();
  http_call call{"POST", next->to->address, EncodeRpcRequest("deliver", next->text)};
  call.timeout = call_timeout_;
  call.stall_timeout = call_timeout_;
  call.fresh_connection = next->is_retry;
  client_.Send(std::move(call),
               [this, next](const http_result& result) { OnResult(next, result); });
}

void peer_mailbox::OnResult(const delivery_ptr& done, const http_result& result) {
  std::string answer;
  const bool read =
      result.status == transfer_status::kDone && DecodeRpcResponse(result.body, answer);
  const bool answered = read && answer != kRejected;
  // Rejected for its signature: nothing was processed.
  const transfer_status status = read && !answered ? transfer_status::kNotSent : result.status;
  if (answered) ApplyAnswer(answer);
  if (answered || done->is_retry) {
    const bool not_sent =
        done->first == transfer_status::kNotSent && status == transfer_status::kNotSent;
    if (!answered) {
      failed_(done->name, not_sent ? transfer_status::kNotSent : transfer_status::kMaybeSent,
              std::move(done->batch));
    }
    OnDone(done, answered);
    return;
  }
  done->first = status;
  done->is_retry = true;
  Try(done);
}

void peer_mailbox::OnDone(const delivery_ptr& done, bool answered) {
  delivery_ptr next;
  {
    const std::lock_guard lock(mutex_);
    peer& to = *done->to;
    --to.in_flight;
    if (answered) {
      const auto elapsed =
          std::chrono::duration_cast<microseconds>(steady_clock::now() - done->begun);
      const bool first = to.round_trip == microseconds{0};
      to.round_trip += first ? elapsed : (elapsed - to.round_trip) / kRoundTripWeight;
    }
    next = NextBatch(done->name, done->to);
    if (--in_flight_ == 0) idle_.notify_all();
  }
  if (next != nullptr) Deliver(next);
}

}  // namespace catkinford
