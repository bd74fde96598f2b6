// The addresses that an entry listens on: callers, readiness, other entries, metrics. What their
// requests hold has one budget, and each has its part of the descriptors.
#ifndef CATKINFORD_PROCESS_SITE_SITE_LISTENERS_H_
#define CATKINFORD_PROCESS_SITE_SITE_LISTENERS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "connection/connection_budget.h"
#include "connection/http_server.h"
#include "process/site/site_settings.h"

namespace catkinford {

enum class site_start_fault : uint8_t { kNone, kCallerAddress, kReadyAddress, kPeerAddress };

// `text` is "ip:port"; returns false for other text.
bool SplitAddress(const std::string& text, std::string& address, uint16_t& port);

// Called on the listeners' threads.
struct listener_handlers {
  http_server::handler callers;
  http_server::handler readiness;
  http_server::handler peers;
  http_server::handler metrics;
};

class site_listeners {
 public:
  // `caller_headers`: headers that callers' requests are to contain, where they were sent.
  site_listeners(const site_settings& settings, std::vector<std::string> caller_headers,
                 listener_handlers handlers);

  // Metrics are optional: without them the entry still serves.
  site_start_fault Start();
  void Stop();

  http_server& Callers() { return *callers_; }
  http_server& Readiness() { return *readiness_; }
  http_server& Peers() { return *peers_; }
  http_server& Metrics() { return *metrics_; }
  bool HasMetrics() const { return metrics_ != nullptr; }
  // `bytes`: as the configuration in effect states.
  void SetCallerBodyLimit(size_t bytes);
  // To be called about once a second.
  budget_counts UpdateCounts();

 private:
  http_server_options OptionsFor(size_t connections) const;
  // Requests may arrive before it returns. False, and no server, if the address cannot be listened
  // on.
  static bool StartServer(std::unique_ptr<http_server>& server, http_server_options options,
                          const std::string& address, const http_server::handler& handler);

  const site_settings& settings_;
  const std::vector<std::string> caller_headers_;
  const listener_handlers handlers_;
  const std::shared_ptr<connection_budget> budget_;
  const listener_shares shares_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> readiness_;
  std::unique_ptr<http_server> peers_;
  std::unique_ptr<http_server> metrics_;
};

// The most that reading the body of another entry's request takes.
size_t PeerRequestBytes(const std::string& body);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_LISTENERS_H_
