#include "process/peer_mailbox.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace catkinford {
namespace {

constexpr size_t kRingSize = 8192;
constexpr int kServerThreads = 4;
constexpr std::chrono::milliseconds kIdleWait{500};
constexpr size_t kLargestBatch = 1000;
constexpr char kTaken[] = "ok";  // the answer of a call that has no other

bool WantsReply(const peer_message& message) {
  const auto* beat = std::get_if<heartbeat_message>(&message.body);
  return beat != nullptr && beat->wants_reply;
}

}  // namespace

peer_mailbox::peer::peer(std::string peer_address)
    : address(std::move(peer_address)), outgoing(kRingSize) {}

peer_mailbox::peer_mailbox(std::string own_name, int port, std::chrono::milliseconds call_timeout,
                           on_messages received, on_failure failed, reply_maker reply)
    : own_name_(std::move(own_name)),
      call_timeout_(call_timeout),
      received_(std::move(received)),
      failed_(std::move(failed)),
      reply_(std::move(reply)),
      server_(port, kServerThreads, [this](const std::string& text) { return Receive(text); }) {}

peer_mailbox::~peer_mailbox() { Stop(); }

bool peer_mailbox::Start() { return server_.Start(); }

void peer_mailbox::Stop() {
  for (auto& [name, to] : peers_) End(*to);
  for (auto& to : ended_) {
    if (to->thread.joinable()) to->thread.join();
  }
  for (auto& [name, to] : peers_) to->thread.join();
  peers_.clear();
  ended_.clear();
  server_.Stop();
}

std::string peer_mailbox::Receive(const std::string& text) {
  counters_.bytes_received += text.size();
  std::vector<peer_message> messages = DecodeBatch(text);
  const bool wants_reply = std::any_of(messages.begin(), messages.end(), WantsReply);
  received_(std::move(messages));
  std::optional<heartbeat_message> reply;
  if (wants_reply) reply = reply_();
  if (!reply) return kTaken;
  std::string answer = EncodeBatch(own_name_, {*std::move(reply)});
  counters_.bytes_sent += answer.size();
  return answer;
}

void peer_mailbox::TakeAnswer(const std::string& answer) {
  if (answer == kTaken) return;
  counters_.bytes_received += answer.size();
  received_(DecodeBatch(answer));
}

void peer_mailbox::SetPeer(const std::string& name, const std::string& address) {
  const auto found = peers_.find(name);
  if (found != peers_.end() && found->second->address == address) return;
  RemovePeer(name);
  auto added = std::make_unique<peer>(address);
  peer& to = *added;
  to.thread = std::thread([this, name, &to] { Run(name, to); });
  peers_.emplace(name, std::move(added));
}

void peer_mailbox::RemovePeer(const std::string& name) {
  const auto found = peers_.find(name);
  if (found == peers_.end()) return;
  std::erase_if(ended_, [](const std::unique_ptr<peer>& to) {
    if (!to->done) return false;
    to->thread.join();
    return true;
  });
  End(*found->second);
  // Not joined here: its thread may wait out a call to a peer that is gone, and the core does not
  // wait with it.
  ended_.push_back(std::move(found->second));
  peers_.erase(found);
}

void peer_mailbox::End(peer& to) { to.outgoing.Close(); }

bool peer_mailbox::Send(const std::string& name, message_body message) {
  const auto found = peers_.find(name);
  return found != peers_.end() && found->second->outgoing.TryPush(message);
}

void peer_mailbox::Run(const std::string& name, peer& to) {
  rpc_client client(to.address, call_timeout_);
  std::vector<message_body> gathered;
  while (to.outgoing.PopAll(gathered, kIdleWait)) {
    while (!gathered.empty()) {
      const size_t count = std::min(gathered.size(), kLargestBatch);
      const auto middle = gathered.begin() + static_cast<std::ptrdiff_t>(count);
      std::vector<message_body> batch(std::make_move_iterator(gathered.begin()),
                                      std::make_move_iterator(middle));
      gathered.erase(gathered.begin(), middle);
      Deliver(name, client, std::move(batch));
    }
  }
  to.done = true;
}

// Tries once on the kept connection and once on a fresh one: a connection can go silent for good
// while new ones work.
void peer_mailbox::Deliver(const std::string& name, rpc_client& client,
                           std::vector<message_body> batch) {
  const std::string text = EncodeBatch(own_name_, batch);
  std::string answer;
  const rpc_status first = client.Call("deliver", text, answer);
  ++counters_.batches_sent;
  counters_.messages_sent += batch.size();
  counters_.bytes_sent += text.size();
  if (first == rpc_status::kDone) return TakeAnswer(answer);
  client.Reconnect();
  const rpc_status second = client.Call("deliver", text, answer);
  counters_.bytes_sent += text.size();
  if (second == rpc_status::kDone) return TakeAnswer(answer);
  const bool surely_not = first == rpc_status::kNotSent && second == rpc_status::kNotSent;
  failed_(name, surely_not ? rpc_status::kNotSent : rpc_status::kMaybeSent, std::move(batch));
}

}  // namespace catkinford
