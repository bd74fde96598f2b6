#include "process/site/site_listeners.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "request/bounded_json.h"
#include "request/text_compression.h"

namespace catkinford {
namespace {

constexpr size_t kMegabyte = size_t{1} << 20;
// One body of the largest size, and what it describes, always fits.
constexpr size_t kMinBudget = 64 * kMegabyte;
// A stored value is not larger, whatever the configuration allows.
constexpr size_t kMaxBody = kMegabyte;
// A window for one round trip, even to an entry in another region.
constexpr int kCallerBuffer = 64 << 10;
constexpr int kPeerBuffer = 256 << 10;

size_t MemoryOf(const site_settings& settings) {
  return static_cast<size_t>(settings.machine.memory_mb) * kMegabyte;
}

size_t DescriptorsOf(const site_settings& settings) {
  const auto stated = static_cast<size_t>(settings.machine.descriptors);
  return std::min(stated, DescriptorLimit().value_or(stated));
}

}  // namespace

bool SplitAddress(const std::string& text, std::string& address, uint16_t& port) {
  const size_t colon = text.rfind(':');
  uint32_t number = 0;
  if (colon == std::string::npos) return false;
  if (!absl::SimpleAtoi(text.substr(colon + 1), &number) || number > UINT16_MAX) return false;
  address = text.substr(0, colon);
  port = static_cast<uint16_t>(number);
  return true;
}

site_listeners::site_listeners(const site_settings& settings,
                               std::vector<std::string> caller_headers, listener_handlers handlers)
    : settings_(settings),
      caller_headers_(std::move(caller_headers)),
      handlers_(std::move(handlers)),
      budget_(std::make_shared<connection_budget>(
          budget_options{std::max(MemoryOf(settings) / 4, kMinBudget)}, ShutSocket)),
      shares_(SharesOf(DescriptorsOf(settings), MemoryOf(settings))) {}

site_start_fault site_listeners::Start() {
  if (!StartServer(readiness_, OptionsFor(shares_.readiness), settings_.listen.ready,
                   handlers_.readiness)) {
    return site_start_fault::kReadyAddress;
  }
  const std::string own = absl::StrCat(settings_.listen.address, ":");
  http_server_options peer_options = OptionsFor(shares_.peers);
  peer_options.socket_buffer_bytes = kPeerBuffer;
  if (!StartServer(peers_, std::move(peer_options), absl::StrCat(own, settings_.listen.peer_port),
                   handlers_.peers)) {
    return site_start_fault::kPeerAddress;
  }
  http_server_options caller_options = OptionsFor(shares_.callers);
  caller_options.captured_headers = caller_headers_;
  if (!StartServer(callers_, std::move(caller_options), settings_.listen.callers,
                   handlers_.callers)) {
    return site_start_fault::kCallerAddress;
  }
  if (settings_.listen.metrics_port != 0) {
    StartServer(metrics_, OptionsFor(shares_.metrics),
                absl::StrCat(own, settings_.listen.metrics_port), handlers_.metrics);
  }
  return site_start_fault::kNone;
}

void site_listeners::Stop() {
  for (http_server* server : {callers_.get(), readiness_.get(), peers_.get(), metrics_.get()}) {
    if (server != nullptr) server->Stop();
  }
}

void site_listeners::SetCallerBodyLimit(size_t bytes) {
  callers_->SetBodyLimit(std::min(bytes, kMaxBody));
}

budget_counts site_listeners::UpdateCounts() {
  budget_->Update(std::chrono::steady_clock::now());
  return budget_->Counts();
}

http_server_options site_listeners::OptionsFor(size_t connections) const {
  http_server_options options;
  options.body_limit = kMaxBody;
  options.connection_limit = static_cast<unsigned>(connections);
  options.budget = budget_;
  options.socket_buffer_bytes = kCallerBuffer;
  return options;
}

bool site_listeners::StartServer(std::unique_ptr<http_server>& server, http_server_options options,
                                 const std::string& address, const http_server::handler& handler) {
  if (!SplitAddress(address, options.address, options.port)) return false;
  server = std::make_unique<http_server>(std::move(options), handler);
  if (server->Start()) return true;
  server.reset();
  return false;
}

size_t PeerRequestBytes(const std::string& body) {
  if (body.empty()) return 0;
  const size_t plain = MaxDecompressedBytes(body);
  // A byte of MessagePack can describe an object.
  constexpr size_t kBytesPerByte = 128;
  return plain + std::min(plain * kBytesPerByte, kMaxRequestJsonBytes);
}

}  // namespace catkinford
