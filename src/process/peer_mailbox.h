// Messages to and from the other entries: one sending thread for each peer, batches over JSON-RPC.
//
// While one batch is under way the next one gathers, so the batch grows with the load and an idle
// peer costs nothing.
#ifndef CATKINFORD_PROCESS_PEER_MAILBOX_H_
#define CATKINFORD_PROCESS_PEER_MAILBOX_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "connection/bounded_ring.h"
#include "connection/peer_rpc.h"
#include "process/message.h"

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
  using on_failure =
      std::function<void(const std::string& peer, rpc_status status, std::vector<message_body>)>;

  // What the call that brought a heartbeat which wants a reply is answered with; none: nothing.
  using reply_maker = std::function<std::optional<heartbeat_message>()>;

  peer_mailbox(std::string own_name, int port, std::chrono::milliseconds call_timeout,
               on_messages received, on_failure failed, reply_maker reply);
  ~peer_mailbox();
  peer_mailbox(const peer_mailbox&) = delete;
  peer_mailbox& operator=(const peer_mailbox&) = delete;

  // False when the port cannot be had.
  bool Start();
  void Stop();

  // The three below: one thread only, the core's.
  void SetPeer(const std::string& name, const std::string& address);
  void RemovePeer(const std::string& name);
  // False when the peer is not known or its ring is full: surely not sent.
  bool Send(const std::string& name, message_body message);

  const mailbox_counters& Counters() const { return counters_; }

 private:
  struct peer {
    std::string address;
    bounded_ring<message_body> outgoing;
    std::thread thread;
    std::atomic<bool> done = false;  // the thread has ended
    explicit peer(std::string peer_address);
  };

  std::string Receive(const std::string& text);
  void TakeAnswer(const std::string& answer);
  void Run(const std::string& name, peer& to);
  void Deliver(const std::string& name, rpc_client& client, std::vector<message_body> batch);
  void End(peer& to);

  std::string own_name_;
  std::chrono::milliseconds call_timeout_;
  on_messages received_;
  on_failure failed_;
  reply_maker reply_;
  rpc_server server_;
  std::map<std::string, std::unique_ptr<peer>> peers_;
  std::vector<std::unique_ptr<peer>> ended_;
  mailbox_counters counters_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_PEER_MAILBOX_H_
