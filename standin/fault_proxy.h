// A small TCP proxy that brings about what a network does wrong: links between two processes that
// are cut, slow, lossy in one direction, or silent for good while new connections work.
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
  kCut,        // open connections are reset, new ones at once after their accept
  kBlackhole,  // connections open, what is sent is lost, and they are silent for good afterwards
  kStall,      // nothing passes; what was sent arrives late, when the link passes again
  kDropResponses,  // what the client sends arrives, no answer comes back
  kDropRequests,   // answers pass, what the client sends does not arrive
};

struct link_rule {
  link_state state = link_state::kPass;
  std::chrono::milliseconds delay{0};  // each way
  // After so many bytes a connection goes silent for good; another one starts at zero.
  uint64_t blackhole_after_bytes = std::numeric_limits<uint64_t>::max();
  // Each way, shared by the link's connections; 0: as fast as the machine.
  uint64_t bytes_per_second = 0;
};

// Numbers a link: one listening port in front of one target port.
using link_index = size_t;

// One thread, poll() and plain sockets. All calls may come from any thread.
class fault_proxy {
 public:
  fault_proxy();
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  // Listens on a port of its own and passes on to 127.0.0.1:target_port.
  link_index AddLink(uint16_t target_port);
  uint16_t PortOf(link_index link) const;
  void SetRule(link_index link, const link_rule& rule);
  // The connections that are open now go silent for good, in both directions; new ones work.
  void BlackholeOpenConnections(link_index link);
  uint64_t BytesForwarded(link_index link) const;

  void Start();
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_FAULT_PROXY_H_
