#include "version/site_configuration.h"

#include <algorithm>
#include <utility>

namespace catkinford {

site_configuration::site_configuration(uint64_t number, std::vector<queue_config> queues,
                                       std::vector<workspace_config> workspaces,
                                       std::vector<service_config> services, caller_limits limits)
    : number_(number),
      queues_(std::move(queues)),
      workspaces_(std::move(workspaces)),
      services_(std::move(services)),
      limits_(limits) {
  for (size_t i = 0; i < queues_.size(); ++i) {
    by_host_[queues_[i].host].push_back(i);
    by_queue_name_[queues_[i].name] = i;
  }
  for (auto& [host, indices] : by_host_) {
    std::sort(indices.begin(), indices.end(), [this](size_t a, size_t b) {
      return queues_[a].prefix.size() > queues_[b].prefix.size();
    });
  }
  for (size_t i = 0; i < workspaces_.size(); ++i) {
    by_workspace_name_[workspaces_[i].name] = i;
    for (const std::string& key : workspaces_[i].keys) by_key_[key] = i;
  }
}

const queue_config* site_configuration::QueueFor(std::string_view host,
                                                 std::string_view path) const {
  const auto found = by_host_.find(std::string(host));
  if (found == by_host_.end()) return nullptr;
  for (const size_t index : found->second) {
    if (path.starts_with(queues_[index].prefix)) return &queues_[index];
  }
  return nullptr;
}

const queue_config* site_configuration::QueueNamed(const std::string& name) const {
  const auto found = by_queue_name_.find(name);
  return found == by_queue_name_.end() ? nullptr : &queues_[found->second];
}

const workspace_config* site_configuration::WorkspaceOfKey(const std::string& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &workspaces_[found->second];
}

const workspace_config* site_configuration::WorkspaceNamed(const std::string& name) const {
  const auto found = by_workspace_name_.find(name);
  return found == by_workspace_name_.end() ? nullptr : &workspaces_[found->second];
}

const service_config* site_configuration::ServiceNamed(const std::string& name) const {
  for (const service_config& service : services_) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

}  // namespace catkinford
