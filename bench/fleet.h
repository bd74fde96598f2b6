// A whole fleet of real processes on this machine: the platform's stand-ins and the entries, with
// fault proxies between them where asked for. Everything ends with the object.
#ifndef CATKINFORD_BENCH_FLEET_H_
#define CATKINFORD_BENCH_FLEET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bench/child_process.h"
#include "bench/contract_maker.h"
#include "bench/history.h"
#include "connection/http_client.h"
#include "standin/fault_proxy.h"
#include "standin/instance_server.h"

namespace catkinford {

struct fleet_options {
  std::vector<std::string> domains = {"sapporo-ch", "otaru", "asahikawa"};
  size_t entries_per_domain = 2;
  size_t endpoints_per_domain = 17;  // about 50 workers over three failure domains
  resources shape{16000, 32768, 0, 8};
  size_t teams = 6;
  std::optional<uint32_t> team_running_limit;  // absent: as many as the fleet holds
  bool fencing = true;                         // endpoints refuse a lower epoch
  bool entries_trust_fencing = true;  // and entries are told so; if not, time alone protects
  bool proxied = false;               // every link of an entry goes through a fault proxy
  // Each failure domain is a region of its own: links between entries of two domains take so long
  // each way, and so do the links to the platform from all domains but the first. Needs `proxied`.
  std::chrono::milliseconds region_delay{0};
  bool freeze_leases = false;
  uint32_t shards_per_domain = 1;
  std::chrono::milliseconds instance_lag{500};
  uint64_t seed = 1;
  nlohmann::json timing = nlohmann::json::object();  // settings below "timing"
  std::string peer_secret_file;                      // of all entries
  std::vector<std::string> daemon_flags;
};

struct fleet_entry {
  std::string name;
  std::string domain;
  uint16_t caller_port = 0;
  uint16_t peer_port = 0;
  child_process process;
  std::unique_ptr<instance_server> instances;  // the list as this entry gets to see it
  bool listed = true;
};

class fleet {
 public:
  explicit fleet(fleet_options options);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Brings everything up and waits until each entry is ready. False, with what went wrong on
  // standard error, when that takes longer than `limit`.
  bool Start(std::chrono::milliseconds limit);
  // Kills all that still runs.
  void Stop();

  size_t Entries() const { return entries_.size(); }
  fleet_entry& Entry(size_t slot) { return entries_[slot]; }
  std::string UrlOf(size_t slot) const;
  const made_contract& Contract() const { return contract_; }
  const fleet_options& Options() const { return options_; }
  const std::string& Directory() const { return directory_; }
  std::vector<std::string> EndpointsOf(size_t domain) const;
  std::vector<endpoint_capacity> Capacities() const;

  // A new instance in a slot: new name, new ports; the list tells of it.
  bool ReplaceEntry(size_t slot);
  // The platform's list tells (with its lag) that the slot's instance is gone.
  void Unlist(size_t slot);
  bool WaitReady(size_t slot, std::chrono::milliseconds limit);

  // Faults.
  void SetEndpointMode(const std::string& endpoint, const std::string& mode);
  void SetEndpointLeaving(const std::string& endpoint);  // also in the instance list
  void SetStore(const nlohmann::json& control);
  void SetStoreLink(size_t slot, const link_rule& rule);
  void SetInstancesLink(size_t slot, const link_rule& rule);
  void SetPeerLink(size_t from, size_t to, const link_rule& rule);
  void SetEndpointLink(size_t slot, size_t domain, const link_rule& rule);
  void SilenceEndpointConnections(size_t slot, size_t domain);
  void SilencePeerConnections(size_t from, size_t to);

  // Bytes on the wire so far, both ways: over the entries' peer ports, and between the entries and
  // the platform's stand-ins with the endpoints. Not behind proxies.
  double PeerBytes() const;
  double PlatformBytes() const;

  // What the endpoints wrote down.
  std::vector<run_event> Events();
  nlohmann::json StoreCounters();

 private:
  struct endpoint_process {
    uint16_t port = 0;
    child_process process;
  };

  bool StartPlatform();
  bool WriteContract();
  bool StartEntry(size_t slot);
  std::string WriteSettings(size_t slot);
  nlohmann::json ListFor(size_t slot);
  void UpdateLists();
  // The port through which an entry reaches a target: a proxy's, or the target's own. `far`: the
  // target is in another region.
  uint16_t PortThrough(const std::string& link, uint16_t target, bool far);
  bool IsFar(size_t slot, const std::string& domain) const;
  void SetRule(const std::string& link, const link_rule& rule);
  void Silence(const std::string& link);
  http_result Post(const std::string& url, const nlohmann::json& body);

  fleet_options options_;
  std::string directory_;
  std::string programs_;
  made_contract contract_;
  http_client http_{0};
  fault_proxy proxy_;
  struct fleet_link {
    link_index index = 0;
    std::chrono::milliseconds delay{0};  // each way, also when nothing is wrong
  };
  std::map<std::string, fleet_link> links_;
  uint16_t store_port_ = 0;
  child_process store_;
  std::vector<endpoint_process> endpoints_;  // one for each failure domain
  std::vector<fleet_entry> entries_;
  std::map<std::string, std::string> endpoint_states_;
  size_t replacements_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_FLEET_H_
