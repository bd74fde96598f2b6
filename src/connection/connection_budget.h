// One budget of bytes for what the requests of a process hold, over all its listeners, and a limit
// of connections for each listener.
//
// Bytes are charged as they come and given back when they are freed. While a body arrives or an
// answer is sent, they belong to the connection. When those run short, connections are closed:
// first the one with the most bytes times the time for which it has held them. A request that was
// received whole owns its bytes until it is answered; it is never given up for another one.
#ifndef CATKINFORD_CONNECTION_CONNECTION_BUDGET_H_
#define CATKINFORD_CONNECTION_CONNECTION_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "request/job_request.h"

namespace catkinford {

enum class connection_phase : uint8_t {
  kIdle,       // open, and no request's head has arrived
  kReceiving,  // a request's body arrives
  kWaiting,    // the request is whole and has no answer yet
  kSending,    // the answer is being sent
};

struct budget_options {
  size_t bytes = size_t{64} << 20;
  // Longest time in each phase but kWaiting.
  std::chrono::milliseconds phase_timeout{30000};
};

struct budget_counts {
  size_t bytes = 0;              // charged
  uint64_t closed_for_room = 0;  // connections closed for others' bytes or descriptors
  uint64_t closed_late = 0;      // closed because a phase took too long
  uint64_t rejected = 0;         // requests and connections for which there was no room

  uint64_t Ended() const { return closed_for_room + closed_late + rejected; }
};

class connection_budget;

// Bytes of a request that was received whole. Copies share them; the last one gives them back.
class request_memory {
 public:
  request_memory() = default;  // outside any budget: there is always room

  // More bytes for the same request, given back with the result. Nothing if there is no room.
  std::optional<request_memory> Reserve(size_t bytes) const;

 private:
  friend class connection_budget;
  struct charge;

  std::shared_ptr<const charge> charge_;
};

// Thread-safe.
class connection_budget : public std::enable_shared_from_this<connection_budget> {
 public:
  using listener_id = uint32_t;
  using connection_id = uint64_t;
  // Ends a connection from our side, without closing its descriptor. Must not call the budget.
  using socket_closer = std::function<void(int socket)>;

  connection_budget(budget_options options, socket_closer shut);

  listener_id AddListener(size_t connection_limit);
  // Whether the listener may accept a connection. Near its limit one is closed for it.
  bool Admit(listener_id at, monotonic_time now);
  connection_id Open(listener_id at, int socket, monotonic_time now);
  // Its descriptor is about to be closed.
  void Closed(connection_id connection);

  void Enter(connection_id connection, connection_phase phase, monotonic_time now);
  // Sets the bytes that the connection holds. False: there is no room for them, or the connection
  // was closed for others; its request must end.
  bool Hold(connection_id connection, size_t bytes, monotonic_time now);
  // An answer of `bytes` begins to be sent, in any case; others are closed for it.
  void BeginAnswer(connection_id connection, size_t bytes, monotonic_time now);
  // Hands the bytes that the connection holds over to its request, which is whole. Nothing if
  // requests hold too many.
  std::optional<request_memory> Take(connection_id connection);
  std::optional<request_memory> Reserve(size_t bytes);

  // Closes connections whose phase takes too long. To be called about once a second.
  void Update(monotonic_time now);
  budget_counts Counts() const;

 private:
  friend struct request_memory::charge;

  struct listener {
    size_t limit = 0;
    size_t open = 0;     // without those that are being closed
    size_t closing = 0;  // they have their descriptors still

    // Of `open`; beyond it one is closed for the next.
    size_t OpenLimit() const;
  };
  struct connection {
    listener_id at = 0;
    int socket = -1;
    connection_phase phase = connection_phase::kIdle;
    bool closing = false;
    size_t bytes = 0;
    monotonic_time since{};  // in this phase

    bool MayClose() const { return !closing && phase != connection_phase::kWaiting; }
  };

  // These require the lock.
  size_t Used() const { return held_ + closing_ + taken_; }
  connection* Find(connection_id id);
  // The one to be closed first, of those that `may_close` allows; null if there is none.
  template <typename Predicate>
  connection* Largest(size_t own_bytes, monotonic_time now, Predicate may_close);
  // `count`: the one of counts_ that it adds to.
  void Close(connection& target, uint64_t& count);
  void SetBytes(connection& target, size_t bytes);
  // Closes connections until `bytes` more fit, `requester` among them if it is the largest.
  // Whether they fit now.
  bool MakeRoom(size_t bytes, connection& requester, monotonic_time now);
  void CloseLate(monotonic_time now);
  std::optional<request_memory> Charged(size_t bytes);
  void Release(size_t bytes);

  const budget_options options_;
  // The rest is for connections that are being closed.
  const size_t held_limit_;
  const size_t taken_limit_;
  const socket_closer shut_;
  mutable std::mutex mutex_;
  std::vector<listener> listeners_;
  absl::flat_hash_map<connection_id, connection> connections_;
  connection_id next_id_ = 1;
  size_t held_ = 0;     // by connections that stay open
  size_t closing_ = 0;  // by connections that are being closed
  size_t taken_ = 0;    // by requests that were received whole
  monotonic_time next_check_{};
  budget_counts counts_;
};

// Shuts down both directions.
void ShutSocket(int socket);

// How many connections each listener of a process may have.
struct listener_shares {
  size_t callers = 0;
  size_t peers = 0;
  size_t readiness = 0;
  size_t metrics = 0;
};
// `descriptors`, `memory_bytes`: of the process. A part of both remains for its own calls and work.
listener_shares SharesOf(size_t descriptors, size_t memory_bytes);
// The limit that the system sets for this process; none: unknown.
std::optional<size_t> DescriptorLimit();

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_CONNECTION_BUDGET_H_
