// One version of the site's configuration: queues, workspaces with their keys and limits, services.
#ifndef CATKINFORD_VERSION_SITE_CONFIGURATION_H_
#define CATKINFORD_VERSION_SITE_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "request/job_request.h"
#include "request/step_graph.h"

namespace catkinford {

// How long a queue's policy takes to state which instances may run a step.
struct advice_timing {
  std::chrono::milliseconds base{0};
  std::chrono::microseconds per_instance{0};
  std::chrono::milliseconds valid{0};  // of a ticket
};

struct queue_config {
  std::string name;
  std::string host;
  std::string prefix;  // of the path; the longest match selects the queue
  bool anonymous = false;
  job_terms jobs;
  std::optional<advice_timing> advice;
};

struct workspace_config {
  std::string name;
  std::vector<std::string> keys;
  double weight = 1;
  resources maximum;  // over all instances; an amount of 0 has no limit
};

struct service_config {
  std::string name;
  bool enforces_capacity = false;  // its instances reject what exceeds their capacity
  bool standby = false;
};

struct caller_limits {
  size_t body_bytes = size_t{256} << 10;
};

class site_configuration {
 public:
  site_configuration(uint64_t number, std::vector<queue_config> queues,
                     std::vector<workspace_config> workspaces, std::vector<service_config> services,
                     caller_limits limits);

  uint64_t Number() const { return number_; }
  const std::vector<queue_config>& Queues() const { return queues_; }
  const std::vector<workspace_config>& Workspaces() const { return workspaces_; }
  const std::vector<service_config>& Services() const { return services_; }
  const caller_limits& Limits() const { return limits_; }

  // The queue with the longest prefix of `path`; null if none.
  const queue_config* QueueFor(std::string_view host, std::string_view path) const;
  const queue_config* QueueNamed(const std::string& name) const;
  // The workspace that `key` belongs to; null if none.
  const workspace_config* WorkspaceOfKey(const std::string& key) const;
  const workspace_config* WorkspaceNamed(const std::string& name) const;
  const service_config* ServiceNamed(const std::string& name) const;

 private:
  uint64_t number_;
  std::vector<queue_config> queues_;
  std::vector<workspace_config> workspaces_;
  std::vector<service_config> services_;
  caller_limits limits_;
  absl::flat_hash_map<std::string, std::vector<size_t>> by_host_;  // longest prefix first
  absl::flat_hash_map<std::string, size_t> by_queue_name_;
  absl::flat_hash_map<std::string, size_t> by_key_;
  absl::flat_hash_map<std::string, size_t> by_workspace_name_;
};

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_SITE_CONFIGURATION_H_
