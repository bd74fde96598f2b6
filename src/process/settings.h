// Settings read at process start: addresses, failure domain, platform, limits.
#ifndef CATKINFORD_PROCESS_SETTINGS_H_
#define CATKINFORD_PROCESS_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/settings_error.h"
#include "request/typed_error.h"

namespace catkinford {

struct settings {
  std::string name;                          // of this entry, unique in the fleet
  std::string failure_domain;                // of this entry
  std::vector<std::string> failure_domains;  // all domains of the fleet, the same on every entry

  struct {
    std::string address = "127.0.0.1";
    uint16_t caller_port = 0;
    uint16_t peer_port = 0;
    std::string tls_certificate_file;  // empty: plain HTTP
    std::string tls_key_file;
    std::string peer_secret_file;  // empty: calls between entries are not authenticated
  } listen;

  struct {
    std::string store_url;
    std::string instances_url;
    bool endpoints_fence = true;  // false: only lease times prevent double starts
  } platform;

  struct {
    uint32_t per_domain = 1;
  } shards;

  struct {
    std::chrono::milliseconds member_lease{1500};
    std::chrono::milliseconds heartbeat{250};       // inside the failure domain
    std::chrono::milliseconds far_heartbeat{1000};  // minimum interval to one other domain
    std::chrono::milliseconds instance_poll{1000};
    std::chrono::milliseconds task_lease{10000};
    std::chrono::milliseconds sync_wait{2000};  // longest time an endpoint may hold a sync
    std::chrono::milliseconds call_timeout{2000};
    std::chrono::milliseconds identity_window{30000};  // retention of finished request ids
    std::chrono::milliseconds default_deadline{10000};
    std::chrono::milliseconds max_deadline{20000};  // for requests that wait for their answer
    std::chrono::milliseconds shutdown_limit{20000};
    std::chrono::milliseconds forget_drain{600000};  // for an endpoint that left the list
  } timing;

  struct {
    uint32_t waiting_requests = 20000;  // in this entry
    uint32_t body_bytes = 1 << 20;
    uint32_t request_bytes = 64 << 20;  // held by all requests
    uint32_t batch_jobs = 1000;
    uint32_t peer_bytes = 7800;       // per second, heartbeats sent and received
    uint32_t history_versions = 200;  // past configurations kept in the store
    uint32_t history_bytes = 16 << 20;
  } bounds;

  struct {
    std::chrono::milliseconds key_grace{600000};  // keys stay trusted this long in isolation
  } isolation;

  struct {
    std::string level = "info";
    std::string file;  // empty: standard error
    uint32_t timeline_events = 65536;
  } logs;
};

// Strict: an unknown name, a wrong unit or a value out of range is a settings_error, and the
// program does not start.
leaf::result<settings> ParseSettings(std::string_view text);
leaf::result<settings> LoadSettings(const std::string& file);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SETTINGS_H_
