// The settings of an entry of a site, read from a JSON file.
#ifndef CATKINFORD_PROCESS_SITE_SITE_SETTINGS_H_
#define CATKINFORD_PROCESS_SITE_SITE_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/settings_error.h"
#include "request/typed_error.h"

namespace catkinford {

struct site_settings {
  std::string name;            // of this entry, unique in the site
  std::string failure_domain;  // of this entry

  struct {
    std::string callers;  // "ip:port"
    std::string ready;    // "ip:port": readiness, for the balancer
    std::string address;  // "ip": calls between entries
    uint16_t peer_port = 0;
    uint16_t metrics_port = 0;  // 0: none
  } listen;

  // Capacity of the machine: entries on larger machines claim the site first.
  struct {
    double cpu_share = 1;  // of one CPU
    double link_mbps = 1000;
    // Limits of the process. What requests hold and how many connections are accepted follow from
    // them; of descriptors, a lower limit of the system holds.
    double memory_mb = 256;
    double descriptors = 4096;
  } machine;

  struct {
    std::string store;                               // "ip:port"
    std::string advice;                              // "ip:port"; empty: no queue uses advice
    std::chrono::milliseconds call_timeout{1000};    // of a call to the store
    std::chrono::milliseconds order_timeout{800};    // of a call to an instance
    std::chrono::milliseconds shortest_lease{1000};  // shortest lease that the store grants
  } platform;

  // Limits agreed on for the sites.
  struct {
    std::chrono::milliseconds longest_run_lease{6000};  // instances shorten longer ones
    std::chrono::milliseconds stop_limit{900};
    std::chrono::milliseconds gang_limit{3000};
    std::chrono::milliseconds early_limit{250};
    std::chrono::milliseconds keep_final{120000};
    std::chrono::milliseconds shutdown_limit{6000};
    // A change of the configuration is in effect everywhere this long after its acknowledgement.
    std::chrono::milliseconds config_limit{3000};
    double remote_factor = 2;
  } bounds;

  struct {
    // The site is taken over this long after its owner dies. Together with the duration of the
    // takeover it must stay below run_lease minus one renewal (1 s), or running tasks are killed
    // meanwhile.
    std::chrono::milliseconds owner_lease{1500};
    // Tasks of a crashed instance start elsewhere after this time, when their lease is certainly
    // over.
    std::chrono::milliseconds run_lease{4000};
    std::chrono::milliseconds registry_poll{700};
    std::chrono::milliseconds watch_wait{2500};  // a dead connection is detected after this
  } timing;

  // Learned speeds of instances guide where work starts.
  struct {
    bool enabled = true;
  } instance_speed;

  // Jobs that could not be of use any more are rejected while there is no capacity for them.
  struct {
    bool enabled = true;
    std::chrono::milliseconds figures_valid{2000};  // what the owner states holds for this time
    std::chrono::milliseconds max_retry_after{3000};
  } overload;

  // Second runs of tasks whose step allows them.
  struct {
    bool enabled = true;
    double max_share = 0.05;  // of a service's capacity, held by copies
  } copies;

  struct {
    bool persist = true;  // what an owner has learned is stored for the next one
  } learning;

  struct {
    uint32_t lines_per_second = 400;  // lines above this are counted and dropped
  } logs;
};

// Strict: an unknown field, a wrong type or a missing required field is a settings_error, and the
// process does not start. Field names state the unit: "owner_lease_ms", "keep_final_s".
leaf::result<site_settings> ParseSiteSettings(std::string_view text);
// The paths of all fields, such as "timing.owner_lease_ms".
std::vector<std::string> AllSiteSettings();
leaf::result<site_settings> LoadSiteSettings(const std::string& file);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_SETTINGS_H_
