// Messages to and from the other entries: batches in JSON-RPC calls, one thread for all peers.
//
// While a batch is in flight the next one is queued, so batches grow with the load and an idle peer
// costs nothing. To a peer in another region, a message would then wait for a whole round trip
// before it is sent, so the longer the round trip, the more batches may be in flight at once.
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
#include "connection/http_server.h"
#include "connection/peer_auth.h"
#include "connection/peer_rpc.h"
#include "connection/rpc_server.h"
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
  // Callbacks, called on threads of the mailbox; they must not block.
  using on_messages = std::function<void(std::vector<peer_message>)>;
  // These messages were not confirmed; `status` says whether the peer may have received them.
  using on_failure = std::function<void(const std::string& peer, transfer_status status,
                                        std::vector<message_body>)>;
  // The reply to a call with a heartbeat that wants one; none: no reply.
  // Of the text of a batch with more than one message.
  static constexpr size_t kMaxBatchBytes = size_t{1} << 20;

  using reply_maker = std::function<std::optional<heartbeat_message>()>;

  // A batch that is longer than its receiver reads is lost: `listen` has a limit of bodies of at
  // least kMaxBatchBytes and the longest message, both as JSON texts within JSON.
  peer_mailbox(std::string own_name, http_server_options listen,
               std::chrono::milliseconds call_timeout, peer_auth& auth, on_messages received,
               on_failure failed, reply_maker reply);
  ~peer_mailbox();
  peer_mailbox(const peer_mailbox&) = delete;
  peer_mailbox& operator=(const peer_mailbox&) = delete;

  // False when the port can't be bound.
  bool Start();
  // Sends what is queued and waits for the replies, at most as long as two tries may take: the last
  // message of a leaving owner tells its successor to take over.
  void Stop();

  // The five below may only be called on the core's thread.
  void SetPeer(const std::string& name, const std::string& address);
  void RemovePeer(const std::string& name);
  // Queues a message for the next Flush(). False, and certainly not sent, when the peer is unknown
  // or its queue is full.
  bool Send(const std::string& name, message_body message);
  // Sends the queued messages to each peer that may have another batch in flight.
  void Flush();
  // Smoothed duration of a call to the peer; zero until one was answered.
  std::chrono::microseconds RoundTrip(const std::string& name) const;

  const mailbox_counters& Counters() const { return counters_; }

 private:
  struct peer {
    std::string address;
    std::vector<message_body> queued;
    size_t in_flight = 0;  // number of batches
    std::chrono::microseconds round_trip{0};
  };
  using peer_ptr = std::shared_ptr<peer>;  // shared with the calls in flight
  // State of one batch.
  struct delivery {
    std::string name;
    peer_ptr to;
    std::vector<message_body> batch;
    std::string text;
    monotonic_time begun{};
    transfer_status first = transfer_status::kDone;  // result of the first try
    bool is_retry = false;                           // this is the second try
  };
  using delivery_ptr = std::shared_ptr<delivery>;

  std::string Receive(const std::string& text);
  void ApplyAnswer(const std::string& answer);
  static size_t MaxInFlight(const peer& to);
  // The next batch for a peer, or null when nothing is queued. Requires the lock.
  delivery_ptr NextBatch(const std::string& name, const peer_ptr& to);
  void Requeue(delivery& next);
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
  mutable std::mutex mutex_;  // guards the peers, their queues and the count
  std::condition_variable idle_;
  std::map<std::string, peer_ptr> peers_;
  size_t in_flight_ = 0;  // batches to all peers
  mailbox_counters counters_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_PEER_MAILBOX_H_
