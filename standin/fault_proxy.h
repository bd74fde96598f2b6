// TCP proxy that injects network faults between two processes: links that are cut, slow, lossy in
// one direction, or whose open connections go dead while new ones work.
#ifndef CATKINFORD_STANDIN_FAULT_PROXY_H_
#define CATKINFORD_STANDIN_FAULT_PROXY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>

namespace catkinford {

enum class link_state : uint8_t {
  kPass,
  kCut,            // open connections are reset, new ones right after their accept
  kBlackhole,      // connections open, but their bytes are lost; they stay dead afterwards
  kStall,          // nothing is forwarded; bytes sent arrive late, once the link passes
  kDropResponses,  // requests arrive, responses are lost
  kDropRequests,   // responses arrive, requests are lost
};

struct link_rule {
  link_state state = link_state::kPass;
  std::chrono::milliseconds delay{0};  // in each direction
  // A connection goes dead for good after this many bytes; each connection counts from zero.
  uint64_t blackhole_after_bytes = std::numeric_limits<uint64_t>::max();
  // In each direction, shared by the link's connections; 0: unlimited.
  uint64_t bytes_per_second = 0;
};

// Index of a link: one listening port in front of one target port.
using link_index = size_t;

// Runs one thread with poll() and plain sockets. All calls are thread-safe.
class fault_proxy {
 public:
  fault_proxy();
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  // Listens on a new port and forwards to 127.0.0.1:target_port.
  link_index AddLink(uint16_t target_port);
  uint16_t PortOf(link_index link) const;
  void SetRule(link_index link, const link_rule& rule);
  // The connections open now go dead for good in both directions; new ones work.
  void BlackholeOpenConnections(link_index link);
  // As if the clients' machines lost power: the open connections go dead for good, and the target's
  // side of each stays open after its client has closed it.
  void LoseClients(link_index link);
  // Connections open on the target's side.
  size_t OpenConnections(link_index link) const;
  uint64_t BytesForwarded(link_index link) const;

  void Start();
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_FAULT_PROXY_H_
