#include "process/peer_mailbox.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace catkinford {
namespace {

using std::chrono::microseconds;
using std::chrono::steady_clock;

constexpr size_t kGatheredLimit = 8192;  // messages that wait for one peer
constexpr int kServerThreads = 4;
constexpr size_t kLargestBatch = 1000;
// A batch leaves this often where the round trip is long, so that a message waits about half as
// long for its turn. Measured in docs/design/021-peers-far-away.md.
constexpr microseconds kBatchStep{2000};
constexpr size_t kMostBatches = 32;  // under way to one peer
constexpr int kRoundTripWeight = 8;  // of the past against the last call

constexpr char kTaken[] = "ok";  // the answer of a call that has no other
constexpr char kRefused[] = "refused";

bool WantsReply(const peer_message& message) {
  const auto* beat = std::get_if<heartbeat_message>(&message.body);
  return beat != nullptr && beat->wants_reply;
}

}  // namespace

peer_mailbox::peer_mailbox(std::string own_name, int port, std::chrono::milliseconds call_timeout,
                           peer_auth& auth, on_messages received, on_failure failed,
                           reply_maker reply)
    : own_name_(std::move(own_name)),
      call_timeout_(call_timeout),
      auth_(auth),
      received_(std::move(received)),
      failed_(std::move(failed)),
      reply_(std::move(reply)),
      server_(port, kServerThreads, [this](const std::string& text) { return Receive(text); }),
      client_(kMostBatches) {}

peer_mailbox::~peer_mailbox() { Stop(); }

bool peer_mailbox::Start() {
  client_.Start();
  return server_.Start();
}

void peer_mailbox::Stop() {
  Flush();
  {
    std::unique_lock lock(mutex_);
    idle_.wait_for(lock, 2 * call_timeout_, [this] { return under_way_ == 0; });
  }
  client_.Stop();
  server_.Stop();
}

std::string peer_mailbox::Receive(const std::string& text) {
  counters_.bytes_received += text.size();
  const std::optional<std::string> batch = auth_.Verify(own_name_, text);
  if (!batch) return kRefused;
  std::vector<peer_message> messages = DecodeBatch(*batch);
  const bool wants_reply = std::any_of(messages.begin(), messages.end(), WantsReply);
  const std::string from = messages.empty() ? std::string() : messages.front().from;
  received_(std::move(messages));
  std::optional<heartbeat_message> reply;
  if (wants_reply) reply = reply_();
  if (!reply) return kTaken;
  std::string answer = auth_.Sign(from, EncodeBatch(own_name_, {*std::move(reply)}));
  counters_.bytes_sent += answer.size();
  return answer;
}

void peer_mailbox::TakeAnswer(const std::string& answer) {
  if (answer == kTaken) return;
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
  // The process at the old address is gone, or will be: what waits goes to the new one.
  if (to != nullptr) added->gathered = std::move(to->gathered);
  to = std::move(added);
}

// What has gathered is dropped: whoever waits for an outcome sends again to another owner.
void peer_mailbox::RemovePeer(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(name);
  if (found == peers_.end()) return;
  found->second->gathered.clear();
  peers_.erase(found);
}

bool peer_mailbox::Send(const std::string& name, message_body message) {
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(name);
  if (found == peers_.end()) return false;
  std::vector<message_body>& gathered = found->second->gathered;
  if (gathered.size() >= kGatheredLimit) return false;
  gathered.push_back(std::move(message));
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

size_t peer_mailbox::MostUnderWay(const peer& to) {
  return std::clamp<size_t>(static_cast<size_t>(to.round_trip / kBatchStep), 1, kMostBatches);
}

peer_mailbox::delivery_ptr peer_mailbox::NextBatch(const std::string& name, const peer_ptr& to) {
  if (to->gathered.empty() || to->under_way >= MostUnderWay(*to)) return nullptr;
  auto next = std::make_shared<delivery>();
  next->name = name;
  next->to = to;
  std::vector<message_body>& gathered = to->gathered;
  if (gathered.size() <= kLargestBatch) {
    next->batch = std::exchange(gathered, {});
  } else {
    const auto middle = gathered.begin() + kLargestBatch;
    next->batch.assign(std::make_move_iterator(gathered.begin()), std::make_move_iterator(middle));
    gathered.erase(gathered.begin(), middle);
  }
  ++to->under_way;
  ++under_way_;
  return next;
}

void peer_mailbox::Deliver(const delivery_ptr& next) {
  next->text = auth_.Sign(next->name, EncodeBatch(own_name_, next->batch));
  ++counters_.batches_sent;
  counters_.messages_sent += next->batch.size();
  Try(next);
}

// Tries once on a kept connection and once on a fresh one: a connection can go silent for good
// while new ones work.
void peer_mailbox::Try(const delivery_ptr& next) {
  counters_.bytes_sent += next->text.size();
  next->begun = steady_clock::now();
  http_call call{"POST", next->to->address, EncodeRpcRequest("deliver", next->text)};
  call.timeout = call_timeout_;
  call.stall_timeout = call_timeout_;
  call.fresh_connection = next->again;
  client_.Send(std::move(call),
               [this, next](const http_result& result) { OnResult(next, result); });
}

void peer_mailbox::OnResult(const delivery_ptr& done, const http_result& result) {
  std::string answer;
  const bool read =
      result.status == transfer_status::kDone && DecodeRpcResponse(result.body, answer);
  const bool answered = read && answer != kRefused;
  // Refused for its signature: none of it was taken.
  const transfer_status status = read && !answered ? transfer_status::kNotSent : result.status;
  if (answered) TakeAnswer(answer);
  if (answered || done->again) {
    const bool surely_not =
        done->first == transfer_status::kNotSent && status == transfer_status::kNotSent;
    if (!answered) {
      failed_(done->name, surely_not ? transfer_status::kNotSent : transfer_status::kMaybeSent,
              std::move(done->batch));
    }
    OnDone(done, answered);
    return;
  }
  done->first = status;
  done->again = true;
  Try(done);
}

void peer_mailbox::OnDone(const delivery_ptr& done, bool answered) {
  delivery_ptr next;
  {
    const std::lock_guard lock(mutex_);
    peer& to = *done->to;
    --to.under_way;
    if (answered) {
      const auto took = std::chrono::duration_cast<microseconds>(steady_clock::now() - done->begun);
      const bool first = to.round_trip == microseconds{0};
      to.round_trip += first ? took : (took - to.round_trip) / kRoundTripWeight;
    }
    next = NextBatch(done->name, done->to);
    if (--under_way_ == 0) idle_.notify_all();
  }
  if (next != nullptr) Deliver(next);
}

}  // namespace catkinford
