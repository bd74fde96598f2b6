// Messages to and from the other entries: batches in JSON-RPC calls, one thread for all peers.
//
// While a batch is under way the next one gathers, so batches grow with the load and an idle peer
// costs nothing. To a peer in another region that would let a message wait for a round trip before
// it starts on its own, so the longer the round trip, the more batches are under way at once.
#ifndef CATKINFORD_PROCESS_PEER_MAILBOX_H_
#define CATKINFORD_PROCESS_PEER_MAILBOX_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "connection/http_client.h"
#include "connection/peer_auth.h"
#include "connection/peer_rpc.h"
#include "process/message.h"
#include "request/job_request.h"

namespace catkinford {

struct mailbox_counters {
  std::atomic<uint64_t> batches_sent{0};
  std::atomic<uint64_t> messages_sent{0};
  std::atomic<uint64_t> bytes_sent{0};
  std::atomic<uint64_t> bytes_received{0};
};

class peer_mailbox {
 public:
  // All are called on threads of the mailbox and must not block.
  using on_messages = std::function<void(std::vector<peer_message>)>;
  // These messages got no confirmation, `status` says whether the peer may have seen them.
  using on_failure = std::function<void(const std::string& peer, transfer_status status,
                                        std::vector<message_body>)>;
  // What the call that brought a heartbeat which wants a reply is answered with; none: nothing.
  using reply_maker = std::function<std::optional<heartbeat_message>()>;

  peer_mailbox(std::string own_name, int port, std::chrono::milliseconds call_timeout,
               peer_auth& auth, on_messages received, on_failure failed, reply_maker reply);
  ~peer_mailbox();
  peer_mailbox(const peer_mailbox&) = delete;
  peer_mailbox& operator=(const peer_mailbox&) = delete;

  // False when the port cannot be had.
  bool Start();
  // Sends what has gathered and waits for its answers, as long as two tries may take: the last word
  // of a leaving owner is that its heir may take over.
  void Stop();

  // The five below: one thread only, the core's.
  void SetPeer(const std::string& name, const std::string& address);
  void RemovePeer(const std::string& name);
  // Messages leave with Flush(). False when the peer is not known or too many wait for it already:
  // surely not sent.
  bool Send(const std::string& name, message_body message);
  // Sends what has gathered, to each peer that may have another batch under way.
  void Flush();
  // The usual time of a call to a peer; zero until one was answered.
  std::chrono::microseconds RoundTrip(const std::string& name) const;

  const mailbox_counters& Counters() const { return counters_; }

 private:
  struct peer {
    std::string address;
    std::vector<message_body> queued;
    size_t in_flight = 0;  // batches
    std::chrono::microseconds round_trip{0};
  };
  using peer_ptr = std::shared_ptr<peer>;  // shared with the calls that are under way
  // What lives for one batch.
  struct delivery {
    std::string name;
    peer_ptr to;
    std::vector<message_body> batch;
    std::string text;
    monotonic_time begun{};
    transfer_status first = transfer_status::kDone;  // how the first try ended
    bool is_retry = false;                           // this is the second try
  };
  using delivery_ptr = std::shared_ptr<delivery>;

  std::string Receive(const std::string& text);
  void ApplyAnswer(const std::string& answer);
  static size_t MaxInFlight(const peer& to);
  // The next batch of a peer, or null when nothing has gathered. Under the lock.
  delivery_ptr NextBatch(const std::string& name, const peer_ptr& to);
  void Deliver(const delivery_ptr& next);
  void Try(const delivery_ptr& next);
  void OnResult(const delivery_ptr& done, const http_result& result);
  void OnDone(const delivery_ptr& done, bool answered);

  std::string own_name_;
  std::chrono::milliseconds call_timeout_;
  peer_auth& auth_;
  on_messages received_;
  on_failure failed_;
  reply_maker reply_;
  rpc_server server_;
  http_client client_;
  mutable std::mutex mutex_;  // guards the peers, what they hold, and the count
  std::condition_variable idle_;
  std::map<std::string, peer_ptr> peers_;
  size_t in_flight_ = 0;  // batches, to all peers
  mailbox_counters counters_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_PEER_MAILBOX_H_
